package throttle

import (
	"time"

	"zinniamast/blackboard"
)

// While capacity is short, the nodes share the places of each replica, so that a node knows of room
// without being rejected. A node uses its own places first and tries others only now and then. It
// keeps the place of a request that has ended only if the place is its own: otherwise a node that
// always has waiting requests would collect the places of all others, one in each moment in which
// nothing waits at another node.

// minPlaces is the number of places of a service that a node must hold for this. With fewer, most
// of its requests find them all in use.
const minPlaces = 2

// leaveTime is how long a node leaves a place that is not within its share. Nodes look for places
// that often.
const leaveTime = 60 * time.Millisecond

// servicePlaces are this node's places at the replicas of a service. They are worked out again when
// the replicas change and every shareInterval, and forgotten when nothing asks for them.
type servicePlaces struct {
	upstreams []*blackboard.Upstream
	// held are the places by the index of the replica, and byReplica those of each replica.
	held      []int64
	byReplica map[*blackboard.Upstream]int64
	total     int64
	sharedAt  time.Time
}

// places returns this node's places at the replicas of a service. The caller holds the lock.
func (t *Throttle) places(service string, now time.Time) *servicePlaces {
	upstreams := t.config.Upstreams.Of(service)
	p := t.shares[service]
	if p != nil && isSameList(p.upstreams, upstreams) && now.Sub(p.sharedAt) < shareInterval {
		return p
	}
	p = &servicePlaces{
		upstreams: upstreams,
		held:      make([]int64, len(upstreams)),
		byReplica: make(map[*blackboard.Upstream]int64, len(upstreams)),
		sharedAt:  now,
	}
	for i, u := range upstreams {
		slots := u.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		p.held[i] = int64(t.config.Places(service, u.Instance.ID, slots))
		p.byReplica[u] = p.held[i]
		if !u.Leaving() {
			p.total += p.held[i]
		}
	}
	t.shares[service] = p
	return p
}

// isSameList reports whether two lists of replicas are the same snapshot.
func isSameList(a, b []*blackboard.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// hasKnownPlaces reports whether this node is bound to its part of the replica's places, since the
// replica is brittle or asks for rest when it is full. The caller holds the lock.
func (t *Throttle) hasKnownPlaces(u *blackboard.Upstream, now time.Time) bool {
	if a := t.allocation(u.Instance.Service, now); a != nil && a.sharedQuota(&u.Instance) != nil {
		return true
	}
	s := t.brittleService(u.Instance.Service, now)
	return s != nil && t.brittleReplica(s, u, now) != nil
}

// KeepsPlace reports whether the place of a request that has just ended at a replica is this
// node's. If not, the replica counts as full for a moment.
func (t *Throttle) KeepsPlace(upstream *blackboard.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	held := t.places(upstream.Instance.Service, now).byReplica[upstream]
	if t.hasKnownPlaces(upstream, now) || upstream.Inflight() < held {
		return true
	}
	id := upstream.Instance.ID
	f, ok := t.full[id]
	if !ok || !f.started.Equal(upstream.Instance.Started) {
		f = full{
			started: upstream.Instance.Started,
			length:  minFullTime,
		}
	}
	f.running = upstream.Inflight()
	f.until = now.Add(leaveTime)
	t.full[id] = f
	return false
}

// UnusedPlaces returns the replicas of a service at which this node runs fewer requests than its
// share of the places. It returns false if the node holds too few places to be bound to them.
func (t *Throttle) UnusedPlaces(service string) (unused []string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.places(service, t.config.Now())
	for i, u := range p.upstreams {
		if u.Inflight() < p.held[i] && !u.Leaving() {
			unused = append(unused, u.Instance.ID)
		}
	}
	return unused, p.total >= minPlaces
}
