package forward_test

import (
	"net/http"
	"testing"
	"time"

	"zinniamast/forward"
	"zinniamast/standin/replica"
)

// malformed are answers that net/http accepts: with a field whose name holds a blank, and with a framing that
// their version does not have.
var malformed = map[string]replica.Behaviour{
	"blank in a name": {
		Unframed: true,
		RawField: "X-Bad Name: 1",
	},
	"blank before the colon": {
		Unframed: true,
		RawField: "Content-Length : 10",
	},
	"interim head": {
		Unframed:     true,
		InterimField: "X-Bad Name: 1",
	},
	"trailer": {
		Unframed:     true,
		TrailerField: "X-Bad Name: 1",
	},
	"framing": {
		Unframed:   true,
		RawVersion: "HTTP/1.0",
		RawField:   "Transfer-Encoding: chunked",
	},
}

// Guards against a malformed answer that reaches the caller as a success.
func TestMalformedAnswerIsReplicasFailure(t *testing.T) {
	for name, behaviour := range malformed {
		for path, runs := range map[string]int{pathUnsafe: 1, pathSafe: 2, pathStream: 1, pathResumable: 2} {
			t.Run(name+path, func(t *testing.T) {
				f := newFixture(t, 2)
				f.setBehaviour(behaviour)
				got := f.do(f.request(http.MethodPost, path, "body"))
				f.is.Equal(got.status, http.StatusBadGateway)
				f.is.Equal(f.runCount(), runs)
				f.is.True(len(f.log.linesWith("malformed answer")) > 0)
				f.is.Equal(len(f.log.linesWith("replica broke off")), 0)
			})
		}
	}
}

// Guards against a caller who gets a failure though another replica answers well.
func TestRequestWithMalformedAnswerIsSentToAnotherReplica(t *testing.T) {
	for name, behaviour := range malformed {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.replicas[0].SetBehaviour(behaviour)
			for range 4 {
				got := f.do(f.request(http.MethodGet, pathSafe, ""))
				f.is.Equal(got.status, http.StatusOK)
				f.is.Equal(got.body, "i-b ran r-1")
			}
		})
	}
}

// Guards against a refusal that is believed although its head is malformed.
func TestMalformedRefusalDoesNotCountAsNotRun(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(replica.Behaviour{
		Unframed: true,
		Status:   http.StatusServiceUnavailable,
		RawField: "Zinniamast-Not-Executed: 1\r\nX-Bad Name: 1",
	})
	got := f.do(f.request(http.MethodPost, pathUnsafe, "body"))
	f.is.Equal(got.status, http.StatusBadGateway)
}

// Guards against a stream that is marked as complete although the trailer of its answer is malformed.
func TestStreamWithMalformedTrailerIsNotComplete(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(replica.Behaviour{
		Unframed:     true,
		Events:       6,
		TrailerField: "X-Bad Name: 1",
	})
	got := f.do(f.request(http.MethodPost, pathStream, "body"))
	f.is.Equal(got.body, events(6))
	f.is.True(got.broken)
}

// Guards against a resumed stream that goes on with a malformed answer.
func TestResumedStreamLeavesReplicaWithMalformedAnswer(t *testing.T) {
	for name, behaviour := range malformed {
		if behaviour.TrailerField != "" {
			continue // the events before it are valid
		}
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.replicas[0].SetBehaviour(replica.Behaviour{
				Events:     6,
				BreakAfter: 3,
			})
			behaviour.Events = 6
			f.replicas[1].SetBehaviour(behaviour)
			got := f.do(f.request(http.MethodGet, pathResumable, ""))
			f.is.Equal(got.body, events(3))
			f.is.True(got.broken)
			f.is.Equal(len(f.log.linesWith("panicked")), 0)
		})
	}
}

// Guards against a resumed stream that is marked as complete although each of its answers has a malformed trailer.
func TestResumedStreamWithMalformedTrailersIsNotComplete(t *testing.T) {
	f := newFixture(t, 2)
	behaviour := malformed["trailer"]
	behaviour.Events = 6
	f.setBehaviour(behaviour)
	got := f.do(f.request(http.MethodGet, pathResumable, ""))
	f.is.Equal(got.body, events(6))
	f.is.True(got.broken)
	f.is.Equal(f.runCount(), 2)
	f.is.Equal(len(f.log.linesWith("panicked")), 0)
}

// allHedges allows every hedge.
type allHedges struct{}

// AllowHedge implements forward.HedgeBudget.
func (allHedges) AllowHedge(string) bool { return true }

// Guards against a hedge with a malformed answer that takes the stream away from the replica that was only late.
func TestMalformedHedgeDoesNotReplaceLateAnswer(t *testing.T) {
	for name, behaviour := range malformed {
		if behaviour.TrailerField != "" {
			continue // the events before it are valid
		}
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			config := configuration()
			config.Version = 2
			for i := range config.Routes {
				config.Routes[i].Target = 400 * time.Millisecond
				config.Routes[i].Prompted = true
			}
			f.routes.Apply(config)
			f.config.Hedges = allHedges{}
			f.server.Config.Handler = forward.New(f.config)
			f.replicas[0].SetBehaviour(replica.Behaviour{
				Events: 6,
				Delay:  800 * time.Millisecond,
			})
			behaviour.Events = 3
			f.replicas[1].SetBehaviour(behaviour)
			got := f.do(f.request(http.MethodGet, pathResumable, ""))
			f.is.Equal(got.status, http.StatusOK)
			f.is.Equal(got.body, events(6))
			f.is.True(!got.broken)
			f.is.Equal(len(f.replicas[1].Runs()), 1)
		})
	}
}
