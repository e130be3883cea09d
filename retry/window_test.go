package retry_test

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast/retry"
)

// Every node sends again as often as AllowRetry allows, at any rate. Over all nodes and
// in every window, repeated sends stay within the ratio of the requests plus the
// slack, although the nodes do not communicate.
func TestWindowLimitsRepeatsOfAllNodes(t *testing.T) {
	const ratio, slack, window = 0.2, 58.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		nodes := make([]*retry.Window, rapid.IntRange(1, 9).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = retry.NewWindow(retry.WindowConfig{
				Ratio:  ratio,
				Slack:  slack,
				Window: window,
				Nodes:  func() int { return len(nodes) },
				Now:    func() time.Time { return now },
			})
		}
		var started, repeated []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				node.Started("svc")
				started = append(started, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "repeats") {
				if node.AllowRetry("svc") {
					repeated = append(repeated, now)
				}
			}
		}
		for _, at := range repeated {
			repeats := countWithin(repeated, at, window)
			// Requests of this window or the previous one, which the platform counts.
			requests := max(countWithin(started, at, window), countWithin(started, at.Add(-window), window), countWithin(started, at.Add(-window/2), window))
			if float64(repeats) > ratio*float64(requests)+slack {
				t.Fatalf("%d repeats for %d requests", repeats, requests)
			}
		}
	})
}

// countWithin counts the times in the window that starts at from.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			count++
		}
	}
	return count
}

// AllowRetry allows the node's share of the slack for a service without requests, and
// for one with requests a ratio of them in addition.
func TestWindowAllowsRepeatsUpToLimit(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1000, 0)
	w := retry.NewWindow(retry.WindowConfig{
		Ratio:  0.2,
		Slack:  20,
		Window: 10 * time.Second,
		Nodes:  func() int { return 2 },
		Now:    func() time.Time { return now },
	})
	count := func() int {
		allowed := 0
		for w.AllowRetry("svc") {
			allowed++
		}
		return allowed
	}
	check.Equal(count(), 8) // 0.85 of half of the slack of 20
	for range 100 {
		w.Started("svc")
	}
	check.Equal(count(), 17) // 0.85 of 0.2 of 100 requests
	now = now.Add(12 * time.Second)
	check.Equal(count(), 8) // the window has passed
}

// Guards against a retry budget whose use cannot be told from the log.
func TestRefusedRetriesAreLoggedOncePerSlot(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1000, 0)
	var log strings.Builder
	w := retry.NewWindow(retry.WindowConfig{
		Ratio:  0.2,
		Slack:  20,
		Window: 10 * time.Second,
		Nodes:  func() int { return 4 },
		Logger: slog.New(slog.NewTextHandler(&log, nil)),
		Now:    func() time.Time { return now },
	})
	for range 2 {
		for range 10 {
			w.AllowRetry("svc")
		}
		now = now.Add(time.Second)
	}
	check.Equal(strings.Count(log.String(), `msg="retry budget used up" service=svc started=0 repeated=4 limit=4.25 nodes=4`), 2)
	check.Equal(strings.Count(log.String(), "\n"), 2)
}

// repeatBound checks repeated sends against the bound of a service.
type repeatBound struct {
	ratio, slack float64
	window       time.Duration

	started, repeated []time.Time
}

// check fails if a window has more repeated sends than its requests, or those of a window
// before it that the platform counts as well, allow.
func (b *repeatBound) check(t *rapid.T) {
	for _, at := range b.repeated {
		repeats := countWithin(b.repeated, at, b.window)
		requests := max(countWithin(b.started, at, b.window), countWithin(b.started, at.Add(-b.window), b.window), countWithin(b.started, at.Add(-b.window/2), b.window))
		if float64(repeats) > b.ratio*float64(requests)+b.slack {
			t.Fatalf("%d repeats for %d requests", repeats, requests)
		}
	}
}

