package routing

import (
	"slices"
	"time"

	"zinniamast"
)

// RecordReport records an engine's load report.
func (r *Router) RecordReport(upstream string, report zinniamast.LoadReport) {
	if report.Leaving {
		r.config.Board.Upstreams.MarkLeaving(upstream, time.Time{})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.replicas[upstream]
	if !ok || !report.At.After(p.report.at) {
		return
	}
	p.reportGroup.newestReport = later(p.reportGroup.newestReport, report.At)
	p.reportGroup.learnInterval(p.report.at, report.At)
	running, queued := p.own.countsAt(report.At)
	p.report = residualReport{
		at:           report.At,
		running:      max(0, report.Running+report.Waiting-running),
		queuedTokens: max(0, report.QueuedTokens-queued),
		modelMissing: len(report.Models) > 0 && !slices.Contains(report.Models, p.upstream.Instance.Service),
	}
}

// reportGroup is the replicas of one service in one failure domain, whose load reports
// are compared by age.
type reportGroup struct {
	newestReport time.Time
	// interval is the usual time between two reports of a replica; large groups are read in
	// turns.
	interval time.Duration
}

const (
	// intervalWeight is the weight of a new observation in reportGroup.interval, and
	// silentIntervals the number of intervals after which a replica may count as silent.
	intervalWeight  = 0.05
	silentIntervals = 2.5
)

// learnInterval learns from two successive reports of a replica.
func (g *reportGroup) learnInterval(last, next time.Time) {
	if last.IsZero() {
		return
	}
	observed := next.Sub(last)
	if g.interval == 0 {
		g.interval = observed
	}
	// A replica that was silent for long says little about the interval.
	observed = min(observed, 2*g.interval)
	g.interval += time.Duration(intervalWeight * float64(observed-g.interval))
}

// reportGroupKey identifies a reportGroup.
type reportGroupKey struct {
	service       string
	failureDomain string
}

func (r *Router) reportGroup(instance zinniamast.Instance) *reportGroup {
	key := reportGroupKey{
		service:       instance.Service,
		failureDomain: instance.FailureDomain,
	}
	known, ok := r.reportGroups[key]
	if !ok {
		known = &reportGroup{}
		r.reportGroups[key] = known
	}
	return known
}

// isSilent reports whether a replica's load reports have stopped while others of its
// failure domain continue. If all have stopped, the poller itself may be unreachable.
//
// A replica can stop responding without a connection reset. Requests that may not be
// repeated then wait there until their deadlines, and no attempt fails before the first
// of these; without this check, a quarter of all prompts were lost for seconds.
func (r *Router) isSilent(p *replica) bool {
	if r.config.SilentAfter == 0 || p.report.at.IsZero() {
		return false
	}
	limit := max(r.config.SilentAfter, time.Duration(silentIntervals*float64(p.reportGroup.interval)))
	return p.reportGroup.newestReport.Sub(p.report.at) > limit
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// eventLagTokens is the maximum delay of a cache event, in tokens added to the cache.
// An eviction of a prefix that was used within it is ignored, since it may have
// happened before that use.
const eventLagTokens = 20_000

// RecordCacheEvents records events of an engine's prefix cache. Events may be late and
// some may be missing.
func (r *Router) RecordCacheEvents(upstream string, events []zinniamast.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.replicas[upstream]
	if !ok {
		return
	}
	for i := range events {
		r.recordCacheEvent(p, &events[i])
	}
}

func (r *Router) recordCacheEvent(p *replica, event *zinniamast.CacheEvent) {
	if event.Sequence <= p.cache.lastSequence {
		return
	}
	p.cache.lastSequence = event.Sequence
	e := r.history.find(event.Prefix)
	if event.Evicted {
		if e == nil {
			return
		}
		if age, ok := e.ageTokens(p); ok && age > eventLagTokens {
			e.removeHolder(p)
		}
		return
	}
	if e != nil {
		if _, ok := e.ageTokens(p); ok {
			return
		}
	}
	r.history.touch(event.Prefix, p)
}

// RecordRestart records that an engine has restarted with an empty cache.
func (r *Router) RecordRestart(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.replicas[upstream]; ok {
		p.cache.epoch++
		p.cache.lastSequence = 0
	}
}
