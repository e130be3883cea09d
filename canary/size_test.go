package canary_test

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"
)

// BenchmarkReports measures the bytes of the reports that nodes and failure domains send in the trial of a rollout.
func BenchmarkReports(b *testing.B) {
	for b.Loop() {
		w := newWorld(b, sizes[78], good, within, 1)
		w.play(10 * time.Second)
		var node, domain int
		for _, n := range w.nodes {
			node = max(node, gobSize(b, n.canary.Report()))
		}
		for _, name := range w.domains() {
			domain = max(domain, gobSize(b, w.reader(name).canary.Domains(name)))
		}
		b.ReportMetric(float64(node), "B/node_report")
		b.ReportMetric(float64(domain), "B/domain_report")
	}
}

// gobSize returns the size of the second of two equal messages, without the types.
func gobSize(b *testing.B, value any) int {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for range 2 {
		buffer.Reset()
		if err := encoder.Encode(value); err != nil {
			b.Fatal(err)
		}
	}
	return buffer.Len()
}
