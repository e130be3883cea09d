package processtest_test

import (
	"os"
	"testing"
	"time"

	"zinniamast/checker"
	"zinniamast/load"
	"zinniamast/processtest"
	"zinniamast/standin/engine"
)

func TestMain(m *testing.M) {
	code := m.Run()
	processtest.Clean()
	os.Exit(code)
}

// smallEngine has the timing of a small model, and the default prefix cache.
var smallEngine = engine.Config{
	FirstToken:    10 * time.Millisecond,
	BetweenTokens: 5 * time.Millisecond,
}

// modelMix is model requests, which may be repeated. serviceMix is bookings and lookups.
var (
	modelMix = load.Mix{
		checker.KindSummary:  1,
		checker.KindQuestion: 2,
		checker.KindTriage:   2,
	}
	serviceMix = load.Mix{
		checker.KindLookup:  1,
		checker.KindBooking: 3,
	}
)

// startFleet starts a fleet in three failure domains.
func startFleet(t *testing.T, c processtest.FleetConfig) *processtest.Fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	t.Parallel()
	c.FailureDomains = processtest.ThreeDomains
	if c.Engine.FirstToken == 0 {
		c.Engine = smallEngine
	}
	return processtest.NewFleet(t, c)
}

// checkAllComplete checks that every caller received its complete answer.
func checkAllComplete(t *testing.T, report *load.Report) {
	t.Helper()
	t.Log(processtest.Summary(report))
	if !report.OK || report.Whole != report.Sent {
		t.Errorf("%d of %d answers complete, want all", report.Whole, report.Sent)
	}
}

// checkNoViolations checks that no guarantee was violated. Requests may have been refused.
func checkNoViolations(t *testing.T, report *load.Report) {
	t.Helper()
	t.Log(processtest.Summary(report))
	if !report.OK {
		t.Errorf("a guarantee was violated")
	}
}
