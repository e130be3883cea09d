package quarantine_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/quarantine"
)

// cluster is three nodes connected by gossip, and their common log.
type cluster struct {
	nodes []*quarantine.Quarantine
	links []*link
	log   *logBuffer
}

// logBuffer collects the log of several nodes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newCluster() *cluster {
	return newClusterWith(quarantine.Config{
		FailureDomain: func(upstream string) string { return "domain of " + upstream },
	})
}

// newClusterWith returns a cluster of nodes with a configuration.
func newClusterWith(config quarantine.Config) *cluster {
	c := &cluster{log: &logBuffer{}}
	h := &hub{}
	config.Logger = slog.New(slog.NewTextHandler(c.log, nil))
	for range 3 {
		l := &link{hub: h}
		c.links = append(c.links, l)
		config.Gossip = l
		c.nodes = append(c.nodes, quarantine.New(config))
	}
	return c
}

// crash runs the poison request and its neighbours on a replica, which crashes.
func (c *cluster) crash(node int, replica string, neighbours ...uint64) {
	running := append([]uint64{poisonFingerprint}, neighbours...)
	for _, fingerprint := range running {
		c.nodes[node].AttemptStarted(replica, fingerprint)
	}
	time.Sleep(time.Second)
	c.nodes[node].ReplicaCrashed(replica)
	for _, fingerprint := range running {
		c.nodes[node].AttemptEnded(replica, fingerprint, false)
	}
	time.Sleep(time.Second)
}

// refusals reports which nodes refuse the poison request.
func (c *cluster) refusals() (refused [3]bool) {
	for i, node := range c.nodes {
		_, err := node.Check(poisonFingerprint)
		refused[i] = err != nil
	}
	time.Sleep(time.Second)
	return refused
}

var everywhere, nowhere = [3]bool{true, true, true}, [3]bool{}

var freePoisonRequest = quarantine.Free{Fingerprint: poisonFingerprint, By: "ada", Why: "the engine's fault\nis mended"}

// A request is held back after two crashes. Node 1, which never ran it, lists it
// and frees it: all nodes let it run, alone, and log the operator and the reason.
// The next crash holds it back again at all nodes, but not the innocent request
// that ran beside it. After it is freed again and ends without a crash, it is
// treated like any other request.
func TestFreedRequestRunsAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		is.Equal(c.nodes[1].Free(freePoisonRequest), quarantine.ErrNotHeld)
		c.crash(0, "r1")
		c.crash(0, "r2")
		_, err := c.nodes[0].Check(poisonFingerprint)
		is.True(err != nil)
		time.Sleep(time.Second)
		for _, node := range c.nodes {
			held := node.Held()
			is.Equal(len(held), 1)
			is.Equal(held[0].Fingerprint.String(), "0000000000000007")
			is.Equal(held[0].Crashes, 2)
			is.Equal(time.Since(held[0].Since), time.Second)
		}
		is.NoErr(c.nodes[1].Free(freePoisonRequest))
		time.Sleep(time.Second)
		is.Equal(c.refusals(), nowhere)
		is.Equal(strings.Count(c.log.String(), `fingerprint=0000000000000007 by=ada why="the engine's fault`), 3)
		for _, node := range c.nodes {
			is.Equal(len(node.Held()), 0)
			alone, _ := node.Check(poisonFingerprint)
			is.True(alone)
		}

		c.crash(2, "r3", firstInnocent)
		is.Equal(c.refusals(), everywhere)
		is.Equal(c.nodes[0].Held()[0].Crashes, 1)
		_, err = c.nodes[0].Check(firstInnocent)
		is.NoErr(err)

		is.NoErr(c.nodes[0].Free(freePoisonRequest))
		time.Sleep(time.Second)
		c.nodes[0].AttemptStarted("r4", poisonFingerprint)
		time.Sleep(time.Second)
		c.nodes[0].AttemptEnded("r4", poisonFingerprint, true)
		alone, err := c.nodes[0].Check(poisonFingerprint)
		is.NoErr(err)
		is.True(!alone)
	})
}

// Node 0 is partitioned while it observes two crashes, and node 1 observes others
// and holds the request back. An operator frees the request at node 1, and then
// node 0 reconnects. Its reports are older than the operator's command, so they
// hold the request back at no other node. Neither does the crash of a run that
// started before the request was freed. The next crash does.
func TestLateCrashReportDoesNotHoldFreedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		c.links[0].isDown = true
		c.crash(0, "r1")
		c.crash(0, "r2")
		c.crash(1, "r3")
		c.crash(1, "r4")
		is.Equal(c.refusals(), everywhere)
		c.nodes[2].AttemptStarted("r5", poisonFingerprint)
		time.Sleep(time.Second)
		is.NoErr(c.nodes[1].Free(freePoisonRequest))
		time.Sleep(time.Second)
		is.Equal(c.refusals(), [3]bool{true, false, false}) // node 0 has not received the command
		c.links[0].restore()
		time.Sleep(time.Second)
		is.Equal(c.refusals(), [3]bool{true, false, false})
		is.Equal(len(c.nodes[1].Held()), 0)
		c.nodes[2].ReplicaCrashed("r5")
		c.nodes[2].AttemptEnded("r5", poisonFingerprint, false)
		time.Sleep(time.Second)
		is.Equal(c.refusals(), [3]bool{true, false, false})
		c.crash(1, "r6")
		is.Equal(c.refusals(), everywhere)
	})
}

// Guards against a node that runs a held request because it missed the reports of its crashes.
func TestNodeWithoutReportsObeysAnotherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		c.links[2].setDown(true)
		c.crash(0, "r1")
		c.crash(1, "r2")
		c.links[2].setDown(false)
		is.Equal(c.refusals(), [3]bool{true, true, false}) // the item is still in transit
		is.Equal(c.refusals(), everywhere)

		is.NoErr(c.nodes[2].Free(freePoisonRequest))
		time.Sleep(time.Second)
		is.Equal(c.refusals(), nowhere)
	})
}
