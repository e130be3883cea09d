package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"zinniamast/operator"
)

// Free releases a quarantined request, and returns its exit code.
func Free(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("free", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.Usage = func() {
		fmt.Fprintln(errOut, "usage: zinniamast free [flags] FINGERPRINT\n\nLets a request that zinniamast status lists as held back run again, at every\nnode. It runs alone until it has ended well; one more crash holds it back again.")
		flags.PrintDefaults()
	}
	target := addOperatorFlags(flags)
	free := operator.FreeArgs{}
	flags.StringVar(&free.By, "by", "", "your `NAME`, logged at every node")
	flags.StringVar(&free.Why, "why", "", "the `REASON`, logged at every node")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	free.Fingerprint = flags.Arg(0)
	if flags.NArg() != 1 || free.By == "" || free.Why == "" {
		flags.Usage()
		return exitUsage
	}
	return target.withClient(errOut, func(ctx context.Context, client *operator.Client) (int, error) {
		if err := client.Free(ctx, free); err != nil {
			return exitFailed, err
		}
		fmt.Fprintf(out, "%s: freed\n", free.Fingerprint)
		return exitOK, nil
	})
}
