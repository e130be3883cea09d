package forward_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"zinniamast"
	"zinniamast/retry"
)

// The times of the streams that break off after a silence. Their callers abandon them
// after callerPatience.
const (
	brokenAt       = pauseTimeout + 150*time.Millisecond
	callerPatience = 2 * time.Second
)

// countingRouter counts the choices of an overlap and has no replica from a time on,
// unless that is zero.
type countingRouter struct {
	*overlap
	goneAt  time.Duration
	choices atomic.Int64
}

// Route implements zinniamast.Router.
func (r *countingRouter) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	r.choices.Add(1)
	if r.goneAt > 0 && time.Since(r.start) >= r.goneAt {
		return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica")
	}
	return r.overlap.Route(request)
}

// oneRetryIn returns a budget that allows one retry within a window.
func oneRetryIn(window time.Duration) *retry.Window { return newBudget(0, 1.2, window) }

// newBudget returns the budget of a single node.
func newBudget(ratio, slack float64, window time.Duration) *retry.Window {
	return retry.NewWindow(retry.WindowConfig{
		Ratio:  ratio,
		Slack:  slack,
		Window: window,
		Nodes:  func() int { return 1 },
	})
}

// Guards against holding a begun stream until its deadline although no replica can go on with it.
func TestBegunStreamThatCannotGoOnEndsAtOnce(t *testing.T) {
	cases := map[string]struct {
		maxAttempts int
		replicas    int
		goneAt      time.Duration
		retries     *retry.Window
		after       []part
	}{
		"retries used up": {
			maxAttempts: 3,
			replicas:    3,
			retries:     newBudget(0, 0, 10*time.Second),
		},
		"retries used up by others for longer than its caller waits": {
			maxAttempts: 3,
			replicas:    3,
			retries:     oneRetryIn(10 * time.Second),
		},
		"attempts used up": {
			maxAttempts: 1,
			replicas:    3,
		},
		"no replica left": {
			maxAttempts: 3,
			replicas:    3,
			goneAt:      pauseTimeout - replyTime,
		},
		"others broken": {
			maxAttempts: 3,
			replicas:    3,
			after:       []part{reacts(breaksEarly)},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOverlap(t, c.replicas, c.maxAttempts, append([]part{breaksAt(brokenAt)}, c.after...)...)
				defer o.showOnFailure(t)
				if c.retries != nil {
					o.budget = c.retries
					o.budget.AllowRetry("svc")
				}
				o.useRouter(&countingRouter{
					overlap: o,
					goneAt:  c.goneAt,
				})
				got := o.call(pathResumable, "r-1")
				o.checkAccounts()
				o.is.Equal(got.body, events(eventsAtOnce))
				o.is.True(got.broken)
				o.is.True(got.at >= brokenAt)           // the silent replica may go on until then
				o.is.True(got.at <= brokenAt+replyTime) // nothing more is expected
			})
		})
	}
}

// Guards against holding a begun stream for full replicas for longer than its caller waits for an event.
func TestBegunStreamLeavesFullReplicasBeforeItsCallerDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverlap(t, 4, 3, breaksAt(brokenAt), reacts(full))
		defer o.showOnFailure(t)
		got := o.call(pathResumable, "r-1")
		o.checkAccounts()
		o.is.True(got.broken)
		o.is.True(got.at > brokenAt)       // full replicas are asked again
		o.is.True(got.at < callerPatience) // no wait that ends after the caller has left
	})
}

// Guards against sending a stream to a replica that is predicted to begin after its caller has left.
func TestBegunStreamDoesNotGoOnWhereItWouldBeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverlap(t, 3, 3, breaksAt(brokenAt), answersAt(callerPatience+replyTime))
		defer o.showOnFailure(t)
		o.useRouter(&slowRouter{
			overlap:    o,
			firstToken: callerPatience - brokenAt + replyTime,
		})
		got := o.call(pathResumable, "r-1")
		o.checkAccounts()
		o.is.True(got.broken)
		o.is.True(got.at <= brokenAt+replyTime)
		o.is.Equal(o.sent, 1)
		o.is.Equal(o.charges, 0)
	})
}

// slowRouter predicts the same time to the first token for every choice.
type slowRouter struct {
	*overlap
	firstToken time.Duration
}

// Route implements zinniamast.Router.
func (r *slowRouter) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	choice, err := r.overlap.Route(request)
	choice.FirstToken = r.firstToken
	return choice, err
}

// Guards against ending a begun stream that the retry budget allows to go on while its caller waits.
func TestBegunStreamWaitsForRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverlap(t, 3, 3, breaksAt(brokenAt), reacts(answersWell))
		defer o.showOnFailure(t)
		o.budget = oneRetryIn(time.Second)
		time.AfterFunc(300*time.Millisecond, func() { o.budget.AllowRetry("svc") })
		got := o.call(pathResumable, "r-1")
		o.checkAccounts()
		o.is.Equal(got.body, events(takeoverEvents))
		o.is.True(!got.broken)
		o.is.True(got.at < callerPatience)
		o.is.Equal(o.charges, 1)
	})
}

// Guards against holding many begun streams for the one retry that the budget will allow.
func TestBegunStreamsAreHeldForExpectedRetriesOnly(t *testing.T) {
	const streams = 5
	synctest.Test(t, func(t *testing.T) {
		parts := []part{reacts(answersWell)}
		for range streams {
			parts = append([]part{breaksAt(brokenAt)}, parts...)
		}
		o := newOverlap(t, 3, 3, parts...)
		defer o.showOnFailure(t)
		o.budget = oneRetryIn(time.Second)
		time.AfterFunc(300*time.Millisecond, func() { o.budget.AllowRetry("svc") })
		var mu sync.Mutex
		whole := 0
		var callers sync.WaitGroup
		for i := range streams {
			callers.Go(func() {
				got := o.call(pathResumable, "r-"+strconv.Itoa(i))
				mu.Lock()
				defer mu.Unlock()
				if !got.broken {
					whole++
					return
				}
				o.is.True(got.at <= brokenAt+replyTime) // not held for a retry that another stream gets
			})
		}
		callers.Wait()
		o.checkAccounts()
		o.is.Equal(whole, 1)
	})
}

// Guards against asking the router for replicas while the retry budget is used up.
func TestRouterIsNotAskedWithoutRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 50
		o := newOverlap(t, 20, 3, reacts(staysSilent))
		o.budget = newBudget(0.2, 5, 10*time.Second)
		router := &countingRouter{
			overlap: o,
		}
		o.useRouter(router)
		var callers sync.WaitGroup
		for i := range streams {
			callers.Go(func() { o.call(pathResumable, "r-"+strconv.Itoa(i)) })
		}
		callers.Wait()
		o.checkAccounts()
		o.is.True(int(router.choices.Load()) <= o.sent+streams) // each stream loses one race for a retry at most
	})
}

// Guards against charging a retry that no replica gets.
func TestRetryWithoutReplicaIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverlap(t, 3, 3, reacts(resets))
		o.useRouter(&countingRouter{
			overlap: o,
			goneAt:  replyTime / 2,
		})
		o.is.Equal(o.call(pathSafe, "r-1").status, http.StatusBadGateway)
		o.checkAccounts()
		o.is.Equal(o.charges, 0)
	})
}
