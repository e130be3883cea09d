package egress_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"zinniamast"
	"zinniamast/plain"
	"zinniamast/standin/replica"
)

// Guards against a relay that hides whether an answer that ends with its connection was reset.
func TestRelayedAnswerMayEndWithItsConnection(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", isReset), func(t *testing.T) {
			f := newFixture(t)
			f.replica.SetBehaviour(replica.Behaviour{
				Events:   3,
				Unframed: true,
				ResetEnd: isReset,
			})
			response, err := f.send(t.Context())
			f.is.NoErr(err)
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			f.is.Equal(err != nil, isReset)
		})
	}
}

// Guards against a relay that passes on an answer that is reset during its upload as a whole one.
func TestRelayedEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	f := newFixture(t)
	f.replica.SetBehaviour(replica.Behaviour{
		Unframed: true,
		ResetEnd: true,
		Early:    true,
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+f.replica.Address()+"/pay/x", strings.NewReader(strings.Repeat("x", 4<<20)))
	f.is.NoErr(err)
	request.Header.Set("Zinniamast-Expect-Instance", "i-1")
	response, err := f.client.Send(t.Context(), request)
	f.is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	f.is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against a peer that fails to pass on an invalid status, so that the failure counts as the peer's.
func TestRelayedAnswerWithInvalidStatusIsReplicasFailure(t *testing.T) {
	for _, status := range []string{"000", "999"} {
		f := newFixture(t)
		f.replica.SetBehaviour(replica.Behaviour{
			Unframed:  true,
			RawStatus: status,
		})
		_, err := f.send(t.Context())
		f.is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureError)
	}
}

// Guards against a relayed answer that ends with its connection and seems to have a marked end.
func TestRelayKeepsFraming(t *testing.T) {
	for _, isUnframed := range []bool{false, true} {
		t.Run(fmt.Sprint("unframed ", isUnframed), func(t *testing.T) {
			f := newFixture(t)
			f.replica.SetBehaviour(replica.Behaviour{
				Events:   3,
				Unframed: isUnframed,
			})
			response, err := f.send(t.Context())
			f.is.NoErr(err)
			defer response.Body.Close()
			f.is.Equal(plain.EndsWithConnection(response), isUnframed)
			f.is.Equal(response.Header.Get("Relay-Unframed"), "")
		})
	}
}
