package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"log/slog"
	"os/signal"
	"syscall"

	"zinniamast/node"
	"zinniamast/settings"
)

// Node runs an entry instance until SIGTERM or SIGINT, which stop it gracefully,
// and returns its exit code.
func Node(args []string, _, errOut io.Writer) int {
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	flags.SetOutput(errOut)
	path := flags.String("settings", "", "`FILE` with this instance's settings, in JSON")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		fmt.Fprintln(errOut, "usage: zinniamast node -settings FILE")
		return exitUsage
	}
	loaded, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	logger := newLogger(errOut, loaded.LogLevel)
	redirectStandardLog(logger)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	instance, err := node.New(node.Config{
		Settings: loaded,
		Platform: node.Connect(loaded),
		Logger:   logger,
	})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if err := instance.Run(ctx); err != nil {
		logger.Error("node failed", "cause", err)
		return exitFailed
	}
	return exitOK
}

// redirectStandardLog passes lines of the standard library's logger on at debug level.
// net/http logs the first kilobytes of whatever an idle connection receives, to a stream that
// may block.
func redirectStandardLog(logger *slog.Logger) {
	log.SetFlags(0)
	log.SetOutput(slog.NewLogLogger(logger.Handler(), slog.LevelDebug).Writer())
}

// newLogger returns a logger that writes key=value lines. An invalid level means
// info.
func newLogger(out io.Writer, level string) *slog.Logger {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		threshold = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{
		Level:       threshold,
		ReplaceAttr: plainError,
	}))
}

// plainError replaces an error by its message. The handler would otherwise print
// the whole stack trace that merry attaches to it.
func plainError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
