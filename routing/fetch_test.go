package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/prefix"
	"zinniamast/routing"
)

// Guards against a repeated prefill of a long shared prefix whose home is full. The
// replica that receives the request instead fetches the prefix from the home, and is
// predicted to answer sooner. Nothing is fetched from a failing replica, for a short
// prefix, if replicas cannot fetch, or if their links are slower than the prefill.
func TestPrefixOfAFullHomeIsFetched(t *testing.T) {
	check := is.New(t)
	clock := newFakeClock()
	board := eightReplicaBoard()
	newRequest := func(shared int) *zinniamast.RouteRequest {
		return &zinniamast.RouteRequest{
			Service:      "service",
			PromptTokens: 12_000,
			Prefix: prefix.HashParts([]prefix.Part{{
				ID:     1,
				Tokens: shared,
			}}),
			FirstTokenTarget: 3 * time.Second,
		}
	}
	node := func(perToken time.Duration) *routing.Router {
		return routing.New(routing.Config{
			Board:             board,
			Node:              "node",
			FailureDomain:     domains[0],
			HomeCachedShare:   0.7,
			Seed:              1,
			FetchTimePerToken: func(string) time.Duration { return perToken },
			Now:               clock.Now,
		})
	}
	route := func(router *routing.Router, of *zinniamast.RouteRequest) zinniamast.Choice {
		choice, err := router.Route(of)
		check.NoErr(err)
		return choice
	}
	fill := func(router *routing.Router, replica string) {
		clock.advance(time.Second)
		router.RecordReport(replica, zinniamast.LoadReport{
			At:      clock.Now(),
			Running: 16,
		})
	}
	long := newRequest(10_000)
	fetching, reading := node(500*time.Nanosecond), node(0)
	home := route(fetching, long).Upstream
	check.Equal(route(reading, long).Upstream, home)
	fill(fetching, home)
	fill(reading, home)
	with, without := route(fetching, long), route(reading, long)
	check.True(with.Upstream != home)
	check.Equal(with.FetchFrom, home)
	check.True(without.Upstream != home)
	check.True(with.CachedTokens >= 5_000)
	check.Equal(without.FetchFrom, "")
	check.True(with.FirstToken < without.FirstToken)

	check.Equal(route(fetching, newRequest(600)).FetchFrom, "")
	slow := node(20 * time.Microsecond) // the prefill takes half of that
	check.Equal(route(slow, long).Upstream, home)
	fill(slow, home)
	check.Equal(route(slow, long).FetchFrom, "")
	for range 3 {
		fetching.Observe(zinniamast.Observation{
			Kind:     zinniamast.ObservedStart,
			Attempt:  "a",
			Upstream: home,
		})
		fetching.Observe(zinniamast.Observation{
			Kind:     zinniamast.ObservedEnd,
			Attempt:  "a",
			Upstream: home,
			Failure:  zinniamast.FailureDial,
		})
	}
	check.True(route(fetching, long).FetchFrom != home)
}
