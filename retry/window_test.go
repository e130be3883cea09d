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
