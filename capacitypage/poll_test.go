package capacitypage_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"zinniamast/engine"
	standin "zinniamast/standin/engine"
)

// BenchmarkPoll measures the bytes, including HTTP, of one poll of an engine and
// of one cache event. A poll, as package routing makes it, reads a load report and
// the cache events since the previous poll.
func BenchmarkPoll(b *testing.B) {
	url, wire := serveCounted(b, standin.New(standin.Config{}))
	client := engine.New(engine.Config{
		ID:        "engine-0",
		Address:   url,
		Transport: engine.NewTransport(),
	})
	const prompts = 20
	for i := range prompts {
		body := fmt.Sprintf(`{"model":"summary","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"%d %s"}]}`,
			i, strings.Repeat("word ", 2000))
		response, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		response.Body.Close()
	}
	events, err := client.CacheEvents(b.Context(), 0)
	if err != nil || len(events) == 0 {
		b.Fatal("engine returned no cache events", err)
	}
	last := events[len(events)-1].Sequence
	poll := func(after uint64) int64 {
		before := wire.bytes.Load()
		if _, err := client.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
		if _, err := client.CacheEvents(b.Context(), after); err != nil {
			b.Fatal(err)
		}
		return wire.bytes.Load() - before
	}
	full := poll(0)
	count, sum := int64(0), int64(0)
	for b.Loop() {
		sum += poll(last)
		count++
	}
	b.ReportMetric(float64(sum)/float64(count), "B/poll")
	b.ReportMetric(float64(full-sum/count)/float64(len(events)), "B/event")
	b.ReportMetric(float64(len(events))/prompts, "events/prompt")
}
