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
	// unsettledPollInterval is how old the report of an engine may be from which something
	// is awaited.
	unsettledPollInterval = 15 * time.Second
	// settlePeriod is how long something is awaited from an engine that is new,
	// was given an order, or holds something else than before.
	settlePeriod = 15 * time.Minute
	// settledPollsPerSecond bounds the questions to the engines from which nothing is
	// awaited, whatever their number.
	settledPollsPerSecond = 4
	// pollTimeout bounds one question to an engine.
	pollTimeout = time.Second
	// maxConcurrentPolls bounds the questions under way.
	maxConcurrentPolls = 8
)

// Reports keeps engines' last load reports for the node that buys. Only the
// lease's holder asks, and only for what it looks at. Asking thousands of
// engines every few seconds would cost one node more than its part; most have
// long done all that was asked of them, and their reports serve only to find
// an order that came late from a former holder.
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
	// changedAt is when an order went out or the engine last held something new.
	changedAt time.Time
	// nextPoll is when to ask again.
	nextPoll time.Time
}

// NewReports returns reports of what stands in the table of upstreams.
func NewReports(upstreams *blackboard.Upstreams) *Reports {
	return &Reports{
		upstreams: upstreams,
		pollSlots: make(chan struct{}, maxConcurrentPolls),
		reports:   map[string]engineReport{},
	}
}

// Last returns an engine's last report and asks for a newer one behind it.
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

// Expect tells that an engine was given an order, so that its effect is seen soon.
func (r *Reports) Expect(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.reports[instance]
	known.changedAt = time.Now()
	known.nextPoll = time.Time{}
	r.put(instance, known)
}

// isUnsettled says whether something is to be seen in an engine's next reports.
func isUnsettled(upstream *blackboard.Upstream, known engineReport, now time.Time) bool {
	return upstream.Leaving() || now.Sub(upstream.Instance.Started) < settlePeriod || now.Sub(known.changedAt) < settlePeriod
}

// pollInterval is how long a report stands; the caller holds the lock. What is settled
// is spread by chance, since a new holder asks all at once.
func (r *Reports) pollInterval(settled bool) time.Duration {
	if !settled {
		return unsettledPollInterval
	}
	slow := time.Duration(r.settledCount) * time.Second / settledPollsPerSecond
	return max(unsettledPollInterval, slow*3/4+rand.N(slow/2+1))
}

// put keeps a report and the count of those settled; the caller holds the lock.
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
