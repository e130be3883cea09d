package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/prefix"
	"zinniamast/routing"
)

// eightReplicaBoard returns a board with eight replicas that receive requests unchanged.
func eightReplicaBoard() *blackboard.Board {
	board := blackboard.New()
	for i := range 8 {
		board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            fmt.Sprintf("replica-%d", i),
				FailureDomain: domains[0],
				Service:       "service",
			},
			Replica: passthroughReplica{},
			Slots:   16,
		})
	}
	return board
}

// Guards against a repeated prefill of a session's shared prefix at one replica after the
// other. Ninety nodes send the session's requests and each has a history of only its own.
// If engines do not report the contents of their caches, the home of a prefix looks no
// better than any replica with slightly less load. With HomeCachedShare it is assumed to have
// most of the prefix cached, and every node chooses it while it meets the target.
func TestNodesWithoutHistoryAgreeOnAHome(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	board := eightReplicaBoard()
	request := &zinniamast.RouteRequest{
		Service:      "service",
		PromptTokens: 6000,
		Prefix: prefix.HashParts([]prefix.Part{
			{
				ID:     1,
				Tokens: 500,
			},
			{
				ID:     2,
				Tokens: 4800,
			},
		}),
		FirstTokenTarget: time.Second,
	}
	node := func(name string, homeHolds float64) *routing.Router {
		return routing.New(routing.Config{
			Board:           board,
			Node:            name,
			FailureDomain:   domains[0],
			HomeCostRatio:   1.6,
			HomeCachedShare: homeHolds,
			Seed:            uint64(len(name)),
			Now:             clock.Now,
		})
	}
	routeWithBusyHome := func(router *routing.Router, replica string) string {
		clock.advance(time.Second)
		router.RecordReport(replica, zinniamast.LoadReport{
			At:           clock.Now(),
			Running:      5,
			QueuedTokens: 1500,
		})
		choice, err := router.Route(request)
		check.NoErr(err)
		return choice.Upstream
	}
	first := node("first", 0.7)
	home, err := first.Route(request)
	check.NoErr(err)
	check.Equal(routeWithBusyHome(first, home.Upstream), home.Upstream)
	other := node("another", 0.7)
	_, err = other.Route(request)
	check.NoErr(err)
	check.Equal(routeWithBusyHome(other, home.Upstream), home.Upstream)

	without := node("without", 0)
	_, err = without.Route(request)
	check.NoErr(err)
	check.True(routeWithBusyHome(without, home.Upstream) != home.Upstream)

	// A full home is not chosen.
	clock.advance(time.Second)
	first.RecordReport(home.Upstream, zinniamast.LoadReport{
		At:      clock.Now(),
		Running: 16,
	})
	choice, err := first.Route(request)
	check.NoErr(err)
	check.True(choice.Upstream != home.Upstream)
}
