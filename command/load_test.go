package command_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/command"
	"zinniamast/demo"
	"zinniamast/standin/engine"
)

// TestLoadExitCodes checks the exit codes that scripts rely on: 0 if every check
// passed, 1 if one failed, 2 if nothing could be run.
func TestLoadExitCodes(t *testing.T) {
	d, err := demo.Start(demo.Config{
		Listen: "127.0.0.1:0",
		Logger: slog.New(slog.DiscardHandler),
		Engine: &engine.Config{},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	shortRun := "-rate 20 -for 500ms -mix summary=1,question=1,triage=1 -deadline 2s"
	cases := map[string]struct {
		args string
		code int
		text string
	}{
		"whole": {
			args: shortRun + " -json -key " + demo.Key + " -targets " + d.URL() + " -standins " + strings.Join(d.StandinURLs(), ","),
			code: 0,
			text: `"whole": 10`,
		},
		"unreachable target": {
			args: shortRun + " -deadline 300ms -key x -targets http://127.0.0.1:1",
			code: 1,
			text: "no outcome",
		},
		"help": {
			args: "-h",
			code: 0,
			text: "Exit code",
		},
		"no target": {
			args: "-key x",
			code: 2,
			text: "no target",
		},
		"bad flag": {
			args: "-nonsense",
			code: 2,
			text: "nonsense",
		},
		"bad mix": {
			args: "-mix tea=1",
			code: 2,
			text: "tea=1",
		},
		"stray word": {
			args: "now",
			code: 2,
			text: "now",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			code := command.Load(strings.Fields(test.args), &out, &errOut)
			is.Equal(code, test.code)
			is.True(strings.Contains(out.String()+errOut.String(), test.text))
			if strings.Contains(test.args, "-json") {
				is.True(json.Valid(out.Bytes()))
			}
		})
	}
}
