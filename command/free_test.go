package command_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/command"
	"zinniamast/operator"
)

// An operator releases a quarantined request. The command must not reach the node
// without a name, a reason and a fingerprint, and it must print the result.
func TestFreeHeldRequest(t *testing.T) {
	check := is.New(t)
	f := newFleet(t, 1, 1)
	var received []operator.FreeArgs
	address := serveOperators(t, operator.Config{
		Free: func(free operator.FreeArgs) error {
			received = append(received, free)
			return nil
		},
	})
	run := func(want int, flags ...string) string {
		args := append([]string{"-node", address, "-key-file", f.keyFile}, flags...)
		return f.runCommand(t, want, func(args []string, out, errOut *bytes.Buffer) int {
			return command.Free(args, out, errOut)
		}, args...)
	}
	run(2, "-by", "ada", "07")
	run(2, "-why", "mended", "07")
	run(2, "-by", "ada", "-why", "mended")
	check.Equal(len(received), 0)
	check.True(strings.Contains(run(0, "-by", "ada", "-why", "mended", "07"), "07: freed"))
	check.Equal(received, []operator.FreeArgs{{Fingerprint: "07", By: "ada", Why: "mended"}})
}
