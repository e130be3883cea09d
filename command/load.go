package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"zinniamast/load"
)

const loadHelp = `Usage: zinniamast load -targets URLS -key KEYS [flags]

Drives running nodes with seeded mixed traffic and checks every outcome.
Exit code 0: every promise held. 1: something was lost, doubled or not whole,
or a "not run" had run. 2: the command line is wrong or the run failed.

`

// Load runs "zinniamast load" and returns its exit code.
func Load(args []string, out, errOut io.Writer) int {
	c, asJSON, err := parseLoad(args, errOut)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, c)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	write := report.WriteTable
	if asJSON {
		write = report.WriteJSON
	}
	if err := write(out); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if !report.OK {
		return exitFailed
	}
	return exitOK
}

// parseLoad parses the arguments. The bool reports whether the report is to be
// printed as JSON.
func parseLoad(args []string, errOut io.Writer) (load.Config, bool, error) {
	set := flag.NewFlagSet("load", flag.ContinueOnError)
	set.SetOutput(errOut)
	set.Usage = func() {
		_, _ = fmt.Fprint(errOut, loadHelp)
		set.PrintDefaults()
	}
	targets := set.String("targets", "", "base URLs of nodes, separated by commas")
	standins := set.String("standins", "", "base URLs of stand-ins that count what ran, separated by commas; without any, runs are not checked")
	keys := set.String("key", "", "API keys, one per organisation, separated by commas")
	rate := set.Float64("rate", 20, "requests started a second")
	duration := set.Duration("for", 10*time.Second, "how long requests are started")
	seed := set.Uint64("seed", 1, "seed of the traffic")
	mix := set.String("mix", "summary=1,question=4,triage=4,lookup=4,booking=2", "weights of the kinds of traffic")
	model := set.String("model", "", "model deployment to call (default contract-summary)")
	service := set.String("service", "", "plain service to call (default booking)")
	deadline := set.Duration("deadline", 30*time.Second, "deadline of each request")
	asJSON := set.Bool("json", false, "print the report as JSON")
	if err := set.Parse(args); err != nil {
		return load.Config{}, false, err
	}
	if set.NArg() > 0 {
		return load.Config{}, false, fmt.Errorf("load: %q is not a flag", set.Arg(0))
	}
	weights, err := load.ParseMix(*mix)
	if err != nil {
		return load.Config{}, false, err
	}
	return load.Config{
		Targets:  splitList(*targets),
		Standins: splitList(*standins),
		Keys:     splitList(*keys),
		Rate:     *rate,
		Duration: *duration,
		Seed:     *seed,
		Mix:      weights,
		Model:    *model,
		Service:  *service,
		Deadline: *deadline,
	}, *asJSON, nil
}

// splitList splits text at commas and omits empty parts.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}
