package blackboard

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinniamast"
)

// Upstream is this node's view of one replica. The exported fields do not change;
// mutable state is accessed by methods, which are safe for concurrent use.
type Upstream struct {
	// Instance is the platform's description of the replica.
	Instance zinniamast.Instance
	// Engine is the client of a model replica.
	Engine zinniamast.Engine
	// Service is the client of a plain service's replica.
	Service zinniamast.Service
	// Replica is a client that forwards requests unchanged; nil if only Engine or
	// Service is used.
	Replica zinniamast.Replica
	// Slots is the number of requests that the replica reports to run at once; zero
	// if unknown.
	Slots int
	// Revision is the platform's revision at which this node first saw the replica; zero if
	// the platform has none.
	Revision uint64

	leaving  atomic.Bool
	leavesAt atomic.Int64
	// announced reports whether the replica itself said that it leaves.
	announced atomic.Bool
	inflight  atomic.Int64
}

// Leaving reports whether the replica takes no new requests because it leaves.
func (u *Upstream) Leaving() bool { return u.leaving.Load() }

// Accepts reports whether the replica may get a request: it is not leaving, the request does
// not avoid it or its software version, and a request that goes on with a stream began at
// that version. All ways by which a request changes its replica ask it.
func (u *Upstream) Accepts(request *zinniamast.RouteRequest) bool {
	if u.Leaving() || request.Resumes && request.Version != u.Instance.Version {
		return false
	}
	if slices.Contains(request.AvoidVersions, u.Instance.Version) {
		return false
	}
	if len(request.Only) > 0 && !slices.Contains(request.Only, u.Instance.ID) {
		return false
	}
	return !slices.Contains(request.Avoid, u.Instance.ID)
}

// BeginLeaving marks a replica that is not in the table yet as leaving, so that it never takes
// a request. A zero time means that the time at which it goes away is unknown.
func (u *Upstream) BeginLeaving(at time.Time) {
	u.leaving.Store(true)
	if !at.IsZero() {
		u.leavesAt.Store(at.UnixNano())
	}
}

// LeavesAt returns the time at which the replica goes away, or the zero time if that
// is unknown.
func (u *Upstream) LeavesAt() time.Time {
	nanos := u.leavesAt.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Inflight returns the number of this node's in-flight attempts on the replica.
func (u *Upstream) Inflight() int64 { return u.inflight.Load() }

// BeginAttempt adds an in-flight attempt; EndAttempt removes it.
func (u *Upstream) BeginAttempt() { u.inflight.Add(1) }

// EndAttempt removes an in-flight attempt that BeginAttempt added.
func (u *Upstream) EndAttempt() { u.inflight.Add(-1) }

// Upstreams is the table of replicas. Readers of a service's replicas do not block.
type Upstreams struct {
	mu sync.Mutex
	// byID holds every replica in use.
	byID map[string]*Upstream
	// barredStarts holds, for each ID, the latest start of a replica that left. It and
	// earlier starts are not added again.
	barredStarts map[string]time.Time
	services     atomic.Pointer[map[string][]*Upstream]
	onLeaving    []func(*Upstream)
}

// NewUpstreams returns an empty table.
func NewUpstreams() *Upstreams {
	u := &Upstreams{
		byID:         map[string]*Upstream{},
		barredStarts: map[string]time.Time{},
	}
	u.publish()
	return u
}

// Of returns the replicas of a model deployment or plain service, leaving ones
// included. The slice is shared and must not be modified.
func (u *Upstreams) Of(service string) []*Upstream { return (*u.services.Load())[service] }

// Slots returns the number of requests that the replicas of a service run at once, without leaving
// ones; zero if that of any is unknown.
func (u *Upstreams) Slots(service string) int {
	slots := 0
	for _, upstream := range u.Of(service) {
		switch {
		case upstream.Leaving():
		case upstream.Slots == 0:
			return 0
		default:
			slots += upstream.Slots
		}
	}
	return slots
}

// All returns every replica.
func (u *Upstreams) All() []*Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]*Upstream, 0, len(u.byID))
	for _, upstream := range u.byID {
		all = append(all, upstream)
	}
	return all
}

