package processtest_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/config"
	"zinniamast/processtest"
	"zinniamast/rollout"
	"zinniamast/standin/platform"
)

// The exit codes of config put, as in docs/operators/configuration.md.
const (
	exitInForce  = 0
	exitFailed   = 1
	exitPending  = 3
	exitConflict = 4
)

// startNineNodes starts a fleet of nine nodes in three failure domains.
func startNineNodes(tb testing.TB) *processtest.Fleet {
	tb.Helper()
	if testing.Short() {
		tb.Skip("real processes")
	}
	return processtest.NewFleet(tb, processtest.FleetConfig{
		FailureDomains:   processtest.ThreeDomains,
		NodesPerDomain:   3,
		EnginesPerDomain: 1,
	})
}

// withMaxTokens returns a configuration change that sets the default MaxTokens.
func withMaxTokens(count int) func(*config.Config) {
	return func(c *config.Config) { c.Defaults.MaxTokens = &count }
}

// TestConfigRace puts different changes with the same base at six of nine nodes
// concurrently. It guards against lost and partly applied changes. One put must win;
// the others must report a conflict with the winner and the differences. Each is put
// again on the newest version, and the history must contain every change once.
func TestConfigRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startNineNodes(t)
	const operators = 6
	replies := make([]rollout.PutReply, operators)
	codes := make([]int, operators)
	var puts sync.WaitGroup
	for i := range operators {
		puts.Go(func() {
			replies[i], codes[i] = fleet.Put(fleet.Nodes[i], 1, fmt.Sprintf("change-%d", i), withMaxTokens(100+i))
		})
	}
	puts.Wait()
	winner := slices.Index(codes, exitInForce)
	is.True(winner >= 0)
	base := uint64(2)
	for i := range operators {
		if i == winner {
			continue
		}
		is.Equal(codes[i], exitConflict)
		is.Equal(replies[i].Newest.Who, fleet.Nodes[winner].Name)
		is.Equal(len(replies[i].Changes), 1)
		is.Equal(replies[i].Changes[0].After, fmt.Sprint(100+winner))
		again, code := fleet.Put(fleet.Nodes[i], base, fmt.Sprintf("change-%d", i), withMaxTokens(100+i))
		is.Equal(code, exitInForce)
		base = again.Number
	}
	is.Equal(base, uint64(1+operators))
	fleet.WaitVersion(base)
	for _, n := range fleet.Nodes {
		is.True(slices.IsSorted(n.Versions()))
	}
	history, _ := fleet.RunCommand(fleet.Nodes[8], []string{"config", "history"}, "-limit", "20")
	for i := range operators {
		is.Equal(strings.Count(history, fmt.Sprintf("why: change-%d\n", i)), 1)
	}
}

// TestConfigNeverReverts changes the configuration while one node is cut off from
// peers and platform, one is dead, and the table returns stale reads from before the
// change. The put must report both nodes as pending. Then the dead node restarts and
// the other is reconnected while reads are still stale. It guards against a process
// that puts an older version in force: both nodes must reach the newest version, and
// the restarted node must start with it.
func TestConfigNeverReverts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startNineNodes(t)
	fleet.WaitJoined()
	first, code := fleet.Put(fleet.Nodes[0], 1, "before", withMaxTokens(200))
	is.Equal(code, exitInForce)
	is.NoErr(fleet.Platform.SetFault(platform.ServiceTable, platform.Fault{
		Stale: true,
	}))
	dead, cut := fleet.Nodes[4], firstMemberIn(fleet, fleet.Nodes[0], processtest.ThreeDomains[2])
	before := dead.Process
	dead.Kill()
	cut.Peers.DropResponses()
	cut.Platform.Cut()

	second, code := fleet.Put(fleet.Nodes[0], first.Number, "during", withMaxTokens(201))
	is.Equal(code, exitPending)
	is.Equal(second.Number, first.Number+1)
	is.Equal(pendingNodes(second), []string{cut.Name, dead.Name})

	fleet.StartNode(dead)
	cut.Peers.Clear()
	cut.Platform.Heal()
	fleet.WaitVersion(second.Number)
	is.Equal(dead.Versions()[0], second.Number) // the stale version was never in force
	is.True(before.Version() <= dead.Versions()[0])

	is.NoErr(fleet.Platform.SetFault(platform.ServiceTable, platform.Fault{}))
	third, code := fleet.Put(dead, second.Number, "after", withMaxTokens(202))
	is.Equal(code, exitInForce)
	fleet.WaitVersion(third.Number)
	for _, n := range fleet.Nodes {
		is.True(slices.IsSorted(n.Versions()))
		is.Equal(n.Version(), third.Number)
	}
}

