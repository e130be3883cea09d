package throttle

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// rest is the time in which a start of a replica wants no request from this node. Other nodes are
// not told: the replica asks each of them for itself.
type rest struct {
	started time.Time
	until   time.Time
}

// recordRest records that a replica wants no request from this node for some time; zero if it
// did not say so. Only a later answer that asks for more changes the rest, as answers may
// overtake each other.
func (t *Throttle) recordRest(upstream *blackboard.Upstream, duration time.Duration) {
	if duration == 0 {
		return
	}
	id := upstream.Instance.ID
	t.rested.Inc()
	t.config.Logger.Info("replica asks for rest", "replica", id, "service", upstream.Instance.Service,
		"for", duration, "running_here", upstream.Inflight())
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.config.Now().Add(duration)
	if t.restEnd(upstream).Before(until) {
		t.rests[id] = rest{
			started: upstream.Instance.Started,
			until:   until,
		}
	}
}

// restEnd returns the end of a replica's rest; zero if it asked for none. The caller holds the
// lock.
func (t *Throttle) restEnd(upstream *blackboard.Upstream) time.Time {
	r, ok := t.rests[upstream.Instance.ID]
	if !ok || !r.started.Equal(upstream.Instance.Started) {
		return time.Time{}
	}
	return r.until
}

// isResting reports whether a replica wants no request from this node now. The caller holds the
// lock.
func (t *Throttle) isResting(upstream *blackboard.Upstream, now time.Time) bool {
	return now.Before(t.restEnd(upstream))
}

// limitResting adds the resting replicas of a service. The caller holds the lock.
func (t *Throttle) limitResting(service string, now time.Time, available *zinniamast.Availability) {
	if len(t.rests) == 0 {
		return
	}
	for id, r := range t.rests {
		if !now.Before(r.until) {
			delete(t.rests, id)
		}
	}
	isAwake := false
	for _, u := range t.config.Upstreams.Of(service) {
		if !t.isResting(u, now) {
			isAwake = isAwake || !u.Leaving()
			continue
		}
		available.Blocked = append(available.Blocked, u.Instance.ID)
		left := t.restEnd(u).Sub(now)
		if available.RetryAfter == 0 || left < available.RetryAfter {
			available.RetryAfter = left
		}
	}
	if isAwake {
		available.RetryAfter = 0
	}
}

// MayRelay reports whether a request of another node may be sent to a replica: the replica counts
// it as one of this node's.
func (t *Throttle) MayRelay(upstream *blackboard.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.isResting(upstream, t.config.Now())
}

// Relayed records what a replica said to this node in its answer to a request of another node.
// The other node reads itself what the replica says of its limits.
func (t *Throttle) Relayed(upstream *blackboard.Upstream, feedback zinniamast.Feedback) {
	t.recordLeaving(upstream, feedback)
	t.recordRest(upstream, feedback.RestFor)
}
