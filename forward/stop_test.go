package forward_test

import (
	"net/http"
	"testing"
	"time"

	"zinniamast/forward"
	"zinniamast/standin/replica"
)

// Guards against a further send of a request that has not run, although its node stops before the deadline.
func TestRequestIsNotSentOnWhenItMayOutlastStop(t *testing.T) {
	for _, c := range []struct {
		left   time.Duration
		status int
		runs   int
	}{
		{
			left:   time.Second,
			status: http.StatusServiceUnavailable,
			runs:   1,
		},
		{
			left:   3 * time.Second,
			status: http.StatusOK,
			runs:   2,
		},
	} {
		f := newFixture(t, 2)
		for _, r := range f.replicas {
			r.SetBehaviour(replica.Behaviour{
				NotRun: true,
			})
		}
		f.config.StopsAt = func() time.Time {
			if f.runCount() == 0 {
				return time.Time{}
			}
			f.setBehaviour(replica.Behaviour{})
			return time.Now().Add(c.left)
		}
		f.handler = forward.New(f.config)
		f.server.Config.Handler = f.handler
		got := f.do(f.request(http.MethodPost, pathUnsafe, "body")) // its deadline is in 1.5 s
		f.is.Equal(got.status, c.status)
		f.is.Equal(f.runCount(), c.runs)
	}
}
