package queue_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/queue"
)

const service = "svc"

// runTime is how long a request runs.
const runTime = 500 * time.Millisecond

// world is a queue in front of one replica that is always full.
type world struct {
	queue *queue.Queue
	mu    sync.Mutex
	// turns and refused name the requests in the order of their turns and refusals.
	turns   []string
	refused []string
	retries []time.Duration
	done    sync.WaitGroup
}

func newWorld() *world {
	return &world{
		queue: queue.New(queue.Config{}),
	}
}

// play plays a queue in virtual time until all requests have ended.
func play(t *testing.T, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		f(t, w)
		w.done.Wait()
		time.Sleep(time.Minute)
	})
}

// request returns a request that may wait for a second.
func request(organisation string, priority int) queue.Request {
	return queue.Request{
		Service:      service,
		Organisation: organisation,
		Priority:     priority,
		Deadline:     time.Now().Add(5 * time.Second),
		StartBy:      time.Now().Add(time.Second),
	}
}

// wait lets a request wait for the place of another one, and returns once it waits.
func (w *world) wait(ctx context.Context, name string, r queue.Request) {
	w.done.Go(func() {
		var e queue.Entry
		w.queue.Enter(&e, r)
		defer e.Ended()
		for {
			turn, err := e.Wait(ctx)
			if err == nil && turn.Replica == "" {
				continue // the replica is full
			}
			if err != nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.refused = append(w.refused, name)
				var refusal *zinniamast.Refusal
				if errors.As(err, &refusal) {
					w.retries = append(w.retries, refusal.RetryAfter)
				}
				return
			}
			e.Sent()
			e.Began()
			w.mu.Lock()
			w.turns = append(w.turns, name)
			w.mu.Unlock()
			time.Sleep(runTime)
			return
		}
	})
	synctest.Wait()
}

// names returns a list of names.
func (w *world) names(list *[]string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(*list)
}

// free ends a request at the replica.
func (w *world) free() {
	w.queue.Freed(service, "i-1", true)
	synctest.Wait()
}

// Guards against urgent requests that wait behind others.
func TestUrgentRequestsGoFirst(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		w.wait(t.Context(), "bulk", request("acme", 2))
		w.wait(t.Context(), "normal", request("acme", 1))
		w.wait(t.Context(), "urgent", request("acme", 0))
		for range 3 {
			w.free()
		}
		check.Equal(w.names(&w.turns), []string{"urgent", "normal", "bulk"})
	})
}

// Guards against an organisation that gets all places by sending more requests.
func TestOrganisationThatUsedLeastGoesFirst(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		for i := range 4 {
			w.wait(t.Context(), fmt.Sprint("large-", i), request("large", 1))
		}
		w.free()
		w.wait(t.Context(), "small-0", request("small", 1))
		w.wait(t.Context(), "small-1", request("small", 1))
		for range 5 {
			w.free()
		}
		check.Equal(w.names(&w.turns), []string{"large-0", "small-0", "large-1", "small-1", "large-2", "large-3"})
	})
}

// Guards against requests that miss their deadline behind ones with more time.
func TestEarlierDeadlineGoesFirst(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		w.wait(t.Context(), "late", request("acme", 1))
		early := request("acme", 1)
		early.Deadline = time.Now().Add(2 * time.Second)
		w.wait(t.Context(), "early", early)
		w.free()
		w.free()
		check.Equal(w.names(&w.turns), []string{"early", "late"})
	})
}

// Guards against a class that gets no place at all while more urgent requests keep coming.
func TestNoClassStarves(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		const rounds = 600
		for i := range rounds {
			w.wait(t.Context(), "urgent", request("acme", 0))
			w.wait(t.Context(), "urgent", request("acme", 0))
			if i%2 == 0 {
				w.wait(t.Context(), "bulk", request("acme", 2))
			}
			w.free()
			time.Sleep(10 * time.Millisecond)
		}
		w.done.Wait()
		bulk := 0
		for _, name := range w.turns {
			if name == "bulk" {
				bulk++
			}
		}
		served := float64(len(w.turns)) / (2.5 * rounds)
		t.Logf("%d bulk requests of %d served, %.2f of all", bulk, rounds/2, served)
		check.True(float64(bulk)/(rounds/2) >= 0.25*served)
	})
}

