package egress_test

import (
	"fmt"
	"io"
	"testing"

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
