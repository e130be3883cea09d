package tablebudget_test

import (
	"context"
	"fmt"
	"testing"

	"zinniamast"
	"zinniamast/standin/platform"
	"zinniamast/tablebudget"
)

// BenchmarkWrite measures the overhead of the Client per write, with a table that
// answers immediately.
func BenchmarkWrite(b *testing.B) {
	path := tablebudget.New(tablebudget.Config{
		Table:           platform.New(platform.Config{}).Table,
		WritesPerSecond: 1e9,
	})
	defer path.Close()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		if err := path.Write(context.Background(), []zinniamast.Write{newWrite(fmt.Sprint(i), "", 0)}); err != nil {
			b.Fatal(err)
		}
	}
}
