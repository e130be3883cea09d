package capacity

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// unsettledPollInterval is how often an engine is polled whose state is expected
	// to change.
	unsettledPollInterval = 15 * time.Second
	// settlePeriod is how long an engine's state is expected to change after it
	// started, was sent an order, or reported other models than before.
	settlePeriod = 15 * time.Minute
	// settledPollsPerSecond bounds the rate of polls to all settled engines together,
	// whatever their number.
	settledPollsPerSecond = 4
	// pollTimeout bounds one poll of an engine.
	pollTimeout = time.Second
	// maxConcurrentPolls bounds the polls in flight.
	maxConcurrentPolls = 8
)

// Reports caches the engines' last load reports for the node that holds the lease.
// Only that node polls, and only engines whose report it reads. Polling thousands
// of engines every few seconds would take too much of one node. Most are settled:
// they have carried out all their orders, and their reports are needed only to
// detect a delayed order of a former holder. They are polled at a lower rate.
type Reports struct {
	upstreams *blackboard.Upstreams
	pollSlots chan struct{}

	mu           sync.Mutex
	reports      map[string]engineReport
	settledCount int
}

type engineReport struct {
	content  zinniamast.LoadReport
	received bool
	settled  bool
	// changedAt is when an order was last sent or the loaded models last changed.
	changedAt time.Time
	// nextPoll is when the next poll is due.
	nextPoll time.Time
}

// NewReports returns the reports of the engines in the table of upstreams.
func NewReports(upstreams *blackboard.Upstreams) *Reports {
	return &Reports{
		upstreams: upstreams,
		pollSlots: make(chan struct{}, maxConcurrentPolls),
		reports:   map[string]engineReport{},
	}
}

// Last returns an engine's last report. If a poll is due, it starts one in the
// background.
func (r *Reports) Last(instance string) (zinniamast.LoadReport, bool) {
	upstream := r.upstreams.Get(instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.reports[instance]
	if upstream == nil || upstream.Engine == nil {
		r.put(instance, engineReport{})
		delete(r.reports, instance)
		return known.content, known.received
	}
	now := time.Now()
	if now.Before(known.nextPoll) && !(known.settled && upstream.Leaving()) {
		return known.content, known.received
	}
	select {
	case r.pollSlots <- struct{}{}:
		known.settled = known.received && !isUnsettled(upstream, known, now)
		r.put(instance, known)
		known.nextPoll = now.Add(r.pollInterval(known.settled))
		r.put(instance, known)
		go r.poll(upstream)
	default:
	}
	return known.content, known.received
}

// RecordOrder records that an engine was sent an order, so that it is polled soon for the
// effect.
func (r *Reports) RecordOrder(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.reports[instance]
	known.changedAt = time.Now()
	known.nextPoll = time.Time{}
	r.put(instance, known)
}

// isUnsettled reports whether a change is expected in an engine's next reports.
func isUnsettled(upstream *blackboard.Upstream, known engineReport, now time.Time) bool {
	return upstream.Leaving() || now.Sub(upstream.Instance.Started) < settlePeriod || now.Sub(known.changedAt) < settlePeriod
}

// pollInterval returns the time until the next poll; the caller holds the lock. The
// polls of settled engines are spread with jitter, since a new lease holder polls
// all engines at once.
func (r *Reports) pollInterval(settled bool) time.Duration {
	if !settled {
		return unsettledPollInterval
	}
	slow := time.Duration(r.settledCount) * time.Second / settledPollsPerSecond
	return max(unsettledPollInterval, slow*3/4+rand.N(slow/2+1))
}

// put stores a report and updates the count of settled ones; the caller holds the lock.
func (r *Reports) put(instance string, known engineReport) {
	if r.reports[instance].settled {
		r.settledCount--
	}
	if known.settled {
		r.settledCount++
	}
	r.reports[instance] = known
}

func (r *Reports) poll(upstream *blackboard.Upstream) {
	defer func() { <-r.pollSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	content, err := upstream.Engine.Load(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	instance := upstream.Instance.ID
	known := r.reports[instance]
	if known.received && !slices.Equal(known.content.Models, content.Models) {
		known.changedAt = time.Now()
	}
	known.content, known.received = content, true
	r.put(instance, known)
}
