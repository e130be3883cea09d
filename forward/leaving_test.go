package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"zinniamast/standin/replica"
)

// Guards against further requests to a replica that has said in any kind of answer that it leaves.
func TestReplicaThatSaysItLeavesGetsNoFurtherRequest(t *testing.T) {
	answers := map[string]replica.Behaviour{
		"whole answer": {},
		"stream": {
			Events: 3,
		},
		"refusal": {
			NotRun: true,
		},
		"failure": {
			Status: http.StatusInternalServerError,
		},
	}
	for name, behaviour := range answers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 1)
			leaving := f.replicas[0]
			leaving.SetCondition(replica.Condition{
				IsLeaving: true,
			})
			leaving.SetBehaviour(behaviour)
			path := pathSafe
			if behaviour.Events > 0 {
				path = pathResumable
			}
			f.do(f.request(http.MethodGet, path, ""))
			is.Equal(len(leaving.Runs()), 1)
			for range 5 {
				is.Equal(f.do(f.request(http.MethodGet, path, "")).status, http.StatusServiceUnavailable)
			}
			is.Equal(len(leaving.Runs()), 1)
			is.Equal(len(f.log.linesWith("its answer says so")), 1)
		})
	}
}
