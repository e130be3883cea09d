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
	seeds  = flag.Int("soak.seeds", 2, "how many seeds are soaked")
	first  = flag.Uint64("soak.first", 1, "the first seed")
	length = flag.Duration("soak.length", 6*time.Second, "how long faults are injected")
	size   = flag.Int("soak.instances", 4, "how many entry instances there are")
)

func TestMain(m *testing.M) {
	code := m.Run()
	processtest.Clean()
	os.Exit(code)
}

// Callers book and look up while instances are killed, paused and stopped, the
// store fails and replicas misbehave, several at a time. Nothing that may not be
// repeated runs twice, "not run" is true, each answer is its caller's own, and
// seconds after the last fault nearly all requests are served.
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
			t.Logf("%d requests, %d served, %d refused; then %d, %d served", faulty.Requests, faulty.Served, faulty.Refused,
				calmed.Requests, calmed.Served)
			for _, line := range append(faulty.Broken, calmed.Broken...) {
				t.Error(line)
			}
			if t.Failed() {
				t.Logf("faults: %v", faulty.Faults)
			}
			check.True(faulty.Served > 0)
			check.True(float64(calmed.Served) > 0.95*float64(calmed.Requests))
		})
	}
}
