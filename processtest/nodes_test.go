package processtest_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/checker"
	"zinniamast/load"
	"zinniamast/processtest"
	"zinniamast/standin/engine"
)

// TestGracefulStop stops one of three nodes by SIGTERM while streamed and plain
// model requests, lookups and bookings run through all three. It guards against a
// graceful stop that loses an answer or runs a booking twice: the stopped node
// answers its callers, or they continue at another node.
func TestGracefulStop(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{})
	loadRun := fleet.StartLoad(load.Config{
		Rate:     30,
		Duration: 3 * time.Second,
		Seed:     1,
	})
	time.Sleep(time.Second)
	fleet.Nodes[0].Terminate()
	if err := fleet.Nodes[0].Wait(15 * time.Second); err != nil {
		t.Errorf("the stopped node's exit: %v", err)
	}
	checkAllComplete(t, loadRun.Report())
}

// TestBusyPeerPort starts a node whose peer port another process still uses. It
// guards against a panic on the nil listener: the node must exit with code 1 and an
// error message instead.
func TestBusyPeerPort(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{})
	second := fleet.StartOnSamePeerPort(fleet.Nodes[0])
	is := is.New(t)
	is.True(second.Wait(10*time.Second) != nil)
	is.True(strings.Contains(second.Logs(), "peer listener"))
	is.True(!strings.Contains(second.Logs(), "panic"))
}

// TestTermWithStreamsOpen stops a node whose streams last longer than its stop
// timeout. The node hands them off to peers in other failure domains before it
// exits. It guards against lost answers and repeated tokens: callers receive one
// uninterrupted answer or reattach by their key.
func TestTermWithStreamsOpen(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{
		StopTimeout: 2 * time.Second,
		Engine: engine.Config{
			FirstToken:    10 * time.Millisecond,
			BetweenTokens: 25 * time.Millisecond,
		},
	})
	loadRun := fleet.StartLoad(load.Config{
		Rate:     20,
		Duration: 1500 * time.Millisecond,
		Seed:     2,
		Mix:      load.Mix{checker.KindSummary: 1},
	})
	time.Sleep(1500 * time.Millisecond)
	fleet.Nodes[1].Terminate()
	if err := fleet.Nodes[1].Wait(15 * time.Second); err != nil {
		t.Errorf("the stopped node's exit: %v", err)
	}
	checkAllComplete(t, loadRun.Report())
}

// TestEntryInstancesReclaimed announces the reclamation of two of three nodes at once,
// with streams open, and kills both when the notice has expired. They hand off
// their requests to the third node, which acknowledges them, and exit. It guards
// against lost answers: callers reattach by key or last event.
func TestEntryInstancesReclaimed(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{
		Engine: engine.Config{
			FirstToken:    10 * time.Millisecond,
			BetweenTokens: 20 * time.Millisecond,
		},
	})
	loadRun := fleet.StartLoad(load.Config{
		Rate:     20,
		Duration: 4 * time.Second,
		Seed:     11,
		Mix:      modelMix,
	})
	time.Sleep(time.Second)
	fleet.ReclaimNode(fleet.Nodes[0], 3*time.Second)
	fleet.ReclaimNode(fleet.Nodes[1], 3*time.Second)
	checkAllComplete(t, loadRun.Report())
}

// TestKillUnderLoad kills a node without notice (SIGKILL) during model requests and
// bookings, which breaks their connections. Callers of models reattach by key at
// another node and must receive their complete answer. A booking that was in flight
// is reported as "unknown" or answered from its claim, and must not run twice.
func TestKillUnderLoad(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{
		Work: 100 * time.Millisecond,
	})
	modelRun := fleet.StartLoad(load.Config{
		Rate:     25,
		Duration: 3 * time.Second,
		Seed:     3,
		Mix:      modelMix,
	})
	serviceRun := fleet.StartLoad(load.Config{
		Rate:     25,
		Duration: 3 * time.Second,
		Seed:     4,
		Mix:      serviceMix,
		Deadline: 8 * time.Second,
	})
	time.Sleep(1200 * time.Millisecond)
	fleet.Nodes[2].Kill()
	checkAllComplete(t, modelRun.Report())
	checkNoViolations(t, serviceRun.Report())
}

// TestPausedClaimHolder pauses a node (SIGSTOP) for longer than any lease while it
// holds claims of bookings, and resumes it. Meanwhile callers time out and retry
// at other nodes under the same keys. It guards against bookings that run twice
// because the resumed node continues with its old claims.
func TestPausedClaimHolder(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{
		Work: 50 * time.Millisecond,
	})
	loadRun := fleet.StartLoad(load.Config{
		Rate:        40,
		Duration:    6 * time.Second,
		Seed:        5,
		Mix:         serviceMix,
		IdleTimeout: time.Second,
		Deadline:    15 * time.Second,
	})
	time.Sleep(time.Second)
	fleet.Nodes[0].Pause()
	time.Sleep(4 * time.Second)
	fleet.Nodes[0].Resume()
	checkNoViolations(t, loadRun.Report())
	is := is.New(t)
	is.Equal(fleet.Ledger.KeysRunTwice(), nil)
}
