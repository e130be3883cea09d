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

// TestGracefulStop stops one of three nodes by TERM while streamed and plain
// requests of the public client, lookups and bookings run through all three.
// Callers of the stopped node are answered by it or go on at another one;
// nothing is lost, and each booking runs once.
func TestGracefulStop(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{})
	driven := fleet.Drive(load.Config{
		Rate: 30,
		For:  3 * time.Second,
		Seed: 1,
	})
	time.Sleep(time.Second)
	fleet.Nodes[0].Terminate()
	if err := fleet.Nodes[0].Wait(15 * time.Second); err != nil {
		t.Errorf("the stopped node's exit: %v", err)
	}
	allWhole(t, driven.Report())
}

// TestBusyPeerPort starts a node again whose peer port another process still
// holds. It ends at once with a plain sentence and exit code 1; it used to
// panic on the listener that it did not have.
func TestBusyPeerPort(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{})
	second := fleet.StartTwin(fleet.Nodes[0])
	is := is.New(t)
	is.True(second.Wait(10*time.Second) != nil)
	is.True(strings.Contains(second.Logs(), "peer listener"))
	is.True(!strings.Contains(second.Logs(), "panic"))
}

// TestTermWithStreamsOpen stops a node whose streams last longer than its
// stop may. It hands them to peers in other failure domains before it goes;
// callers see one unbroken answer or attach again by their key, and no token
// comes twice.
func TestTermWithStreamsOpen(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{
		StopTimeout: 2 * time.Second,
		Engine: engine.Config{
			FirstToken:    10 * time.Millisecond,
			BetweenTokens: 25 * time.Millisecond,
		},
	})
	driven := fleet.Drive(load.Config{
		Rate: 20,
		For:  1500 * time.Millisecond,
		Seed: 2,
		Mix:  load.Mix{checker.KindSummary: 1},
	})
	time.Sleep(1500 * time.Millisecond)
	fleet.Nodes[1].Terminate()
	if err := fleet.Nodes[1].Wait(15 * time.Second); err != nil {
		t.Errorf("the stopped node's exit: %v", err)
	}
	allWhole(t, driven.Report())
}

// TestEntriesReclaimed announces the end of two of three nodes at once, with
// streams open, and kills both when the notice is over. They hand what they
// hold to the third, prove it by its acknowledgement and go; their callers
// come back by key or last event, and no answer is lost.
func TestEntriesReclaimed(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{
		Engine: engine.Config{
			FirstToken:    10 * time.Millisecond,
			BetweenTokens: 20 * time.Millisecond,
		},
	})
	driven := fleet.Drive(load.Config{
		Rate: 20,
		For:  4 * time.Second,
		Seed: 11,
		Mix:  models,
	})
	time.Sleep(time.Second)
	fleet.ReclaimNode(fleet.Nodes[0], 3*time.Second)
	fleet.ReclaimNode(fleet.Nodes[1], 3*time.Second)
	allWhole(t, driven.Report())
}

// TestKillUnderLoad kills a node without notice (SIGKILL) in the middle of
// model requests and bookings. Connections break; model callers come back by
// key to another node and have their whole answer. A booking that was under
// way is told "unknown" or answered from its claim; it never runs twice.
func TestKillUnderLoad(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{
		Work: 100 * time.Millisecond,
	})
	toModels := fleet.Drive(load.Config{
		Rate: 25,
		For:  3 * time.Second,
		Seed: 3,
		Mix:  models,
	})
	toServices := fleet.Drive(load.Config{
		Rate:     25,
		For:      3 * time.Second,
		Seed:     4,
		Mix:      services,
		Deadline: 8 * time.Second,
	})
	time.Sleep(1200 * time.Millisecond)
	fleet.Nodes[2].Kill()
	allWhole(t, toModels.Report())
	honest(t, toServices.Report())
}

// TestPausedHolder stops a node in its tracks (SIGSTOP) while it holds claims
// of bookings, for longer than any lease, and wakes it. Meanwhile callers lose
// patience and ask other nodes under the same keys. The woken node goes on
// where it stood, and still no booking runs twice.
func TestPausedHolder(t *testing.T) {
	fleet := start(t, processtest.FleetConfig{
		Work: 50 * time.Millisecond,
	})
	driven := fleet.Drive(load.Config{
		Rate:     40,
		For:      6 * time.Second,
		Seed:     5,
		Mix:      services,
		Patience: time.Second,
		Deadline: 15 * time.Second,
	})
	time.Sleep(time.Second)
	fleet.Nodes[0].Pause()
	time.Sleep(4 * time.Second)
	fleet.Nodes[0].Resume()
	honest(t, driven.Report())
	is := is.New(t)
	is.Equal(fleet.Ledger.KeysRunTwice(), nil)
}
