package routing_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/routing"
)

// completeAttempt observes one attempt from start to end with the given times.
func completeAttempt(clock *fakeClock, router *routing.Router, request *zinniamast.RouteRequest, upstream, attempt string, first, between time.Duration) {
	startAttempt(router, request, upstream, attempt)
	clock.advance(first)
	router.Observe(zinniamast.Observation{
		Kind:     zinniamast.ObservedFirstToken,
		Attempt:  attempt,
		Upstream: upstream,
	})
	const tokens = 50
	clock.advance((tokens - 1) * between)
	router.Observe(zinniamast.Observation{
		Kind:     zinniamast.ObservedEnd,
		Attempt:  attempt,
		Upstream: upstream,
		Tokens:   tokens,
	})
}

// Guards against a class's learned speed that hides a slow replica. Of two replicas of one
// class, one is four times as slow. While the slow one is empty and the fast one busy, a
// request arrives that only the fast one can serve within the target.
func TestSpeedIsLearnedPerReplica(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, newBoard(2), newBus(), "n1")
	request := newRouteRequest(clock.now)
	request.Prefix = nil
	request.PromptTokens = 1000
	_, err := router.Route(request)
	is.NoErr(err)
	for i := range 60 {
		completeAttempt(clock, router, request, "engine-0000", fmt.Sprint("fast", i), 100*time.Millisecond, 20*time.Millisecond)
		completeAttempt(clock, router, request, "engine-0001", fmt.Sprint("slow", i), 400*time.Millisecond, 80*time.Millisecond)
	}
	startAttempt(router, request, "engine-0000", "running")
	clock.advance(time.Second)
	router.Observe(zinniamast.Observation{
		Kind:     zinniamast.ObservedFirstToken,
		Attempt:  "running",
		Upstream: "engine-0000",
	})
	request.Deadline = clock.now.Add(time.Minute)
	choice, err := router.Route(request)
	is.NoErr(err)
	is.Equal(choice.Upstream, "engine-0000")
	is.True(choice.BetweenTokens > 15*time.Millisecond)
	is.True(choice.BetweenTokens < 40*time.Millisecond)
	request.Avoid = []string{"engine-0000"}
	choice, err = router.Route(request)
	is.NoErr(err)
	is.True(choice.BetweenTokens > 60*time.Millisecond)
	is.True(choice.FirstToken > 300*time.Millisecond)
}

// Guards against a replica that keeps missing the target for the time between tokens. It
// misses it with twelve sequences running, although the initial limit is higher. The limit
// must fall below twelve, and rise again once the target is met.
func TestLimitFollowsTimeBetweenTokens(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, newBoard(1), newBus(), "n1")
	request := newRouteRequest(clock.now)
	request.Prefix = nil
	request.PromptTokens = 100
	_, err := router.Route(request)
	is.NoErr(err)
	is.Equal(router.Limit("engine-0000"), 32)
	for i := range 12 {
		startAttempt(router, request, "engine-0000", fmt.Sprint("other", i))
	}
	for i := range 5 {
		completeAttempt(clock, router, request, "engine-0000", fmt.Sprint(i), 100*time.Millisecond, 90*time.Millisecond)
	}
	lowered := router.Limit("engine-0000")
	is.True(lowered < 12)
	for i := range 40 {
		completeAttempt(clock, router, request, "engine-0000", fmt.Sprint("better", i), 100*time.Millisecond, 10*time.Millisecond)
	}
	is.True(router.Limit("engine-0000") > lowered)
}

// Of two replicas that meet the target, the cheaper one is chosen; the expensive one
// stays empty, so that it can be returned.
func TestCheaperReplicaIsChosenWithinTheTarget(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	board := newBoard(2)
	router := newRouter(clock, board, newBus(), "n1")
	router.SetPrices([]zinniamast.Offer{
		{
			FailureDomain: domains[0],
			Class:         "large",
			Market:        zinniamast.Reclaimable,
			Price:         3,
		},
		{
			FailureDomain: domains[1],
			Class:         "large",
			Market:        zinniamast.Reclaimable,
			Price:         1,
		},
	})
	request := newRouteRequest(clock.now)
	request.Prefix = nil
	request.PromptTokens = 100
	for i := range 5 {
		choice, err := router.Route(request)
		is.NoErr(err)
		is.Equal(choice.Upstream, "engine-0001")
		startAttempt(router, request, choice.Upstream, fmt.Sprint(i))
	}
}

// Guards other requests against a request that crashes replicas. It is retried in a fleet
// in which one replica of 400 is idle, and must run there, where no other request would
// fail with it.
func TestSuspectRequestRunsOnIdleReplica(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, newBoard(400), newBus(), "n1")
	request := newRouteRequest(clock.now)
	_, err := router.Route(request)
	is.NoErr(err)
	for i := range 400 {
		if i != 321 {
			startAttempt(router, request, fmt.Sprintf("engine-%04d", i), fmt.Sprint(i))
		}
	}
	request.Alone = true
	choice, err := router.Route(request)
	is.NoErr(err)
	is.Equal(choice.Upstream, "engine-0321")
}

// Route, Observe, Forecast, Reported, Explain and Tick run concurrently; run with -race.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	board := newBoard(50)
	router := routing.New(routing.Config{
		Board:         board,
		FailureDomain: domains[0],
	})
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			request := newRouteRequest(time.Now())
			for i := range 100 {
				choice, err := router.Route(request)
				if err != nil {
					t.Error(err)
					return
				}
				attempt := fmt.Sprint(worker, i)
				startAttempt(router, request, choice.Upstream, attempt)
				router.Forecast(request)
				router.RecordReport(choice.Upstream, zinniamast.LoadReport{At: time.Now()})
				router.Observe(zinniamast.Observation{
					Kind:     zinniamast.ObservedEnd,
					Attempt:  attempt,
					Upstream: choice.Upstream,
				})
				router.Explain("r1")
			}
		})
	}
	for i := range 20 {
		board.Upstreams.Remove(fmt.Sprintf("engine-%04d", i))
		router.Tick(t.Context())
	}
	group.Wait()
	is.Equal(router.Running(), 0)
}
