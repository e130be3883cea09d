// Package eventlog writes log lines asynchronously, so that logging never blocks
// a request.
//
// If the process that reads the output stops reading, the pipe fills up and a
// synchronous write would block the request that logs, and then every request.
// Lines are therefore queued. A line is dropped and counted if its queue is full
// or the rate limit is exceeded. Warnings and errors have a queue and a rate
// limit of their own, so that a burst of lower levels does not displace them.
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
	// queueCapacity is the number of lines that each queue holds. A line has about
	// 200 bytes, so a stalled output costs about 400 KB of memory.
	queueCapacity = 1000
	// linesPerSecond limits the rate of each queue. It is ten times what a node
	// writes at the highest load it is sized for: 60 requests per second with three
	// lines each.
	linesPerSecond = 2000
	// dropReportInterval is the interval at which dropped lines are reported.
	dropReportInterval = time.Second
)

// Config configures a Log.
type Config struct {
	// Out receives the lines. Its Write may block.
	Out io.Writer
	// Level is the lowest level that is logged.
	Level slog.Leveler
	// Now returns the time stamp of a line. Nil means time.Now.
	Now func() time.Time
	// ReplaceAttr rewrites attributes, as in slog.HandlerOptions. It may be nil.
	ReplaceAttr func(groups []string, a slog.Attr) slog.Attr
}

// Log queues log lines for an output. Its lock is held only for microseconds and
// never during a write.
type Log struct {
	config Config
	// successes holds lines below slog.LevelWarn, failures those from it on.
	successes lineQueue
	failures  lineQueue

	mu      sync.Mutex
	dropped map[string]int
}

// lineQueue is a queue of lines with a rate limit.
type lineQueue struct {
	lines chan []byte
	// count is the number of lines logged during second, in Unix time. Log.mu guards
	// both.
	count  int
	second int64
}

// New returns a Log. Its lines are written by Run.
func New(config Config) *Log {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Log{
		config: config,
		successes: lineQueue{
			lines: make(chan []byte, queueCapacity),
		},
		failures: lineQueue{
			lines: make(chan []byte, queueCapacity),
		},
		dropped: map[string]int{},
	}
}

// Logger returns a logger whose lines go to the queues of l.
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

// Run writes queued lines until ctx ends, and then writes the lines that are
// still queued.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.failures.lines:
			l.write(line)
		case line := <-l.successes.lines:
			l.write(line)
		case <-ticker.C:
			l.reportDropped()
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
			l.reportDropped()
			return
		}
	}
}

func (l *Log) write(line []byte) {
	if _, err := l.config.Out.Write(line); err != nil {
		l.countDropped("output failed: " + err.Error())
	}
}

// reportDropped writes one line with the number of dropped lines of each kind, if any.
func (l *Log) reportDropped() {
	l.mu.Lock()
	if len(l.dropped) == 0 {
		l.mu.Unlock()
		return
	}
	kinds := make([]string, 0, len(l.dropped))
	for kind, count := range l.dropped {
		kinds = append(kinds, fmt.Sprintf("%s:%d", kind, count))
	}
	clear(l.dropped)
	l.mu.Unlock()
	slices.Sort(kinds)
	l.write(fmt.Appendf(nil, "time=%s level=WARN msg=\"log lines dropped\" kinds=%q\n",
		l.config.Now().Format(time.RFC3339Nano), strings.Join(kinds, " ")))
}

func (l *Log) countDropped(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[kind]++
}

// enqueue queues a line, or drops and counts it.
func (l *Log) enqueue(q *lineQueue, kind string, line []byte, now time.Time) {
	if !l.allow(q, now) {
		l.countDropped(kind)
		return
	}
	select {
	case q.lines <- line:
	default:
		l.countDropped(kind)
	}
}

func (l *Log) allow(q *lineQueue, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != q.second {
		q.second, q.count = second, 0
	}
	q.count++
	return q.count <= linesPerSecond
}

// handler formats lines one at a time into a shared buffer.
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
	q := &h.log.successes
	if r.Level >= slog.LevelWarn {
		q = &h.log.failures
	}
	h.log.enqueue(q, r.Message, line, r.Time)
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

// derive returns a handler with its own buffer and the changed text handler.
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
