package limits_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/config"
	"zinniamast/limits"
)

// queue simulates a service of fixed capacity that serves requests by priority. It
// implements limits.Predictor.
type queue struct {
	now time.Time
	// capacity is in seconds of compute time per second; backlog and served are the
	// waiting and the completed compute time, by priority.
	capacity float64
	backlog  [3]float64
	served   [3]float64
	work     time.Duration
}

func (q *queue) Now() time.Time { return q.now }

func (q *queue) Forecast(request *zinniamast.RouteRequest) limits.Forecast {
	ahead := 0.0
	for priority := 0; priority <= request.Priority; priority++ {
		ahead += q.backlog[priority]
	}
	wait := time.Duration(ahead / q.capacity * float64(time.Second))
	return limits.Forecast{
		Replicas:   1,
		Wait:       wait,
		Completion: wait + q.work,
		Work:       q.work,
	}
}

// advance moves time forward and serves the backlog in order of priority.
func (q *queue) advance(d time.Duration) {
	q.now = q.now.Add(d)
	remaining := q.capacity * d.Seconds()
	for priority := range q.backlog {
		done := min(remaining, q.backlog[priority])
		q.backlog[priority] -= done
		q.served[priority] += done
		remaining -= done
	}
}

// bus simulates gossip: it delivers items after a delay to the other nodes of the
// failure domain, and wide items to all other nodes.
type bus struct {
	ports   []*port
	pending []func() bool
	bytes   int
}

type port struct {
	bus     *bus
	node    string
	domain  string
	receive func(zinniamast.GossipItem)
	clock   func() time.Time
}

func (p *port) Publish(item zinniamast.GossipItem) {
	item.Origin = p.node
	due := p.clock().Add(300 * time.Millisecond)
	for _, other := range p.bus.ports {
		if other == p || other.domain != p.domain && !item.AllDomains {
			continue
		}
		p.bus.bytes += len(item.Value)
		p.bus.pending = append(p.bus.pending, func() bool {
			if p.clock().Before(due) {
				return false
			}
			other.receive(item)
			return true
		})
	}
}

func (p *port) Subscribe(_ zinniamast.Topic, receive func(zinniamast.GossipItem)) {
	p.receive = receive
}

func (b *bus) deliver() {
	var pending []func() bool
	for _, deliver := range b.pending {
		if !deliver() {
			pending = append(pending, deliver)
		}
	}
	b.pending = pending
}

// sender generates one organisation's requests at a service.
type sender struct {
	organisation string
	// rate is the demand in seconds of compute time per second, over all nodes.
	rate     float64
	nodes    []int
	priority int
	admitted float64
}

// site simulates nodes in front of one service.
type site struct {
	queue  *queue
	bus    *bus
	nodes  []*limits.Limiter
	random *rand.Rand
}

const work = 100 * time.Millisecond

func newSite(domains []string, shares map[string]float64) *site {
	s := &site{
		queue: &queue{
			now:      time.Unix(1_800_000_000, 0),
			capacity: 10,
			work:     work,
		},
		bus:    &bus{},
		random: rand.New(rand.NewPCG(11, 12)),
	}
	parsed := &config.Config{}
	for organisation, share := range shares {
		parsed.Organisations = append(parsed.Organisations, config.Organisation{Name: organisation})
		parsed.Exceptions = append(parsed.Exceptions, config.Exception{
			Match:  config.Match{Organisation: organisation},
			Set:    config.Policy{Share: &share},
			Reason: "test",
		})
	}
	for i, domain := range domains {
		board := blackboard.New()
		board.Configuration.Apply(&blackboard.Version{
			Number: 1,
			Config: parsed,
		})
		for j, other := range domains {
			board.Members.Update(fmt.Sprint(j), func(m *blackboard.Member) bool {
				m.FailureDomain = other
				return true
			})
		}
		p := &port{
			bus:    s.bus,
			node:   fmt.Sprint(i),
			domain: domain,
			clock:  s.queue.Now,
		}
		s.bus.ports = append(s.bus.ports, p)
		s.nodes = append(s.nodes, limits.New(limits.Config{
			Board:         board,
			Node:          p.node,
			FailureDomain: domain,
			Gossip:        p,
			Predictor:     s.queue,
			Now:           s.queue.Now,
		}))
	}
	return s
}

// run sends requests for a time and counts the work admitted after the warm-up.
func (s *site) run(senders []*sender, warmup, length time.Duration) {
	const step = 10 * time.Millisecond
	begin := s.queue.now
	for tick := 0; s.queue.now.Sub(begin) < length; tick++ {
		for _, from := range senders {
			if s.random.Float64() < from.rate*step.Seconds()/work.Seconds() {
				s.send(from, s.queue.now.Sub(begin) >= warmup)
			}
		}
		s.queue.advance(step)
		s.bus.deliver()
		if tick%25 == 0 {
			for _, node := range s.nodes {
				node.Tick()
			}
		}
	}
}

func (s *site) send(from *sender, counts bool) {
	node := s.nodes[from.nodes[s.random.IntN(len(from.nodes))]]
	_, err := node.Admit(zinniamast.Admission{
		Organisation: from.organisation,
		Service:      "assistant",
		Priority:     from.priority,
		Deadline:     s.queue.now.Add(time.Minute),
	})
	if err != nil {
		return
	}
	s.queue.backlog[from.priority] += work.Seconds()
	if counts {
		from.admitted += work.Seconds()
	}
}

