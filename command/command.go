// Package command implements the zinniamast command line.
package command

import (
	"fmt"
	"io"
)

// Exit codes of every subcommand.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// subcommand is a named command with its one-line help.
type subcommand struct {
	name string
	help string
	run  func(args []string, out, errOut io.Writer) int
}

var subcommands = []subcommand{
	{
		name: "node",
		help: "run an entry instance",
		run:  Node,
	},
	{
		name: "entry",
		help: "run an entry instance on the users' platform",
		run:  Entry,
	},
	{
		name: "explain",
		help: "tell one request's story from the logs of several nodes",
		run:  Explain,
	},
	{
		name: "demo",
		help: "run a node beside stand-ins for every outside system",
		run:  Demo,
	},
	{
		name: "config",
		help: "check, put and read the fleet's configuration",
		run:  Config,
	},
	{
		name: "status",
		help: "show members, upstreams, versions, leases, unknowns, held back requests and refusals",
		run:  Status,
	},
	{
		name: "resolve",
		help: "decide a call whose outcome is open",
		run:  Resolve,
	},
	{
		name: "free",
		help: "let a request that is held back run again",
		run:  Free,
	},
	{
		name: "load",
		help: "drive running nodes with mixed traffic and check every outcome",
		run:  Load,
	},
	{
		name: "experiment",
		help: "compare routing policies on seeded work in virtual time",
		run:  Experiment,
	},
}

// Run executes the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		usage(errOut)
		return exitUsage
	}
	for _, c := range subcommands {
		if c.name == args[0] {
			return c.run(args[1:], out, errOut)
		}
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		usage(out)
		return exitOK
	}
	fmt.Fprintf(errOut, "zinniamast: there is no command %q\n", args[0])
	usage(errOut)
	return exitUsage
}

func usage(out io.Writer) {
	fmt.Fprintln(out, "usage: zinniamast COMMAND [flags]")
	fmt.Fprintln(out)
	for _, c := range subcommands {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.help)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "zinniamast COMMAND -h prints the command's flags.")
}
