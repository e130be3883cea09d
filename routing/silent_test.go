package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/routing"
)

// Guards against requests that wait until their deadline at an unresponsive replica. One of
// two replicas stops responding without a connection reset. Since its requests do not end,
// none has failed yet, and it looks as idle as before. Its load reports stop while the
// other's continue, so that new requests go to the other. Once both are silent, the poller
// may be the one that is unreachable, and both are used.
func TestSilentReplicaGetsNoNewRequests(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	board := blackboard.New()
	for _, id := range []string{"dark", "well"} {
		board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            id,
				FailureDomain: domains[0],
				Service:       "service",
			},
			Replica: passthroughReplica{},
			Slots:   16,
		})
	}
	router := routing.New(routing.Config{
		Board:         board,
		Node:          "node",
		FailureDomain: domains[0],
		SilentAfter:   time.Second,
		Now:           clock.Now,
	})
	request := &zinniamast.RouteRequest{
		Service:      "service",
		PromptTokens: 500,
	}
	report := func(id string, running int) {
		router.RecordReport(id, zinniamast.LoadReport{
			At:      clock.Now(),
			Running: running,
		})
	}
	_, err := router.Route(request)
	check.NoErr(err)
	report("dark", 0)
	for range 4 {
		clock.advance(300 * time.Millisecond)
		report("well", 8)
	}
	for range 20 {
		choice, err := router.Route(request)
		check.NoErr(err)
		check.Equal(choice.Upstream, "well")
	}
	report("dark", 0)
	choice, err := router.Route(request)
	check.NoErr(err)
	check.Equal(choice.Upstream, "dark")
	clock.advance(5 * time.Second)
	choice, err = router.Route(request)
	check.NoErr(err)
	check.Equal(choice.Upstream, "dark")
}

// Guards against replicas that count as silent because so many are read in turns that each is read rarely.
func TestReplicasThatAreReadInTurnsAreNotSilent(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	board := blackboard.New()
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            id,
				FailureDomain: domains[0],
				Service:       "service",
			},
			Replica: passthroughReplica{},
			Slots:   16,
		})
	}
	router := routing.New(routing.Config{
		Board:         board,
		Node:          "node",
		FailureDomain: domains[0],
		SilentAfter:   time.Second,
		Now:           clock.Now,
	})
	request := &zinniamast.RouteRequest{
		Service:      "service",
		PromptTokens: 500,
	}
	_, err := router.Route(request)
	check.NoErr(err)
	for i := range 40 {
		clock.advance(time.Second)
		running := 8
		if ids[i%len(ids)] == "a" {
			running = 0
		}
		router.RecordReport(ids[i%len(ids)], zinniamast.LoadReport{
			At:      clock.Now(),
			Running: running,
		})
	}
	// The report on a, which is idle, is three seconds older than the newest.
	choice, err := router.Route(request)
	check.NoErr(err)
	check.Equal(choice.Upstream, "a")
}
