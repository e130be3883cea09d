package reports_test

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
	"zinniamast/demand"
	"zinniamast/reports"
)

// largeFleet is a deployment in which each failure domain's nodes start at another time, so
// that the readers' rounds do not coincide.
type largeFleet struct {
	deployment
	// indirect means that readers do not answer other failure domains, so that these ask
	// nodes that have the reports from the reader.
	indirect bool
	// earlierVersion means that answers are without the fields that this version added.
	earlierVersion bool
	// rollouts is the same at each node; nil means that there are none.
	rollouts reports.Rollouts
	// answers counts those to nodes of the reader's own failure domain, and oldest is the
	// greatest time from the reading of a report to its receipt by a node.
	answers atomic.Int64
	oldest  atomic.Int64
}

// activeRollout is a rollout in progress, of which each node knows a report.
type activeRollout struct {
	reports.Rollouts
}

func (activeRollout) IsActive() bool                          { return true }
func (activeRollout) Domains(string) []canary.DomainReport    { return make([]canary.DomainReport, 1) }
func (activeRollout) ReceiveDomains([]canary.DomainReport)    {}
func (activeRollout) ReceiveNode(string, []canary.NodeReport) {}

// fleetPeer passes the queries of a large fleet's nodes to another node.
type fleetPeer struct {
	fleet *largeFleet
	node  *node
}

// FetchReports implements reports.Peer.
func (p fleetPeer) FetchReports(ctx context.Context, query reports.Query) (reports.Answer, error) {
	if query.FailureDomain != "" && p.fleet.indirect && p.node == p.fleet.firstAlive(p.node.domain) {
		return reports.Answer{}, nil
	}
	answer, err := p.node.FetchReports(ctx, query)
	if query.Node != "" {
		p.fleet.answers.Add(1)
	}
	if p.fleet.earlierVersion {
		answer.IsReader = false
	}
	return answer, err
}

func (f *largeFleet) receive(_ string, report zinniamast.LoadReport) {
	const lag = 100 * time.Millisecond // age of a report when it is read
	age := int64(time.Since(report.At) - lag)
	for known := f.oldest.Load(); age > known && !f.oldest.CompareAndSwap(known, age); {
		known = f.oldest.Load()
	}
}

// run runs the fleet for a number of seconds after a first one, and returns how many answers
// a second each node received, readers excepted.
func (f *largeFleet) run(ctx context.Context, nodes, domains, seconds int) float64 {
	f.board = blackboard.New()
	f.replicas = &replicas{
		readings: map[string]int{},
	}
	var names []string
	for i := range domains {
		names = append(names, fmt.Sprint("domain-", i))
	}
	for i := range 2 * domains {
		f.board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            fmt.Sprint("replica-", i),
				FailureDomain: names[i%domains],
				Service:       "models",
			},
		})
	}
	for i := range nodes {
		n := &node{
			domain: names[i%domains],
			demand: demand.New(names[i%domains]),
		}
		n.sharer = reports.New(reports.Config{
			Node:           strconv.Itoa(i),
			FailureDomain:  n.domain,
			FailureDomains: names,
			Upstreams:      f.board.Upstreams,
			Source:         f.replicas,
			Reader: func() reports.Peer {
				if reader := f.firstAlive(n.domain); reader != nil && reader != n {
					return fleetPeer{
						fleet: f,
						node:  reader,
					}
				}
				return nil
			},
			Contacts: func(domain string) []reports.Peer {
				var contacts []reports.Peer
				for _, other := range f.nodes[:min(len(f.nodes), 2*domains)] {
					if other.domain == domain {
						contacts = append(contacts, fleetPeer{
							fleet: f,
							node:  other,
						})
					}
				}
				return contacts
			},
			IsPlain:  func(string) bool { return false },
			Demand:   n.demand,
			Rollouts: f.rollouts,
			OnReport: f.receive,
		})
		f.nodes = append(f.nodes, n)
	}
	for i, n := range f.nodes {
		time.AfterFunc(time.Duration(i%domains*37%300)*time.Millisecond, func() { n.sharer.Run(ctx) })
	}
	time.Sleep(3 * time.Second)
	f.answers.Store(0)
	f.oldest.Store(0)
	time.Sleep(time.Duration(seconds) * time.Second)
	return float64(f.answers.Load()) / float64(seconds) / float64(nodes-domains)
}

func runLargeFleet(t *testing.T, f *largeFleet, nodes, domains int, test func(check *is.I, perSecond float64, oldest time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		perSecond := f.run(ctx, nodes, domains, 3)
		oldest := time.Duration(f.oldest.Load())
		t.Logf("%.1f answers a second and node, reports at most %v after their reading", perSecond, oldest)
		test(is.New(t), perSecond, oldest)
		cancel()
		synctest.Wait()
	})
}

