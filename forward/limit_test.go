package forward_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/nearest"
)

// The times of the fleet whose replicas name a limit. The nodes must know of it within
// contactTime, and count the requests of any limitWindow.
const (
	limitNamed   = 10 * time.Second
	limitLifted  = 40 * time.Second
	contactTime  = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitEnd     = 60 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// newNearest returns a router that spreads requests evenly.
func newNearest(board *blackboard.Board, failureDomain string) zinniamast.Router {
	return nearest.New(nearest.Config{
		Upstreams:     board.Upstreams,
		FailureDomain: failureDomain,
	})
}

// receivedBetween returns the number of requests that reached a replica within a period.
func (r *fragile) receivedBetween(from, to time.Duration) int {
	count := 0
	for _, at := range r.received {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// mostInWindow returns the most requests that reached a replica in any window of a period.
func (r *fragile) mostInWindow(from, to time.Duration) int {
	most := 0
	for _, at := range r.received {
		if at >= from && at < to {
			most = max(most, r.receivedBetween(at, min(at+limitWindow, to)))
		}
	}
	return most
}

// Guards against several nodes that together send a replica more than the limit that it names, or nothing at all once it names none.
func TestNamedLimitHoldsForAllNodesTogether(t *testing.T) {
	for _, limits := range [][]float64{{2.1}, {1.5, 3}, {0.5}} {
		t.Run(fmt.Sprint("limits ", limits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetConfig{
					seed:      1,
					slots:     16,
					newRouter: newNearest,
				})
				limited, others := f.replicas[:len(limits)], f.replicas[len(limits):]
				for i, r := range limited {
					time.AfterFunc(limitNamed, func() { r.setLimit(limits[i]) })
					time.AfterFunc(limitLifted, func() { r.setLimit(0) })
				}
				var done sync.WaitGroup
				f.callers(&done, 60, limitEnd)
				done.Wait()
				time.Sleep(time.Minute)
				mean := 0
				for _, r := range others {
					mean += r.receivedBetween(limitEnd-10*time.Second, limitEnd) / len(others)
				}
				for i, r := range limited {
					during := r.receivedBetween(limitNamed+contactTime, limitLifted)
					most := r.mostInWindow(limitNamed+contactTime, limitLifted)
					after := r.receivedBetween(limitEnd-10*time.Second, limitEnd)
					t.Logf("limit %v: %d requests while it held, at most %d in %v; %d in the last 10 s, others %d", limits[i], during, most, limitWindow, after, mean)
					f.is.True(float64(most) <= limitOverage*limits[i]*limitWindow.Seconds()+limitSlack)
					f.is.True(float64(during) >= limits[i]*(limitLifted-limitNamed-contactTime).Seconds()/2) // it is still used
					f.is.True(after >= mean/4)                                                               // and like the others afterwards
				}
				t.Logf("%d of %d requests served", f.served, f.sent)
				f.is.True(f.served >= f.sent*99/100)
			})
		})
	}
}

// shunningRouter chooses a replica only if there is no other.
type shunningRouter struct {
	zinniamast.Router
	shunned string
}

// Route implements zinniamast.Router.
func (r *shunningRouter) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	others := *request
	others.Avoid = append(slices.Clone(request.Avoid), r.shunned)
	choice, err := r.Router.Route(&others)
	if err != nil {
		return r.Router.Route(request)
	}
	return choice, nil
}

// Guards against nodes that keep to a limit long after its end, as the router of its owner prefers other replicas.
func TestEndOfNamedLimitIsNoticed(t *testing.T) {
	const noticeTime = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetConfig{
			seed:  1,
			slots: 16,
			newRouter: func(board *blackboard.Board, failureDomain string) zinniamast.Router {
				return &shunningRouter{
					Router:  newNearest(board, failureDomain),
					shunned: "i-1",
				}
			},
		})
		limited := f.replicas[0]
		limited.setLimit(2)
		f.nodes[0].throttle.Answered(f.nodes[0].board.Upstreams.Get(limited.id), time.Now(), zinniamast.Feedback{
			Condition: zinniamast.Condition{
				RateLimit: 2,
			},
		})
		time.AfterFunc(limitNamed, func() { limited.setLimit(0) })
		var done sync.WaitGroup
		f.callers(&done, 60, limitNamed)
		for _, n := range f.nodes[1:] {
			f.is.Equal(len(n.throttle.Limited("svc").Blocked), 1)
		}
		f.callers(&done, 60, limitNamed+noticeTime)
		for _, n := range f.nodes {
			f.is.Equal(len(n.throttle.Limited("svc").Blocked), 0)
		}
		done.Wait()
		time.Sleep(time.Minute)
	})
}
