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

// A call's outcome is unknown and two operators decide it differently. The first
// decision is stored, and the second fails because the call is no longer open.
// "not_run" is refused while the call may still run. A caller that sends the key
// again receives the decided outcome.
func TestResolveUnknownOutcome(t *testing.T) {
	check := is.New(t)
	f := newFleet(t, 1, 1)
	store := claims.New(claims.Config{Table: f.platform.Table, Node: "a0"})
	call := claims.Call{Organisation: "north", Service: "booking", Key: "k", Deadline: time.Now().Add(time.Minute)}
	begun, err := store.Begin(t.Context(), call)
	check.NoErr(err)
	begun.Claim.EndAsUnknown()
	check.Equal(store.Close(t.Context()), 0)

	address := serveOperators(t, operator.Config{
		Resolve: func(ctx context.Context, d operator.ResolveArgs) error {
			return store.Resolve(ctx, d.Organisation, d.Service, d.Key, d.Ran, d.By)
		},
	})
	run := func(want int, flags ...string) string {
		args := append([]string{"-node", address, "-key-file", f.keyFile, "-organisation", "north", "-service", "booking", "-key", "k"}, flags...)
		return f.runCommand(t, want, func(args []string, out, errOut *bytes.Buffer) int {
			return command.Resolve(args, out, errOut)
		}, args...)
	}
	check.True(strings.Contains(run(1, "-by", "ada", "not_run"), claims.ErrUnsettled.Error()))
	check.True(strings.Contains(run(0, "-by", "ada", "ran"), "decided ran"))
	check.True(strings.Contains(run(1, "-by", "bob", "not_run"), claims.ErrNotOpen.Error()))
	run(2, "ran") // -by is missing
	again, err := store.Begin(t.Context(), call)
	check.NoErr(err)
	check.Equal(again.Record.State, claims.StateRan)
	check.Equal(again.Record.ResolvedBy, "ada")
}
