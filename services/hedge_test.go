package services_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/caller"
	"zinniamast/config"
	"zinniamast/retry"
	"zinniamast/routing"
	"zinniamast/services"
)

// lookupFleet is a lookup service of four replicas in virtual time. It is also the
// router and the quarantine of the handler, and counts what they observe.
type lookupFleet struct {
	firstRouter
	allowAll
	board *blackboard.Board
	http  http.Handler

	mu           sync.Mutex
	random       *rand.Rand
	attempts     map[string]int
	observedEnds []zinniamast.Observation
	crashed      int
	// nextRoutes are the router's next choices; without them it chooses uniformly.
	nextRoutes []string
	isSuspect  bool
	// learningRouter, if set, makes the choices.
	learningRouter *routing.Router
	// answer simulates an attempt at a replica.
	answer func(ctx context.Context, l *lookupFleet, replica int) error
}

// answerAfter returns after a delay, with an error if ctx ends before.
func answerAfter(ctx context.Context, delay time.Duration) error {
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return &zinniamast.UpstreamError{Failure: zinniamast.FailureReset, Cause: ctx.Err()}
	}
}

// normalLatency returns a random latency of a healthy replica: 5 to 15 ms.
func (l *lookupFleet) normalLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 5*time.Millisecond + time.Duration(l.random.Int64N(int64(10*time.Millisecond)))
}

// chance returns true with the given probability.
func (l *lookupFleet) chance(probability float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < probability
}

// replicaClient is the client of one replica of a lookupFleet.
type replicaClient struct {
	fleet  *lookupFleet
	number int
}

func (r replicaClient) Call(ctx context.Context, call zinniamast.ServiceCall) (zinniamast.ServiceAnswer, error) {
	l := r.fleet
	l.mu.Lock()
	l.attempts[fmt.Sprintf("booking-%d", r.number)]++
	l.mu.Unlock()
	return zinniamast.ServiceAnswer{Status: 200}, l.answer(ctx, l, r.number)
}

// Route chooses uniformly among the replicas that are not to be avoided.
func (l *lookupFleet) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	if l.learningRouter != nil {
		return l.learningRouter.Route(request)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.nextRoutes) > 0 {
		next := l.nextRoutes[0]
		l.nextRoutes = l.nextRoutes[1:]
		return zinniamast.Choice{Upstream: next}, nil
	}
	var candidates []string
	for i := range 4 {
		if id := fmt.Sprintf("booking-%d", i); !slices.Contains(request.Avoid, id) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "none left")
	}
	return zinniamast.Choice{Upstream: candidates[l.random.IntN(len(candidates))]}, nil
}

func (l *lookupFleet) Observe(o zinniamast.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learningRouter != nil {
		l.learningRouter.Observe(o)
	}
	if o.Kind == zinniamast.ObservedEnd {
		l.observedEnds = append(l.observedEnds, o)
	}
}

func (l *lookupFleet) Check(uint64) (bool, error) { return l.isSuspect, nil }

func (l *lookupFleet) ReplicaCrashed(string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed++
}

func newLookupFleet(hedging bool, answer func(context.Context, *lookupFleet, int) error) *lookupFleet {
	l := &lookupFleet{
		random:   rand.New(rand.NewPCG(5, 5)),
		attempts: map[string]int{},
		answer:   answer,
	}
	board := blackboard.New()
	serviceConfig := config.Service{Calls: []config.Call{{Method: "GET", Path: "/lookups/", Idempotent: true}}}
	board.Configuration.Apply(&blackboard.Version{Number: 1, Config: newFleetConfig(serviceConfig)})
	for i := range 4 {
		board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{ID: fmt.Sprintf("booking-%d", i), Service: "booking"},
			Service:  replicaClient{fleet: l, number: i},
		})
	}
	budget := retry.New(retry.Config{Seed: 5})
	c := services.Config{
		Board:      board,
		Router:     l,
		Limiter:    allowAll{},
		Retry:      budget,
		Quarantine: l,
	}
	if hedging {
		c.AllowHedge = budget.Hedge
	}
	l.board = board
	l.http = caller.New(caller.Config{
		Board:    board,
		Services: services.New(c),
		Metrics:  caller.NewMetrics(prometheus.NewRegistry()),
	})
	return l
}

// send makes calls at a rate per second and returns the duration of each.
func (l *lookupFleet) send(method string, calls, callsPerSecond int) []time.Duration {
	var pending sync.WaitGroup
	durations := make([]time.Duration, calls)
	for i := range calls {
		pending.Go(func() {
			q := httptest.NewRequest(method, "/services/booking/lookups/x", nil)
			q.Header.Set("Authorization", "Bearer "+apiKey)
			q.Header.Set("Zinniamast-Deadline", "2s")
			started := time.Now()
			l.http.ServeHTTP(httptest.NewRecorder(), q)
			durations[i] = time.Since(started)
		})
		time.Sleep(time.Second / time.Duration(callsPerSecond))
	}
	pending.Wait()
	return durations
}

// total returns the number of attempts at all replicas.
func (l *lookupFleet) total() int {
	total := 0
	for _, count := range l.attempts {
		total += count
	}
	return total
}

