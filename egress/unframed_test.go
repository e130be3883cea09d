package egress_test

import (
	"fmt"
	"io"
	"testing"

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
