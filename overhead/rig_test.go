package overhead_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"zinniamast/demo"
	"zinniamast/standin/engine"
)

// rig is a node and its stand-in engines, all in this process.
type rig struct {
	tb     testing.TB
	client *http.Client
	node   string
	direct string
}

// newRig starts a node whose engines wait for betweenTokens between tokens.
func newRig(tb testing.TB, betweenTokens time.Duration) *rig {
	tb.Helper()
	d, err := demo.Start(demo.Config{
		Listen: "127.0.0.1:0",
		Logger: slog.New(slog.DiscardHandler),
		Engine: &engine.Config{
			BetweenTokens: betweenTokens,
			Slots:         4096,
		},
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(d.Stop)
	return &rig{
		tb: tb,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 4096,
			},
		},
		node:   d.URL(),
		direct: d.StandinURLs()[0],
	}
}

// prompt returns a request body whose answer has exactly the given number of
// tokens. Each stream of a run has a different number, so that no answer is shared.
func prompt(number, tokens int) []byte {
	for try := 0; ; try++ {
		messages := fmt.Sprintf(`[{"role":"user","content":"stream %d %d"}]`, number, try)
		if len(engine.Answer([]byte(messages), 0)) >= tokens {
			return []byte(fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, demo.Model, tokens, messages))
		}
	}
}

var (
	contentMark = []byte(`"content":`)
	endMark     = []byte("data: [DONE]")
)

// stream reads one answer to its end marker and returns the time to first token.
func (r *rig) stream(base string, body, buffer []byte) time.Duration {
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		r.tb.Error(err)
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+demo.Key)
	begin := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		r.tb.Error(err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	first := time.Duration(0)
	ended := false
	for {
		n, err := response.Body.Read(buffer)
		if first == 0 && bytes.Contains(buffer[:n], contentMark) {
			first = time.Since(begin)
		}
		ended = ended || bytes.Contains(buffer[:n], endMark)
		if err == io.EOF && ended {
			return first
		}
		if err != nil {
			r.tb.Errorf("stream from %s: status %d, ended=%v: %v", base, response.StatusCode, ended, err)
			return first
		}
	}
}

// cost is the cost of a run to the whole process.
type cost struct {
	allocations float64
	bytes       float64
	cpuTime     time.Duration
}

// measureStreams reads the given number of streams concurrently and returns the
// cost to the whole process. It does so twice and measures the second round, in
// which connections and pools are warm.
func (r *rig) measureStreams(base string, streams, tokens int) cost {
	bodies := make([][]byte, streams)
	buffers := make([][]byte, streams)
	for i := range streams {
		buffers[i] = make([]byte, 64<<10)
	}
	measured := cost{}
	for round := range 2 {
		for i := range streams {
			bodies[i] = prompt(round*streams+i, tokens)
		}
		measured = measureCost(func() {
			var readers sync.WaitGroup
			for i := range streams {
				readers.Go(func() { r.stream(base, bodies[i], buffers[i]) })
			}
			readers.Wait()
		})
	}
	return measured
}

// measureCost returns the allocations and CPU time of the process during f.
func measureCost(f func()) cost {
	var before, after runtime.MemStats
	var start, end syscall.Rusage
	runtime.GC()
	runtime.ReadMemStats(&before)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &start)
	f()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &end)
	runtime.ReadMemStats(&after)
	return cost{
		allocations: float64(after.Mallocs - before.Mallocs),
		bytes:       float64(after.TotalAlloc - before.TotalAlloc),
		cpuTime:     cpuTime(end) - cpuTime(start),
	}
}

func cpuTime(usage syscall.Rusage) time.Duration {
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// tokenCost is the cost per token: the difference between long and short streams
// divided by their difference in tokens, which excludes the fixed cost of a request.
type tokenCost struct {
	allocations float64
	bytes       float64
	cpuTime     time.Duration
}

const (
	shortStreamTokens = 50
	longStreamTokens  = 450
)

func (r *rig) costPerToken(base string, streams int) tokenCost {
	long, short := r.measureStreams(base, streams, longStreamTokens), r.measureStreams(base, streams, shortStreamTokens)
	tokens := float64(streams * (longStreamTokens - shortStreamTokens))
	return tokenCost{
		allocations: (long.allocations - short.allocations) / tokens,
		bytes:       (long.bytes - short.bytes) / tokens,
		cpuTime:     time.Duration(float64(long.cpuTime-short.cpuTime) / tokens),
	}
}

// addedPerToken returns the cost that the node adds to each token.
func (r *rig) addedPerToken(streams int) tokenCost {
	through, direct := r.costPerToken(r.node, streams), r.costPerToken(r.direct, streams)
	return tokenCost{
		allocations: through.allocations - direct.allocations,
		bytes:       through.bytes - direct.bytes,
		cpuTime:     through.cpuTime - direct.cpuTime,
	}
}
