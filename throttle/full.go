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

// full is a start of a replica that rejected a request of this node.
type full struct {
	started time.Time
	until   time.Time
	length  time.Duration
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
		if known && sent.After(f.until) {
			delete(t.full, id)
		}
		return
	}
	if known && sent.Before(f.until) && now.Before(f.until) {
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
		case u.Instance.Service == service && now.Before(f.until):
			available.Spare = append(available.Spare, id)
		}
	}
}