// One of four replicas is slow, always or for a fifth of its answers. Hedging must
// bound the p99 of 6,000 lookups with at most 1.1 attempts per lookup. A superseded
// attempt is observed as stopped, and neither the router nor the quarantine counts
// it against its replica.
func TestHedgingBoundsTailLatency(t *testing.T) {
	is := is.New(t)
	const calls = 6000
	for _, c := range []struct {
		slowShare float64
		learning  bool
		maxP99    time.Duration
	}{
		{slowShare: 0.2, maxP99: 50 * time.Millisecond},
		{slowShare: 1, maxP99: 500 * time.Millisecond}, // more calls are late than the budget allows to hedge
		{slowShare: 0.2, learning: true, maxP99: 20 * time.Millisecond},
		{slowShare: 1, learning: true, maxP99: 20 * time.Millisecond},
	} {
		p99 := map[bool]time.Duration{}
		for _, hedging := range []bool{false, true} {
			synctest.Test(t, func(*testing.T) {
				l := newLookupFleet(hedging, func(ctx context.Context, l *lookupFleet, replica int) error {
					if replica == 0 && l.chance(c.slowShare) {
						return answerAfter(ctx, 500*time.Millisecond)
					}
					return answerAfter(ctx, l.normalLatency())
				})
				if c.learning {
					l.learningRouter = routing.New(routing.Config{Board: l.board, Seed: 5})
				}
				durations := l.send("GET", calls, 100)
				slices.Sort(durations)
				p99[hedging] = durations[calls*99/100]
				firstSlow, _ := slices.BinarySearch(durations, 400*time.Millisecond)
				t.Logf("slow %.0f%% of one replica's answers, learning router %t, hedging %t: p50 %v p95 %v p99 %v, slow answers %.1f%%, attempts per lookup %.3f", 100*c.slowShare,
					c.learning, hedging, durations[calls/2], durations[calls*95/100], p99[hedging], 100*float64(calls-firstSlow)/calls, float64(l.total())/calls)
				is.True(float64(l.total()) <= 1.1*calls)
				is.Equal(l.crashed, 0)
				for _, end := range l.observedEnds {
					is.True(end.Failure == "" || end.Failure == zinniamast.FailureStopped)
				}
			})
		}
		is.True(p99[true] <= c.maxP99)
	}
}

// All replicas fail after a healthy minute, at once or by not answering until the
// caller's deadline. Each call of a service that does not answer is late, and
// hedging them would nearly double the load. Attempts per request must stay at or
// below 1.1.
func TestOutageDoesNotTriggerHedging(t *testing.T) {
	for name, delay := range map[string]time.Duration{"fails at once": 0, "does not answer": time.Hour} {
		synctest.Test(t, func(*testing.T) {
			is := is.New(t)
			var isDown bool
			l := newLookupFleet(true, func(ctx context.Context, l *lookupFleet, _ int) error {
				if !isDown {
					return answerAfter(ctx, l.normalLatency())
				}
				answerAfter(ctx, delay)
				return &zinniamast.UpstreamError{Failure: zinniamast.FailureTimeout, Cause: context.DeadlineExceeded}
			})
			l.send("GET", 600, 10)
			before := l.total()
			isDown = true
			l.send("GET", 600, 10)
			attemptsPerRequest := float64(l.total()-before) / 600
			t.Logf("%s: attempts per request %.3f", name, attemptsPerRequest)
			is.True(attemptsPerRequest <= 1.1)
		})
	}
}

// Replicas answer late, or replica 2 fails at once and the retry is late. The router
// returns the listed replicas, also those to be avoided. A late lookup is hedged, but
// not to a replica that is leaving, that already runs the call or that failed it, not
// if the quarantine suspects the call, and not if the call is not marked idempotent.
func TestHedgeConditions(t *testing.T) {
	cases := []struct {
		name         string
		method       string
		routes       []string
		isSuspect    bool
		wantAttempts int
	}{
		{name: "another replica", routes: []string{"booking-0", "booking-1"}, wantAttempts: 2},
		{name: "a leaving replica", routes: []string{"booking-0", "booking-3"}, wantAttempts: 1},
		{name: "the same replica", routes: []string{"booking-0", "booking-0"}, wantAttempts: 1},
		{name: "a replica that failed the call", routes: []string{"booking-2", "booking-0", "booking-2"}, wantAttempts: 2},
		{name: "a suspect call", routes: []string{"booking-0", "booking-1"}, isSuspect: true, wantAttempts: 1},
		{name: "a call that may not be repeated", method: "POST", routes: []string{"booking-0", "booking-1"}, wantAttempts: 1},
	}
	for _, c := range cases {
		synctest.Test(t, func(*testing.T) {
			is := is.New(t)
			isLate := false
			l := newLookupFleet(true, func(ctx context.Context, l *lookupFleet, replica int) error {
				switch {
				case isLate && replica == 2:
					return &zinniamast.UpstreamError{Upstream: "booking-2", Failure: zinniamast.FailureError}
				case isLate:
					return answerAfter(ctx, 100*time.Millisecond)
				default:
					return answerAfter(ctx, l.normalLatency())
				}
			})
			l.send("GET", 600, 100)
			isLate = true
			l.board.Upstreams.MarkLeaving("booking-3", time.Time{})
			l.nextRoutes, l.isSuspect = c.routes, c.isSuspect
			before := l.total()
			l.send(cmp.Or(c.method, "GET"), 1, 10)
			t.Logf("%s: %d attempts", c.name, l.total()-before)
			is.Equal(l.total()-before, c.wantAttempts)
		})
	}
}
