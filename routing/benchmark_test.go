package routing_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/prefix"
	"zinniamast/routing"
)

// domains are the failure domains of the test fleets.
var domains = [...]string{"burnaby-a", "surrey-b", "richmond-c", "coquitlam-d"}

// fakeEngine is an engine whose load reports always fail.
type fakeEngine struct {
	zinniamast.Engine
}

func (fakeEngine) Load(context.Context) (zinniamast.LoadReport, error) {
	return zinniamast.LoadReport{}, errors.New("no report")
}

// newBoard returns a board with the given number of replicas of one service.
func newBoard(replicas int) *blackboard.Board {
	board := blackboard.New()
	for i := range replicas {
		board.Upstreams.Add(newUpstream(fmt.Sprintf("engine-%04d", i), domains[i%len(domains)]))
	}
	return board
}

func newUpstream(id, domain string) *blackboard.Upstream {
	return &blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:            id,
			FailureDomain: domain,
			Class:         "large",
			Market:        zinniamast.Reclaimable,
			Service:       "assistant",
		},
		Engine: fakeEngine{},
	}
}

// promptPrefix returns the prefix hashes of a prompt of the given length, filled with mark.
func promptPrefix(tokens int, mark byte) []uint64 {
	text := make([]byte, tokens*prefix.BytesPerToken)
	for i := range text {
		text[i] = mark
	}
	return prefix.Hashes(nil, text)
}

func newRouteRequest(now time.Time) *zinniamast.RouteRequest {
	return &zinniamast.RouteRequest{
		Request:             "r1",
		Service:             "assistant",
		Organisation:        "cedarline",
		Class:               "normal",
		Priority:            1,
		PromptTokens:        30_000,
		MaxTokens:           800,
		Prefix:              promptPrefix(30_000, 'a'),
		Deadline:            now.Add(2 * time.Minute),
		FirstTokenTarget:    400 * time.Millisecond,
		BetweenTokensTarget: 48 * time.Millisecond,
	}
}

// warmUp gives the router some attempts in progress and some history.
func warmUp(router *routing.Router, request *zinniamast.RouteRequest) {
	for i := range 64 {
		choice, err := router.Route(request)
		if err != nil {
			panic(err)
		}
		router.Observe(zinniamast.Observation{
			Kind:         zinniamast.ObservedStart,
			Attempt:      fmt.Sprint(i),
			Upstream:     choice.Upstream,
			PromptTokens: 2000,
			Prefix:       promptPrefix(2000, byte(i)),
		})
	}
}

// interfaceConfigs returns the router's settings for the two interfaces. On the platform,
// replicas do not report the contents of their caches and fetch prefixes from each other.
func interfaceConfigs(replicas int) map[string]routing.Config {
	own := routing.Config{
		Board:         newBoard(replicas),
		FailureDomain: domains[0],
		Seed:          1,
	}
	platform := own
	platform.HomeCostRatio = 1.3
	platform.HomeCachedShare = 0.7
	platform.FetchTimePerToken = func(string) time.Duration { return 500 * time.Nanosecond }
	return map[string]routing.Config{
		"own":      own,
		"platform": platform,
	}
}

// BenchmarkRoute measures a decision. With seven other busy processes on eight cores, it
// takes 2.8, 6.0 and 7.0 µs on the own interface and 4.7, 7.6 and 8.6 µs on the platform
// for 12, 400 and 5,700 replicas.
func BenchmarkRoute(b *testing.B) {
	for _, replicas := range []int{12, 400, 5700} {
		for face, config := range interfaceConfigs(replicas) {
			b.Run(fmt.Sprintf("face=%s/replicas=%d", face, replicas), func(b *testing.B) {
				router := routing.New(config)
				request := newRouteRequest(time.Now())
				warmUp(router, request)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := router.Route(request); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkRebuild measures the first decision after the fleet has changed.
func BenchmarkRebuild(b *testing.B) {
	for _, replicas := range []int{12, 400, 5700} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			board := newBoard(replicas)
			now := time.Now()
			router := routing.New(routing.Config{
				Board:         board,
				FailureDomain: domains[0],
				Seed:          1,
				Now:           func() time.Time { return now },
			})
			request := newRouteRequest(now)
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				board.Upstreams.Remove(fmt.Sprintf("extra-%d", i-1))
				board.Upstreams.Add(newUpstream(fmt.Sprintf("extra-%d", i), domains[0]))
				now = now.Add(time.Second)
				b.StartTimer()
				if _, err := router.Route(request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against allocations in Route, which runs two thousand times a second, at any size
// of the fleet. The test counts allocations instead of measuring time.
func TestRouteAllocatesNothing(t *testing.T) {
	is := is.New(t)
	for _, replicas := range []int{12, 400, 5700} {
		for _, config := range interfaceConfigs(replicas) {
			router := routing.New(config)
			request := newRouteRequest(time.Now())
			warmUp(router, request)
			allocations := testing.AllocsPerRun(200, func() {
				if _, err := router.Route(request); err != nil {
					t.Fatal(err)
				}
			})
			is.Equal(allocations, 0.0)
		}
	}
}

// BenchmarkMemory reports the memory of a new router, and that of each replica with half
// of the replicas in use.
func BenchmarkMemory(b *testing.B) {
	for _, replicas := range []int{100, 1000, 5700} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			board := newBoard(replicas)
			request := newRouteRequest(time.Now())
			for b.Loop() {
				before := heapBytes()
				router := routing.New(routing.Config{
					Board:         board,
					FailureDomain: domains[0],
					Seed:          1,
				})
				empty := heapBytes()
				if _, err := router.Route(request); err != nil {
					b.Fatal(err)
				}
				for i := range replicas / 2 {
					startAttempt(router, request, fmt.Sprintf("engine-%04d", i), fmt.Sprint(i))
				}
				full := heapBytes()
				b.ReportMetric(float64(empty-before), "B/router")
				b.ReportMetric(float64(full-empty)/float64(replicas), "B/replica")
				runtime.KeepAlive(router)
			}
		})
	}
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTick measures a tick, which runs four times a second: publishing load and
// selecting the engines to poll.
func BenchmarkTick(b *testing.B) {
	for _, replicas := range []int{12, 400, 5700} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			router := newRouter(newFakeClock(), newBoard(replicas), newBus(), "n1")
			if _, err := router.Route(newRouteRequest(time.Now())); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				router.Tick(b.Context())
			}
		})
	}
}

// BenchmarkObserve measures the observations of an attempt with a prompt of 30,000 tokens.
func BenchmarkObserve(b *testing.B) {
	clock := newFakeClock()
	router := newRouter(clock, newBoard(400), newBus(), "n1")
	request := newRouteRequest(clock.now)
	if _, err := router.Route(request); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		completeAttempt(clock, router, request, "engine-0001", "attempt", time.Second, 20*time.Millisecond)
	}
}