// Guards against one organisation taking the shares of others: it sends five times
// the capacity through other nodes and failure domains than they use, so no node
// observes the whole load. Each organisation must get its share within a tenth, unused
// shares must go to the others, and the capacity must be used.
func TestSharesHoldAcrossNodesAndDomains(t *testing.T) {
	for _, c := range []struct {
		name    string
		shares  map[string]float64
		rates   map[string]float64
		expects map[string]float64
	}{
		{
			name:    "equal",
			shares:  map[string]float64{"a": 1, "b": 1, "c": 1},
			rates:   map[string]float64{"a": 50, "b": 8, "c": 8},
			expects: map[string]float64{"a": 10.0 / 3, "b": 10.0 / 3, "c": 10.0 / 3},
		},
		{
			name:    "weighted",
			shares:  map[string]float64{"a": 1, "b": 3, "c": 1},
			rates:   map[string]float64{"a": 30, "b": 12, "c": 6},
			expects: map[string]float64{"a": 2, "b": 6, "c": 2},
		},
		{
			name:    "one asks for little",
			shares:  map[string]float64{"a": 1, "b": 1, "c": 1},
			rates:   map[string]float64{"a": 30, "b": 12, "c": 1},
			expects: map[string]float64{"a": 4.5, "b": 4.5, "c": 1},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite([]string{"x", "x", "y", "y", "z", "z"}, c.shares)
			places := map[string][]int{"a": {0}, "b": {1, 2, 3}, "c": {3, 4, 5}}
			var senders []*sender
			for _, organisation := range []string{"a", "b", "c"} {
				senders = append(senders, &sender{
					organisation: organisation,
					rate:         c.rates[organisation],
					nodes:        places[organisation],
					priority:     1,
				})
			}
			const warmup, length = 30 * time.Second, 150 * time.Second
			s.run(senders, warmup, length)
			total := 0.0
			for _, from := range senders {
				got := from.admitted / (length - warmup).Seconds()
				total += got
				t.Logf("%s: %.2f of %.2f", from.organisation, got, c.expects[from.organisation])
				is.True(got >= 0.9*c.expects[from.organisation])
				is.True(got <= 1.1*c.expects[from.organisation])
			}
			is.True(total >= 9.5)
			perNode := float64(s.bus.bytes) / length.Seconds() / float64(len(s.nodes))
			t.Logf("%.0f bytes a second received by each node", perNode)
			is.True(perNode < 1000)
		})
	}
}

// Guards against bulk requests starving while urgent requests, which are first in
// every queue, arrive at twice the capacity: bulk requests must get their floor of a
// tenth.
func TestUrgentFloodDoesNotStarveBulk(t *testing.T) {
	is := is.New(t)
	s := newSite([]string{"x"}, map[string]float64{"a": 1})
	flood := &sender{organisation: "a", rate: 20, nodes: []int{0}, priority: 0}
	bulk := &sender{organisation: "a", rate: 5, nodes: []int{0}, priority: 2}
	s.run([]*sender{flood, bulk}, 30*time.Second, 150*time.Second)
	t.Logf("served urgent %.0f, bulk %.0f", s.queue.served[0], s.queue.served[2])
	is.True(s.queue.served[2] >= 0.08*(s.queue.served[0]+s.queue.served[2]))
}

// Guards against admitting requests that miss their deadline: with thirty seconds of
// queued work, a request with a deadline in twenty must be refused with
// deadline_unmet, "not run" and the time until the queue is short enough. A deadline
// that even an idle service would miss gets no retry time.
func TestUnmetDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSite([]string{"x"}, map[string]float64{"a": 1})
	s.queue.backlog[1] = 300
	ask := zinniamast.Admission{
		Organisation: "a",
		Service:      "assistant",
		Priority:     1,
		Deadline:     s.queue.now.Add(20 * time.Second),
	}
	_, err := s.nodes[0].Admit(ask)
	refusal := zinniamast.AsRefusal(err)
	is.Equal(refusal.Reason, zinniamast.ReasonDeadlineUnmet)
	is.Equal(refusal.Ran, zinniamast.NotRun)
	is.Equal(refusal.RetryAfter, 11*time.Second)
	s.queue.backlog[1] = 0
	ask.Deadline = s.queue.now.Add(50 * time.Millisecond)
	_, err = s.nodes[0].Admit(ask)
	refusal = zinniamast.AsRefusal(err)
	is.Equal(refusal.Reason, zinniamast.ReasonDeadlineUnmet)
	is.Equal(refusal.RetryAfter, time.Duration(0))
	ask.Deadline = s.queue.now
	_, err = s.nodes[0].Admit(ask)
	is.Equal(zinniamast.AsRefusal(err).Reason, zinniamast.ReasonPastDeadline)
}

func BenchmarkAdmitInOverload(b *testing.B) {
	for _, organisations := range []int{5, 50} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s := newSite([]string{"x"}, map[string]float64{"0": 1})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.queue.backlog[1] = 4
				_, _ = s.nodes[0].Admit(zinniamast.Admission{
					Organisation: fmt.Sprint(i % organisations),
					Service:      "assistant",
					Priority:     1,
				})
			}
		})
	}
}
