package attempt_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/request"
	standin "zinniamast/standin/engine"
)

// startWithMessage starts a request with a message before its own.
func (g *rig) startWithMessage(ctx context.Context, i int, message string, parts ...uint64) *request.Request {
	body := fmt.Appendf(nil, `[{"role":"system","content":"%s"},{"role":"user","content":"contract %d"}]`, message, i)
	q := request.New(request.Call{
		ID:           fmt.Sprint("r", i),
		Organisation: "north",
		Fingerprint:  uint64(i),
		Model:        model,
		Class:        request.ClassBulk,
		Accepted:     time.Now(),
		Deadline:     time.Now().Add(2 * time.Minute),
		Messages:     body,
		PromptParts:  parts,
		MaxTokens:    20,
		PromptTokens: request.EstimateTokens(body),
	})
	g.board.Requests.Add(q)
	go g.runner.Run(ctx, q)
	return q
}

// Guards against requests that go on crashing engines because they share only a message.
func TestCrashingMessageIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(4, standin.Config{BetweenTokens: 10 * time.Millisecond}, 0)
		defer g.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		requireWholeAnswer(t, g.startWithMessage(ctx, 0, "be brief", 1))
		for i := range 10 {
			q := g.startWithMessage(ctx, 1+i, "[crash]", 1, 2)
			<-q.Done()
			is.Equal(q.State(), request.StateFailed)
			if i > 0 {
				is.Equal(q.Snapshot().Refusal.Reason, zinniamast.ReasonQuarantined)
				is.Equal(q.Snapshot().Refusal.Ran, zinniamast.NotRun)
			}
		}
		crashes := 0
		for _, e := range g.engines {
			crashes += e.Counts().Crashes
		}
		is.True(crashes <= 3)
		requireWholeAnswer(t, g.startWithMessage(ctx, 100, "be brief", 1))
	})
}
