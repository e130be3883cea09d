package retry_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast/retry"
)

// one is a window of one node.
func one(ratio, slack float64, window time.Duration, now func() time.Time) *retry.Window {
	return retry.NewWindow(retry.WindowConfig{
		Ratio:  ratio,
		Slack:  slack,
		Window: window,
		Nodes:  func() int { return 1 },
		Now:    now,
	})
}

// RetryWait is the time until a repeated send leaves the window.
func TestRetryWaitUntilARepeatedSendExpires(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1000, 0)
	w := one(0, 2, 10*time.Second, func() time.Time { return now }) // One repeated send: 0.85 x 2.
	wait, ok := w.RetryWait("svc")
	check.True(ok)
	check.Equal(wait, time.Duration(0))
	check.True(w.AllowRetry("svc"))
	wait, ok = w.RetryWait("svc")
	check.True(ok)
	check.Equal(wait, 11*time.Second) // The slot of a send stays as long as a part of it is within the window.
	now = now.Add(wait)
	check.True(w.AllowRetry("svc"))
}

// RetryWait is the time until requests at the present rate raise the limit.
func TestRetryWaitUntilRequestsRaiseTheLimit(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1000, 0)
	w := one(0.5, 0, 10*time.Second, func() time.Time { return now })
	for range 4 {
		w.Started("svc")
	}
	check.True(w.AllowRetry("svc")) // 0.85 x 0.5 x 4 is 1.7.
	now = now.Add(2 * time.Second)
	wait, ok := w.RetryWait("svc")
	check.True(ok)
	check.Equal(wait.Round(time.Millisecond), 353*time.Millisecond) // 0.3 missing of 0.85 x 0.5 x 2 a second
}

// Guards against waiting for a retry that the limit never allows.
func TestRetryWaitWithoutAnyRetry(t *testing.T) {
	check := is.New(t)
	w := one(0, 1, 10*time.Second, nil)
	_, ok := w.RetryWait("svc")
	check.True(!ok)
	check.True(!w.AwaitRetry(t.Context(), "svc", time.Now().Add(time.Hour)))
}

// Guards against holding requests for a retry that goes to others, and against serving them out of order.
func TestAwaitRetryServesInOrder(t *testing.T) {
	type result struct {
		isAllowed bool
		at        time.Duration
	}
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		start := time.Now()
		w := one(0, 2.4, time.Second, nil) // Two repeated sends in a window.
		check.True(w.AllowRetry("svc"))
		time.Sleep(300 * time.Millisecond)
		check.True(w.AllowRetry("svc"))
		var results [4]result
		var all sync.WaitGroup
		for i := range results {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				results[i].isAllowed = w.AwaitRetry(t.Context(), "svc", start.Add(2*time.Second))
				results[i].at = time.Since(start)
			})
		}
		all.Wait()
		check.Equal(results, [4]result{
			{
				isAllowed: true,
				at:        1100 * time.Millisecond,
			},
			{
				isAllowed: true,
				at:        1400 * time.Millisecond,
			},
			{
				at: 302 * time.Millisecond,
			},
			{
				at: 303 * time.Millisecond,
			},
		})
	})
}

// Guards against a request that takes the retry for which another one waits.
func TestAllowRetryLeavesRetriesToThoseThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		w := one(0.5, 0, 10*time.Second, nil)
		for range 3 {
			w.Started("svc")
		}
		check.True(w.AllowRetry("svc")) // 0.85 x 0.5 x 3 is 1.275.
		time.Sleep(time.Second)
		granted := make(chan bool)
		go func() { granted <- w.AwaitRetry(t.Context(), "svc", time.Now().Add(5*time.Second)) }()
		synctest.Wait()
		for range 2 {
			w.Started("svc")
		}
		check.True(!w.AllowRetry("svc"))
		check.True(<-granted)
	})
}

// Guards against a request that keeps its place after its caller has left.
func TestAwaitRetryEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		start := time.Now()
		w := one(0, 1.2, time.Second, nil)
		check.True(w.AllowRetry("svc"))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		check.True(!w.AwaitRetry(ctx, "svc", start.Add(5*time.Second)))
		check.Equal(time.Since(start), 100*time.Millisecond)
		time.Sleep(time.Second)
		check.True(w.AllowRetry("svc"))
	})
}

// Guards against repeated sends that were waited for and exceed, over all nodes, the ratio of the requests plus the slack.
func TestWindowLimitsRepeatsThatWereAwaited(t *testing.T) {
	const ratio, slack, window = 0.2, 12.0, 10 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		nodeCount := rapid.IntRange(1, 4).Draw(r, "nodes")
		steps := rapid.SliceOfN(rapid.IntRange(0, 300), 20, 150).Draw(r, "steps")
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var started, repeated []time.Time
			var all sync.WaitGroup
			nodes := make([]*retry.Window, nodeCount)
			for i := range nodes {
				nodes[i] = retry.NewWindow(retry.WindowConfig{
					Ratio:  ratio,
					Slack:  slack,
					Window: window,
					Nodes:  func() int { return nodeCount },
				})
			}
			for i, step := range steps {
				time.Sleep(time.Duration(step) * time.Millisecond)
				node := nodes[i%nodeCount]
				if step%3 > 0 {
					mu.Lock()
					started = append(started, time.Now())
					mu.Unlock()
					node.Started("svc")
				}
				all.Go(func() {
					if node.AwaitRetry(t.Context(), "svc", time.Now().Add(2*time.Second)) {
						mu.Lock()
						defer mu.Unlock()
						repeated = append(repeated, time.Now())
					}
				})
			}
			all.Wait()
			for _, at := range repeated {
				repeats := countWithin(repeated, at, window)
				requests := max(countWithin(started, at, window), countWithin(started, at.Add(-window), window), countWithin(started, at.Add(-window/2), window))
				if float64(repeats) > ratio*float64(requests)+slack {
					t.Fatalf("%d repeats for %d requests", repeats, requests)
				}
			}
		})
	})
}

// Guards against a look at the retry budget that allocates memory for each request while retries are left.
func TestLookAtRetriesThatAreLeftAllocatesNothing(t *testing.T) {
	check := is.New(t)
	window := retry.NewWindow(retry.WindowConfig{
		Ratio:  0.2,
		Slack:  50,
		Window: 10 * time.Second,
		Nodes:  func() int { return 1 },
	})
	allocations := testing.AllocsPerRun(100, func() {
		wait, ok := window.RetryWait("svc")
		check.True(ok && wait == 0)
	})
	check.Equal(allocations, 0.0)
}
