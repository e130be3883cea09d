package throttle

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// minFullTime and maxFullTime bound how long a replica that rejected a request gets further
	// ones only if no other replica can. The time doubles with each rejection in a row.
	minFullTime = 250 * time.Millisecond
	maxFullTime = 2 * time.Second
)

// probeTime is how long a replica that was full gets no second request while it has not answered
// the first.
const probeTime = 100 * time.Millisecond

// full is a start of a replica that rejected a request of this node.
type full struct {
	started time.Time
	until   time.Time
	length  time.Duration
	// running is the number of this node's requests that the replica was running. Once it runs
	// fewer, it has room for one of them.
	running int64
	// probedAt is when the replica got the first request after until.
	probedAt time.Time
}

// isFull reports whether the replica is known to have no room.
func (f full) isFull(u *blackboard.Upstream, now time.Time) bool {
	return now.Before(f.until) && u.Inflight() >= f.running
}

// beginFull records that a replica that was full gets a request. Others wait for its answer, so
// that the replica does not have to reject them as well. The caller holds the lock.
func (t *Throttle) beginFull(u *blackboard.Upstream, now time.Time) {
	f, ok := t.full[u.Instance.ID]
	if !ok || !f.started.Equal(u.Instance.Started) || u.Inflight() < f.running || now.Before(f.until) {
		return
	}
	f.probedAt = now
	f.until = now.Add(probeTime)
	t.full[u.Instance.ID] = f
}

// recordFull records whether a replica took a request that was sent at the given time, or had no
// room for it. A replica that sheds its load has the shortest queue: without this, each request
// would be sent there first and need a retry.
func (t *Throttle) recordFull(upstream *blackboard.Upstream, sent time.Time, isRejected bool) {
	id := upstream.Instance.ID
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	f, known := t.full[id]
	known = known && f.started.Equal(upstream.Instance.Started)
	if !isRejected {
		if known && (sent.After(f.until) || !f.probedAt.IsZero() && !sent.Before(f.probedAt)) {
			delete(t.full, id)
		}
		return
	}
	// The rejected request is one of those in flight.
	running := upstream.Inflight() - 1
	if known && sent.Before(f.until) && now.Before(f.until) && f.probedAt.IsZero() {
		f.running = running
		t.full[id] = f
		return
	}
	length := minFullTime
	if known {
		length = min(2*f.length, maxFullTime)
	}
	t.full[id] = full{
		started: upstream.Instance.Started,
		until:   now.Add(length),
		length:  length,
		running: running,
	}
}

// limitFull adds the replicas of a service that have just rejected a request. The caller holds
// the lock.
func (t *Throttle) limitFull(service string, now time.Time, available *zinniamast.Availability) {
	for id, f := range t.full {
		u := t.config.Upstreams.Get(id)
		switch {
		case u == nil || !u.Instance.Started.Equal(f.started):
			delete(t.full, id)
		case u.Instance.Service == service && f.isFull(u, now):
			available.Spare = append(available.Spare, id)
			if !t.hasKnownPlaces(u, now) {
				available.Full = append(available.Full, id)
			}
		}
	}
}
