package replica_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"zinniamast/standin/replica"
)

// Guards against the run of a stream that is recorded with the status of other answers, so that checks take a whole stream for a failed answer.
func TestRunOfStreamIsRecordedAsAnswered(t *testing.T) {
	is := is.New(t)
	r := replica.New("i-1")
	defer r.Close()
	r.StreamPrefix = "/say/"
	r.SetBehaviour(replica.Behaviour{
		Status: http.StatusInternalServerError,
	})
	for _, c := range []struct {
		path     string
		status   int
		isFaulty bool
	}{
		{
			path:   "/say/x",
			status: http.StatusOK,
		},
		{
			path:     "/book/x",
			status:   http.StatusInternalServerError,
			isFaulty: true,
		},
	} {
		before := len(r.Runs())
		request, err := http.NewRequest(http.MethodPost, "http://"+r.Address()+c.path, nil)
		is.NoErr(err)
		request.Header.Set("Zinniamast-Expect-Instance", r.ID)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, c.status)
		is.Equal(len(r.Runs()), before+1)
		is.Equal(r.Runs()[before].Behaviour.Faulty(), c.isFaulty)
	}
}
