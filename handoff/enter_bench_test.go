package handoff_test

import (
	"context"
	"fmt"
	"testing"

	"zinniamast/caller"
)

// BenchmarkEnter measures the cost of one keyed request in the directory: a write
// at two homes, which also returns an existing entry of the key. The bytes are
// counted below TLS, each once.
func BenchmarkEnter(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes := newTCPNodes(ctx, b, 4)
	count := 0
	for b.Loop() {
		count++
		node := nodes[count%len(nodes)]
		query := caller.Query{
			ID:           fmt.Sprintf("request-of-26-characters-%d", count),
			Organisation: "franchise-office",
			Key:          fmt.Sprintf("0f6e0c1a-5a53-4d6c-9b3e-%012d", count),
			Fingerprint:  uint64(count),
		}
		if reader, refusal := node.exchange.Enter(ctx, query); reader != nil || refusal != nil {
			b.Fatal("a new key has an entry already")
		}
	}
	wire := int64(0)
	for _, node := range nodes {
		wire += node.pool.Traffic().Out.Load() + node.pool.Traffic().In.Load()
	}
	b.ReportMetric(float64(wire)/float64(count), "wire-B/op")
}
