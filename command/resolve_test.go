package command_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/claims"
	"zinniamast/command"
	"zinniamast/operator"
)

// A booking's outcome is unknown. Two operators decide it differently: the
// first has looked in the service's books, the second is told that the call is
// open no more. "Not run" is refused while the call may still run, and the
// caller that sends its key again hears what was decided.
func TestOperatorsResolveAnUnknown(t *testing.T) {
	check := is.New(t)
	f := newFleet(t, 1, 1)
	held := claims.New(claims.Config{Table: f.platform.Table, Node: "a0"})
	call := claims.Call{Organisation: "north", Service: "booking", Key: "k", Deadline: time.Now().Add(time.Minute)}
	standing, err := held.Begin(t.Context(), call)
	check.NoErr(err)
	standing.Claim.EndAsUnknown()
	check.Equal(held.Close(t.Context()), 0)

	address := serveOperators(t, operator.Config{
		Resolve: func(ctx context.Context, d operator.Resolve) error {
			return held.Resolve(ctx, d.Organisation, d.Service, d.Key, d.Ran, d.By)
		},
	})
	run := func(want int, words ...string) string {
		args := append([]string{"-node", address, "-key-file", f.keyFile, "-organisation", "north", "-service", "booking", "-key", "k"}, words...)
		return f.line(t, want, func(args []string, out, errOut *bytes.Buffer) int {
			return command.Resolve(args, out, errOut)
		}, args...)
	}
	check.True(strings.Contains(run(1, "-by", "ada", "not_run"), claims.ErrUnsettled.Error()))
	check.True(strings.Contains(run(0, "-by", "ada", "ran"), "decided ran"))
	check.True(strings.Contains(run(1, "-by", "bob", "not_run"), claims.ErrNotOpen.Error()))
	run(2, "ran") // nobody says who decides
	again, err := held.Begin(t.Context(), call)
	check.NoErr(err)
	check.Equal(again.Record.State, claims.StateRan)
	check.Equal(again.Record.ResolvedBy, "ada")
}
