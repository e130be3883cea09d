package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"zinniamast/operator"
)

// Status prints a node's view of the fleet or the history of one request, and
// returns its exit code.
func Status(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.Usage = func() {
		fmt.Fprintln(errOut, "usage: zinniamast status [flags]\n\nPrints members, upstreams, configuration versions, leases, calls whose outcome\nis open, requests held back, recent refusals, shares, and refusals by reason, as one node sees them.")
		flags.PrintDefaults()
	}
	target := addOperatorFlags(flags)
	why := flags.String("why", "", "print the story of this `REQUEST` instead")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	if flags.NArg() > 0 {
		flags.Usage()
		return exitUsage
	}
	return target.withClient(errOut, func(ctx context.Context, client *operator.Client) (int, error) {
		if *why != "" {
			text, err := client.Explain(ctx, *why)
			fmt.Fprintln(out, text)
			return exitOK, err
		}
		status, err := client.Status(ctx)
		if err != nil {
			return exitFailed, err
		}
		if *target.json {
			return exitOK, printJSON(out, status)
		}
		printStatus(out, &status)
		return exitOK, nil
	})
}

func printStatus(out io.Writer, status *operator.Status) {
	fmt.Fprintf(out, "node %s in %s at %s\n", status.Node, status.FailureDomain, formatTime(status.Now))
	if status.Isolated {
		fmt.Fprintln(out, "warning: the node doubts a member and could ask nobody about it")
	}
	if !status.ConfigCurrent {
		fmt.Fprintln(out, "warning: the node has not confirmed its configuration version lately")
	}
	for _, failure := range status.Failures {
		fmt.Fprintln(out, "warning: could not read", failure)
	}
	printMembers(out, status)
	printUpstreams(out, status)
	fmt.Fprintln(out, "\nCONFIGURATION")
	printVersions(out, status.Versions)
	printLeasesAndUnknowns(out, status)
	printHeld(out, status)
	printScarcity(out, status)
	fmt.Fprintln(out, "\nREFUSALS BY REASON")
	for _, reason := range slices.Sorted(maps.Keys(status.Refusals)) {
		fmt.Fprintf(out, "%s %d\n", reason, status.Refusals[reason])
	}
}

func printMembers(out io.Writer, status *operator.Status) {
	fmt.Fprintln(out, "\nMEMBERS")
	printTable(out, "NODE\tFAILURE DOMAIN\tADDRESS\tSTATE\tWEIGHT\tHEARD\tVERSION", func(w io.Writer) {
		for _, m := range status.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%g\t%s\t%d\n", m.ID, m.FailureDomain, m.Address, m.State, m.Weight, formatAge(status.Now, m.Heard), m.ConfigVersion)
		}
	})
	if len(status.Domains) == 0 {
		return
	}
	fmt.Fprintln(out, "\nOTHER FAILURE DOMAINS")
	printTable(out, "FAILURE DOMAIN\tALIVE\tHEARD\tVERSION", func(w io.Writer) {
		for _, d := range status.Domains {
			fmt.Fprintf(w, "%s\t%d of %d\t%s\t%d\n", d.Name, d.Alive, d.Members, formatAge(status.Now, d.Heard), d.Config)
		}
	})
}

func printUpstreams(out io.Writer, status *operator.Status) {
	fmt.Fprintln(out, "\nUPSTREAMS")
	printTable(out, "UPSTREAM\tFAILURE DOMAIN\tSERVICE\tSTATE\tIN FLIGHT", func(w io.Writer) {
		for _, u := range status.Upstreams {
			state := "serving"
			if u.Leaving {
				state = "leaving"
			}
			if !u.LeavesAt.IsZero() {
				state = "leaving at " + formatTime(u.LeavesAt)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", u.ID, u.FailureDomain, u.Service, state, u.Inflight)
		}
	})
}

func printLeasesAndUnknowns(out io.Writer, status *operator.Status) {
	fmt.Fprintln(out, "\nLEASES")
	printTable(out, "LEASE\tHOLDER\tFENCE\tEXPIRES", func(w io.Writer) {
		for _, l := range status.Leases {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", l.Name, l.Holder, l.Fence, formatTime(l.Expires))
		}
	})
	fmt.Fprintln(out, "\nOPEN UNKNOWNS")
	printTable(out, "REQUEST\tORGANISATION\tSERVICE\tKEY\tSINCE\tUPSTREAM\tSETTLED", func(w io.Writer) {
		for _, u := range status.Unknowns {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%t\n", u.Request, u.Organisation, u.Service, u.Key, formatTime(u.Since), u.Upstream, u.Settled)
		}
	})
}

func printHeld(out io.Writer, status *operator.Status) {
	fmt.Fprintln(out, "\nHELD BACK")
	printTable(out, "FINGERPRINT\tSINCE\tCRASHES", func(w io.Writer) {
		for _, h := range status.Held {
			name := h.Fingerprint
			if h.PromptParts != "" {
				name = partPrefix + h.PromptParts
			}
			fmt.Fprintf(w, "%s\t%s\t%d\n", name, formatAge(status.Now, h.Since), h.Crashes)
		}
	})
}

// formatAge formats the time from t to now, or returns a dash for the zero time.
func formatAge(now, t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return now.Sub(t).Round(100*time.Millisecond).String() + " ago"
}
