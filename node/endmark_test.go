package node_test

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/standin/engine"
)

// endMark is the event with which an engine ends a complete answer.
var endMark = []byte("[DONE]")

// endMarkGap is the time between two tokens of answers that end during a handoff.
const endMarkGap = 5 * time.Millisecond

// endMarkHandler withholds one end mark, like one that is in flight when its reader stops.
type endMarkHandler struct {
	next    http.Handler
	dropped *atomic.Bool
}

func (h *endMarkHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	writer := &endMarkWriter{
		ResponseWriter: w,
		dropped:        h.dropped,
	}
	h.next.ServeHTTP(writer, q)
	if writer.isDropper {
		<-q.Context().Done()
	}
}

// endMarkWriter drops the end mark of the first answer that has one.
type endMarkWriter struct {
	http.ResponseWriter
	dropped   *atomic.Bool
	isDropper bool
}

// Unwrap lets a response controller flush.
func (w *endMarkWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *endMarkWriter) Write(b []byte) (int, error) {
	if bytes.Contains(b, endMark) && w.dropped.CompareAndSwap(false, true) {
		w.isDropper = true
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

// Guards against an answer that is lost, requested again or recomputed because its
// request is handed over before the node has read the end mark.
func TestEndMarkUnreadAtHandover(t *testing.T) {
	is := is.New(t)
	const tokens = 60
	var dropped atomic.Bool
	f := startFleetWith(t, fleetConfig{
		stopTimeout:   30 * time.Second,
		betweenTokens: endMarkGap,
		wrapEngine: func(next http.Handler) http.Handler {
			return &endMarkHandler{
				next:    next,
				dropped: &dropped,
			}
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.stream(t, 0, 0, tokens)
	}()
	waitFor(t, func() bool {
		for _, q := range f.nodes[0].Board().Requests.All() {
			if produced, _, _ := q.Progress(); produced == tokens {
				return f.counts().Finished == 1
			}
		}
		return false
	})
	f.platform.Cloud.Reclaim("node-0", 2*time.Second)
	is.NoErr(<-f.done[0])
	<-done
	f.waitUntilIdle(t)
	is.Equal(f.counts(), engine.Counts{
		Started:  2,
		Finished: 2,
		Produced: tokens,
	})
	f.checkFinishedOnce(t, 1)
}

// Guards against an answer that is lost or accepted from two attempts because it ends
// during one of the steps of a handoff.
func TestStreamsEndDuringHandover(t *testing.T) {
	is := is.New(t)
	f := startFleetWith(t, fleetConfig{
		stopTimeout:   30 * time.Second,
		betweenTokens: endMarkGap,
	})
	const shortest = 50
	var group sync.WaitGroup
	for i, prompt := range longPrompts(40) {
		group.Go(func() { f.stream(t, i, prompt, shortest+2*i) })
	}
	waitFor(t, func() bool { return f.counts().Started == 40 })
	f.platform.Cloud.Reclaim("node-0", 2*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	f.waitUntilIdle(t)
	counts := f.counts()
	t.Logf("%+v", counts)
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.ResumeComputed, 0)
	is.True(counts.Started <= 80)
	f.checkFinishedOnce(t, 40)
}
