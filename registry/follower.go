package registry

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/routes"
)

const (
	// feedWait is how long a feed is asked to wait for a change.
	//
	// Failure: the store drops its history, and a feed that is opened meanwhile
	// hears nothing for as long as it waits, while others hear of replicas that
	// leave. It also bounds how long a reader that has lost the store can speak
	// for it unawares. With feedSpacing it makes a second, which keeps both within
	// the platform's two; an idle reader makes two calls a second.
	feedWait = 750 * time.Millisecond
	// minPause and maxPause bound the wait after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// lapseGrace is how long after the store's return an entry that lapsed while
	// it was away may take to come back; the platform names two seconds.
	lapseGrace = 2200 * time.Millisecond
	// goneMemory is how long a replica that is gone stays in the table for what still runs there.
	goneMemory = 30 * time.Second
)

// FollowerConfig says what a follower keeps up to date.
type FollowerConfig struct {
	// Source is the platform's store.
	Source Source
	// Routes is the table of configurations to keep.
	Routes *routes.Table
	// Upstreams is the table of replicas to keep.
	Upstreams *blackboard.Upstreams
	// Build returns the client of a replica at host:port.
	Build func(id, address string) zinniamast.Replica
	// Logger hears of versions, replicas and the store's losses; nil means slog's default.
	Logger *slog.Logger
}

// Follower keeps the tables as the store has them. Its two loops share no state.
type Follower struct {
	config FollowerConfig
	// ready says that the replicas are known, from the store or a peer.
	ready atomic.Bool
	// brought holds what a peer knows, for a node that cannot reach the store.
	brought chan ReplicaChanges

	// shared is what peers are told.
	shared shared

	// The rest belongs to the replicas' loop.

	// seen holds the newest version of each entry, also of removed ones, so
	// that a stale answer undoes nothing.
	seen map[string]uint64
	// lapsed holds entries that vanished around an outage, with the time from
	// which they count as gone.
	lapsed map[string]time.Time
	// gone holds when replicas left the list.
	gone map[string]time.Time
}

// NewFollower returns a follower; Run starts it.
func NewFollower(config FollowerConfig) *Follower {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Follower{
		config:  config,
		shared:  newShared(),
		brought: make(chan ReplicaChanges, 1),
		seen:    map[string]uint64{},
		lapsed:  map[string]time.Time{},
		gone:    map[string]time.Time{},
	}
}

// Ready says whether replicas and a configuration are known.
func (f *Follower) Ready() bool { return f.ready.Load() && f.config.Routes.Current() != nil }

// Bring gives a follower that has not reached the store yet what a peer knows.
//
// Failure: a node starts while the store is down; without replicas it refuses
// every request until the store returns, though its neighbours serve. What the
// peer knew counts as the store's word until the store itself answers: later
// versions go before it, and what the first whole list lacks is gone.
func (f *Follower) Bring(changes ReplicaChanges) {
	select {
	case f.brought <- changes:
	default:
	}
}

// takeBrought takes in what a peer brought, while the store was never reached.
func (f *Follower) takeBrought() {
	select {
	case changes := <-f.brought:
		f.believe(changes)
	default:
	}
}

// believe takes in what a peer knows, unless the store has answered.
func (f *Follower) believe(changes ReplicaChanges) {
	if f.ready.Load() || len(changes.Changes) == 0 {
		return
	}
	f.take(changes, false, false)
	f.ready.Store(true)
	f.config.Logger.Info("replicas from a peer", "entries", len(changes.Changes))
}

// readWhole reads the whole list, and takes in what a peer brings meanwhile.
//
// Failure: instances are restarted in turn while the store is silent. One that
// starts is told the replicas by a neighbour within milliseconds; it took them in
// when its own question to the store had timed out, and refused all callers for
// the second and a half until then.
func (f *Follower) readWhole(ctx context.Context) (ReplicaChanges, error) {
	var changes ReplicaChanges
	read := make(chan error, 1)
	go func() {
		var err error
		changes, err = f.config.Source.ReadReplicas(ctx)
		read <- err
	}()
	for {
		select {
		case err := <-read:
			return changes, err
		case told := <-f.brought:
			f.believe(told)
		}
	}
}

// Run follows both tables until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.followConfig(ctx)
	}()
	f.followReplicas(ctx)
	<-done
}

