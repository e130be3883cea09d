package command_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/command"
)

// Guards against a status that does not say who was refused lately, for which reason, and which shares were used.
func TestStatusShowsWhoIsHeldBack(t *testing.T) {
	check := is.New(t)
	f := newFleet(t, 1, 1)
	run := func(flags ...string) string {
		return f.runCommand(t, 0, func(args []string, out, errOut *bytes.Buffer) int {
			return command.Status(args, out, errOut)
		}, append([]string{"-node", f.nodes[0].server.Address(), "-key-file", f.keyFile}, flags...)...)
	}
	text := run()
	check.True(strings.Contains(text, "REFUSED IN THE LAST 10 SECONDS\nSERVICE    CLASS   ORGANISATION  REASON      REQUESTS\nassistant  urgent  acme          over_share  7\n"))
	check.True(strings.Contains(text, "SHARES\nSERVICE    ORGANISATION  USED    ENTITLED\nassistant  acme          62.5 %  50.0 %\n"))
	json := run("-json")
	check.True(strings.Contains(json, `"refused_recently": [`))
	check.True(strings.Contains(json, `"entitled": 0.5`))
}
