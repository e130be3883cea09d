package routing_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/routing"
)

// passthroughReplica is a replica that receives requests unchanged; the tests send none.
type passthroughReplica struct{}

func (passthroughReplica) Send(context.Context, *http.Request) (*http.Response, error) {
	return nil, fmt.Errorf("unexpected request")
}

func (passthroughReplica) Close() {}

// twoReplicaBoard returns a board with one replica in the node's failure domain and one
// in another.
func twoReplicaBoard(slots int) *blackboard.Board {
	board := blackboard.New()
	for i, domain := range domains[:2] {
		board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            []string{"near", "far"}[i],
				FailureDomain: domain,
				Service:       "service",
			},
			Replica: passthroughReplica{},
			Slots:   slots,
		})
	}
	return board
}

// Guards against requests that queue at a full replica while others are idle. A replica
// advertises four slots. If the initial limit of 32 sequences applied to it, a fifth
// request would be sent to it and wait for a slot, seconds before its first event.
func TestFullReplicaGetsNoNewRequests(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, twoReplicaBoard(4), newBus(), "node")
	request := &zinniamast.RouteRequest{
		Service:          "service",
		PromptTokens:     500,
		FirstTokenTarget: 800 * time.Millisecond,
	}
	_, err := router.Route(request)
	check.NoErr(err)
	for i := range 4 {
		attempt := fmt.Sprint(i)
		startAttempt(router, request, "near", attempt)
		router.Observe(zinniamast.Observation{
			Kind:     zinniamast.ObservedFirstToken,
			Attempt:  attempt,
			Upstream: "near",
		})
	}
	// The prefill of this prompt is still to do, which makes far the slower replica.
	startAttempt(router, request, "far", "long")
	choice, err := router.Route(request)
	check.NoErr(err)
	check.Equal(choice.Upstream, "far")
	check.Equal(router.Limit("near"), 4)
}

// Guards against calls that miss their latency target at one replica while others have
// capacity. Calls have no tokens: predicted by tokens, the next call would take as long as
// the first, regardless of how many are in progress.
func TestCallsArePredictedByCallsInProgress(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	router := routing.New(routing.Config{
		Board:         twoReplicaBoard(6),
		Node:          "node",
		FailureDomain: domains[0],
		ServesCalls:   func(string) bool { return true },
		Seed:          5,
		Now:           clock.Now,
	})
	request := &zinniamast.RouteRequest{
		Service:          "service",
		FirstTokenTarget: 150 * time.Millisecond,
		Avoid:            []string{"far"},
	}
	alone, err := router.Route(request)
	check.NoErr(err)
	for i := range 4 {
		startAttempt(router, request, "near", fmt.Sprint(i))
	}
	fifth, err := router.Route(request)
	check.NoErr(err)
	check.True(fifth.FirstToken > alone.FirstToken)
}

// Guards against a limit that is lowered although the request's own target is met. Events
// arrive every 100 ms, well within the 250 ms target of the request's route, but above the
// configuration's target for models.
func TestLimitUsesTargetOfRequest(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, twoReplicaBoard(16), newBus(), "node")
	request := &zinniamast.RouteRequest{
		Service:      "service",
		PromptTokens: 500,
	}
	_, err := router.Route(request)
	check.NoErr(err)
	for i := range 30 {
		attempt := fmt.Sprint(i)
		router.Observe(zinniamast.Observation{
			Kind:                zinniamast.ObservedStart,
			Attempt:             attempt,
			Upstream:            "near",
			PromptTokens:        request.PromptTokens,
			BetweenTokensTarget: 250 * time.Millisecond,
		})
		router.Observe(zinniamast.Observation{
			Kind:     zinniamast.ObservedFirstToken,
			Attempt:  attempt,
			Upstream: "near",
		})
		clock.advance(2 * time.Second)
		router.Observe(zinniamast.Observation{
			Kind:         zinniamast.ObservedEnd,
			Attempt:      attempt,
			Upstream:     "near",
			CachedTokens: zinniamast.UnknownCached,
			Tokens:       21,
		})
	}
	check.Equal(router.Limit("near"), 16)
}
