package node_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/standin/engine"
)

// Guards against an attempt that goes on at its engine after its request was handed over or moved off it.
func TestHandedOverStreamsFinishOnce(t *testing.T) {
	t.Run("giver leaves", func(t *testing.T) {
		counts := reclaimOnLongNotice(t)
		is := is.New(t)
		is.Equal(counts.Started, 80)
		is.Equal(counts.ResumeComputed, 0)
	})
	t.Run("giver and engines leave", func(t *testing.T) {
		reclaimOnLongNotice(t, "engine-0", "engine-3")
	})
}

// reclaimOnLongNotice reclaims a node with 40 streams on a long notice, and engines on
// one that is too short for the streams, but does not end the engines.
func reclaimOnLongNotice(t *testing.T, engines ...string) engine.Counts {
	t.Helper()
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	var group sync.WaitGroup
	var breaks [40]int
	for i, prompt := range longPrompts(len(breaks)) {
		group.Go(func() { breaks[i] = f.stream(t, i, prompt, 1000) })
	}
	until(t, func() bool { return f.counts().Started == len(breaks) })
	for _, id := range engines {
		f.platform.Cloud.Reclaim(id, 3*time.Second)
	}
	f.platform.Cloud.Reclaim("node-0", 30*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	is.Equal(breaks, [40]int{})
	f.settle(t)
	counts := f.counts()
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.Finished, len(breaks))
	f.finishOnce(t, len(breaks))
	return counts
}
