package claims_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"zinniamast"
	"zinniamast/claims"
	"zinniamast/standin/platform"
)

// BenchmarkClaim acquires a claim and ends it with an answer of 1 KB, with a
// table without delay.
func BenchmarkClaim(b *testing.B) {
	table := platform.New(platform.Config{}).Table
	node := claims.New(claims.Config{Table: table, Node: "node-1"})
	answer := zinniamast.ServiceAnswer{Status: 200, Body: make([]byte, 1024)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		result, err := node.Begin(context.Background(), claims.Call{
			Organisation: "north",
			Service:      "booking",
			Key:          fmt.Sprint(i),
			Method:       "POST",
			Path:         "/reservations",
			Deadline:     time.Now().Add(time.Minute),
		})
		if err != nil {
			b.Fatal(err)
		}
		result.Claim.Answer(answer)
	}
	node.Close(context.Background())
	item, err := table.Get(context.Background(), zinniamast.Key{Partition: "claim/north/booking/0", Sort: "claim"})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(item.Value)-len(answer.Body)*4/3), "record-bytes")
}

// BenchmarkLargeAnswer ends claims with answers of 200 KiB, without an object
// store and with one; answer-ns is the time that the caller waits for Answer.
func BenchmarkLargeAnswer(b *testing.B) {
	for name, store := range map[string]zinniamast.ObjectStore{
		"dropped": nil,
		"kept":    platform.New(platform.Config{}).Objects,
	} {
		b.Run(name, func(b *testing.B) {
			node := claims.New(claims.Config{
				Table:   platform.New(platform.Config{}).Table,
				Objects: store,
				Node:    "node-1",
			})
			var answering time.Duration
			for i := 0; b.Loop(); i++ {
				result, err := node.Begin(context.Background(), largeCall(fmt.Sprint(b.N, "-", i)))
				if err != nil {
					b.Fatal(err)
				}
				answer := zinniamast.ServiceAnswer{Status: 200, Body: make([]byte, 200<<10)}
				before := time.Now()
				result.Claim.Answer(answer)
				answering += time.Since(before)
			}
			node.Close(context.Background())
			b.ReportMetric(float64(answering.Nanoseconds())/float64(b.N), "answer-ns")
		})
	}
}