// position is where a feed stands; it is lost with the feed's history.
type position struct {
	at    uint64
	known bool
	pause time.Duration
	// regained says that the last answer was the first after a loss of the store.
	regained bool
	name     string
}

// after judges a call's error: it says whether the answer may be used, and
// pauses where it may not.
func (f *Follower) after(ctx context.Context, p *position, err error) bool {
	if err == nil {
		p.regained = p.pause > 0
		if p.regained {
			f.config.Logger.Info("store regained", "table", p.name)
		}
		p.pause = 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, ErrHistoryGone) {
		f.config.Logger.Info("feed lost its history, reading whole", "table", p.name)
		p.known = false
		f.pause(ctx, minPause)
		return false
	}
	f.shared.lost()
	if p.pause == 0 {
		f.config.Logger.Warn("store lost", "table", p.name, "cause", err)
	}
	p.pause = min(max(2*p.pause, minPause), maxPause)
	f.pause(ctx, p.pause)
	return false
}

func (f *Follower) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// followConfig keeps the configuration.
func (f *Follower) followConfig(ctx context.Context) {
	p := position{
		name: "configuration",
	}
	for ctx.Err() == nil {
		var change ConfigChange
		var err error
		if p.known {
			change, err = f.config.Source.FollowConfig(ctx, p.at, feedWait)
		} else {
			change, err = f.config.Source.ReadConfig(ctx)
		}
		if !f.after(ctx, &p, err) {
			continue
		}
		p.at, p.known = max(p.at, change.Position), true
		f.apply(change.Config)
		f.shared.heardConfig(p.at)
	}
}

func (f *Follower) apply(c *routes.Config) {
	if c != nil && f.config.Routes.Apply(c) {
		f.config.Logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes),
			"organisations", len(c.Organisations))
	}
}

// followReplicas keeps the replicas.
func (f *Follower) followReplicas(ctx context.Context) {
	p := position{
		name: "replicas",
	}
	for ctx.Err() == nil {
		var changes ReplicaChanges
		var err error
		whole := !p.known
		if whole {
			changes, err = f.readWhole(ctx)
		} else {
			changes, err = f.config.Source.FollowReplicas(ctx, p.at, f.wait())
		}
		if f.after(ctx, &p, err) {
			if whole {
				f.config.Logger.Info("replicas read whole", "entries", len(changes.Changes),
					"position", changes.Position, "before", p.at)
			}
			p.at, p.known = max(p.at, changes.Position), true
			f.take(changes, whole, p.regained)
			f.ready.Store(true)
			f.shared.heardReplicas(p.at, whole)
		}
		f.takeBrought()
		f.settle(time.Now())
	}
}

// wait is how long the feed may wait: until the next lapsed entry counts as gone.
func (f *Follower) wait() time.Duration {
	wait := feedWait
	for _, at := range f.lapsed {
		wait = min(wait, max(time.Until(at), minPause))
	}
	return wait
}

// take takes changes in; a whole list also tells what is no longer there.
// Regained says that some changes are from a time when the store was away.
func (f *Follower) take(changes ReplicaChanges, whole, regained bool) {
	listed := map[string]bool{}
	// Of an entry that lapsed and came back in one answer the last change counts.
	var vanished []string
	for _, change := range changes.Changes {
		listed[change.ID] = true
		if change.Version <= f.seen[change.ID] {
			continue
		}
		f.seen[change.ID] = change.Version
		f.shared.keep(change)
		if change.Unreadable != "" {
			f.config.Logger.Warn("unreadable entry", "replica", change.ID, "version", change.Version, "cause", change.Unreadable)
		}
		if change.Replica == nil {
			vanished = append(vanished, change.ID)
			continue
		}
		vanished = slices.DeleteFunc(vanished, func(id string) bool { return id == change.ID })
		f.appeared(change.Replica)
	}
	if whole {
		vanished = append(vanished, f.unlisted(listed, changes.Position)...)
	}
	f.vanished(vanished, regained)
}

// unlisted returns known replicas that a whole list leaves out. A list from
// before an entry's last change says nothing of it.
func (f *Follower) unlisted(listed map[string]bool, position uint64) []string {
	var missing []string
	for _, u := range f.config.Upstreams.All() {
		if id := u.Instance.ID; !listed[id] && f.seen[id] <= position {
			missing = append(missing, id)
		}
	}
	return missing
}

