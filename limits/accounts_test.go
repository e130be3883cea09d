package limits_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/limits"
)

// accountsSite is nodes that keep accounts, and the gossip between them.
type accountsSite struct {
	bus      *bus
	now      time.Time
	isNeeded bool
	domains  []string
	nodes    []*limits.Accounts
}

func newAccountsSite(domains ...string) *accountsSite {
	s := &accountsSite{
		bus:      &bus{},
		now:      time.Unix(1_800_000_000, 0),
		isNeeded: true,
		domains:  domains,
	}
	for i := range domains {
		s.bus.ports = append(s.bus.ports, &port{
			bus:    s.bus,
			node:   fmt.Sprint(i),
			domain: domains[i],
			clock:  func() time.Time { return s.now },
		})
		s.nodes = append(s.nodes, nil)
		s.start(i)
	}
	return s
}

// start starts the first or the next process of a node.
func (s *accountsSite) start(i int) {
	board := blackboard.New()
	for j, domain := range s.domains {
		board.Members.Update(fmt.Sprint(j), func(m *blackboard.Member) bool {
			m.FailureDomain = domain
			return true
		})
	}
	s.nodes[i] = limits.NewAccounts(limits.AccountsConfig{
		Board:         board,
		Node:          fmt.Sprint(i),
		FailureDomain: s.domains[i],
		Gossip:        s.bus.ports[i],
		IsNeeded:      func() bool { return s.isNeeded },
		Now:           func() time.Time { return s.now },
	})
}

// run lets the first node give one second of work to an organisation each second.
func (s *accountsSite) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		s.tick()
		s.nodes[0].Add("svc", "acme", 0.1)
		s.bus.deliver()
	}
}

// tick lets nodes publish before they would do so in goroutines of their own.
func (s *accountsSite) tick() {
	for _, node := range s.nodes {
		node.Tick()
	}
}

// Guards against organisations that are ordered by what they used at one node, and against usage that is not told to other failure domains.
func TestUsageOfAllNodesCounts(t *testing.T) {
	check := is.New(t)
	s := newAccountsSite("x", "x", "y", "y")
	s.run(30 * time.Second)
	for i, node := range s.nodes {
		t.Logf("node %d: %.2f", i, node.Used("svc", "acme"))
		check.True(math.Abs(node.Used("svc", "acme")-s.nodes[0].Used("svc", "acme")) < 1)
		check.Equal(node.Used("svc", "other"), 0.0)
		check.Equal(node.Used("other", "acme"), 0.0)
	}
}

// Guards against a restarted node whose organisations begin anew at all nodes, or count twice.
func TestRestartedNodeKeepsUsage(t *testing.T) {
	check := is.New(t)
	s := newAccountsSite("x", "x")
	s.run(30 * time.Second)
	before := s.nodes[1].Used("svc", "acme")
	s.start(0)
	for range 10 {
		s.run(2 * time.Second)
		after := s.nodes[1].Used("svc", "acme")
		t.Logf("%.2f after %.2f", after, before)
		check.True(after >= 0.7*before && after <= 1.3*before)
	}
}

// Guards against shares that a node cut off from the others holds on to for ever.
func TestUsageOfSilentNodeIsForgotten(t *testing.T) {
	check := is.New(t)
	s := newAccountsSite("x", "x")
	s.run(30 * time.Second)
	check.True(s.nodes[1].Used("svc", "acme") > 5)
	s.now = s.now.Add(15 * time.Second)
	check.True(s.nodes[1].Used("svc", "acme") < 4)
	s.now = s.now.Add(10 * time.Second)
	check.Equal(s.nodes[1].Used("svc", "acme"), 0.0)
}

// Guards against gossip while capacity suffices, and against more than 1,500 B/s received in a large failure domain.
func TestUsageGossipIsBounded(t *testing.T) {
	check := is.New(t)
	var domains []string
	for i := range 60 {
		domains = append(domains, fmt.Sprint("domain-", i/20))
	}
	s := newAccountsSite(domains...)
	s.isNeeded = false
	s.run(3 * time.Second)
	check.Equal(s.bus.bytes, 0)
	s.isNeeded = true
	for range 300 {
		s.tick()
		for i, node := range s.nodes {
			for o := range 100 {
				node.Add("svc", fmt.Sprint("organisation-", o), 0.01*float64(1+i%3))
			}
		}
		s.now = s.now.Add(100 * time.Millisecond)
		s.bus.deliver()
	}
	perSecond := float64(s.bus.bytes) / 30 / float64(len(s.nodes))
	t.Logf("%.0f bytes a second received by each node", perSecond)
	check.True(perSecond > 0 && perSecond <= 1500)
}

// Guards against a faulty node whose reports hold back an organisation: work that is no number, negative or more than any node can do is not counted.
func TestMalformedUsageIsNotCounted(t *testing.T) {
	check := is.New(t)
	s := newAccountsSite("x", "x")
	s.tick()
	hash := uint64(uint32(xxh3.HashString("svc")))<<32 | uint64(uint32(xxh3.HashString("acme")))
	send := func(work float64, cut int) {
		value := binary.BigEndian.AppendUint64([]byte{1, 'x'}, hash)
		for range 2 {
			value = binary.BigEndian.AppendUint32(value, math.Float32bits(float32(work)))
		}
		s.bus.ports[0].receive(zinniamast.GossipItem{
			Key:     "node/1",
			Value:   value[:len(value)-cut],
			Origin:  "1",
			Expires: s.now.Add(time.Hour),
		})
	}
	for _, work := range []float64{math.NaN(), math.Inf(1), -1, 1e30} {
		send(work, 0)
	}
	send(10, 3)
	check.Equal(s.nodes[0].Used("svc", "acme"), 0.0)
	send(10, 0)
	check.Equal(s.nodes[0].Used("svc", "acme"), 10.0)
	s.now = s.now.Add(21 * time.Second) // the report claims an hour
	check.Equal(s.nodes[0].Used("svc", "acme"), 0.0)
}

// BenchmarkAccounts measures what a request adds and the look-up of an organisation's usage, with 50 organisations.
func BenchmarkAccounts(b *testing.B) {
	a := limits.NewAccounts(limits.AccountsConfig{})
	for o := range 50 {
		a.Add("svc", fmt.Sprint("organisation-", o), 1)
	}
	b.Run("add", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a.Add("svc", "organisation-7", 0.01)
		}
	})
	b.Run("used", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a.Used("svc", "organisation-7")
		}
	})
}
