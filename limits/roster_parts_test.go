package limits_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/limits"
)

// Guards against granting more than the allowance to nodes that lend parts by rosters of different ages.
func TestPartsOfDifferentRostersAreNoMoreThanTheWhole(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	pool := f.pool("node-0", false)
	granted := 0.0
	for i := range 2000 {
		f.now = f.now.Add(10 * time.Millisecond)
		for node := range 12 {
			part := 1.0 / 6
			if node >= 6 {
				part = 1.0 / 12
			}
			answer := pool.Take(limits.PoolRequest{
				Node:         fmt.Sprint("node-", node),
				Part:         part,
				Organisation: "acme",
				Amount:       10,
			})
			if answer.Granted && i >= 1000 {
				granted += 10
			}
		}
	}
	is.True(granted <= f.organisation.Rate*10*1.01)
}
