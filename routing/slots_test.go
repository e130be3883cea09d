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

// passthroughReplica is a replica that takes requests as they are; nothing is sent to it.
type passthroughReplica struct{}

func (passthroughReplica) Send(context.Context, *http.Request) (*http.Response, error) {
	return nil, fmt.Errorf("nothing is sent")
}

func (passthroughReplica) Close() {}

// twoReplicaBoard has one replica in the node's failure domain and one in another.
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

// Callers see first events seconds late while replicas stand idle: a replica
// runs four requests at once and says so, and the node goes on sending to it
// since it trusts every replica with 32. The fifth waits for a slot there.
func TestFullReplicaGetsNoNewRequests(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, twoReplicaBoard(4), newBus(), "node")
	need := &zinniamast.Need{
		Service:          "service",
		PromptTokens:     500,
		FirstTokenTarget: 800 * time.Millisecond,
	}
	_, err := router.Route(need)
	check.NoErr(err)
	for i := range 4 {
		attempt := fmt.Sprint(i)
		startAttempt(router, need, "near", attempt)
		router.Observe(zinniamast.Observation{
			Kind:     zinniamast.ObservedFirstToken,
			Attempt:  attempt,
			Upstream: "near",
		})
	}
	// Its prompt is yet to be read, which makes the other replica the slower one.
	startAttempt(router, need, "far", "long")
	choice, err := router.Route(need)
	check.NoErr(err)
	check.Equal(choice.Upstream, "far")
	check.Equal(router.Limit("near"), 4)
}

// Callers of a service without prompts miss their latency target at one replica
// while others have room: its calls carry no tokens, so that by tokens the next
// one is predicted to take as long as the first, however many run there.
func TestCallsArePredictedByCallsInProgress(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	router := routing.New(routing.Config{
		Board:         twoReplicaBoard(6),
		Node:          "node",
		FailureDomain: domains[0],
		Plain:         func(string) bool { return true },
		Seed:          5,
		Now:           clock.Now,
	})
	need := &zinniamast.Need{
		Service:          "service",
		FirstTokenTarget: 150 * time.Millisecond,
		Avoid:            []string{"far"},
	}
	alone, err := router.Route(need)
	check.NoErr(err)
	for i := range 4 {
		startAttempt(router, need, "near", fmt.Sprint(i))
	}
	fifth, err := router.Route(need)
	check.NoErr(err)
	check.True(fifth.FirstToken > alone.FirstToken)
}

// A caller that allows long pauses is no reason to send fewer requests to a
// replica: events come each 100 ms, far within the 250 ms that its route
// allows, though above what the configuration says for models.
func TestLimitUsesTargetOfRequest(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, twoReplicaBoard(16), newBus(), "node")
	need := &zinniamast.Need{
		Service:      "service",
		PromptTokens: 500,
	}
	_, err := router.Route(need)
	check.NoErr(err)
	for i := range 30 {
		attempt := fmt.Sprint(i)
		router.Observe(zinniamast.Observation{
			Kind:                zinniamast.ObservedStart,
			Attempt:             attempt,
			Upstream:            "near",
			PromptTokens:        need.PromptTokens,
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
