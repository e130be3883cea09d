package request_test

import (
	"testing"
	"time"

	"zinniamast/request"
)

// BenchmarkLifecycle measures the state transitions of a request from acceptance to
// the end of its answer.
func BenchmarkLifecycle(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		q := request.New(request.Call{})
		q.Begin("a", "engine-0")
		q.Finish("a", "stop", request.Usage{})
	}
}

// BenchmarkAppend measures appending one streamed token to the buffer.
func BenchmarkAppend(b *testing.B) {
	b.ReportAllocs()
	q := request.New(request.Call{
		Deadline: time.Now(),
	})
	q.Begin("a", "engine-0")
	ids := []int32{7}
	text := []byte(" word")
	i := 0
	for b.Loop() {
		q.Append("a", i, ids, text)
		i++
	}
}
