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
	// tickInterval is the time between ticks of Run.
	tickInterval = 250 * time.Millisecond
	// ticksPerSweep is the number of ticks between sweeps.
	ticksPerSweep = 40
	// minPollInterval is the minimum time between polls of one engine.
	minPollInterval = 2 * time.Second
	// pollTimeout bounds the duration of one poll.
	pollTimeout = time.Second
	// pollAfterUse is how long a replica is still polled after its last use.
	pollAfterUse = 30 * time.Second
)

// Run polls load reports and cache events and publishes this node's load until ctx ends.
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

// Tick runs one round of Run, every quarter of a second: it publishes due load and
// circuit reports and polls some engines.
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

// pollResult is the outcome of polling one engine.
type pollResult struct {
	replica *replica
	report  zinniamast.LoadReport
	events  []zinniamast.CacheEvent
	err     error
}

// poll reads the reports and events of some replicas in use, the least recently polled
// first. The number per second is bounded regardless of the fleet's size. Results are
// recorded in a fixed order, so that a run in virtual time is reproducible.
func (r *Router) poll(ctx context.Context, now time.Time) {
	var group sync.WaitGroup
	results := r.startPolls(now)
	for i := range results {
		after := r.cacheSequence(results[i].replica)
		group.Go(func() { results[i].read(ctx, after) })
	}
	group.Wait()
	for i := range results {
		r.recordPoll(&results[i])
	}
}

// startPolls selects the replicas to poll in this tick and marks them as polled.
func (r *Router) startPolls(now time.Time) []pollResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := max(1, int(float64(r.config.PollsPerSecond)*tickInterval.Seconds()))
	var picked []*replica
	for _, p := range r.replicas {
		if p.servesCalls || p.upstream.Engine == nil || p.upstream.Leaving() {
			continue
		}
		if !p.inUse(now) || now.Sub(p.polledAt) < minPollInterval {
			continue
		}
		picked = keepLeastRecentlyPolled(picked, p, limit)
	}
	slices.SortFunc(picked, func(a, b *replica) int { return strings.Compare(a.id, b.id) })
	results := make([]pollResult, len(picked))
	for i, p := range picked {
		p.polledAt = now
		results[i].replica = p
	}
	return results
}

// inUse reports whether this node has or recently had work at the replica.
func (p *replica) inUse(now time.Time) bool {
	return p.own.running > 0 || now.Sub(p.own.lastChangeAt()) < pollAfterUse
}

// isPolledBefore reports whether a replica is polled before another: the least recently
// polled first, and by ID if both were polled at the same time.
func (p *replica) isPolledBefore(other *replica) bool {
	if !p.polledAt.Equal(other.polledAt) {
		return p.polledAt.Before(other.polledAt)
	}
	return p.id < other.id
}

// keepLeastRecentlyPolled adds a replica to the list and keeps the least recently polled
// ones, up to the given number.
func keepLeastRecentlyPolled(picked []*replica, p *replica, limit int) []*replica {
	if len(picked) < limit {
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

// Poll outcomes, used as a metric label.
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

// recordPoll records the result of a poll.
func (r *Router) recordPoll(a *pollResult) {
	if a.err != nil {
		r.recordPollError(a.replica, a.err)
		return
	}
	r.metrics.polls.WithLabelValues(pollRead).Inc()
	r.RecordReport(a.replica.id, a.report)
	r.RecordCacheEvents(a.replica.id, a.events)
}

// recordPollError counts a failed poll. It does not affect the replica's circuit, since
// a slow report does not imply slow answers.
func (r *Router) recordPollError(p *replica, err error) {
	r.metrics.polls.WithLabelValues(pollFailed).Inc()
	upstream := zinniamast.AsUpstreamError(err)
	if upstream != nil && upstream.Leaving {
		r.config.Board.Upstreams.MarkLeaving(p.id, time.Time{})
	}
	r.config.Logger.Debug("engine poll failed", "upstream", p.id, "error", err.Error())
}

func (r *Router) cacheSequence(p *replica) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.cache.lastSequence
}

// sweepReplicas removes idle replicas that are no longer on the blackboard.
func (r *Router) sweepReplicas() {
	listed := map[string]bool{}
	for _, upstream := range r.config.Board.Upstreams.All() {
		listed[upstream.Instance.ID] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, p := range r.replicas {
		if !listed[id] && p.own.running == 0 {
			r.forget(p)
		}
	}
}
