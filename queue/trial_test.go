package queue_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/queue"
)

// Guards against a node without retries that loses urgent requests, or those of an organisation that has used little, in trials.
func TestTrialWithoutRetryIsLeftToTheRequestThatGoesLast(t *testing.T) {
	for _, c := range []struct {
		name    string
		waiting int
		tries   queue.Request
		may     bool
	}{
		{
			name:    "less urgent requests wait",
			waiting: 2,
			tries: queue.Request{
				Organisation: "other",
				Priority:     0,
			},
			may: false,
		},
		{
			name:    "organisation that has used more waits",
			waiting: 2,
			tries: queue.Request{
				Organisation: "other",
				Priority:     1,
			},
			may: false,
		},
		{
			name:    "same organisation waits",
			waiting: 2,
			tries: queue.Request{
				Organisation: "acme",
				Priority:     1,
			},
			may: true,
		},
		{
			name:    "more urgent requests wait",
			waiting: 2,
			tries: queue.Request{
				Organisation: "other",
				Priority:     2,
			},
			may: true,
		},
		{
			name:    "one request waits",
			waiting: 1,
			tries: queue.Request{
				Organisation: "acme",
				Priority:     1,
			},
			may: false,
		},
		{
			name:    "none waits",
			waiting: 0,
			tries: queue.Request{
				Organisation: "acme",
				Priority:     1,
			},
			may: false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				check := is.New(t)
				var used queue.Entry
				w.queue.Enter(&used, request("acme", 1))
				used.Began()
				time.Sleep(runTime)
				used.Ended()
				for i := range c.waiting {
					w.wait(t.Context(), fmt.Sprint("waiting-", i), request("acme", 1))
				}
				synctest.Wait()
				r := request(c.tries.Organisation, c.tries.Priority)
				var e queue.Entry
				w.queue.Enter(&e, r)
				check.Equal(e.MayTry(false), c.may)
				check.True(e.MayTry(true)) // with a retry all may
			})
		})
	}
}

// Guards against a request of a node without retries that is refused at the end of its wait although a trial might have served it.
func TestRequestMayTryWithoutRetryBeforeItsWaitEnds(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		var e queue.Entry
		w.queue.Enter(&e, request("acme", 0))
		time.Sleep(800 * time.Millisecond)
		check.True(!e.MayTry(false))
		time.Sleep(150 * time.Millisecond)
		check.True(e.MayTry(false))
	})
}

// Guards against a trial without a retry that goes on as often as before although all are rejected.
func TestTrialsWithoutRetryBecomeRarer(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		var e queue.Entry
		w.queue.Enter(&e, request("acme", 0))
		check.True(e.MayTry(true))
		e.Rejected()
		var late queue.Entry
		r := request("acme", 0)
		r.StartBy = time.Now().Add(10 * time.Millisecond)
		w.queue.Enter(&late, r)
		check.True(!late.MayTry(false))
		time.Sleep(60 * time.Millisecond)
		check.True(late.MayTry(false))
	})
}

// Guards against a process that has just started and does not learn that requests wait at other nodes, or never forgets it.
func TestNodeKnowsThatRequestsWaitElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		h := &hub{
			receivers: map[string]func(zinniamast.GossipItem){},
		}
		newNode := func(name string) *queue.Queue {
			return queue.New(queue.Config{
				Node: name,
				Gossip: link{
					hub:  h,
					node: name,
				},
			})
		}
		short, started := newNode("node-0"), newNode("node-1")
		var e queue.Entry
		started.Enter(&e, request("acme", 1))
		check.True(!started.IsShortAnywhere(service))
		go callEachSecond(short, 10, 10*time.Second, 0)
		time.Sleep(8 * time.Second)
		check.True(short.IsShortAnywhere(service))
		check.True(started.IsShortAnywhere(service))
		check.True(!started.IsShort(service))
		time.Sleep(40 * time.Second)
		check.True(!short.IsShortAnywhere(service))
		check.True(!started.IsShortAnywhere(service))
	})
}
