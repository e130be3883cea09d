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

// lookupFleet is a service of four replicas in virtual time, with what was seen of it.
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
	// nextRoutes are the next choices; without them every replica is as likely.
	nextRoutes []string
	isSuspect  bool
	// learningRouter chooses instead, if it is set.
	learningRouter *routing.Router
	// answer plays an attempt at a replica.
	answer func(ctx context.Context, l *lookupFleet, replica int) error
}

// answerAfter answers after a time, unless it is given up before.
func answerAfter(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return &zinniamast.UpstreamError{Failure: zinniamast.FailureReset, Cause: ctx.Err()}
	}
}

// normalLatency is how long a well replica takes: 5 to 15 ms.
func (l *lookupFleet) normalLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 5*time.Millisecond + time.Duration(l.random.Int64N(int64(10*time.Millisecond)))
}

func (l *lookupFleet) chance(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < share
}

// replicaClient is one replica of the lookups.
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

// Route chooses evenly among the replicas that are not avoided.
func (l *lookupFleet) Route(need *zinniamast.Need) (zinniamast.Choice, error) {
	if l.learningRouter != nil {
		return l.learningRouter.Route(need)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.nextRoutes) > 0 {
		next := l.nextRoutes[0]
		l.nextRoutes = l.nextRoutes[1:]
		return zinniamast.Choice{Upstream: next}, nil
	}
	var left []string
	for i := range 4 {
		if id := fmt.Sprintf("booking-%d", i); !slices.Contains(need.Avoid, id) {
			left = append(left, id)
		}
	}
	if len(left) == 0 {
		return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "none left")
	}
	return zinniamast.Choice{Upstream: left[l.random.IntN(len(left))]}, nil
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

func (l *lookupFleet) Crashed(string) {
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
	described := config.Service{Calls: []config.Call{{Method: "GET", Path: "/lookups/", Idempotent: true}}}
	board.Configuration.Apply(&blackboard.Version{Number: 1, Config: newFleetConfig(described)})
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
		c.Hedge = budget.Hedge
	}
	l.board = board
	l.http = caller.New(caller.Config{
		Board:    board,
		Services: services.New(c),
		Metrics:  caller.NewMetrics(prometheus.NewRegistry()),
	})
	return l
}

