package node_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/standin/engine"
)

// Guards against an attempt that continues on its engine after its request was handed
// over or moved to another engine.
func TestHandedOverStreamsFinishOnce(t *testing.T) {
	t.Run("node leaves", func(t *testing.T) {
		counts := reclaimOnLongNotice(t)
		is := is.New(t)
		is.Equal(counts.Started, 80)
		is.Equal(counts.ResumeComputed, 0)
	})
	t.Run("node and engines leave", func(t *testing.T) {
		reclaimOnLongNotice(t, "engine-0", "engine-3")
	})
}

// reclaimOnLongNotice reclaims a node with 40 streams on a long notice, and engines on
// a notice that is too short for the streams to end. The engines keep running after it.
func reclaimOnLongNotice(t *testing.T, engines ...string) engine.Counts {
	t.Helper()
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	var group sync.WaitGroup
	var breaks [40]int
	for i, prompt := range longPrompts(len(breaks)) {
		group.Go(func() { breaks[i] = f.stream(t, i, prompt, tokensIn(longestAnswer)) })
	}
	waitFor(t, func() bool { return f.counts().Started == len(breaks) })
	for _, id := range engines {
		f.platform.Cloud.Reclaim(id, 3*time.Second)
	}
	f.platform.Cloud.Reclaim("node-0", 30*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	is.Equal(breaks, [40]int{})
	f.waitUntilIdle(t)
	counts := f.counts()
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.Finished, len(breaks))
	f.checkFinishedOnce(t, len(breaks))
	return counts
}
