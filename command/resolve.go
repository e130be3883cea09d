package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"zinniamast/claims"
	"zinniamast/operator"
)

// Resolve records the outcome of a call whose outcome is unknown, and returns its
// exit code.
func Resolve(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("resolve", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.Usage = func() {
		fmt.Fprintln(errOut, "usage: zinniamast resolve [flags] ran|not_run\n\nDecides a call that zinniamast status lists as an open unknown, after you have\nlooked for it in the service's books. not_run frees the key, and is refused\nwhile the call may still run.")
		flags.PrintDefaults()
	}
	target := addOperatorFlags(flags)
	decision := operator.ResolveArgs{}
	flags.StringVar(&decision.Organisation, "organisation", "", "the call's `NAME` of organisation")
	flags.StringVar(&decision.Service, "service", "", "the call's `NAME` of service")
	flags.StringVar(&decision.Key, "key", "", "the caller's idempotency `KEY`")
	flags.StringVar(&decision.By, "by", "", "your `NAME`, kept with the decision")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	outcome := flags.Arg(0)
	isValidOutcome := outcome == "ran" || outcome == "not_run"
	if flags.NArg() != 1 || !isValidOutcome || decision.Organisation == "" || decision.Service == "" || decision.Key == "" || decision.By == "" {
		flags.Usage()
		return exitUsage
	}
	decision.Ran = outcome == "ran"
	return target.withClient(errOut, func(ctx context.Context, client *operator.Client) (int, error) {
		if err := client.Resolve(ctx, decision); err != nil {
			return exitFailed, err
		}
		fmt.Fprintf(out, "%s of %s at %s: decided %s\n", claims.UpstreamKey(decision.Organisation, decision.Key), decision.Organisation, decision.Service, outcome)
		return exitOK, nil
	})
}