// Guards against nodes that use their limit once more after each restart.
func TestWindowLimitsRepeatsOfRestartedNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := &repeatBound{
			ratio:  0.2,
			slack:  58,
			window: 10 * time.Second,
		}
		now := time.Unix(1000, 0)
		nodes := make([]*retry.Window, rapid.IntRange(1, 9).Draw(t, "nodes"))
		start := func(i int, from time.Time) {
			nodes[i] = retry.NewWindow(retry.WindowConfig{
				Ratio:      bound.ratio,
				Slack:      bound.slack,
				Window:     bound.window,
				Nodes:      func() int { return len(nodes) },
				EarnedFrom: func() time.Time { return from },
				SharedFrom: func() time.Time { return from },
				Now:        func() time.Time { return now },
			})
		}
		for i := range nodes {
			start(i, now)
		}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "restarts") == 0 {
				handovers := map[int]retry.Handover{}
				for i := range nodes {
					switch rapid.IntRange(0, 2).Draw(t, "restarted") {
					case 1:
						start(i, now.Add(bound.window))
					case 2:
						handovers[i] = nodes[i].HandOver()
					}
				}
				down := time.Duration(rapid.IntRange(0, 3000).Draw(t, "down")) * time.Millisecond
				now = now.Add(down)
				for i, handover := range handovers {
					start(i, now.Add(bound.window))
					nodes[i].TakeOver(handover, down)
				}
			}
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			node.Started("svc")
			bound.started = append(bound.started, now)
			for node.AllowRetry("svc") {
				bound.repeated = append(bound.repeated, now)
			}
		}
		bound.check(t)
	})
}

// Guards against nodes that use a share of the slack that the others do not leave to them yet.
func TestWindowLimitsRepeatsWhileNodesJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const noticedAfter = 6 * time.Second
		bound := &repeatBound{
			ratio:  0.2,
			slack:  58,
			window: 10 * time.Second,
		}
		now := time.Unix(1000, 0)
		var nodes []*retry.Window
		var joined []time.Time
		join := func(sharedFrom time.Time) {
			self := now
			joined = append(joined, self)
			nodes = append(nodes, retry.NewWindow(retry.WindowConfig{
				Ratio:  bound.ratio,
				Slack:  bound.slack,
				Window: bound.window,
				Nodes: func() int {
					count := 0
					for _, at := range joined {
						if at.Equal(self) || !now.Before(at.Add(noticedAfter)) {
							count++
						}
					}
					return count
				},
				SharedFrom: func() time.Time { return sharedFrom },
				Now:        func() time.Time { return now },
			}))
		}
		for range rapid.IntRange(1, 5).Draw(t, "nodes") {
			join(now)
		}
		now = now.Add(noticedAfter)
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "joins") == 0 {
				for range rapid.IntRange(1, 5).Draw(t, "joining") {
					join(now.Add(2 * bound.window))
				}
			}
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			node.Started("svc")
			bound.started = append(bound.started, now)
			for node.AllowRetry("svc") {
				bound.repeated = append(bound.repeated, now)
			}
		}
		bound.check(t)
	})
}

// Guards against a restarted node that does not get its limit back, and against a wait that ends before it does.
func TestRestartedNodeGetsItsLimitBack(t *testing.T) {
	check := is.New(t)
	start := time.Unix(1000, 0)
	now := start
	back := func() time.Time { return start.Add(10 * time.Second) }
	w := retry.NewWindow(retry.WindowConfig{
		Slack:      20,
		Window:     10 * time.Second,
		Nodes:      func() int { return 1 },
		EarnedFrom: back,
		SharedFrom: back,
		Now:        func() time.Time { return now },
	})
	wait, ok := w.RetryWait("svc")
	check.True(ok)
	check.Equal(wait.Round(time.Millisecond), 5*time.Second) // 0.1 x 20 in 10 s
	now = now.Add(wait.Round(time.Millisecond))
	check.True(w.AllowRetry("svc"))
	wait, ok = w.RetryWait("svc")
	check.True(ok)
	check.Equal(now.Add(wait.Round(time.Millisecond)), back())
	now = back()
	for range 16 { // 0.85 x 20, less the one that was sent
		check.True(w.AllowRetry("svc"))
	}
	check.True(!w.AllowRetry("svc"))
}
