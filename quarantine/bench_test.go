package quarantine_test

import (
	"fmt"
	"testing"

	"zinniamast/quarantine"
)

// BenchmarkWithoutCrashes measures the overhead per attempt while no replica has
// crashed.
func BenchmarkWithoutCrashes(b *testing.B) {
	q := quarantine.New(quarantine.Config{})
	b.ReportAllocs()
	for b.Loop() {
		q.Check(1)
		q.AttemptStarted("r", 1)
		q.AttemptEnded("r", 1, true)
	}
}

// BenchmarkAfterCrashes measures the overhead per attempt with ten retained
// crashes of thirty requests each, none of which involved the attempt's request.
func BenchmarkAfterCrashes(b *testing.B) {
	q := quarantine.New(quarantine.Config{})
	for crash := range 10 {
		id := string(rune('a' + crash))
		for request := range uint64(30) {
			q.AttemptStarted(id, request+100)
		}
		q.ReplicaCrashed(id)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Check(1)
		q.AttemptStarted("r", 1)
		q.AttemptEnded("r", 1, true)
	}
}

// BenchmarkPartAttempt measures what an attempt of a request with three parts costs, after ten
// crashes.
func BenchmarkPartAttempt(b *testing.B) {
	b.ReportAllocs()
	n := newPartNodes(1)[0]
	for i := range 10 {
		n.crash(fmt.Sprint(i, "/1"), commonPart, uint64(1000+i))
	}
	parts := []uint64{commonPart, newPart, nextPart}
	for b.Loop() {
		_, _ = n.Check(parts)
		n.answer("a/1", parts...)
	}
}
