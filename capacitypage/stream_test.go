package capacitypage_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"zinniamast/demo"
	"zinniamast/standin/engine"
)

const openStreams = 200

// BenchmarkOpenStream measures the memory that a node uses for one open stream in
// addition to its prompt: the heap and stacks of streams through the node minus
// those of the same streams directly to the engine. Run it with -benchtime 1x.
func BenchmarkOpenStream(b *testing.B) {
	for _, prompt := range []int{200, 120_000} {
		b.Run(fmt.Sprintf("prompt=%d", prompt), func(b *testing.B) {
			d, err := demo.Start(demo.Config{
				Listen: "127.0.0.1:0",
				Logger: slog.New(slog.DiscardHandler),
				Engine: &engine.Config{
					BetweenTokens: 500 * time.Millisecond,
					Slots:         4096,
				},
			})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(d.Stop)
			for b.Loop() {
				direct := openStreamBytes(b, d.StandinURLs()[0], prompt)
				through := openStreamBytes(b, d.URL(), prompt)
				b.ReportMetric(float64(through-direct)/openStreams/1024, "KiB/stream")
			}
		})
	}
}

// openStreamBytes returns the additional memory of the process while streams are open.
func openStreamBytes(b *testing.B, base string, prompt int) int64 {
	b.Helper()
	client := &http.Client{
		Transport: &http.Transport{},
	}
	before := heapAndStackBytes()
	var open []io.Closer
	for i := range openStreams {
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"%d %s"}]}`,
			demo.Model, i, strings.Repeat("word ", prompt/5))
		request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+demo.Key)
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		open = append(open, response.Body)
		line, err := bufio.NewReaderSize(response.Body, 256).ReadString('\n')
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(response.StatusCode, line, err)
		}
	}
	after := heapAndStackBytes()
	for _, each := range open {
		each.Close()
	}
	client.CloseIdleConnections()
	time.Sleep(time.Second)
	return after - before
}

// heapAndStackBytes returns the heap and stack bytes in use after a garbage collection.
func heapAndStackBytes() int64 {
	sum := heapBytes()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return sum + int64(stats.StackInuse)
}