// TestNodesGetFewAnswers guards against answers whose number grows with the failure domains, which each node has to
// decode and each reader has to send to all nodes of its failure domain; before they shared answers it was 3.3 a second
// of each failure domain.
func TestNodesGetFewAnswers(t *testing.T) {
	for _, nodes := range []int{30, 100, 300} {
		for _, domains := range []int{4, 14} {
			t.Run(fmt.Sprintf("%d_nodes_in_%d_domains", nodes, domains), func(t *testing.T) {
				runLargeFleet(t, &largeFleet{}, nodes, domains, func(check *is.I, perSecond float64, oldest time.Duration) {
					check.True(perSecond >= 3)
					check.True(perSecond <= 20)
					check.True(oldest <= 50*time.Millisecond)
				})
			})
		}
	}
}

// TestReportsAreDelayedOnce guards against reports that each node on their way delays, and against nodes of an earlier
// version, which do not say whether they have delayed them.
func TestReportsAreDelayedOnce(t *testing.T) {
	for name, f := range map[string]*largeFleet{
		"contacts_that_are_not_readers": {
			indirect: true,
		},
		"contacts_of_an_earlier_version": {
			earlierVersion: true,
		},
		"both": {
			indirect:       true,
			earlierVersion: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runLargeFleet(t, f, 30, 4, func(check *is.I, _ float64, oldest time.Duration) {
				check.True(oldest <= 50*time.Millisecond)
			})
		})
	}
}

// TestNothingIsDelayedDuringRollout guards against counts of a rollout, sent with the queries for reports, that a judge
// knows later.
func TestNothingIsDelayedDuringRollout(t *testing.T) {
	f := &largeFleet{
		rollouts: activeRollout{
			Rollouts: canary.New(canary.Config{
				Upstreams: blackboard.New().Upstreams,
			}),
		},
	}
	runLargeFleet(t, f, 30, 4, func(check *is.I, perSecond float64, oldest time.Duration) {
		check.True(perSecond > 13)
		check.Equal(oldest, time.Duration(0))
	})
}

// TestDelayedReportsShareAnswer guards against waiting queries that each of several batches answers, and against
// delays of queries for one failure domain and of nodes that ask late.
func TestDelayedReportsShareAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := fillBoard(1)
		position := b.Since(t.Context(), "", 0, 0).Position
		start := time.Now()
		for i := range 4 {
			time.AfterFunc(time.Duration(100+20*i)*time.Millisecond, func() { b.Put(boardReports(20+4*i, 4), 50*time.Millisecond) })
		}
		own := make(chan reports.Answer, 1)
		go func() { own <- b.Since(t.Context(), "domain-1", position, time.Second) }()
		check.Equal(len((<-own).Reports), 1)
		check.Equal(time.Since(start), 100*time.Millisecond)

		answer := b.Since(t.Context(), "", position, time.Second)
		check.Equal(time.Since(start), 150*time.Millisecond)
		check.Equal(len(answer.Reports), 12) // of the first three batches

		time.Sleep(5 * time.Millisecond)
		check.Equal(len(b.Since(t.Context(), "", position, time.Second).Reports), 12) // a slow node's query
		check.Equal(time.Since(start), 155*time.Millisecond)

		answer = b.Since(t.Context(), "", answer.Position, time.Second)
		check.Equal(len(answer.Reports), 4)
		check.Equal(time.Since(start), 210*time.Millisecond)

		b.Put(boardReports(40, 1), 50*time.Millisecond)
		b.Put(boardReports(41, 1), 0) // one that is not to be delayed
		check.Equal(len(b.Since(t.Context(), "", answer.Position, time.Second).Reports), 2)
		check.Equal(time.Since(start), 210*time.Millisecond)
	})
}

// TestDelayDoesNotHoldQueryBeyondItsWait guards against answers that come after the querying node has given up.
func TestDelayDoesNotHoldQueryBeyondItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		b := fillBoard(1)
		position := b.Since(t.Context(), "", 0, 0).Position
		b.Put(boardReports(20, 4), 50*time.Millisecond)
		start := time.Now()
		answer := b.Since(t.Context(), "", position, 30*time.Millisecond)
		check.Equal(time.Since(start), 30*time.Millisecond)
		check.Equal(len(b.Since(t.Context(), "", answer.Position, time.Second).Reports), 4) // none is lost
		check.Equal(time.Since(start), 50*time.Millisecond)
	})
}
