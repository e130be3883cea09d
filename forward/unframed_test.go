package forward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/standin/replica"
)

// Guards against answers that end with their connection and are taken for broken ones, or for whole ones when they break off.
func TestAnswerMayEndWithItsConnection(t *testing.T) {
	const all = 6
	cases := []struct {
		name      string
		method    string
		path      string
		behaviour replica.Behaviour
		// body is what the caller gets, and isBroken whether it sees that it is incomplete.
		body     string
		isBroken bool
		status   int
		runs     int
	}{
		{
			name:   "whole stream",
			method: http.MethodPost,
			path:   pathResumable,
			behaviour: replica.Behaviour{
				Events: all,
			},
			body:   events(all),
			status: http.StatusOK,
			runs:   1,
		},
		{
			name:   "whole stream that must not be resumed",
			method: http.MethodPost,
			path:   pathStream,
			behaviour: replica.Behaviour{
				Events: all,
			},
			body:   events(all),
			status: http.StatusOK,
			runs:   1,
		},
		{
			name:   "stream that ends inside an event",
			method: http.MethodPost,
			path:   pathResumable,
			behaviour: replica.Behaviour{
				Events:     all,
				BreakAfter: 3,
				BreakNew:   true,
			},
			body:   events(all),
			status: http.StatusOK,
			runs:   2,
		},
		{
			name:   "stream that must not be resumed and ends inside an event",
			method: http.MethodPost,
			path:   pathStream,
			behaviour: replica.Behaviour{
				Events:     all,
				BreakAfter: 3,
			},
			body:     events(3),
			isBroken: true,
			status:   http.StatusOK,
			runs:     1,
		},
		{
			name:   "stream that is reset between events",
			method: http.MethodPost,
			path:   pathStream,
			behaviour: replica.Behaviour{
				Events:   all,
				ResetEnd: true,
			},
			body:     events(all),
			isBroken: true,
			status:   http.StatusOK,
			runs:     1,
		},
		{
			name:   "whole plain answer",
			method: http.MethodPost,
			path:   pathUnsafe,
			body:   "ran r-1",
			status: http.StatusOK,
			runs:   1,
		},
		{
			name:   "plain answer that is reset",
			method: http.MethodPost,
			path:   pathUnsafe,
			behaviour: replica.Behaviour{
				ResetEnd: true,
			},
			status: http.StatusBadGateway,
			runs:   1,
		},
		{
			name:   "plain answer that may be repeated and is reset",
			method: http.MethodGet,
			path:   pathSafe,
			behaviour: replica.Behaviour{
				ResetEnd: true,
			},
			status: http.StatusBadGateway,
			runs:   2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 2)
			c.behaviour.Unframed = true
			f.setBehaviour(c.behaviour)
			got := f.do(f.request(c.method, c.path, ""))
			f.is.Equal(got.status, c.status)
			f.is.Equal(got.broken, c.isBroken)
			f.is.Equal(f.runCount(), c.runs)
			if c.body != "" {
				f.is.True(strings.HasSuffix(got.body, c.body))
			}
		})
	}
}

// Guards against an answer that is reset during its upload and is passed on as a whole one.
func TestEarlyAnswerThatIsResetIsNotPassedOnAsWhole(t *testing.T) {
	for _, c := range []struct {
		path   string
		events int
		status int
		runs   int
	}{
		{
			path:   pathUnsafe,
			status: http.StatusBadGateway,
			runs:   1,
		},
		{
			path:   pathSafe,
			status: http.StatusBadGateway,
			runs:   2,
		},
		{
			path:   pathStream,
			events: 4,
			status: http.StatusOK,
			runs:   1,
		},
		{
			path:   pathResumable,
			events: 4,
			status: http.StatusOK,
			runs:   2,
		},
	} {
		t.Run(c.path, func(t *testing.T) {
			f := newFixture(t, 2)
			config := configuration()
			config.Version++
			config.Limits.MaxBodyBytes = 8 << 20
			f.routes.Apply(config)
			f.setBehaviour(replica.Behaviour{
				Unframed: true,
				ResetEnd: true,
				Early:    true,
				Events:   c.events,
			})
			got := f.do(f.request(http.MethodPost, c.path, strings.Repeat("x", 4<<20)))
			f.is.True(got.broken || got.status != http.StatusOK)
			f.is.Equal(got.status, c.status)
			f.is.Equal(f.runCount(), c.runs)
		})
	}
}

// Guards against an answer without end that looks complete, or that outlasts its caller's deadline.
func TestAnswerWithoutEndIsNeverWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	f.setBehaviour(replica.Behaviour{
		Unframed: true,
		Endless:  true,
	})
	began := time.Now()
	is.True(f.do(f.request(http.MethodGet, pathSafe, "")).broken)
	is.True(time.Since(began) < 3*time.Second) // the deadline is 1.5 s
}

// Guards against a stream that stays with a replica whose event never ends.
func TestEventWithoutEndIsLeft(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.replicas[0].SetBehaviour(replica.Behaviour{
		Unframed: true,
		Endless:  true,
		Events:   2,
	})
	f.replicas[1].SetBehaviour(replica.Behaviour{
		Events: 4,
	})
	for range 4 {
		got := f.do(f.request(http.MethodGet, pathResumable, ""))
		is.Equal(got.status, http.StatusOK)
		is.True(!got.broken)
		is.Equal(got.body, events(4))
	}
}
