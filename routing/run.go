package routing

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"zinniamast"
)

const (
	// tickInterval is how often Run looks for something to do.
	tickInterval = 250 * time.Millisecond
	// ticksPerSweep is how many ticks pass between sweeps.
	ticksPerSweep = 40
	// minPollInterval is how long an engine is left alone after a poll.
	minPollInterval = 2 * time.Second
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// pollAfterUse is how long after its last use a replica is polled.
	pollAfterUse = 30 * time.Second
)

// Run polls load reports and cache events and shares load until ctx ends.
func (r *Router) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.Tick(ctx)
		if count%ticksPerSweep == 0 {
			r.sweep()
		}
	}
}

// Tick does what Run does each quarter of a second: it shares what is due and
// polls some engines.
func (r *Router) Tick(ctx context.Context) {
	now := r.config.Now()
	r.publishLoad(now)
	r.publishCircuitReports()
	r.poll(ctx, now)
}

func (r *Router) sweep() {
	now := r.config.Now()
	r.sweepPeerLoads(now)
	r.sweepAttempts(now)
	r.sweepReplicas()
}

// pollResult is what one engine answered.
type pollResult struct {
	replica *replica
	report  zinniamast.LoadReport
	events  []zinniamast.CacheEvent
	err     error
}

// poll reads reports and events of some replicas in use, those first that
// were not read for longest. The number is bounded a second, whatever the
// fleet's size. Answers are taken in in a fixed order, so that a run in
// virtual time can be repeated.
func (r *Router) poll(ctx context.Context, now time.Time) {
	var group sync.WaitGroup
	answers := r.startPolls(now)
	for i := range answers {
		after := r.cacheSequence(answers[i].replica)
		group.Go(func() { answers[i].read(ctx, after) })
	}
	group.Wait()
	for i := range answers {
		r.recordPoll(&answers[i])
	}
}

// startPolls picks the replicas to poll in this tick.
func (r *Router) startPolls(now time.Time) []pollResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := max(1, int(float64(r.config.PollsPerSecond)*tickInterval.Seconds()))
	var picked []*replica
	for _, p := range r.replicas {
		if p.servesCalls || p.upstream.Engine == nil || p.upstream.Leaving() {
			continue
		}
		if !p.inUse(now) || now.Sub(p.polledAt) < minPollInterval {
			continue
		}
		picked = keepLeastRecentlyPolled(picked, p, most)
	}
	slices.SortFunc(picked, func(a, b *replica) int { return strings.Compare(a.id, b.id) })
	answers := make([]pollResult, len(picked))
	for i, p := range picked {
		p.polledAt = now
		answers[i].replica = p
	}
	return answers
}

// inUse says whether this node has or recently had work at the replica.
func (p *replica) inUse(now time.Time) bool {
	return p.own.running > 0 || now.Sub(p.own.lastChangeAt()) < pollAfterUse
}

// isPolledBefore says whether a replica's turn comes first; names decide between equals.
func (p *replica) isPolledBefore(other *replica) bool {
	if !p.polledAt.Equal(other.polledAt) {
		return p.polledAt.Before(other.polledAt)
	}
	return p.id < other.id
}

// keepLeastRecentlyPolled adds a replica to those polled longest ago, at most so many.
func keepLeastRecentlyPolled(picked []*replica, p *replica, most int) []*replica {
	if len(picked) < most {
		return append(picked, p)
	}
	newest := 0
	for i := range picked {
		if picked[newest].isPolledBefore(picked[i]) {
			newest = i
		}
	}
	if p.isPolledBefore(picked[newest]) {
		picked[newest] = p
	}
	return picked
}

// Poll outcomes as a metric label.
const (
	pollRead   = "read"
	pollFailed = "failed"
)

// read reads one engine's report and its cache events after a sequence number.
func (a *pollResult) read(ctx context.Context, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	engine := a.replica.upstream.Engine
	a.report, a.err = engine.Load(ctx)
	if a.err == nil {
		a.events, a.err = engine.CacheEvents(ctx, after)
	}
}

// recordPoll takes in what an engine answered.
func (r *Router) recordPoll(a *pollResult) {
	if a.err != nil {
		r.recordPollError(a.replica, a.err)
		return
	}
	r.metrics.polls.WithLabelValues(pollRead).Inc()
	r.Reported(a.replica.id, a.report)
	r.RecordCacheEvents(a.replica.id, a.events)
}

// recordPollError counts a failed poll. It is not held against the replica: a slow
// report says nothing of the answers.
func (r *Router) recordPollError(p *replica, err error) {
	r.metrics.polls.WithLabelValues(pollFailed).Inc()
	upstream := zinniamast.AsUpstreamError(err)
	if upstream != nil && upstream.Leaving {
		r.config.Board.Upstreams.MarkLeaving(p.id, time.Time{})
	}
	r.config.Logger.Debug("poll failed", "upstream", p.id, "error", err.Error())
}

func (r *Router) cacheSequence(p *replica) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.cache.sequence
}

// sweepReplicas forgets what the blackboard no longer has.
func (r *Router) sweepReplicas() {
	known := map[string]bool{}
	for _, upstream := range r.config.Board.Upstreams.All() {
		known[upstream.Instance.ID] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, p := range r.replicas {
		if !known[id] && p.own.running == 0 {
			r.forget(p)
		}
	}
}
