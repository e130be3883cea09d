package throttle

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// A node that has no place left for a request may send it through another node that has an unused
// one. That node counts the request against its own places, so that all nodes together use no more
// places than before.

// Shared returns the replicas of a service whose places are shared among the nodes, since they are
// brittle or ask for rest when they are full. Replicas that name a rate limit are left to their
// owner.
func (t *Throttle) Shared(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	if t.brittleService(service, now) == nil && t.allocation(service, now) == nil {
		return nil
	}
	var shared []string
	for _, u := range t.config.Upstreams.Of(service) {
		if !u.Leaving() && !t.isLimited(u) && t.hasKnownPlaces(u, now) {
			shared = append(shared, u.Instance.ID)
		}
	}
	return shared
}

// isLimited reports whether a replica names a rate limit. The caller holds the lock.
func (t *Throttle) isLimited(u *blackboard.Upstream) bool {
	l, ok := t.limits[u.Instance.ID]
	return ok && l.isNamedBy(u)
}

// BeginForPeer begins an attempt at a replica for another node's request, which the caller ends
// with EndAttempt. It returns false if this node has no unused place there, and none to try.
func (t *Throttle) BeginForPeer(upstream *blackboard.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	hasUnused, mayTry := t.roomForPeers(upstream, now)
	if !hasUnused && !mayTry || !t.beginBrittle(upstream, now) || !t.beginAllocated(upstream, now) {
		return false
	}
	upstream.BeginAttempt()
	return true
}

// UnusedForPeers returns a replica of a service at which another node's request could begin;
// empty if there is none.
func (t *Throttle) UnusedForPeers(service string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	tried := ""
	for _, u := range t.config.Upstreams.Of(service) {
		hasUnused, mayTry := t.roomForPeers(u, now)
		if hasUnused {
			return u.Instance.ID
		}
		if mayTry {
			tried = u.Instance.ID
		}
	}
	return tried
}

// roomForPeers reports whether this node has a place at a replica that it does not use, and whether
// it may try one more in that place's turn. A node that does not know that the replica's places are
// shared offers its part of those that all nodes use without a trial. The caller holds the lock.
func (t *Throttle) roomForPeers(u *blackboard.Upstream, now time.Time) (hasUnused, mayTry bool) {
	if u.Leaving() || t.isLimited(u) || t.isResting(u, now) {
		return false, false
	}
	if f, ok := t.full[u.Instance.ID]; ok && f.started.Equal(u.Instance.Started) && f.isFull(u, now) {
		return false, false
	}
	running := int(u.Inflight())
	if s := t.brittleService(u.Instance.Service, now); s != nil {
		if r := t.brittleReplica(s, u, now); r != nil {
			return running < r.allowed, s.mayTry(r, now)
		}
	}
	if a := t.allocation(u.Instance.Service, now); a != nil {
		if q := a.sharedQuota(&u.Instance); q != nil {
			return running < q.allowed(), q.mayTry(now)
		}
	}
	slots := u.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	return running < t.config.Share(u.Instance.ID).Of(max(1, int(initialPlaces*float64(slots)))), false
}

// AnsweredThroughPeer records what a replica said of itself in its answer to a request that was
// sent through another node. Rejections and rests concern that node, which records them itself.
func (t *Throttle) AnsweredThroughPeer(upstream *blackboard.Upstream, sent time.Time, feedback zinniamast.Feedback) {
	t.recordLeaving(upstream, feedback)
	t.recordLimit(upstream, sent, feedback.Condition.RateLimit)
	if !feedback.Condition.IsBrittle {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	if s := t.brittleService(upstream.Instance.Service, now); s != nil {
		s.heardAt = now
	}
}
