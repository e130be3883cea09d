package lease_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"zinniamast/lease"
	"zinniamast/standin/platform"
)

// BenchmarkCheck measures the cost of checking the lease before each use.
func BenchmarkCheck(b *testing.B) {
	l := lease.New(lease.Config{
		Table:  platform.New(platform.Config{}).Table,
		Name:   "capacity",
		Holder: "a",
		Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	for l.Status().State != "held" {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Check(0); err != nil {
			b.Fatal(err)
		}
	}
}
