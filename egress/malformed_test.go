package egress_test

import (
	"errors"
	"io"
	"testing"

	"zinniamast"
	"zinniamast/standin/replica"
)

// Guards against a peer that passes on a malformed answer without the fields that make it so.
func TestRelayedAnswerWithMalformedHeadIsReplicasFailure(t *testing.T) {
	for _, behaviour := range []replica.Behaviour{
		{
			Unframed: true,
			RawField: "X-Bad Name: 1",
		},
		{
			Unframed:     true,
			InterimField: "X-Bad : 1",
		},
		{
			Unframed:   true,
			RawVersion: "HTTP/1.0",
			RawField:   "Transfer-Encoding: chunked",
		},
	} {
		f := newFixture(t)
		f.replica.SetBehaviour(behaviour)
		_, err := f.send(t.Context())
		f.is.True(err != nil)
		f.is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureError)
	}
}

// Guards against a peer that reports an answer as whole although its trailer is malformed.
func TestRelayedAnswerWithMalformedTrailerIsNotWhole(t *testing.T) {
	f := newFixture(t)
	f.replica.SetBehaviour(replica.Behaviour{
		Unframed:     true,
		Events:       3,
		TrailerField: "X-Bad Name: 1",
	})
	response, err := f.send(t.Context())
	f.is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	f.is.True(errors.Is(err, zinniamast.ErrMalformed))
}
