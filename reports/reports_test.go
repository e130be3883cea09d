package reports_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/demand"
	"zinniamast/reports"
)

// replicas is a Source for all replicas that counts the readings of each.
type replicas struct {
	mu           sync.Mutex
	running      int
	readings     map[string]int
	unresponsive bool
}

func (r *replicas) Load(ctx context.Context, u *blackboard.Upstream) (zinniamast.LoadReport, error) {
	r.mu.Lock()
	unresponsive := r.unresponsive
	r.readings[u.Instance.ID]++
	running := r.running
	r.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return zinniamast.LoadReport{}, ctx.Err()
	}
	return zinniamast.LoadReport{
		Running:    running,
		Waiting:    2,
		Prefilling: 1,
	}, nil
}

func (r *replicas) setRunning(running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = running
}

// node is a node of a small deployment.
type node struct {
	domain string
	demand *demand.Demand
	sharer *reports.Sharer
	dead   atomic.Bool
	// blind means that the node answers others without knowing anything.
	blind atomic.Bool

	mu       sync.Mutex
	received map[string]zinniamast.LoadReport
}

func (n *node) receive(replica string, report zinniamast.LoadReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received[replica] = report
}

func (n *node) latest(replica string) zinniamast.LoadReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received[replica]
}

// deployment is a number of nodes in two failure domains, with a replica in each.
type deployment struct {
	board    *blackboard.Board
	nodes    []*node
	replicas *replicas
}

var errDead = errors.New("no answer")

// FetchReports implements reports.Peer.
func (n *node) FetchReports(ctx context.Context, query reports.Query) (reports.Answer, error) {
	if n.dead.Load() {
		<-ctx.Done()
		return reports.Answer{}, errDead
	}
	if n.blind.Load() && query.FailureDomain != "" {
		return reports.Answer{}, nil
	}
	return n.sharer.Answer(ctx, query), nil
}

// firstAlive returns the first living node of a failure domain.
func (d *deployment) firstAlive(domain string) *node {
	for _, n := range d.nodes {
		if n.domain == domain && !n.dead.Load() {
			return n
		}
	}
	return nil
}

// contacts returns all nodes of a failure domain, dead ones included.
func (d *deployment) contacts(domain string) []reports.Peer {
	var contacts []reports.Peer
	for _, n := range d.nodes {
		if n.domain == domain {
			contacts = append(contacts, n)
		}
	}
	return contacts
}

// runDeployment runs a test on a deployment in virtual time.
func runDeployment(t *testing.T, perDomain int, test func(check *is.I, d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(is.New(t), newDeployment(ctx, perDomain))
		cancel()
		synctest.Wait()
	})
}

func newDeployment(ctx context.Context, perDomain int) *deployment {
	d := &deployment{
		replicas: &replicas{
			readings: map[string]int{},
		},
	}
	board := blackboard.New()
	d.board = board
	domains := []string{"burnaby-a", "surrey-b"}
	for _, domain := range domains {
		board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            "replica-" + domain,
				FailureDomain: domain,
				Service:       "models",
			},
		})
	}
	for i := range 2 * perDomain {
		n := &node{
			domain:   domains[i%2],
			demand:   demand.New(domains[i%2]),
			received: map[string]zinniamast.LoadReport{},
		}
		n.sharer = reports.New(reports.Config{
			Node:           strconv.Itoa(i),
			FailureDomain:  n.domain,
			FailureDomains: domains,
			Upstreams:      board.Upstreams,
			Source:         d.replicas,
			Reader: func() reports.Peer {
				if reader := d.firstAlive(n.domain); reader != nil && reader != n {
					return reader
				}
				return nil
			},
			Contacts: d.contacts,
			IsPlain:  func(string) bool { return false },
			Demand:   n.demand,
			OnReport: n.receive,
		})
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		go n.sharer.Run(ctx)
	}
	return d
}

// Requests wait at full replicas while others are idle if no node knows what the
// others have sent there. Each replica is read by one node only, and every node
// of both failure domains has the report within half a second.
func TestEveryNodeReceivesReportsReadByOne(t *testing.T) {
	runDeployment(t, 4, func(check *is.I, d *deployment) {
		d.nodes[2].demand.RequestStarted("models", 1000)
		time.Sleep(3 * time.Second)
		d.replicas.setRunning(7)
		time.Sleep(500 * time.Millisecond)
		for _, n := range d.nodes {
			for _, replica := range []string{"replica-burnaby-a", "replica-surrey-b"} {
				report := n.latest(replica)
				check.Equal(report.Running, 7)
				check.True(report.QueuedTokens > 2400 && report.QueuedTokens < 2600) // two and a half prompts
				check.True(time.Since(report.At) < 600*time.Millisecond)
			}
		}
		d.replicas.mu.Lock()
		defer d.replicas.mu.Unlock()
		check.True(d.replicas.readings["replica-burnaby-a"] <= 13) // one reading every 0.3 s in 3.5 s
	})
}