// appeared takes in an entry that names a replica.
func (f *Follower) appeared(r *Replica) {
	delete(f.lapsed, r.ID)
	known := f.config.Upstreams.Get(r.ID)
	same := known != nil && known.Instance.Started.Equal(r.Started) && known.Instance.Address == r.Address
	if !same {
		f.add(r)
	}
	if r.Draining {
		f.leave(r.ID, r.LeavesIn)
		return
	}
	if _, wasGone := f.gone[r.ID]; same && wasGone {
		f.config.Logger.Info("replica back", "replica", r.ID)
		f.config.Upstreams.Readmit(r.ID)
	}
	delete(f.gone, r.ID)
}

// add enters a new start of a replica. A later start under the same ID takes
// the place of the one before.
func (f *Follower) add(r *Replica) {
	if f.config.Upstreams.Get(r.ID) != nil {
		f.config.Upstreams.Remove(r.ID)
	}
	f.config.Upstreams.Readmit(r.ID)
	market := zinniamast.OnDemand
	if r.Reclaimable {
		market = zinniamast.Reclaimable
	}
	f.config.Upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:            r.ID,
			FailureDomain: r.FailureDomain,
			Market:        market,
			Service:       r.Service,
			Address:       r.Address,
			Started:       r.Started,
		},
		Replica: f.config.Build(r.ID, r.Address),
		Slots:   r.Slots,
	})
	f.config.Logger.Info("replica seen", "replica", r.ID, "service", r.Service,
		"failure_domain", r.FailureDomain, "draining", r.Draining)
}

// leave marks a replica that takes no new work.
func (f *Follower) leave(id string, in time.Duration) {
	var at time.Time
	if in > 0 {
		at = time.Now().Add(in)
	}
	if f.config.Upstreams.MarkLeaving(id, at) {
		f.config.Logger.Info("replica leaving", "replica", id, "leaves_in", in)
	}
}

// lapsedPart is the part of a service's replicas that must vanish together
// across a loss of the store to be taken for entries that lapsed. A reclaim
// takes a failure domain, a quarter of them or a half.
const lapsedPart = 0.6

// vanished takes in that entries are no longer there.
//
// Failure: while the store is away live replicas cannot write to it and their
// entries lapse; at its return a whole service seems to be gone, and every
// request is refused. Entries of most of a service that vanished before the
// store was regained have therefore some time to come back. Others are gone
// now: where only this node was cut off, nothing lapsed, and waiting would send
// new work to replicas that left a moment ago. One that comes back after all is
// taken in again.
func (f *Follower) vanished(ids []string, regained bool) {
	lost := map[string][]string{}
	for _, id := range ids {
		u := f.config.Upstreams.Get(id)
		if _, gone := f.gone[id]; u != nil && !gone {
			lost[u.Instance.Service] = append(lost[u.Instance.Service], id)
		}
	}
	now := time.Now()
	for service, together := range lost {
		lapsed := regained && float64(len(together)) >= lapsedPart*float64(f.present(service))
		for _, id := range together {
			if !lapsed {
				f.lose(id, now)
				continue
			}
			if _, ok := f.lapsed[id]; !ok {
				f.lapsed[id] = now.Add(lapseGrace)
			}
		}
	}
}

// present counts a service's replicas that take work.
func (f *Follower) present(service string) int {
	count := 0
	for _, u := range f.config.Upstreams.Of(service) {
		if !u.Leaving() {
			count++
		}
	}
	return count
}

// lose counts a replica as gone.
func (f *Follower) lose(id string, now time.Time) {
	delete(f.lapsed, id)
	f.gone[id] = now
	f.config.Upstreams.MarkLeaving(id, time.Time{})
	f.config.Logger.Info("replica gone", "replica", id)
}

// settle counts lapsed entries as gone and forgets replicas that are long gone.
func (f *Follower) settle(now time.Time) {
	for id, at := range f.lapsed {
		if !now.Before(at) {
			f.lose(id, now)
		}
	}
	for id, at := range f.gone {
		if now.Sub(at) < goneMemory {
			continue
		}
		delete(f.gone, id)
		if u := f.config.Upstreams.Get(id); u != nil {
			u.Replica.Close()
			f.config.Upstreams.Remove(id)
		}
	}
}
