// Package eventlog writes log lines without ever making a request wait.
//
// Failure: whoever reads a process's output stops reading, the pipe fills, and
// the next line blocks the request that writes it, then every request. Lines
// are therefore queued, and left out and counted where the queue is full or the
// rate is spent. Warnings and errors have a queue and a rate of their own, so
// that a flood of successes costs no failure its line.
package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// queued is how many lines of each class wait for the output; a line has
	// some 200 bytes, so a stalled output costs some 400 KB.
	queued = 1000
	// linesASecond bounds each class: ten times what a node writes at the
	// highest load that one is sized for, 60 requests a second with three lines each.
	linesASecond = 2000
	// tellEvery is how often lines that were left out are told of.
	tellEvery = time.Second
)

// Config says where lines go.
type Config struct {
	// Out takes the lines; it may block.
	Out io.Writer
	// Level is the least level that is written.
	Level slog.Leveler
	// Now tells the time that lines bear; nil is time.Now.
	Now func() time.Time
	// ReplaceAttr changes attributes, as in slog.HandlerOptions; it may be nil.
	ReplaceAttr func(groups []string, a slog.Attr) slog.Attr
}

// Log is the queue before an output. Its lock is held for microseconds.
type Log struct {
	config Config
	// successes and failures hold lines below slog.LevelWarn, and the others.
	successes class
	failures  class

	mu   sync.Mutex
	left map[string]int
}

// class is one queue with its rate.
type class struct {
	lines chan []byte
	// spent counts the lines of a second; the log's lock guards both.
	spent  int
	second int64
}

// New returns a log whose lines Run writes.
func New(config Config) *Log {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Log{
		config: config,
		successes: class{
			lines: make(chan []byte, queued),
		},
		failures: class{
			lines: make(chan []byte, queued),
		},
		left: map[string]int{},
	}
}

// Logger returns the logger that writes here.
func (l *Log) Logger() *slog.Logger {
	h := &handler{
		log: l,
	}
	h.text = slog.NewTextHandler(&h.buffer, &slog.HandlerOptions{
		Level:       l.config.Level,
		ReplaceAttr: l.config.ReplaceAttr,
	})
	h.mu = &sync.Mutex{}
	return slog.New(h)
}

// Run writes lines until ctx ends, and then what is still queued for a moment.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.failures.lines:
			l.write(line)
		case line := <-l.successes.lines:
			l.write(line)
		case <-ticker.C:
			l.tell()
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.failures.lines:
			l.write(line)
		case line := <-l.successes.lines:
			l.write(line)
		default:
			l.tell()
			return
		}
	}
}

func (l *Log) write(line []byte) {
	if _, err := l.config.Out.Write(line); err != nil {
		l.leave("output failed: " + err.Error())
	}
}

// tell writes one line of what was left out.
func (l *Log) tell() {
	l.mu.Lock()
	if len(l.left) == 0 {
		l.mu.Unlock()
		return
	}
	kinds := make([]string, 0, len(l.left))
	for kind, count := range l.left {
		kinds = append(kinds, fmt.Sprintf("%s:%d", kind, count))
	}
	clear(l.left)
	l.mu.Unlock()
	slices.Sort(kinds)
	l.write(fmt.Appendf(nil, "time=%s level=WARN msg=\"lines left out\" kinds=%q\n",
		l.config.Now().Format(time.RFC3339Nano), strings.Join(kinds, " ")))
}

func (l *Log) leave(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[kind]++
}

// enqueue takes a line or counts it as left out.
func (l *Log) enqueue(c *class, kind string, line []byte, now time.Time) {
	if !l.within(c, now) {
		l.leave(kind)
		return
	}
	select {
	case c.lines <- line:
	default:
		l.leave(kind)
	}
}

func (l *Log) within(c *class, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != c.second {
		c.second, c.spent = second, 0
	}
	c.spent++
	return c.spent <= linesASecond
}

// handler formats lines one at a time into one buffer.
type handler struct {
	log    *Log
	mu     *sync.Mutex
	buffer bytes.Buffer
	text   slog.Handler
}

var _ slog.Handler = (*handler)(nil)

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.text.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	r.Time = h.log.config.Now()
	h.mu.Lock()
	h.buffer.Reset()
	err := h.text.Handle(ctx, r)
	line := bytes.Clone(h.buffer.Bytes())
	h.mu.Unlock()
	if err != nil {
		return err
	}
	c := &h.log.successes
	if r.Level >= slog.LevelWarn {
		c = &h.log.failures
	}
	h.log.enqueue(c, r.Message, line, r.Time)
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.derive(func(text slog.Handler) slog.Handler { return text.WithAttrs(attrs) })
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return h.derive(func(text slog.Handler) slog.Handler { return text.WithGroup(name) })
}

// derive returns a handler with a buffer of its own.
func (h *handler) derive(change func(slog.Handler) slog.Handler) slog.Handler {
	derived := &handler{
		log: h.log,
		mu:  &sync.Mutex{},
	}
	derived.text = change(slog.NewTextHandler(&derived.buffer, &slog.HandlerOptions{
		Level:       h.log.config.Level,
		ReplaceAttr: h.log.config.ReplaceAttr,
	}))
	return derived
}
