package forward_test

import (
	"net/http"
	"testing"

	"zinniamast/standin/replica"
)

// Guards against an answer with an invalid status that reaches the caller, or that closes its connection without an answer.
func TestAnswerWithInvalidStatusIsReplicasFailure(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		for path, runs := range map[string]int{pathUnsafe: 1, pathSafe: 2, pathStream: 1, pathResumable: 2} {
			t.Run(status+path, func(t *testing.T) {
				f := newFixture(t, 2)
				f.setBehaviour(replica.Behaviour{
					Unframed:  true,
					RawStatus: status,
				})
				got := f.do(f.request(http.MethodPost, path, "body"))
				f.is.Equal(got.status, http.StatusBadGateway)
				f.is.Equal(f.runCount(), runs)
				f.is.True(len(f.log.linesWith("answer with the invalid status")) > 0)
			})
		}
	}
}

// Guards against a resumed stream that ends without a trace because the second replica's status is invalid.
func TestResumedStreamLeavesReplicaWithInvalidStatus(t *testing.T) {
	f := newFixture(t, 3)
	f.replicas[0].SetBehaviour(replica.Behaviour{
		Events:     6,
		BreakAfter: 3,
	})
	f.replicas[1].SetBehaviour(replica.Behaviour{
		Unframed:  true,
		RawStatus: "000",
	})
	f.replicas[2].SetBehaviour(replica.Behaviour{
		Unframed:  true,
		RawStatus: "000",
	})
	got := f.do(f.request(http.MethodGet, pathResumable, ""))
	f.is.True(got.broken || got.status == http.StatusBadGateway)
	f.is.Equal(len(f.log.linesWith("panicked")), 0)
}
