package blackboard

import (
	"sync"
	"sync/atomic"
	"time"

	"zinniamast"
)

// Upstream is one replica as this node knows it. The exported fields do not
// change; what does change is behind methods and safe for concurrent use.
type Upstream struct {
	// Instance is what the platform says of it.
	Instance zinniamast.Instance
	// Engine speaks to it if it is a model replica.
	Engine zinniamast.Engine
	// Service speaks to it if it is a plain service's replica.
	Service zinniamast.Service
	// Replica takes requests as they are; nil where only Engine or Service is used.
	Replica zinniamast.Replica
	// Slots is how many requests it says it runs at once; zero if unknown.
	Slots int

	leaving  atomic.Bool
	leavesAt atomic.Int64
	inflight atomic.Int64
}

// Leaving says whether the replica takes no new work.
func (u *Upstream) Leaving() bool { return u.leaving.Load() }

// LeavesAt returns when it goes away, or the zero time if that is unknown.
func (u *Upstream) LeavesAt() time.Time {
	nanos := u.leavesAt.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Inflight returns how many attempts of this node run there.
func (u *Upstream) Inflight() int64 { return u.inflight.Load() }

// Enter counts an attempt in; Exit counts it out.
func (u *Upstream) Enter() { u.inflight.Add(1) }

// Exit counts an attempt out.
func (u *Upstream) Exit() { u.inflight.Add(-1) }

// Upstreams is the table of replicas. Readers of a service's replicas never wait.
type Upstreams struct {
	mu sync.Mutex
	// byID holds every replica in use.
	byID map[string]*Upstream
	// left holds, per ID, the start of the incarnation that left.
	left     map[string]time.Time
	services atomic.Pointer[map[string][]*Upstream]
	watchers []func(*Upstream)
}

// NewUpstreams returns an empty table.
func NewUpstreams() *Upstreams {
	u := &Upstreams{
		byID: map[string]*Upstream{},
		left: map[string]time.Time{},
	}
	u.publish()
	return u
}

// Of returns the replicas of a model deployment or plain service, leaving
// ones included; the slice is shared and not written.
func (u *Upstreams) Of(service string) []*Upstream { return (*u.services.Load())[service] }

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

// OnLeaving registers a function that hears of each replica once when it begins to leave.
func (u *Upstreams) OnLeaving(f func(*Upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.watchers = append(u.watchers, f)
}

// Add puts a replica into the table and reports whether it is new. What has
// left is refused under the same start: an old list that still shows it alive
// would send new work to an instance that is going away.
func (u *Upstreams) Add(upstream *Upstream) bool { return len(u.AddAll([]*Upstream{upstream})) == 1 }

// AddAll puts replicas into the table as Add does and returns those that are
// new. The readers' snapshot is renewed once: its cost grows with the table,
// and a node that starts adds the whole fleet.
func (u *Upstreams) AddAll(upstreams []*Upstream) []*Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	var added []*Upstream
	for _, upstream := range upstreams {
		if u.isNew(upstream) {
			u.byID[upstream.Instance.ID] = upstream
			added = append(added, upstream)
		}
	}
	if len(added) > 0 {
		u.publish()
	}
	return added
}

// isNew says whether this life of a replica may enter; the caller holds the lock.
func (u *Upstreams) isNew(upstream *Upstream) bool {
	id := upstream.Instance.ID
	if left, ok := u.left[id]; ok && !upstream.Instance.Started.After(left) {
		return false
	}
	known, ok := u.byID[id]
	return !ok || upstream.Instance.Started.After(known.Instance.Started)
}

// MarkLeaving records the first sign that a replica leaves and reports
// whether it was the first. A zero time means that the moment is unknown.
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
	u.left[id] = upstream.Instance.Started
	watchers := u.watchers
	u.mu.Unlock()
	for _, watch := range watchers {
		watch(upstream)
	}
	return true
}

// Readmit takes back a replica's present life after it was removed from the
// list by mistake: its entry lapsed while the platform's store was away, and
// came back. A replica that announced its leaving itself is not readmitted.
func (u *Upstreams) Readmit(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.left, id)
	if upstream, ok := u.byID[id]; ok {
		upstream.leaving.Store(false)
		upstream.leavesAt.Store(0)
	}
}

// Bar refuses a replica's life that began at the given time or before, also if
// it is not in the table yet: news that it leaves can overtake the list that
// first shows it.
func (u *Upstreams) Bar(id string, started time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if left, ok := u.left[id]; !ok || started.After(left) {
		u.left[id] = started
	}
}

// Remove forgets a replica that is gone; its incarnation stays barred.
func (u *Upstreams) Remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	upstream, ok := u.byID[id]
	if !ok {
		return
	}
	u.left[id] = upstream.Instance.Started
	delete(u.byID, id)
	u.publish()
}

// publish renews the readers' snapshot; the caller holds the lock.
func (u *Upstreams) publish() {
	services := map[string][]*Upstream{}
	for _, upstream := range u.byID {
		name := upstream.Instance.Service
		services[name] = append(services[name], upstream)
	}
	u.services.Store(&services)
}
