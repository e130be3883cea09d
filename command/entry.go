package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"zinniamast/clock"
	"zinniamast/entry"
	"zinniamast/eventlog"
	"zinniamast/platform"
)

// Entry runs an entry instance on the users' platform until SIGTERM or SIGINT, and
// returns its exit code.
func Entry(args []string, _, errOut io.Writer) int {
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	flags.SetOutput(errOut)
	level := flags.String("log-level", "info", "debug, info, warn or error")
	policy := flags.String("policy", entry.PolicyPredicted, "how replicas are chosen: predicted or nearest")
	metricsPort := flags.Int("metrics-port", 0, "port of this instance's metrics; 0 serves them beside the readiness alone")
	path := flags.String("settings", os.Getenv(platform.SettingsVariable), "settings file")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	isKnownPolicy := *policy == entry.PolicyPredicted || *policy == entry.PolicyNearest
	if *path == "" || !isKnownPolicy || flags.NArg() > 0 {
		fmt.Fprintln(errOut, "usage: zinniamast entry [-settings FILE] [-log-level LEVEL] [-policy predicted|nearest] [-metrics-port PORT]")
		return exitUsage
	}
	loaded, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	limitMemory(loaded.MemoryBytes)
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(*level)); err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	clk := &clock.Clock{}
	log := eventlog.New(eventlog.Config{
		Out:         os.Stdout,
		Level:       threshold,
		Now:         clk.NowOrLocal,
		ReplaceAttr: plainError,
	})
	logger := log.Logger()
	redirectStandardLog(logger)
	stopLog := startLogWriter(log)
	defer stopLog()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	instance, err := entry.New(entry.Config{
		Settings:     loaded,
		SettingsPath: *path,
		Hangups:      hangups,
		Policy:       *policy,
		MetricsPort:  *metricsPort,
		Clock:        clk,
		Logger:       logger,
	})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if err := instance.Run(ctx); err != nil {
		logger.Error("entry failed", "cause", err)
		return exitFailed
	}
	return exitOK
}

// startLogWriter writes queued lines until the returned function is called.
func startLogWriter(log *eventlog.Log) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		log.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// memoryLimitFraction is the fraction of the instance's memory that is set as the
// soft limit of the garbage collector. The rest is for memory that the collector
// does not count, such as unread input.
const memoryLimitFraction = 0.6

// limitMemory sets the garbage collector's soft limit for an instance with the
// given memory in bytes. Zero leaves the limit unset.
func limitMemory(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryBytes)))
	}
}
