package feedindex_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"zinniamast/feedindex"
)

// TestQueryExaminesOnlyChanges guards against queries whose cost grows with the fleet.
func TestQueryExaminesOnlyChanges(t *testing.T) {
	for _, nodes := range []int{30, 100, 300} {
		t.Run(fmt.Sprintf("%d_nodes", nodes), func(t *testing.T) {
			check := is.New(t)
			x := feedindex.New[int]()
			position := uint64(0)
			for key := range 10 * nodes {
				position++
				x.Put(key, position)
			}
			before := position
			for key := range 5 {
				position++
				x.Put(7*key, position)
			}
			check.Equal(slices.Collect(x.After(before)), []int{28, 21, 14, 7, 0})
			check.Equal(x.Examined(), uint64(6)) // the changes and the one before them
			check.Equal(x.Len(), 10*nodes)
		})
	}
}

// TestKeysOutOfOrderAreFound guards against changes that a query misses as an older one came after them.
func TestKeysOutOfOrderAreFound(t *testing.T) {
	check := is.New(t)
	x := feedindex.New[string]()
	x.Put("b", 20)
	x.Put("c", 30)
	x.Put("a", 10)
	check.Equal(slices.Collect(x.After(0)), []string{"c", "b", "a"})
	x.Put("c", 15) // a position that falls
	check.Equal(slices.Collect(x.After(12)), []string{"b", "c"})
	x.Put("a", 10)
	check.Equal(slices.Collect(x.After(9)), []string{"b", "c", "a"})
	x.Delete("c")
	x.Delete("c")
	check.Equal(slices.Collect(x.After(0)), []string{"b", "a"})
	oldest, ok := x.Oldest()
	check.True(ok)
	check.Equal(oldest, "a")
}
