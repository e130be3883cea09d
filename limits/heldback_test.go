package limits_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/limits"
)

// refuseOne asks for a request whose deadline has passed.
func (s *site) refuseOne(organisation, class string) {
	_, _ = s.nodes[0].Admit(zinniamast.Admission{
		Organisation: organisation,
		Service:      "assistant",
		Class:        class,
		Deadline:     s.queue.now,
	})
}

// Guards against refusals that are shown under another class, organisation or reason, or after ten seconds.
func TestRecentRefusalsAreCounted(t *testing.T) {
	check := is.New(t)
	s := newSite([]string{"x"}, map[string]float64{"a": 1, "b": 1})
	check.Equal(len(s.nodes[0].HeldBack().Refused), 0)
	s.refuseOne("a", "urgent")
	for range 2 {
		s.queue.now = s.queue.now.Add(4 * time.Second)
		s.refuseOne("b", "bulk")
	}
	count := func(organisation, class string, n int) limits.RefusedCount {
		return limits.RefusedCount{
			Service:      "assistant",
			Class:        class,
			Organisation: organisation,
			Reason:       zinniamast.ReasonPastDeadline,
			Count:        n,
		}
	}
	check.Equal(s.nodes[0].HeldBack().Refused, []limits.RefusedCount{count("b", "bulk", 2), count("a", "urgent", 1)})
	s.queue.now = s.queue.now.Add(3 * time.Second)
	check.Equal(s.nodes[0].HeldBack().Refused, []limits.RefusedCount{count("b", "bulk", 2)})
	s.queue.now = s.queue.now.Add(time.Hour)
	check.Equal(len(s.nodes[0].HeldBack().Refused), 0)
	s.refuseOne("a", "urgent")
	check.Equal(s.nodes[0].HeldBack().Refused, []limits.RefusedCount{count("a", "urgent", 1)})
}

// Guards against counts of recent refusals that grow with the number of organisations.
func TestRecentRefusalsAreBounded(t *testing.T) {
	check := is.New(t)
	s := newSite([]string{"x"}, map[string]float64{"a": 1})
	for i := range 5000 {
		s.refuseOne(fmt.Sprint("org-", i), "bulk")
	}
	refused := s.nodes[0].HeldBack().Refused
	check.Equal(len(refused), 1001)
	check.Equal(refused[0].Organisation, "other")
	check.Equal(refused[0].Count, 4000)
}

// Guards against a status with other shares than those that decide: an organisation that asks other nodes for five times the capacity, beside one that asks for little.
func TestSharesAreShown(t *testing.T) {
	check := is.New(t)
	s := newSite([]string{"x", "x"}, map[string]float64{"a": 1, "b": 1})
	s.run([]*sender{
		{organisation: "a", rate: 50, nodes: []int{0}, priority: 1},
		{organisation: "b", rate: 2, nodes: []int{1}, priority: 1},
	}, 0, 60*time.Second)
	for i, node := range s.nodes {
		shares := node.HeldBack().Shares
		check.Equal(len(shares), 2)
		a, b := shares[0], shares[1]
		t.Logf("node %d: %+v %+v", i, a, b)
		check.Equal([]string{a.Organisation, b.Organisation}, []string{"a", "b"})
		check.True(math.Abs(a.Used-0.8) < 0.1)
		check.True(math.Abs(b.Used-0.2) < 0.1)
		check.True(b.Entitled >= b.Used)
	}
	refused := s.nodes[0].HeldBack().Refused
	check.True(len(refused) > 0)
	check.Equal(refused[0].Organisation, "a")
	check.Equal(refused[0].Reason, zinniamast.ReasonOverShare)
}
