package dynamodb_test

import (
	"context"
	"fmt"
	"testing"

	"zinniamast"
	"zinniamast/standin/platform"
)

// BenchmarkWrite measures writes of the client to the stand-in table. The stand-in
// runs in the same process, so the results include its cost.
func BenchmarkWrite(b *testing.B) {
	for _, size := range []int{1, 25, 100} {
		b.Run(fmt.Sprintf("items=%d", size), func(b *testing.B) {
			table, _ := newTable(b, platform.Config{})
			b.ReportAllocs()
			round := 0
			for b.Loop() {
				round++
				writes := make([]zinniamast.Write, size)
				for i := range writes {
					writes[i] = put(fmt.Sprint(i), "200 bytes are what a claim takes", uint64(round-1))
				}
				if err := table.Write(context.Background(), writes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
