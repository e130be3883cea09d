package soak_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/processtest"
	"zinniamast/soak"
)

var (
	seeds  = flag.Int("soak.seeds", 4, "how many seeds are soaked")
	first  = flag.Uint64("soak.first", 1, "the first seed")
	length = flag.Duration("soak.length", 6*time.Second, "how long faults are injected")
	size   = flag.Int("soak.instances", 4, "how many entry instances there are")
)

func TestMain(m *testing.M) {
	code := m.Run()
	processtest.Clean()
	os.Exit(code)
}

// Callers book, look up and read streams while instances are killed, paused,
// stopped and reloaded, the store fails, and replicas misbehave or are silent,
// several at a time. Nothing that may not be repeated runs twice, "not run" is true,
// each answer is its caller's own, no connection ends without an answer for a
// reason that does not excuse it, and seconds after the last fault nearly all
// requests are served.
func TestSoak(t *testing.T) {
	if testing.Short() {
		*seeds, *length = 1, time.Second
	}
	for i := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", *first+i), func(t *testing.T) {
			check := is.New(t)
			faulty, calmed := soak.Run(t, soak.Config{
				Seed:      *first + i,
				Instances: *size,
				Faults:    *length,
			})
			t.Logf("%d requests, %d served, %d refused, without answer %v; then %d, %d served, without answer %v",
				faulty.Requests, faulty.Served, faulty.Refused, faulty.Excused, calmed.Requests, calmed.Served, calmed.Excused)
			t.Logf("faults: %v", faulty.Faults)
			for _, line := range append(faulty.Broken, calmed.Broken...) {
				t.Error(line)
			}
			check.True(faulty.Served > 0)
			check.True(float64(calmed.Served) > 0.95*float64(calmed.Requests))
		})
	}
}
