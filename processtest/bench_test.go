package processtest_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniamast/processtest"
	"zinniamast/standin/engine"
)

// BenchmarkNodeProcess streams through one node process that has one core and
// reports the CPU time of the process from its own metric. Engines send each token
// separately.
func BenchmarkNodeProcess(b *testing.B) {
	for _, streams := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			fleet := processtest.NewFleet(b, processtest.FleetConfig{
				FailureDomains:   processtest.ThreeDomains[:1],
				EnginesPerDomain: 4,
				Engine: engine.Config{
					BetweenTokens: 5 * time.Millisecond,
					Slots:         512,
				},
				Environment: []string{"GOMAXPROCS=1"},
			})
			node := fleet.Nodes[0]
			const tokens = 400
			streamAll(b, node.DirectURL, streams, 50)
			total := 0
			spent, elapsed := 0.0, time.Duration(0)
			for b.Loop() {
				before, begin := cpuSeconds(b, node.DirectURL), time.Now()
				streamAll(b, node.DirectURL, streams, tokens)
				elapsed += time.Since(begin)
				spent += cpuSeconds(b, node.DirectURL) - before
				total += streams * tokens
			}
			b.ReportMetric(float64(total)/elapsed.Seconds(), "tokens/s")
			b.ReportMetric(spent/float64(total)*1e9, "cpu_ns/token")
			b.ReportMetric(float64(total)/spent, "tokens/s/core")
		})
	}
}

// streamAll reads answers concurrently, each of exactly tokens tokens.
func streamAll(b *testing.B, base string, streams, tokens int) {
	b.Helper()
	var readers sync.WaitGroup
	for i := range streams {
		readers.Go(func() { streamOne(b, base, fmt.Sprintf("%d %d", time.Now().UnixNano(), i), tokens) })
	}
	readers.Wait()
}

func streamOne(b *testing.B, base, text string, tokens int) {
	messages := ""
	for try := 0; messages == "" || len(engine.Answer([]byte(messages), 0)) < tokens; try++ {
		messages = fmt.Sprintf(`[{"role":"user","content":"%s %d"}]`, text, try)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, processtest.Model, tokens, messages)
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+processtest.Key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Contains(raw, []byte("data: [DONE]")) {
		b.Errorf("status %d, %d bytes: %v", response.StatusCode, len(raw), err)
	}
}

// cpuSeconds returns the CPU time of the node's process so far.
func cpuSeconds(b *testing.B, base string) float64 {
	b.Helper()
	response, err := http.Get(base + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "process_cpu_seconds_total "); found {
			seconds, err := strconv.ParseFloat(value, 64)
			if err != nil {
				b.Fatal(err)
			}
			return seconds
		}
	}
	b.Fatal("the node's metrics lack process_cpu_seconds_total")
	return 0
}
