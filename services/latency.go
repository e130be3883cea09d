package services

import (
	"slices"
	"sync"
	"time"
)

const (
	// samplesPerReplica is how many of a replica's last answers are kept; with fewer
	// than paceLeast it has no say.
	samplesPerReplica    = 128
	minSamplesPerReplica = 20
	// latencyQuantile is the share of a replica's answers that are not late.
	latencyQuantile = 0.98
	// hedgeDelayMaxAge is how long the result of learning is used.
	hedgeDelayMaxAge = time.Second
	// replicaIdleTimeout is when a replica that answered nothing more is forgotten.
	replicaIdleTimeout = 10 * time.Minute
	// downAfterUnanswered is after how many late or failed calls, with no answer in
	// between, a service counts as down.
	downAfterUnanswered = 4
)

// latencyTracker learns when an answer of each service is late.
type latencyTracker struct {
	mu       sync.Mutex
	services map[string]*serviceLatency
}

// serviceLatency is what is known of one service.
type serviceLatency struct {
	replicas map[string]*replicaLatency
	// hedgeDelay is after how long an answer is late; zero while that is not known.
	hedgeDelay time.Duration
	computedAt time.Time
	// unanswered counts late and failed calls since the last answer.
	unanswered int
}

// replicaLatency holds a replica's last answers.
type replicaLatency struct {
	samples      [samplesPerReplica]time.Duration
	count        int
	lastRecorded time.Time
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{services: map[string]*serviceLatency{}}
}

// service returns what is known of a service; the caller holds the lock.
func (p *latencyTracker) service(name string) *serviceLatency {
	s := p.services[name]
	if s == nil {
		s = &serviceLatency{replicas: map[string]*replicaLatency{}}
		p.services[name] = s
	}
	return s
}

// record enters how long an attempt took, at least: one that was overtaken counts
// with the time it had, or a slow replica would look quicker with every hedge.
func (p *latencyTracker) record(service, replica string, elapsed time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
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

// recordUnanswered enters a call that is late or has failed.
func (p *latencyTracker) recordUnanswered(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).unanswered++
}

// isDown says whether several calls went by without an answer from any replica.
func (p *latencyTracker) isDown(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).unanswered >= downAfterUnanswered
}

// hedgeDelay returns after how long an answer of the service is late; zero means
// that too few answers have been seen.
func (p *latencyTracker) hedgeDelay(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	if now := time.Now(); s.computedAt.IsZero() || now.Sub(s.computedAt) >= hedgeDelayMaxAge {
		s.computeHedgeDelay(now)
	}
	return s.hedgeDelay
}

// computeHedgeDelay takes the middle of the replicas' own quantiles.
//
// Failure: one of four replicas is slow, a quarter of all answers are, and the
// quantile over all of them calls nothing late. The middle one of the replicas
// is a well one's as long as at least half are well.
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
