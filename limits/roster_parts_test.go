package limits_test

import (
	"fmt"
	"slices"
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

// Guards against granting more than is tolerated while nodes join: they know of each other, and the others learn of them seconds later.
func TestAllowanceHoldsWhileNodesJoin(t *testing.T) {
	// A node reads the roster from its domain's reader, which has read it from the store.
	const joinDelay, rosterAge = 6 * time.Second, 2 * 5 * time.Second
	for _, nodes := range []int{4, 6, 9} {
		t.Run(fmt.Sprint(nodes, " and as many"), func(t *testing.T) {
			f := newFleet(nodes)
			f.play(10*time.Second, 0.3)
			before := slices.Clone(f.names)
			for i := range nodes {
				f.names = append(f.names, fmt.Sprint("node-", nodes+i))
			}
			for _, name := range f.names[nodes:] {
				f.start(name)
			}
			joined := f.now
			f.rosterOf = func(node string) []string {
				elapsed := f.now.Sub(joined)
				knowsAll := elapsed >= joinDelay
				if i := slices.Index(before, node); i >= 0 {
					knowsAll = elapsed >= rosterAge*time.Duration(i+1)/time.Duration(nodes)
				}
				if knowsAll {
					return f.names
				}
				return before
			}
			f.play(16*time.Second, 6)
			if got := f.maxWindowGrants(); got > f.tolerated() {
				t.Errorf("%.0f granted in one window, %.0f tolerated", got, f.tolerated())
			}
		})
	}
}
