package forward_test

import (
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"zinniamast"
	"zinniamast/canary"
	"zinniamast/forward"
	"zinniamast/nearest"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/retry"
	"zinniamast/standin/replica"
	"zinniamast/throttle"
)

// scriptedRollouts sends the first send of each request to the replicas of a trial, and
// collects what it is told.
type scriptedRollouts struct {
	trial []string

	mu      sync.Mutex
	queries []canary.Query
	samples []canary.Sample
}

// Select implements forward.Rollouts.
func (s *scriptedRollouts) Select(q canary.Query) canary.Selection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries = append(s.queries, q)
	if q.IsRetry {
		return canary.Selection{}
	}
	return canary.Selection{
		Only:  s.trial,
		Trial: "v2",
	}
}

// Observe implements forward.Rollouts.
func (s *scriptedRollouts) Observe(sample canary.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}

// useRollouts puts a handler with rollouts in front of the fixture's replicas.
func (f *fixture) useRollouts(rollouts forward.Rollouts) {
	f.handler = forward.New(forward.Config{
		Routes:    f.routes,
		Upstreams: f.upstreams,
		Router: nearest.New(nearest.Config{
			Upstreams: f.upstreams,
		}),
		Protocol: platform.Headers{},
		RetryBudget: retry.NewWindow(retry.WindowConfig{
			Ratio:  0.2,
			Slack:  20,
			Window: 10 * time.Second,
			Nodes:  func() int { return 1 },
		}),
		Allowance: f,
		Throttle: throttle.New(throttle.Config{
			Upstreams: f.upstreams,
		}),
		Quarantine: quarantine.New(quarantine.Config{
			FailureDomain: func(upstream string) string { return upstream },
		}),
		Rollouts: rollouts,
		Meter:    f,
		Demand:   f,
		Closing:  f.closing.Load,
		Stopping: f.closing.Load,
		Logger:   slog.New(slog.NewTextHandler(&f.log, nil)),
	})
	f.server.Config.Handler = f.handler
}

// Guards against a request that is refused because no replica of the trial takes it.
func TestRequestGoesToOldReplicasIfTheTrialHasNone(t *testing.T) {
	f := newFixture(t, 2)
	rollouts := &scriptedRollouts{
		trial: []string{"gone"},
	}
	f.useRollouts(rollouts)
	f.is.Equal(f.do(f.request(http.MethodPost, pathUnsafe, "x")).status, http.StatusOK)
}

// Guards against a repeat that adds to what a bad version gets, and failures that are not counted against their version.
func TestFailedTrialIsRepeatedElsewhere(t *testing.T) {
	f := newFixture(t, 3)
	f.replicas[0].SetBehaviour(replica.Behaviour{
		Status: http.StatusInternalServerError,
	})
	rollouts := &scriptedRollouts{
		trial: []string{f.replicas[0].ID},
	}
	f.useRollouts(rollouts)
	f.is.Equal(f.do(f.request(http.MethodGet, pathSafe, "")).status, http.StatusOK)
	f.is.Equal(len(f.replicas[0].Runs()), 1)
	rollouts.mu.Lock()
	defer rollouts.mu.Unlock()
	f.is.True(!rollouts.queries[0].IsRetry)
	f.is.True(rollouts.queries[len(rollouts.queries)-1].IsRetry)
	failed, timed := 0, 0
	for _, sample := range rollouts.samples {
		if sample.IsFailed {
			failed++
		}
		if sample.First > 0 {
			timed++
		}
	}
	f.is.Equal(failed, 1)
	f.is.Equal(timed, 1) // the good answer alone
}

// Guards against the pauses of a slow version that are counted only when its long streams have ended.
func TestPausesAreCountedBeforeStreamsEnd(t *testing.T) {
	const events, gap = 30, 20 * time.Millisecond
	f := newFixture(t, 1)
	f.replicas[0].SetBehaviour(replica.Behaviour{
		Events: events,
		Gap:    gap,
	})
	rollouts := &scriptedRollouts{
		trial: []string{f.replicas[0].ID},
	}
	f.useRollouts(rollouts)
	f.is.Equal(f.do(f.request(http.MethodPost, pathStream, "x")).status, http.StatusOK)
	rollouts.mu.Lock()
	defer rollouts.mu.Unlock()
	var pauses []time.Duration
	endsAfterPause := false
	for _, sample := range rollouts.samples {
		if sample.Pause > 0 {
			pauses = append(pauses, sample.Pause)
		}
		endsAfterPause = endsAfterPause || len(pauses) > 0 && sample.Took > events*gap/2 && sample.Pause == 0
	}
	f.is.Equal(len(pauses), 1)
	f.is.True(pauses[0] >= gap/2)
	f.is.True(endsAfterPause)
}

// Guards against answers that break off and are not told from failures of the version, because neither the replica nor the kind of failure is known.
func TestAnswerThatBreaksOffNamesItsReplica(t *testing.T) {
	f := newFixture(t, 2)
	f.replicas[0].SetBehaviour(replica.Behaviour{
		Reset: true,
	})
	rollouts := &scriptedRollouts{
		trial: []string{f.replicas[0].ID},
	}
	f.useRollouts(rollouts)
	f.is.Equal(f.do(f.request(http.MethodGet, pathSafe, "")).status, http.StatusOK)
	rollouts.mu.Lock()
	defer rollouts.mu.Unlock()
	failures := map[string]zinniamast.Failure{}
	for _, sample := range rollouts.samples {
		if sample.IsFailed {
			failures[sample.Replica] = sample.Failure
		}
	}
	f.is.Equal(failures, map[string]zinniamast.Failure{
		f.replicas[0].ID: zinniamast.FailureReset,
	})
}
