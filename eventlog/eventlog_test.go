package eventlog_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/eventlog"
)

// pipe is an output that blocks until it is opened.
type pipe struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *pipe) Write(line []byte) (int, error) {
	<-p.open
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(line)
}

func (p *pipe) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// The reader of the output stops. Requests go on writing lines and never wait;
// when the reader is back, failures have kept their lines before successes, and
// one line tells what was left out.
func TestStalledOutputBlocksNobody(t *testing.T) {
	check := is.New(t)
	out := &pipe{
		open: make(chan struct{}),
	}
	log := eventlog.New(eventlog.Config{
		Out: out,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		log.Run(ctx)
	}()
	logger := log.Logger()
	longest := time.Duration(0)
	for i := range 20000 {
		began := time.Now()
		logger.Info("answered", "request", i)
		if i%40 == 0 {
			logger.Warn("refused", "request", i)
		}
		longest = max(longest, time.Since(began))
	}
	check.True(longest < 100*time.Millisecond)
	close(out.open)
	time.Sleep(1200 * time.Millisecond)
	cancel()
	<-done
	text := out.String()
	check.Equal(strings.Count(text, "msg=refused"), 500)
	check.True(strings.Count(text, "msg=answered") >= 1000)
	check.True(strings.Contains(text, "lines left out"))
	check.True(strings.Contains(text, "answered:"))
}

// A line costs a request some two microseconds and one allocation, whatever
// the output does.
func BenchmarkLine(b *testing.B) {
	out := &pipe{
		open: make(chan struct{}),
	}
	logger := eventlog.New(eventlog.Config{
		Out:   out,
		Level: slog.LevelInfo,
	}).Logger()
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("answered", "request", "9c41d07be2a35f68", "service", "models", "status", 200, "elapsed", 20*time.Millisecond)
	}
}
