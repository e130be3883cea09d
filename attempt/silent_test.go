package attempt_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	standin "zinniamast/standin/engine"
)

// Guards against failing a request whose only replica is healthy but takes longer between tokens than the stall limit.
func TestSilentReplicaKeepsARequestThatCannotMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(1, standin.Config{
			FirstToken:    100 * time.Millisecond,
			BetweenTokens: 4 * time.Second,
		}, 0)
		defer g.stop()
		q := g.start(context.Background(), 1, 100, 6)
		requireWholeAnswer(t, q)
		is.New(t).Equal(g.engines[0].Counts().Started, 1)
	})
}
