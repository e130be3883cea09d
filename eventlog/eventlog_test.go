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

// stalledOutput is an output whose writes block until open is closed.
type stalledOutput struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *stalledOutput) Write(line []byte) (int, error) {
	<-p.open
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(line)
}

func (p *stalledOutput) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// The test guards against requests that block in logging while the reader of the
// output is stalled. After the reader resumes, all warnings are written although
// lines of lower levels were dropped, and one line reports the dropped lines.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	check := is.New(t)
	out := &stalledOutput{
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
	check.True(strings.Contains(text, "log lines dropped"))
	check.True(strings.Contains(text, "answered:"))
}

// Logging a line costs a request about two microseconds and one allocation, even
// if the output is stalled.
func BenchmarkLogLine(b *testing.B) {
	out := &stalledOutput{
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