// Any node may be the one that orders replicas, so each must know the load of all
// nodes within a second of a burst. With the load of its own failure domain
// alone, it orders a quarter of the replicas needed.
func TestEveryNodeReceivesTheTotalDemand(t *testing.T) {
	runDeployment(t, 3, func(check *is.I, d *deployment) {
		for second := range 10 {
			for _, n := range d.nodes {
				for range 20 {
					n.demand.RequestStarted("models", 1000)
				}
				if second > 0 {
					for range 20 {
						n.demand.RequestEnded("models")
					}
				}
			}
			time.Sleep(time.Second)
		}
		for _, n := range d.nodes {
			load := n.demand.Total("models")
			check.True(load.Running > 110 && load.Running < 125) // six nodes with 20 each
			check.True(load.Arrivals > 90 && load.Arrivals < 150)
		}
		// All nodes of one failure domain, its reader included, stop answering.
		for _, n := range d.nodes {
			n.dead.Store(n.domain == "surrey-b")
		}
		time.Sleep(4 * time.Second)
		check.True(d.nodes[0].demand.Total("models").Running < 65)
	})
}

// TestContactThatFailsIsReplaced guards against one dead contact that hides its whole domain.
func TestContactThatFailsIsReplaced(t *testing.T) {
	runDeployment(t, 4, func(check *is.I, d *deployment) {
		d.nodes[1].dead.Store(true)
		d.nodes[3].dead.Store(true)
		for range 10 {
			d.nodes[5].demand.RequestStarted("models", 1000)
		}
		time.Sleep(6 * time.Second)
		d.replicas.setRunning(7)
		time.Sleep(time.Second)
		for _, n := range d.nodes {
			if n.domain == "burnaby-a" {
				check.Equal(n.latest("replica-surrey-b").Running, 7)
				check.True(n.demand.Total("models").Running > 9)
				check.True(n.demand.IsComplete())
			}
		}
	})
}

// TestContactWithoutNewsIsReplaced guards against one ignorant contact that hides its whole domain.
func TestContactWithoutNewsIsReplaced(t *testing.T) {
	runDeployment(t, 4, func(check *is.I, d *deployment) {
		d.nodes[1].blind.Store(true)
		for range 10 {
			d.nodes[5].demand.RequestStarted("models", 1000)
		}
		time.Sleep(4 * time.Second)
		check.True(d.nodes[0].demand.Total("models").Running > 9)
	})
}

// When the reader of a failure domain dies, the other nodes go on choosing
// replicas by its last reports. The next node must read within two seconds, and
// no older report may replace a newer one.
func TestDeadReaderIsReplaced(t *testing.T) {
	runDeployment(t, 3, func(check *is.I, d *deployment) {
		time.Sleep(2 * time.Second)
		d.nodes[0].dead.Store(true)
		d.replicas.setRunning(9)
		time.Sleep(2 * time.Second)
		for _, n := range d.nodes[1:] {
			check.Equal(n.latest("replica-burnaby-a").Running, 9)
		}
	})
}

// When replicas stop answering, readings end by their timeout, and known reports
// must not be sent on as if they were new.
func TestUnresponsiveReplicasYieldNoNewReport(t *testing.T) {
	runDeployment(t, 2, func(check *is.I, d *deployment) {
		time.Sleep(2 * time.Second)
		d.replicas.mu.Lock()
		d.replicas.unresponsive = true
		d.replicas.mu.Unlock()
		time.Sleep(4 * time.Second)
		for _, n := range d.nodes {
			check.True(time.Since(n.latest("replica-surrey-b").At) > 3*time.Second)
		}
	})
}

// A report that arrives late through another node must not replace a newer one.
func TestOlderReportIsDropped(t *testing.T) {
	check := is.New(t)
	board := reports.NewBoard()
	check.Equal(len(board.Put([]reports.Report{{
		Replica: "a",
		Running: 5,
	}})), 1)
	check.Equal(len(board.Put([]reports.Report{{
		Replica: "a",
		Running: 1,
		Age:     time.Second,
	}})), 0)
	answer := board.Since(t.Context(), "", 0, 0)
	check.Equal(answer.Reports[0].Running, 5)
	check.Equal(len(board.Since(t.Context(), "", answer.Position, 0).Reports), 0)
}

// Guards against a reader whose work grows with the replicas of its failure domain, and replicas that are never read.
func TestManyReplicasAreReadInTurns(t *testing.T) {
	runDeployment(t, 1, func(check *is.I, d *deployment) {
		const count = 300
		for i := range count {
			d.board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:            fmt.Sprint("many-", i),
					FailureDomain: "burnaby-a",
					Service:       "models",
				},
			})
		}
		time.Sleep(6 * time.Second)
		d.replicas.mu.Lock()
		defer d.replicas.mu.Unlock()
		sum := 0
		for i := range count {
			readings := d.replicas.readings[fmt.Sprint("many-", i)]
			sum += readings
			check.True(readings >= 3 && readings <= 5)
		}
		check.True(sum <= 6*250) // readings in six seconds
	})
}
