package services

import (
	"slices"
	"sync"
	"time"
)

const (
	// samplesPerReplica is how many of a replica's latest attempts are retained.
	// Replicas with fewer than minSamplesPerReplica are left out of the hedge delay.
	samplesPerReplica    = 128
	minSamplesPerReplica = 20
	// latencyQuantile is the share of a replica's answers that are not late.
	latencyQuantile = 0.98
	// hedgeDelayMaxAge is how long a computed hedge delay is used.
	hedgeDelayMaxAge = time.Second
	// replicaIdleTimeout is the time after its last sample at which a replica is
	// dropped.
	replicaIdleTimeout = 10 * time.Minute
	// downAfterUnanswered is the number of late or failed calls, with no answer in
	// between, after which a service counts as down.
	downAfterUnanswered = 4
)

// latencyTracker measures the latency of each service's replicas and derives the
// hedge delay from it.
type latencyTracker struct {
	mu       sync.Mutex
	services map[string]*serviceLatency
}

// serviceLatency holds the measurements of one service.
type serviceLatency struct {
	replicas map[string]*replicaLatency
	// hedgeDelay is the time after which an answer is late; zero if there are too
	// few samples.
	hedgeDelay time.Duration
	computedAt time.Time
	// unanswered counts the late and failed calls since the last answer.
	unanswered int
}

// replicaLatency holds the durations of a replica's latest attempts.
type replicaLatency struct {
	samples      [samplesPerReplica]time.Duration
	count        int
	lastRecorded time.Time
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{services: map[string]*serviceLatency{}}
}

// service returns the measurements of a service; the caller holds the lock.
func (t *latencyTracker) service(name string) *serviceLatency {
	s := t.services[name]
	if s == nil {
		s = &serviceLatency{replicas: map[string]*replicaLatency{}}
		t.services[name] = s
	}
	return s
}

// record adds the duration of an attempt. A superseded attempt counts with the
// time until its cancellation, since otherwise a slow replica would appear faster
// with every hedge.
func (t *latencyTracker) record(service, replica string, elapsed time.Duration, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	if answered {
		s.unanswered = 0
	}
	r := s.replicas[replica]
	if r == nil {
		r = &replicaLatency{}
		s.replicas[replica] = r
	}
	r.samples[r.count%samplesPerReplica] = elapsed
	r.count++
	r.lastRecorded = time.Now()
}

// recordUnanswered counts a call that is late or has failed.
func (t *latencyTracker) recordUnanswered(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).unanswered++
}

// isDown reports whether several calls in succession got no answer from any
// replica.
func (t *latencyTracker) isDown(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).unanswered >= downAfterUnanswered
}

// hedgeDelay returns the time after which an answer of the service is late, or
// zero if there are too few samples.
func (t *latencyTracker) hedgeDelay(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(service)
	if now := time.Now(); s.computedAt.IsZero() || now.Sub(s.computedAt) >= hedgeDelayMaxAge {
		s.computeHedgeDelay(now)
	}
	return s.hedgeDelay
}

// computeHedgeDelay sets the hedge delay to the median of the replicas' quantiles.
//
// If one of four replicas is slow, a quarter of all answers is slow, and by a
// quantile over all answers none of them would be late. The median over the
// replicas belongs to a healthy one as long as at least half are healthy.
func (s *serviceLatency) computeHedgeDelay(now time.Time) {
	var quantiles []time.Duration
	for id, r := range s.replicas {
		if now.Sub(r.lastRecorded) > replicaIdleTimeout {
			delete(s.replicas, id)
		} else if r.count >= minSamplesPerReplica {
			quantiles = append(quantiles, r.quantile())
		}
	}
	s.computedAt = now
	s.hedgeDelay = 0
	if len(quantiles) > 0 {
		slices.Sort(quantiles)
		s.hedgeDelay = quantiles[(len(quantiles)-1)/2]
	}
}

func (r *replicaLatency) quantile() time.Duration {
	samples := slices.Clone(r.samples[:min(r.count, samplesPerReplica)])
	slices.Sort(samples)
	return samples[min(int(latencyQuantile*float64(len(samples))), len(samples)-1)]
}
