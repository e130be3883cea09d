package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"zinniamast/config"
	"zinniamast/operator"
	"zinniamast/rollout"
)

const configHelp = `usage: zinniamast config COMMAND [flags]

  check FILE      check a configuration without asking anybody
  put FILE        make a configuration the one in force everywhere
  get             print the configuration in force
  history         print who changed what, when and why
  status          print which version each node has in force

FILE may be - for the standard input.

exit codes: 0 done; 1 failed, or FILE is wrong; 2 wrong usage;
put: 3 accepted, but some node has not confirmed yet (delivery goes on);
4 changed meanwhile by somebody else; 5 would refuse traffic, needs -force;
6 the table's answer was lost, ask config status.
`

// Config runs "zinniamast config" and returns its exit code.
func Config(args []string, out, errOut io.Writer) int {
	commands := map[string]func([]string, io.Writer, io.Writer) int{
		"check":   configCheck,
		"put":     configPut,
		"get":     configGet,
		"history": configHistory,
		"status":  configStatus,
	}
	if len(args) == 0 {
		fmt.Fprint(errOut, configHelp)
		return exitUsage
	}
	if slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		fmt.Fprint(out, configHelp)
		return exitOK
	}
	run, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(errOut, "zinniamast config: there is no command %q\n%s", args[0], configHelp)
		return exitUsage
	}
	return run(args[1:], out, errOut)
}

func configFlags(name, usage string, errOut io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("config "+name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.Usage = func() {
		fmt.Fprintf(errOut, "usage: zinniamast config %s %s\n", name, usage)
		flags.PrintDefaults()
	}
	return flags
}

// readDocument reads a configuration file, or the standard input for "-".
func readDocument(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func configCheck(args []string, out, errOut io.Writer) int {
	flags := configFlags("check", "FILE", errOut)
	if flags.Parse(args) != nil {
		return exitUsage
	}
	if flags.NArg() != 1 {
		flags.Usage()
		return exitUsage
	}
	raw, err := readDocument(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	parsed, err := config.Parse(raw)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	for _, warning := range config.Warnings(nil, parsed, config.Fleet{}) {
		fmt.Fprintln(out, "warning:", warning)
	}
	fmt.Fprintf(out, "ok: %d organisations, %d models, %d services, %d exceptions\n",
		len(parsed.Organisations), len(parsed.Models), len(parsed.Services), len(parsed.Exceptions))
	return exitOK
}

func configGet(args []string, out, errOut io.Writer) int {
	flags := configFlags("get", "[flags]", errOut)
	target := addOperatorFlags(flags)
	version := flags.Uint64("version", 0, "version `NUMBER`; the newest if not given")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	return target.withClient(errOut, func(ctx context.Context, client *operator.Client) (int, error) {
		entry, err := client.GetConfig(ctx, *version)
		if err != nil {
			return exitFailed, err
		}
		raw, err := entry.Raw()
		if err != nil {
			return exitFailed, err
		}
		if _, err := out.Write(raw); err != nil {
			return exitFailed, err
		}
		fmt.Fprintf(errOut, "version %d; put your change with -base %d\n", entry.Number, entry.Number)
		return exitOK, nil
	})
}

func configHistory(args []string, out, errOut io.Writer) int {
	flags := configFlags("history", "[flags]", errOut)
	target := addOperatorFlags(flags)
	limit := flags.Int("limit", 10, "`COUNT` of versions")
	upTo := flags.Uint64("before", 0, "print versions up to this `NUMBER`; the newest if not given")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	return target.withClient(errOut, func(ctx context.Context, client *operator.Client) (int, error) {
		entries, err := client.History(ctx, *upTo, *limit)
		if err != nil {
			return exitFailed, err
		}
		slices.Reverse(entries)
		if *target.json {
			return exitOK, printJSON(out, entries)
		}
		for _, entry := range entries {
			printEntry(out, entry)
		}
		return exitOK, nil
	})
}

func printEntry(out io.Writer, entry rollout.Entry) {
	fmt.Fprintf(out, "version %d  %s  %s\n  why: %s\n", entry.Number, formatTime(entry.When), entry.Who, entry.Why)
	for _, change := range entry.Changes {
		fmt.Fprintln(out, "  "+change.String())
	}
	if entry.Omitted > 0 {
		fmt.Fprintf(out, "  and %d more\n", entry.Omitted)
	}
	for _, exception := range entry.Exceptions {
		fmt.Fprintln(out, "  exception "+exception)
	}
}

func configStatus(args []string, out, errOut io.Writer) int {
	flags := configFlags("status", "[flags]", errOut)
	target := addOperatorFlags(flags)
	if flags.Parse(args) != nil {
		return exitUsage
	}
	return target.withClient(errOut, func(ctx context.Context, client *operator.Client) (int, error) {
		nodes, err := client.Versions(ctx)
		if err != nil {
			return exitFailed, err
		}
		if *target.json {
			return exitOK, printJSON(out, nodes)
		}
		printVersions(out, nodes)
		return exitOK, nil
	})
}

func printVersions(out io.Writer, nodes []rollout.NodeVersion) {
	printTable(out, "FAILURE DOMAIN\tNODE\tVERSION\tSINCE\tCURRENT\tPROBLEM", func(w io.Writer) {
		for _, node := range nodes {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%v\t%s\n",
				node.FailureDomain, orDash(node.Node), node.Number, formatTime(node.Since), node.Current, orDash(node.Error))
		}
	})
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
