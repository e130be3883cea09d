package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"zinniamast/operator"
)

// partPrefix starts the name of a prompt part among the names of requests.
const partPrefix = "part:"

// Free releases a quarantined request, and returns its exit code.
func Free(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("free", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.Usage = func() {
		fmt.Fprintln(errOut, "usage: zinniamast free [flags] FINGERPRINT|part:PART\n\nLets a request, or the requests with a prompt part, that zinniamast status lists\nas held back run again, at every node. They run alone until one has ended well;\none more crash holds them back again.")
		flags.PrintDefaults()
	}
	target := addOperatorFlags(flags)
	free := operator.FreeArgs{}
	flags.StringVar(&free.By, "by", "", "your `NAME`, logged at every node")
	flags.StringVar(&free.Why, "why", "", "the `REASON`, logged at every node")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	name := flags.Arg(0)
	if part, ok := strings.CutPrefix(name, partPrefix); ok {
		free.PromptPart = part
	} else {
		free.Fingerprint = name
	}
	if flags.NArg() != 1 || free.By == "" || free.Why == "" {
		flags.Usage()
		return exitUsage
	}
	return target.withClient(errOut, func(ctx context.Context, client *operator.Client) (int, error) {
		if err := client.Free(ctx, free); err != nil {
			return exitFailed, err
		}
		fmt.Fprintf(out, "%s: freed\n", name)
		return exitOK, nil
	})
}