// firstMemberIn returns the first member in a failure domain that a node knows.
func firstMemberIn(fleet *processtest.Fleet, of *processtest.Node, domain string) *processtest.Node {
	for _, member := range fleet.Status(of).Members {
		for _, n := range fleet.Nodes {
			if member.FailureDomain == domain && n.Name == member.ID {
				return n
			}
		}
	}
	return nil
}

// pendingNodes returns the sorted names of the nodes that had not confirmed a change.
func pendingNodes(reply rollout.PutReply) []string {
	var names []string
	for _, node := range reply.Nodes {
		if node.Number < reply.Number {
			names = append(names, node.Node)
		}
	}
	slices.Sort(names)
	return names
}

// BenchmarkConfigInForce measures the time from a change's acceptance until the last
// of nine processes has it in force. It makes each change by config put of the binary.
func BenchmarkConfigInForce(b *testing.B) {
	faults := map[string]platform.Fault{
		"healthy": {},
		"slow": {
			Slow: config.Duration(200 * time.Millisecond),
		},
		"down": {},
	}
	for _, name := range []string{"healthy", "slow", "down"} {
		b.Run(name, func(b *testing.B) {
			fleet := startNineNodes(b)
			fault := faults[name]
			if err := fleet.Platform.SetFault(platform.ServiceTable, fault); err != nil {
				b.Fatal(err)
			}
			base := uint64(1)
			outcomes := map[rollout.Outcome]int{}
			var all []time.Duration
			for b.Loop() {
				stop := func() {}
				if name == "down" {
					stop = takeTableDownOnAcceptance(b, fleet.Platform)
				}
				reply, _ := fleet.Put(fleet.Nodes[len(all)%len(fleet.Nodes)], base, "measure", withMaxTokens(1000+len(all)))
				stop()
				outcomes[reply.Outcome]++
				if reply.Accepted.IsZero() {
					continue
				}
				base = reply.Number
				all = append(all, timeToLastInForce(reply))
			}
			slices.Sort(all)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(all[len(all)/2].Seconds()*1e3, "p50_ms")
			b.ReportMetric(all[len(all)-1].Seconds()*1e3, "max_ms")
			b.Logf("%d changes, outcomes %v", len(all), outcomes)
		})
	}
}

// timeToLastInForce returns the time from a change's acceptance until the last node
// had it in force. All processes share one machine's clock.
func timeToLastInForce(reply rollout.PutReply) time.Duration {
	last := time.Duration(0)
	for _, node := range reply.Nodes {
		last = max(last, node.Since.Sub(reply.Accepted))
	}
	return last
}

// itemsPerAcceptedChange is the number of table items that an accepted change writes
// in one transaction.
const itemsPerAcceptedChange = 4

// takeTableDownOnAcceptance makes the table unavailable as soon as a change has been
// written, and returns the function that ends the outage.
func takeTableDownOnAcceptance(b *testing.B, p *platform.Platform) (stop func()) {
	b.Helper()
	done := make(chan struct{})
	var watcher sync.WaitGroup
	before := p.Counts().TableItems
	watcher.Go(func() {
		for p.Counts().TableItems < before+itemsPerAcceptedChange {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Microsecond):
			}
		}
		if err := p.SetFault(platform.ServiceTable, platform.Fault{Down: true}); err != nil {
			b.Error(err)
		}
	})
	return func() {
		close(done)
		watcher.Wait()
		if err := p.SetFault(platform.ServiceTable, platform.Fault{}); err != nil {
			b.Error(err)
		}
	}
}
