package overhead_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// maxAllocationsPerToken bounds the allocations of the node per streamed token.
	maxAllocationsPerToken = 2.0
	// tokenInterval makes the engines send each token separately, as real ones do.
	// Without it one read returns many tokens, so that the cost per token
	// appears lower than it is.
	tokenInterval = time.Millisecond
	pacedStreams  = 32
)

// TestAllocationsPerToken streams long and short answers through the node and
// directly, and bounds the allocations that the node adds per token. More of
// them would show as garbage collection at 930,000 tokens per second, long before
// any single stream is slow.
func TestAllocationsPerToken(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector makes pools allocate")
	}
	is := is.New(t)
	added := newRig(t, tokenInterval).addedPerToken(pacedStreams)
	t.Logf("added per token: %.3f allocations, %.0f bytes", added.allocations, added.bytes)
	is.True(added.allocations <= maxAllocationsPerToken)
	is.True(added.allocations > -maxAllocationsPerToken) // the two runs are comparable
}

// BenchmarkFirstToken reports the median time to first token through the node and
// directly, and the difference, with one request at a time.
func BenchmarkFirstToken(b *testing.B) {
	r := newRig(b, 0)
	buffer := make([]byte, 64<<10)
	var through, direct []time.Duration
	number := 0
	for b.Loop() {
		number++
		body := prompt(number, 1)
		direct = append(direct, r.stream(r.direct, body, buffer))
		through = append(through, r.stream(r.node, body, buffer))
	}
	report := func(name string, value time.Duration) {
		b.ReportMetric(float64(value.Nanoseconds())/1000, name)
	}
	report("node_us", median(through))
	report("direct_us", median(direct))
	report("added_us", median(through)-median(direct))
}

func median(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)/2]
}

// BenchmarkToken reports the cost that the node adds per streamed token, with
// engines that send each token separately and with engines that send as fast
// as they can.
func BenchmarkToken(b *testing.B) {
	intervals := map[string]time.Duration{
		"each_by_itself":  tokenInterval,
		"as_fast_as_able": 0,
	}
	for name, between := range intervals {
		b.Run(name, func(b *testing.B) {
			r := newRig(b, between)
			var added tokenCost
			for b.Loop() {
				added = r.addedPerToken(pacedStreams)
			}
			b.ReportMetric(added.allocations, "allocs/token")
			b.ReportMetric(added.bytes, "bytes/token")
			b.ReportMetric(float64(added.cpuTime.Nanoseconds()), "cpu_ns/token")
			if added.cpuTime > 0 {
				b.ReportMetric(float64(time.Second)/float64(added.cpuTime), "tokens/s/core")
			}
		})
	}
}

// BenchmarkRequest reports the cost that the node adds to one request with a
// one-token answer, apart from the cost per token.
func BenchmarkRequest(b *testing.B) {
	r := newRig(b, 0)
	const streams = 64
	var through, direct cost
	for b.Loop() {
		through, direct = r.measureStreams(r.node, streams, 1), r.measureStreams(r.direct, streams, 1)
	}
	b.ReportMetric((through.allocations-direct.allocations)/streams, "allocs/request")
	b.ReportMetric((through.bytes-direct.bytes)/streams, "bytes/request")
	b.ReportMetric(float64((through.cpuTime-direct.cpuTime).Nanoseconds())/streams, "cpu_ns/request")
}
