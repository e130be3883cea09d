package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"zinniamast/operator"
	"zinniamast/rollout"
)

// putExitCodes maps each outcome of a put to its exit code.
var putExitCodes = map[rollout.Outcome]int{
	rollout.InForce:     exitOK,
	rollout.Unchanged:   exitOK,
	rollout.Pending:     exitPending,
	rollout.Conflicted:  exitConflict,
	rollout.Warned:      exitWarned,
	rollout.Uncertain:   exitUncertain,
	rollout.Invalid:     exitFailed,
	rollout.Unavailable: exitFailed,
}

func configPut(args []string, out, errOut io.Writer) int {
	flags := configFlags("put", "-base NUMBER -why TEXT [flags] FILE", errOut)
	target := addOperatorFlags(flags)
	base := flags.Int64("base", -1, "`NUMBER` of the version that the change was made from, as config get printed it; 0 for the first")
	why := flags.String("why", "", "`TEXT` that tells later readers why")
	who := flags.String("who", os.Getenv("USER"), "`NAME` of the operator")
	force := flags.Bool("force", false, "accept a change that would refuse traffic")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	if flags.NArg() != 1 || *base < 0 || *why == "" || *who == "" {
		flags.Usage()
		return exitUsage
	}
	raw, err := readDocument(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return target.withClient(errOut, func(ctx context.Context, client *operator.Client) (int, error) {
		reply, err := client.PutConfig(ctx, rollout.Put{
			Raw:   raw,
			Base:  uint64(*base),
			Who:   *who,
			Why:   *why,
			Force: *force,
		})
		if err != nil {
			return exitFailed, err
		}
		if *target.json {
			return putExitCodes[reply.Outcome], printJSON(out, reply)
		}
		printPut(out, reply)
		return putExitCodes[reply.Outcome], nil
	})
}

func printPut(out io.Writer, reply rollout.PutReply) {
	switch reply.Outcome {
	case rollout.InForce:
		fmt.Fprintf(out, "version %d is accepted and in force at every node that is heard\n", reply.Number)
	case rollout.Pending:
		fmt.Fprintf(out, "version %d is accepted; some nodes have not confirmed it yet, delivery goes on\n", reply.Number)
	case rollout.Unchanged:
		fmt.Fprintf(out, "nothing to do: version %d says the same\n", reply.Number)
	case rollout.Invalid:
		fmt.Fprintln(out, "not accepted, the configuration is wrong:")
	case rollout.Warned:
		fmt.Fprintln(out, "not accepted; add -force if this is meant:")
	case rollout.Unavailable:
		fmt.Fprintln(out, "not accepted, the platform's table does not answer:")
	case rollout.Uncertain:
		fmt.Fprintf(out, "the table's answer was lost: version %d may be accepted; config status will tell\n", reply.Number)
	case rollout.Conflicted:
		printConflict(out, reply)
	}
	for _, message := range reply.Messages {
		fmt.Fprintln(out, "  "+message)
	}
	if len(reply.Nodes) > 0 {
		printDomains(out, reply)
	}
}

func printConflict(out io.Writer, reply rollout.PutReply) {
	fmt.Fprintf(out, "not accepted: version %d is the newest", reply.Number)
	if reply.Newest != nil {
		fmt.Fprintf(out, ", by %s at %s: %s", reply.Newest.Who, formatTime(reply.Newest.When), reply.Newest.Why)
	}
	fmt.Fprintln(out)
	for _, change := range reply.Changes {
		fmt.Fprintln(out, "  "+change.String())
	}
	fmt.Fprintf(out, "make your change from version %d again (config get) and put it with -base %d\n", reply.Number, reply.Number)
}

// domainSummary is the outcome of a put in one failure domain.
type domainSummary struct {
	name string
	// inForce counts the nodes that have the version in force, out of nodes.
	inForce int
	nodes   int
	// maxDelay is the longest time until a node confirmed the version.
	maxDelay time.Duration
	// lastInForce is when the last node put the version in force.
	lastInForce time.Time
	// pending lists the other nodes, each with its error.
	pending []string
}

// summariseDomains returns one summary per failure domain. The nodes of reply
// must be ordered by failure domain.
func summariseDomains(reply rollout.PutReply) []domainSummary {
	var all []domainSummary
	for _, node := range reply.Nodes {
		if len(all) == 0 || all[len(all)-1].name != node.FailureDomain {
			all = append(all, domainSummary{
				name: node.FailureDomain,
			})
		}
		d := &all[len(all)-1]
		d.nodes++
		if node.Number < reply.Number {
			d.pending = append(d.pending, fmt.Sprintf("%s (%s)", orDash(node.Node), orDash(node.Error)))
			continue
		}
		d.inForce++
		d.maxDelay = max(d.maxDelay, node.After)
		if node.Since.After(d.lastInForce) {
			d.lastInForce = node.Since
		}
	}
	return all
}

func printDomains(out io.Writer, reply rollout.PutReply) {
	printTable(out, "FAILURE DOMAIN\tIN FORCE\tAT\tCONFIRMED AFTER\tPENDING", func(w io.Writer) {
		for _, d := range summariseDomains(reply) {
			delay := "-"
			if d.inForce > 0 {
				delay = d.maxDelay.Round(time.Millisecond).String()
			}
			fmt.Fprintf(w, "%s\t%d of %d\t%s\t%s\t", d.name, d.inForce, d.nodes, formatTime(d.lastInForce), delay)
			if len(d.pending) == 0 {
				fmt.Fprint(w, "-")
			}
			for _, pending := range d.pending {
				fmt.Fprint(w, pending+" ")
			}
			fmt.Fprintln(w)
		}
	})
}
