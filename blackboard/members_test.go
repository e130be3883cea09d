package blackboard_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/blackboard"
)

func touch(m *blackboard.Members, id string, at time.Time) {
	m.Update(id, func(entry *blackboard.Member) bool {
		entry.Heard = at
		return true
	})
}

// TestMembersStayOrdered guards against members that are listed twice, lost or out of order.
func TestMembersStayOrdered(t *testing.T) {
	check := is.New(t)
	m := blackboard.NewMembers()
	check.Equal(len(m.All()), 0)
	random := rand.New(rand.NewPCG(1, 2))
	known := map[string]time.Time{}
	for i := range 2000 {
		id := fmt.Sprint("edge-", random.IntN(60))
		before := slices.Clone(m.All())
		held := m.All()
		if random.IntN(4) == 0 {
			m.Remove(id)
			delete(known, id)
		} else {
			known[id] = time.Unix(int64(i), 0)
			touch(m, id, known[id])
		}
		check.Equal(held, before) // snapshots that readers hold do not change
		all := m.All()
		check.Equal(len(all), len(known))
		check.True(slices.IsSortedFunc(all, func(a, b blackboard.Member) int { return strings.Compare(a.ID, b.ID) }))
		for _, member := range all {
			check.Equal(member.Heard, known[member.ID])
		}
	}
}

// BenchmarkContact measures the recording of a contact with one of many members.
func BenchmarkContact(b *testing.B) {
	for _, members := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("%d_members", members), func(b *testing.B) {
			m := blackboard.NewMembers()
			for i := range members {
				touch(m, fmt.Sprintf("edge-%03d", i), time.Unix(0, 0))
			}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				touch(m, "edge-007", now)
			}
		})
	}
}