// Get returns a replica, or nil.
func (u *Upstreams) Get(id string) *Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byID[id]
}

// OnLeaving registers a function that is called once for each replica when it begins
// to leave.
func (u *Upstreams) OnLeaving(f func(*Upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onLeaving = append(u.onLeaving, f)
}

// Add adds a replica to the table and reports whether it is new. A replica that has
// left is not added again with the same start: otherwise an outdated list that still
// contains it would send new requests to an instance that is going away.
func (u *Upstreams) Add(upstream *Upstream) bool { return len(u.AddAll([]*Upstream{upstream})) == 1 }

// AddAll adds replicas to the table as Add does and returns those that are new. The
// readers' snapshot is replaced only once, since its cost grows with the table and
// a node that starts adds the whole fleet.
func (u *Upstreams) AddAll(upstreams []*Upstream) []*Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	var added []*Upstream
	for _, upstream := range upstreams {
		if u.isNew(upstream) {
			u.byID[upstream.Instance.ID] = upstream
			added = append(added, upstream)
			if upstream.Leaving() {
				u.barredStarts[upstream.Instance.ID] = upstream.Instance.Started
			}
		}
	}
	if len(added) > 0 {
		u.publish()
	}
	return added
}

// isNew reports whether this start of a replica may be added; the caller holds the
// lock.
func (u *Upstreams) isNew(upstream *Upstream) bool {
	id := upstream.Instance.ID
	if barred, ok := u.barredStarts[id]; ok && !upstream.Instance.Started.After(barred) {
		return false
	}
	known, ok := u.byID[id]
	return !ok || upstream.Instance.Started.After(known.Instance.Started)
}

// MarkLeaving marks a replica as leaving and reports whether it was not marked
// before. A zero time means that the time at which it goes away is unknown.
func (u *Upstreams) MarkLeaving(id string, at time.Time) bool {
	u.mu.Lock()
	upstream, ok := u.byID[id]
	if !ok || upstream.leaving.Swap(true) {
		u.mu.Unlock()
		return false
	}
	if !at.IsZero() {
		upstream.leavesAt.Store(at.UnixNano())
	}
	u.barredStarts[id] = upstream.Instance.Started
	onLeaving := u.onLeaving
	u.mu.Unlock()
	for _, watch := range onLeaving {
		watch(upstream)
	}
	return true
}

// AnnounceLeaving marks a replica as leaving because an answer of its own said so, and reports
// whether it was not marked before. Readmit does not revert that.
func (u *Upstreams) AnnounceLeaving(upstream *Upstream) bool {
	upstream.announced.Store(true)
	if u.Get(upstream.Instance.ID) != upstream {
		return false
	}
	return u.MarkLeaving(upstream.Instance.ID, time.Time{})
}

// Readmit allows the present start of a replica again after it was marked as leaving
// by mistake, because its entry lapsed during an outage of the platform's store and
// came back. A replica that announced itself that it leaves is not readmitted.
func (u *Upstreams) Readmit(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	upstream, ok := u.byID[id]
	if ok && upstream.announced.Load() {
		return
	}
	delete(u.barredStarts, id)
	if ok {
		upstream.leaving.Store(false)
		upstream.leavesAt.Store(0)
	}
}

// Bar prevents a start of a replica at the given time or before from being added,
// even if the replica is not in the table yet: the report that it leaves can
// arrive before the list that first contains it.
func (u *Upstreams) Bar(id string, started time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if barred, ok := u.barredStarts[id]; !ok || started.After(barred) {
		u.barredStarts[id] = started
	}
}

// Remove removes a replica that has left; its start stays barred.
func (u *Upstreams) Remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	upstream, ok := u.byID[id]
	if !ok {
		return
	}
	u.barredStarts[id] = upstream.Instance.Started
	delete(u.byID, id)
	u.publish()
}

// publish replaces the readers' snapshot; the caller holds the lock.
func (u *Upstreams) publish() {
	services := map[string][]*Upstream{}
	for _, upstream := range u.byID {
		name := upstream.Instance.Service
		services[name] = append(services[name], upstream)
	}
	u.services.Store(&services)
}