// Guards against a place that stays unused because the request whose turn it is cannot use it.
func TestUnusedTurnGoesToAnotherRequest(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		var first queue.Entry
		w.queue.Enter(&first, request("acme", 0))
		granted := make(chan queue.Turn)
		go func() {
			turn, err := first.Wait(t.Context())
			check.NoErr(err)
			granted <- turn
		}()
		synctest.Wait()
		w.wait(t.Context(), "second", request("acme", 1))
		w.queue.Freed(service, "i-1", true)
		check.Equal((<-granted).Replica, "i-1")
		first.Leave()
		synctest.Wait()
		check.Equal(w.names(&w.turns), []string{"second"})
	})
}

// Guards against requests that wait although it is known that they have no place in time.
func TestRequestsThatWouldWaitInVainAreRefusedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		for range 8 { // four requests end in a second
			w.free()
			time.Sleep(250 * time.Millisecond)
		}
		for i := range 10 {
			w.wait(t.Context(), fmt.Sprint(i), request("acme", 1))
		}
		check.True(len(w.names(&w.refused)) >= 5)
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, retry := range w.retries {
			check.True(retry >= time.Second && retry <= 3*time.Second)
		}
	})
}

// Guards against a request that keeps its place in the queue after its caller has left.
func TestCallerThatLeavesFreesItsTurn(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		w.wait(ctx, "left", request("acme", 0))
		w.wait(t.Context(), "stays", request("acme", 1))
		cancel()
		synctest.Wait()
		check.Equal(w.names(&w.refused), []string{"left"})
		w.free()
		check.Equal(w.names(&w.turns), []string{"stays"})
	})
}

// Guards against a queue that callers can fill without bound.
func TestQueueIsBounded(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		w.queue = queue.New(queue.Config{
			MaxWaiting: 3,
			MaxBytes:   100,
		})
		for i := range 5 {
			w.wait(t.Context(), fmt.Sprint(i), request("acme", 1))
		}
		check.Equal(w.names(&w.refused), []string{"3", "4"})
		w.free()
		large := request("acme", 1)
		large.Bytes = 101
		w.wait(t.Context(), "large", large)
		check.Equal(w.names(&w.refused), []string{"3", "4", "large"})
	})
}

// Guards against priorities outside the classes, and against requests that have no time to wait.
func TestOddRequests(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		w.wait(t.Context(), "huge", request("", 1<<40))
		w.wait(t.Context(), "negative", request("", -7))
		never := request("acme", 0)
		never.StartBy = time.Time{}
		w.wait(t.Context(), "never", never)
		check.Equal(w.names(&w.refused), []string{"never"})
		w.free()
		w.free()
		check.Equal(w.names(&w.turns), []string{"negative", "huge"})
	})
}

// Guards against trials that go on as often as before although all of them are rejected.
func TestRejectedTrialsBecomeRarer(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		check := is.New(t)
		trials := 0
		for range 100 {
			var e queue.Entry
			w.queue.Enter(&e, request("acme", 0))
			if e.MayTry(true) {
				trials++
				e.Rejected()
			}
			time.Sleep(50 * time.Millisecond)
		}
		check.True(trials >= 5 && trials <= 12)
		time.Sleep(time.Second)
		var e queue.Entry
		w.queue.Enter(&e, request("acme", 0))
		check.True(e.MayTry(true))
		e.Began()
		check.True(e.MayTry(true)) // there was room
	})
}

// A request that finds no place waits for one of a request that ends.
func ExampleQueue() {
	q := queue.New(queue.Config{})
	var e queue.Entry
	q.Enter(&e, queue.Request{
		Service:      "svc",
		Organisation: "acme",
		Deadline:     time.Now().Add(5 * time.Second),
		StartBy:      time.Now().Add(time.Second),
	})
	go func() {
		for !q.IsShort("svc") {
			time.Sleep(time.Millisecond)
		}
		q.Freed("svc", "i-1", true)
	}()
	turn, err := e.Wait(context.Background())
	fmt.Println(turn.Replica, err)
	e.Sent()
	e.Began()
	e.Ended()
	// Output: i-1 <nil>
}

// BenchmarkPass measures a request that does not wait.
func BenchmarkPass(b *testing.B) {
	q := queue.New(queue.Config{})
	var e queue.Entry
	r := request("acme", 1)
	b.ReportAllocs()
	for b.Loop() {
		q.Enter(&e, r)
		_ = e.OthersWait()
		e.Sent()
		e.Began()
		e.Ended()
		q.Freed(service, "i-1", false)
	}
}
