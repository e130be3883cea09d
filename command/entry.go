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

// Entry runs an entry instance on the users' platform.
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
	known := *policy == entry.PolicyPredicted || *policy == entry.PolicyNearest
	if *path == "" || !known || flags.NArg() > 0 {
		fmt.Fprintln(errOut, "usage: zinniamast entry [-settings FILE] [-log-level LEVEL] [-policy predicted|nearest] [-metrics-port PORT]")
		return exitUsage
	}
	loaded, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	bound(loaded.MemoryBytes)
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(*level)); err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	steady := &clock.Clock{}
	log := eventlog.New(eventlog.Config{
		Out:         os.Stdout,
		Level:       threshold,
		Now:         steady.NowOrLocal,
		ReplaceAttr: plainError,
	})
	logger := log.Logger()
	stopLog := writeLog(log)
	defer stopLog()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	built, err := entry.New(entry.Config{
		Settings: loaded,
		Path:     *path,
		Hangups:  hangups,
		Policy:   *policy,
		Metrics:  *metricsPort,
		Clock:    steady,
		Logger:   logger,
	})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if err := built.Run(ctx); err != nil {
		logger.Error("entry failed", "cause", err)
		return exitFailed
	}
	return exitOK
}

// writeLog writes queued lines until the returned function is called.
func writeLog(log *eventlog.Log) func() {
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

// memoryPart is the part of the instance's memory at which the collector works
// harder; the rest is for what it does not count, such as unread input.
const memoryPart = 0.6

// bound tells the collector what the instance has.
func bound(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(memory)))
	}
}
