package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram bounds: from 1 µs to ten minutes, with three significant digits.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

// latency is a latency histogram. It is safe for concurrent use.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{
		histogram: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
}

func (l *latency) record(elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	micros := min(max(elapsed.Microseconds(), lowestMicros), highestMicros)
	_ = l.histogram.RecordValue(micros)
}

// Quantiles holds latency quantiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func (l *latency) quantiles() Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(quantile float64) float64 {
		return float64(l.histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{
		P50: at(50),
		P95: at(95),
		P99: at(99),
	}
}
