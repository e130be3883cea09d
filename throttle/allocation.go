package throttle

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// A node that looks for room by being rejected may not send to the replica for the rest that it
// asks for, even when room is free there a moment later. Therefore the places of a service whose
// replicas do so are allocated to the nodes in fixed shares, like those of brittle replicas. Unlike
// these, the replicas bear rejections: all listed places are used until one is rejected.
const (
	// allocationLifetime is how long the places are allocated after a replica last asked for
	// rest, and fullLifetime after one last did so that is known to be full: one that sheds its
	// load asks for rest whenever it is tried.
	allocationLifetime = 10 * time.Second
	fullLifetime       = 30 * time.Second
	// minFull is the number of replicas that must ask for rest before the places of a service
	// with more replicas are allocated, if none of them runs another request of this node: the
	// first rejection by a replica that sheds its load looks like one by a full replica.
	minFull = 2
	// settleTime is how long after the allocation began rejections take no places away:
	// requests that other nodes sent before still occupy theirs.
	settleTime = 1500 * time.Millisecond
	// trialLength is the turn of one place. It is the same time of day at all nodes, so that
	// they try at most one place of a replica per second together.
	trialLength = time.Second
	// minNodePlaces is the smallest mean number of a service's places per node that are
	// allocated. A node with fewer would refuse most requests that come close together.
	minNodePlaces = 4
)

// allocation is what this node knows of a service some of whose replicas asked for rest.
type allocation struct {
	// isActive reports whether the places are allocated, which last changed at changedAt.
	// askedAt is when a replica last asked for rest, and fullAt when one did that counts as
	// full.
	isActive  bool
	changedAt time.Time
	askedAt   time.Time
	fullAt    time.Time
	quotas    map[string]*quota
	// upstreams are the service's replicas as of sharedAt, and shared this node's parts of their
	// places; nil for those whose places are not allocated. It is empty if the nodes have too few
	// places each.
	upstreams []*blackboard.Upstream
	shared    []*quota
	sharedAt  time.Time
}

// quota is this node's part of the places of one start of a replica.
type quota struct {
	started time.Time
	// isShared reports whether the places are allocated, and held is how many of them are
	// this node's.
	isShared bool
	places   int
	share    Share
	held     int
	// lost is how many of its places this node does not use since the replica rejected a
	// request, and triedTurn the turn in which it last tried one of them.
	lost      int
	triedTurn int64
	// standing is what the replica's rejections show, as of judgedAt, and hasRefused whether
	// its last answer was a rejection that asked for rest.
	standing   standing
	judgedAt   time.Time
	hasRefused bool
}

// standing is what the rejections of a replica show.
type standing int

const (
	// askingWhenFull is a replica that took requests before it rejected one and asked for rest,
	// and silentWhenFull one that asked for none.
	askingWhenFull standing = iota + 1
	silentWhenFull
	// shedding is a replica that rejected two requests in a row, with a rest between them.
	shedding
)

// limitAllocated adds the replicas of a service of which this node has no free place. The caller
// holds the lock.
func (t *Throttle) limitAllocated(service string, now time.Time, available *zinniamast.Availability) {
	a := t.allocation(service, now)
	if a == nil {
		return
	}
	for i, q := range a.shared {
		u := a.upstreams[i]
		switch {
		case q == nil || int(u.Inflight()) < q.allowed() || t.isResting(u, now):
		case q.mayTry(now):
			available.Spare = append(available.Spare, u.Instance.ID)
		default:
			available.Blocked = append(available.Blocked, u.Instance.ID)
			available.FreesPlace = available.FreesPlace || q.allowed() > 0
		}
	}
}

// beginAllocated takes a place for a request to a replica, or tries one, and returns false if this
// node has none. The caller holds the lock.
func (t *Throttle) beginAllocated(u *blackboard.Upstream, now time.Time) bool {
	a := t.allocation(u.Instance.Service, now)
	if a == nil {
		return true
	}
	q := a.sharedQuota(&u.Instance)
	if q == nil || int(u.Inflight()) < q.allowed() {
		return true
	}
	if !q.mayTry(now) {
		return false
	}
	q.triedTurn = turnAt(now)
	return true
}

// allocation returns the allocation of a service, or nil if its places are not allocated. The
// caller holds the lock.
func (t *Throttle) allocation(service string, now time.Time) *allocation {
	a := t.allocations[service]
	if a == nil || !a.isActive {
		return nil
	}
	if now.Sub(a.askedAt) > allocationLifetime || now.Sub(a.fullAt) > fullLifetime {
		t.setAllocated(service, a, false)
		return nil
	}
	upstreams := t.config.Upstreams.Of(service)
	if !isSameList(a.upstreams, upstreams) || now.Sub(a.sharedAt) >= shareInterval {
		t.shareOut(service, a, upstreams, now)
	}
	return a
}