// send makes calls at a rate a second and returns how long each took.
func (l *lookupFleet) send(method string, calls, rate int) []time.Duration {
	var done sync.WaitGroup
	took := make([]time.Duration, calls)
	for i := range calls {
		done.Go(func() {
			q := httptest.NewRequest(method, "/services/booking/lookups/x", nil)
			q.Header.Set("Authorization", "Bearer "+apiKey)
			q.Header.Set("Zinniamast-Deadline", "2s")
			began := time.Now()
			l.http.ServeHTTP(httptest.NewRecorder(), q)
			took[i] = time.Since(began)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	done.Wait()
	return took
}

// total counts attempts at all replicas.
func (l *lookupFleet) total() int {
	total := 0
	for _, count := range l.attempts {
		total += count
	}
	return total
}

// One of four replicas is slow, always or now and then. Measured are the p99 of
// 6,000 lookups and attempts per lookup with and without hedging. An attempt
// that was overtaken is stopped, and neither routing nor the quarantine blames
// its replica.
func TestHedgingBoundsTailLatency(t *testing.T) {
	is := is.New(t)
	const calls = 6000
	for _, c := range []struct {
		slow     float64
		learning bool
		most     time.Duration
	}{
		{slow: 0.2, most: 50 * time.Millisecond},
		{slow: 1, most: 500 * time.Millisecond}, // more calls are late than the budget pays for
		{slow: 0.2, learning: true, most: 20 * time.Millisecond},
		{slow: 1, learning: true, most: 20 * time.Millisecond},
	} {
		tail := map[bool]time.Duration{}
		for _, hedging := range []bool{false, true} {
			synctest.Test(t, func(*testing.T) {
				l := newLookupFleet(hedging, func(ctx context.Context, l *lookupFleet, replica int) error {
					if replica == 0 && l.chance(c.slow) {
						return answerAfter(ctx, 500*time.Millisecond)
					}
					return answerAfter(ctx, l.normalLatency())
				})
				if c.learning {
					l.learningRouter = routing.New(routing.Config{Board: l.board, Seed: 5})
				}
				took := l.send("GET", calls, 100)
				slices.Sort(took)
				tail[hedging] = took[calls*99/100]
				late, _ := slices.BinarySearch(took, 400*time.Millisecond)
				t.Logf("slow %.0f%% of one replica's answers, learning router %t, hedging %t: p50 %v p95 %v p99 %v, slow answers %.1f%%, attempts per lookup %.3f", 100*c.slow,
					c.learning, hedging, took[calls/2], took[calls*95/100], tail[hedging], 100*float64(calls-late)/calls, float64(l.total())/calls)
				is.True(float64(l.total()) <= 1.1*calls)
				is.Equal(l.crashed, 0)
				for _, end := range l.observedEnds {
					is.True(end.Failure == "" || end.Failure == zinniamast.FailureStopped)
				}
			})
		}
		is.True(tail[true] <= c.most)
	}
}

// A well minute, and then all replicas fail, at once or by silence until the
// caller's deadline. Each call of a silent service is late; hedging them would
// nearly double the load. Attempts per request stay under 1.1.
func TestOutageDoesNotTriggerHedging(t *testing.T) {
	for name, wait := range map[string]time.Duration{"fails at once": 0, "is silent": time.Hour} {
		synctest.Test(t, func(*testing.T) {
			is := is.New(t)
			var down bool
			l := newLookupFleet(true, func(ctx context.Context, l *lookupFleet, _ int) error {
				if !down {
					return answerAfter(ctx, l.normalLatency())
				}
				answerAfter(ctx, wait)
				return &zinniamast.UpstreamError{Failure: zinniamast.FailureTimeout, Cause: context.DeadlineExceeded}
			})
			l.send("GET", 600, 10)
			before := l.total()
			down = true
			l.send("GET", 600, 10)
			each := float64(l.total()-before) / 600
			t.Logf("%s: attempts per request %.3f", name, each)
			is.True(each <= 1.1)
		})
	}
}

// Replicas answer late, or 2 fails at once and the retry is late. A careless
// router names each attempt's replica. A late lookup is sent again, but not to a
// replica that leaves, that has the call already or that failed it, not while
// the quarantine wants the call alone, and not if nothing marks it idempotent.
func TestHedgeConditions(t *testing.T) {
	cases := []struct {
		name   string
		method string
		routes []string
		alone  bool
		sent   int
	}{
		{name: "to another replica", routes: []string{"booking-0", "booking-1"}, sent: 2},
		{name: "to one that leaves", routes: []string{"booking-0", "booking-3"}, sent: 1},
		{name: "to the same", routes: []string{"booking-0", "booking-0"}, sent: 1},
		{name: "to one that failed it", routes: []string{"booking-2", "booking-0", "booking-2"}, sent: 2},
		{name: "a suspect", routes: []string{"booking-0", "booking-1"}, alone: true, sent: 1},
		{name: "a call that may not be repeated", method: "POST", routes: []string{"booking-0", "booking-1"}, sent: 1},
	}
	for _, c := range cases {
		synctest.Test(t, func(*testing.T) {
			is := is.New(t)
			late := false
			l := newLookupFleet(true, func(ctx context.Context, l *lookupFleet, replica int) error {
				switch {
				case late && replica == 2:
					return &zinniamast.UpstreamError{Upstream: "booking-2", Failure: zinniamast.FailureError}
				case late:
					return answerAfter(ctx, 100*time.Millisecond)
				default:
					return answerAfter(ctx, l.normalLatency())
				}
			})
			l.send("GET", 600, 100)
			late = true
			l.board.Upstreams.MarkLeaving("booking-3", time.Time{})
			l.nextRoutes, l.isSuspect = c.routes, c.alone
			before := l.total()
			l.send(cmp.Or(c.method, "GET"), 1, 10)
			t.Logf("%s: %d attempts", c.name, l.total()-before)
			is.Equal(l.total()-before, c.sent)
		})
	}
}
