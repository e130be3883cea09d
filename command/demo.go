package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"zinniamast/demo"
)

// Demo runs one node with in-process simulations of every external system, and
// returns its exit code.
func Demo(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(errOut)
	once := flags.Bool("once", false, "send a few requests of each kind, print what happened and exit")
	listen := flags.String("listen", "127.0.0.1:8080", "`ADDRESS` for callers")
	level := flags.String("log", "warn", "log `LEVEL`")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	address := *listen
	if *once {
		address = "127.0.0.1:0"
	}
	d, err := demo.Start(demo.Config{
		Listen: address,
		Logger: newLogger(errOut, *level),
	})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	defer d.Stop()
	if *once {
		if !d.Once(ctx, out) {
			return exitFailed
		}
		return exitOK
	}
	d.Describe(out)
	<-ctx.Done()
	return exitOK
}