// shareOut determines this node's parts of the places of a service's replicas. Those of replicas
// that list none are not allocated, nor those of brittle ones, of which fewer are used. The caller
// holds the lock.
func (t *Throttle) shareOut(service string, a *allocation, upstreams []*blackboard.Upstream, now time.Time) {
	a.upstreams, a.sharedAt = upstreams, now
	a.shared = make([]*quota, len(upstreams))
	brittle := t.brittleService(service, now)
	places, nodes := 0, 1
	for i, u := range upstreams {
		q := a.quota(&u.Instance)
		q.isShared = u.Slots > 0 && (brittle == nil || t.brittleReplica(brittle, u, now) == nil)
		if !q.isShared {
			continue
		}
		q.places, q.share = u.Slots, t.config.Share(u.Instance.ID)
		q.held = q.share.Of(q.places)
		q.lost = min(q.lost, q.held)
		a.shared[i] = q
		places, nodes = places+q.places, q.share.Nodes
	}
	if places < minNodePlaces*nodes {
		a.shared = nil
		for _, q := range a.quotas {
			q.isShared = false
		}
	}
}

// sharedQuota returns this node's part of the places of a start of a replica, or nil if these are
// not allocated.
func (a *allocation) sharedQuota(instance *zinniamast.Instance) *quota {
	q := a.quotas[instance.ID]
	if q == nil || !q.started.Equal(instance.Started) || !q.isShared {
		return nil
	}
	return q
}

// allowed returns how many of the places this node uses.
func (q *quota) allowed() int { return q.held - q.lost }

// mayTry reports whether this node may use one of its lost places. Only the first half of a turn
// counts, as the nodes' clocks differ.
func (q *quota) mayTry(now time.Time) bool {
	turn := turnAt(now)
	inTurn := now.Sub(time.Unix(0, turn*int64(trialLength)))
	return q.lost > 0 && turn != q.triedTurn && inTurn < trialLength/2 && q.share.Holds(int(turn%int64(q.places)))
}

// turnAt returns the number of the turn at a time.
func turnAt(now time.Time) int64 { return now.UnixNano() / int64(trialLength) }

// quota returns what is kept of a start of a replica.
func (a *allocation) quota(instance *zinniamast.Instance) *quota {
	q := a.quotas[instance.ID]
	if q == nil || !q.started.Equal(instance.Started) {
		q = &quota{
			started: instance.Started,
		}
		a.quotas[instance.ID] = q
	}
	return q
}

// recordAllocated records whether a replica took a request, or had no room for it and asked for
// rest.
func (t *Throttle) recordAllocated(upstream *blackboard.Upstream, feedback zinniamast.Feedback) {
	instance := &upstream.Instance
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.allocations[instance.Service]
	if a == nil && (!feedback.Rejected || feedback.RestFor == 0) || feedback.Leaving {
		return
	}
	if a == nil {
		a = &allocation{
			quotas: map[string]*quota{},
		}
		t.allocations[instance.Service] = a
	}
	if feedback.Rejected {
		a.quota(instance).judge(feedback.RestFor > 0, now)
		t.judgeAllocation(a, upstream, feedback, now)
	} else if q := a.quotas[instance.ID]; q != nil {
		q.hasRefused = false
	}
	if t.allocation(instance.Service, now) == nil {
		return
	}
	q := a.sharedQuota(instance)
	if q == nil {
		return
	}
	running := int(upstream.Inflight())
	switch {
	case feedback.Rejected && running-1 < q.allowed() && now.Sub(a.changedAt) >= settleTime:
		q.lost = q.held - max(0, running-1)
	case !feedback.Rejected && running > q.allowed():
		q.lost = max(0, q.held-running)
	}
}

// judge records a rejection by the replica.
func (q *quota) judge(asksForRest bool, now time.Time) {
	switch {
	case !asksForRest:
		q.standing = silentWhenFull
	case q.hasRefused && now.Sub(q.judgedAt) >= minFullTime:
		q.standing = shedding
	case !q.hasRefused:
		q.standing = askingWhenFull
	}
	q.judgedAt = now
	q.hasRefused = asksForRest
}

// judgeAllocation decides after a rejection whether a service's places are allocated: replicas that
// ask for rest when they are full must outnumber those that ask for none. The caller holds the lock.
func (t *Throttle) judgeAllocation(a *allocation, upstream *blackboard.Upstream, feedback zinniamast.Feedback, now time.Time) {
	service := upstream.Instance.Service
	asking, silent := 0, 0
	a.fullAt = time.Time{}
	for id, q := range a.quotas {
		u := t.config.Upstreams.Get(id)
		switch {
		case u == nil || !u.Instance.Started.Equal(q.started):
			delete(a.quotas, id)
		case q.judgedAt.IsZero() || now.Sub(q.judgedAt) > fullLifetime:
		case q.standing == silentWhenFull:
			silent++
		case q.standing == askingWhenFull:
			asking++
			if q.judgedAt.After(a.fullAt) {
				a.fullAt = q.judgedAt
			}
		}
	}
	if feedback.RestFor > 0 {
		a.askedAt = now
	}
	needed := 1
	if !a.isActive && upstream.Inflight() <= 1 {
		needed = min(minFull, len(t.config.Upstreams.Of(service)))
	}
	t.setAllocated(service, a, asking >= needed && asking > silent)
}

// setAllocated begins or ends the allocation of a service's places. The caller holds the lock.
func (t *Throttle) setAllocated(service string, a *allocation, isActive bool) {
	if a.isActive == isActive {
		return
	}
	a.isActive = isActive
	a.changedAt = t.config.Now()
	for _, q := range a.quotas {
		q.lost = 0
	}
	t.config.Logger.Info("places of replicas allocated to the nodes", "service", service, "active", isActive)
}
