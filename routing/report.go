package routing

import (
	"slices"
	"time"

	"zinniamast"
)

// Reported takes in an engine's load report.
func (r *Router) Reported(upstream string, report zinniamast.LoadReport) {
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
	running, queued := p.own.countsAt(report.At)
	p.report = residualReport{
		at:           report.At,
		running:      max(0, report.Running+report.Waiting-running),
		queued:       max(0, report.QueuedTokens-queued),
		modelMissing: len(report.Models) > 0 && !slices.Contains(report.Models, p.upstream.Instance.Service),
	}
}

// reportGroup is when a replica of one service and failure domain last told its load.
type reportGroup struct {
	newestReport time.Time
}

// reportGroupKey names what shares a told.
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

// isSilent says whether a replica tells its load no more, while others of its
// failure domain do. Where none does, whoever asks them may be the one that is cut off.
//
// Failure: a replica goes dark without a reset. Requests that may not be repeated
// wait there until their deadline, and until the first of these has passed, no
// send has failed: a quarter of all prompts went on to be lost for seconds.
func (r *Router) isSilent(p *replica) bool {
	if r.config.SilentAfter == 0 || p.report.at.IsZero() {
		return false
	}
	return p.reportGroup.newestReport.Sub(p.report.at) > r.config.SilentAfter
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// eventLag is how late a cache event may come. An eviction of a prefix used
// here since then is not believed: it may tell of a time before that use.
const eventLagTokens = 20_000

// RecordCacheEvents takes in events of an engine's prefix cache, which come late and with gaps.
func (r *Router) RecordCacheEvents(upstream string, events []zinniamast.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.replicas[upstream]
	if !ok {
		return
	}
	for i := range events {
		r.cacheEvent(p, &events[i])
	}
}

func (r *Router) cacheEvent(p *replica, event *zinniamast.CacheEvent) {
	if event.Sequence <= p.cache.sequence {
		return
	}
	p.cache.sequence = event.Sequence
	e := r.history.find(event.Prefix)
	if event.Evicted {
		if e == nil {
			return
		}
		if age, held := e.ageTokens(p); held && age > eventLagTokens {
			e.removeHolder(p)
		}
		return
	}
	if e != nil {
		if _, held := e.ageTokens(p); held {
			return
		}
	}
	r.history.touch(event.Prefix, p)
}

// RecordRestart tells that an engine began again with an empty cache.
func (r *Router) RecordRestart(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.replicas[upstream]; ok {
		p.cache.epoch++
		p.cache.sequence = 0
	}
}
