package attempt_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/request"
	standin "zinniamast/standin/engine"
)

// badTargets are the ways in which the replica that a request moves to fails it.
var badTargets = map[string]standin.Faults{
	"full": {
		Full: true,
	},
	"breaking off": {
		CutAfter: 1,
	},
	"silent": {
		Hang: true,
	},
	"unreachable": {
		Down: true,
	},
}

// requireProduced waits in virtual time until a request has at least one token, and fails the test if its replica is another one.
func requireProduced(t *testing.T, q *request.Request, upstream string) {
	t.Helper()
	for {
		produced, at, _ := q.Progress()
		if produced > 0 {
			is.New(t).Equal(at, upstream)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against failing a request whose only replica is healthy but takes longer between tokens than the stall limit.
func TestSilentReplicaKeepsARequestThatCannotMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(1, standin.Config{
			FirstToken:    100 * time.Millisecond,
			BetweenTokens: 4 * time.Second,
		}, 0)
		defer g.stop()
		q := g.start(context.Background(), 1, 100, 6)
		requireWholeAnswer(t, q)
		is.New(t).Equal(g.engines[0].Counts().Started, 1)
	})
}

// Guards against leaving a healthy replica that pauses longer than the stall limit for replicas that do not take the request over, which loses an answer whose next token comes half a second later.
func TestSilentReplicaIsNotLeftForReplicasThatFailTheRequest(t *testing.T) {
	for name, faults := range badTargets {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// There are as many failing replicas as the policy allows attempts after the first.
				g := newRig(6, standin.Config{
					FirstToken:    100 * time.Millisecond,
					BetweenTokens: 3500 * time.Millisecond,
				}, 0)
				defer g.stop()
				for i := range g.engines[1:] {
					g.board.Upstreams.MarkLeaving(fmt.Sprint("engine-", i+1), time.Now().Add(time.Minute))
				}
				q := g.start(context.Background(), 1, 100, 6)
				requireProduced(t, q, "engine-0")
				for i, e := range g.engines[1:] {
					e.SetFaults(faults)
					g.board.Upstreams.Readmit(fmt.Sprint("engine-", i+1))
				}
				requireWholeAnswer(t, q)
			})
		})
	}
}

// Guards against a replica that stays accounted as running a request after the request's attempt there was withdrawn or failed.
func TestAttemptsBesideASilentReplicaAreSettled(t *testing.T) {
	for name, faults := range badTargets {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(2, standin.Config{
					FirstToken:    100 * time.Millisecond,
					BetweenTokens: 3500 * time.Millisecond,
				}, 0)
				defer g.stop()
				g.board.Upstreams.MarkLeaving("engine-1", time.Now().Add(time.Minute))
				q := g.start(context.Background(), 1, 100, 6)
				requireProduced(t, q, "engine-0")
				g.engines[1].SetFaults(faults)
				g.board.Upstreams.Readmit("engine-1")
				<-q.Done()
				synctest.Wait()
				for _, upstream := range g.board.Upstreams.All() {
					is.Equal(upstream.Inflight(), int64(0))
				}
			})
		})
	}
}

// Guards against keeping a request until its deadline after its silent replica and all further ones have broken off.
func TestRequestEndsWithItsLastAttempt(t *testing.T) {
	const pause, maxAttempts = 4 * time.Second, 6
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		g := newRig(3, standin.Config{
			FirstToken:    100 * time.Millisecond,
			BetweenTokens: pause,
		}, 0)
		defer g.stop()
		for _, e := range g.engines {
			e.SetFaults(standin.Faults{
				CutAfter: 2,
			})
		}
		start := time.Now()
		q := g.start(context.Background(), 1, 100, 100)
		<-q.Done()
		check.Equal(q.State(), request.StateFailed)
		check.True(time.Since(start) < 2*maxAttempts*pause) // each attempt sends two tokens at most
		started := 0
		for _, e := range g.engines {
			started += e.Counts().Started
		}
		check.True(started <= maxAttempts)
	})
}
