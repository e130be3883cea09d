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

// endMark is how an engine ends a whole answer.
var endMark = []byte("[DONE]")

// unread keeps back one end mark, as one that is on its way when its reader goes.
type unread struct {
	next http.Handler
	kept *atomic.Bool
}

func (u *unread) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	k := &keeper{
		ResponseWriter: w,
		kept:           u.kept,
	}
	u.next.ServeHTTP(k, q)
	if k.here {
		<-q.Context().Done()
	}
}

// keeper drops the end mark of the first answer that has one.
type keeper struct {
	http.ResponseWriter
	kept *atomic.Bool
	here bool
}

// Unwrap lets a response controller flush.
func (k *keeper) Unwrap() http.ResponseWriter { return k.ResponseWriter }

func (k *keeper) Write(b []byte) (int, error) {
	if bytes.Contains(b, endMark) && k.kept.CompareAndSwap(false, true) {
		k.here = true
		return len(b), nil
	}
	return k.ResponseWriter.Write(b)
}

// Guards against an answer lost, asked anew or computed again when it is handed over before its end mark is read.
func TestEndMarkUnreadAtHandover(t *testing.T) {
	is := is.New(t)
	const tokens = 60
	var kept atomic.Bool
	f := startFleetBehind(t, 30*time.Second, func(next http.Handler) http.Handler {
		return &unread{
			next: next,
			kept: &kept,
		}
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.stream(t, 0, 0, tokens)
	}()
	until(t, func() bool {
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
	f.settle(t)
	is.Equal(f.counts(), engine.Counts{
		Started:  2,
		Finished: 2,
		Produced: tokens,
	})
	f.finishOnce(t, 1)
}

// Guards against an answer lost, or taken from two attempts, because it ends in one of the steps of a hand-over.
func TestStreamsEndDuringHandover(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	const shortest = 50
	var group sync.WaitGroup
	for i, prompt := range longPrompts(40) {
		group.Go(func() { f.stream(t, i, prompt, shortest+2*i) })
	}
	until(t, func() bool { return f.counts().Started == 40 })
	f.platform.Cloud.Reclaim("node-0", 2*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	f.settle(t)
	counts := f.counts()
	t.Logf("%+v", counts)
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.ResumeComputed, 0)
	is.True(counts.Started <= 80)
	f.finishOnce(t, 40)
}
