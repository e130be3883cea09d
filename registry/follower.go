package registry

import (
	"cmp"
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
	// feedWait is how long a feed call waits for a change.
	//
	// If the store drops its history, a feed that is opened meanwhile receives no
	// changes for as long as it waits, while other feeds report replicas that
	// leave. The wait also bounds how long a reader that has lost the store can
	// answer peers before it detects the loss. Together with feedSpacing it is one
	// second, which keeps both delays within the two seconds that the platform
	// allows; an idle reader makes two calls a second.
	feedWait = 750 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// lapseGracePeriod is how long after the store recovers an entry that lapsed
	// during the outage may take to come back; the platform specifies two seconds.
	lapseGracePeriod = 2200 * time.Millisecond
	// removedRetention is how long a removed replica stays in the table for requests
	// that still run on it.
	removedRetention = 30 * time.Second
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Source provides the platform's tables.
	Source Source
	// Routes receives each new configuration.
	Routes *routes.Table
	// Upstreams receives the replicas and their changes.
	Upstreams *blackboard.Upstreams
	// Build returns a client for the replica at host:port.
	Build func(id, address string) zinniamast.Replica
	// OnOrder receives the operators' orders; nil means that they are not used.
	OnOrder func(zinniamast.RolloutOrder)
	// Logger logs versions, replicas and losses of the store; nil means slog's default.
	Logger *slog.Logger
}

// Follower keeps this node's tables up to date with the store. The loop for
// replicas and the loop for the configuration share no state.
type Follower struct {
	config FollowerConfig
	// ready is set once the replicas are known, from the store or a peer.
	ready atomic.Bool
	// heardAt is when the source last answered for the replicas.
	heardAt atomic.Pointer[time.Time]
	// seeds holds a peer's replicas, for a node that cannot reach the store.
	seeds chan ReplicaChanges

	// ordersPosition is the store's position up to which the orders are known, and orders
	// holds the newest of each service. The configuration's loop alone changes them.
	ordersPosition atomic.Uint64
	orders         map[string]zinniamast.RolloutOrder

	// peerFeed holds the entries and positions from which peers are answered.
	peerFeed peerFeed

	// The fields below belong to the replicas' loop.

	// versions holds the newest version of each entry, removed ones included, so
	// that a stale answer does not revert a change.
	versions map[string]uint64
	// lapseDeadlines holds, for each entry that disappeared during an outage, the
	// time from which its replica counts as removed.
	lapseDeadlines map[string]time.Time
	// removedAt holds the time at which each replica was removed.
	removedAt map[string]time.Time
}

// NewFollower returns a follower that does nothing until Run is called.
func NewFollower(config FollowerConfig) *Follower {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Follower{
		config:         config,
		peerFeed:       newPeerFeed(),
		seeds:          make(chan ReplicaChanges, 1),
		orders:         map[string]zinniamast.RolloutOrder{},
		versions:       map[string]uint64{},
		lapseDeadlines: map[string]time.Time{},
		removedAt:      map[string]time.Time{},
	}
}

// Ready reports whether replicas and a configuration are known.
func (f *Follower) Ready() bool { return f.KnowsReplicas() && f.config.Routes.Current() != nil }

// KnowsReplicas reports whether the replicas are known, from the store or a peer.
func (f *Follower) KnowsReplicas() bool { return f.ready.Load() }

// HeardAt returns when the source last answered for the replicas; zero if it has not.
func (f *Follower) HeardAt() time.Time {
	if at := f.heardAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// HasHeard reports whether the source has answered for the replicas within the given time.
func (f *Follower) HasHeard(within time.Duration) bool { return time.Since(f.HeardAt()) <= within }

// Seed passes a peer's replicas to a follower that has not reached the store yet.
//
// A node that starts while the store is down would otherwise refuse every request
// until the store recovers, although its neighbours serve. The peer's replicas
// are used until the store itself answers: later versions replace them, and those
// that the first full list lacks are removed.
func (f *Follower) Seed(changes ReplicaChanges) {
	select {
	case f.seeds <- changes:
	default:
	}
}

// applySeed applies the replicas passed to Seed, if there are any.
func (f *Follower) applySeed() {
	select {
	case changes := <-f.seeds:
		f.seed(changes)
	default:
	}
}

// seed applies a peer's replicas unless replicas are already known.
func (f *Follower) seed(changes ReplicaChanges) {
	if f.ready.Load() || len(changes.Changes) == 0 {
		return
	}
	f.applyReplicas(changes, false, false)
	f.ready.Store(true)
	f.config.Logger.Info("replicas received from a peer", "entries", len(changes.Changes))
}

// readAllReplicas reads the full list from the store, and applies a peer's replicas
// that arrive meanwhile.
//
// During a rolling restart while the store does not answer, a starting instance
// receives the replicas from a neighbour within milliseconds. If it applied them
// only after its own call to the store timed out, it would refuse all callers for
// a second and a half.
func (f *Follower) readAllReplicas(ctx context.Context) (ReplicaChanges, error) {
	var listed ReplicaChanges
	read := make(chan error, 1)
	go func() {
		var err error
		listed, err = f.config.Source.ReadReplicas(ctx)
		read <- err
	}()
	for {
		select {
		case err := <-read:
			return listed, err
		case changes := <-f.seeds:
			f.seed(changes)
		}
	}
}

// Run follows the replicas and the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.followConfig(ctx)
	}()
	f.followReplicas(ctx)
	<-done
}

// feedState is the state of one feed. The position is no longer known after the
// store has dropped the feed's history.
type feedState struct {
	position    uint64
	hasPosition bool
	retryDelay  time.Duration
	// afterOutage means that the last answer was the first one after a loss of the store.
	afterOutage bool
	table       string
}

// handleResult handles the error of a call and reports whether the answer may be
// used. It waits for the backoff if it may not.
func (f *Follower) handleResult(ctx context.Context, feed *feedState, err error) bool {
	if err == nil {
		feed.afterOutage = feed.retryDelay > 0
		if feed.afterOutage {
			f.config.Logger.Info("store reachable again", "table", feed.table)
		}
		feed.retryDelay = 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, ErrHistoryDropped) {
		f.config.Logger.Info("feed history dropped, reading full table", "table", feed.table)
		feed.hasPosition = false
		f.sleep(ctx, minRetryDelay)
		return false
	}
	f.peerFeed.markUnreachable()
	if feed.retryDelay == 0 {
		f.config.Logger.Warn("store unreachable", "table", feed.table, "cause", err)
	}
	feed.retryDelay = min(max(2*feed.retryDelay, minRetryDelay), maxRetryDelay)
	f.sleep(ctx, feed.retryDelay)
	return false
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// followConfig keeps the configuration up to date.
func (f *Follower) followConfig(ctx context.Context) {
	feed := feedState{
		table: "configuration",
	}
	for ctx.Err() == nil {
		var change ConfigChange
		var err error
		if feed.hasPosition {
			change, err = f.config.Source.FollowConfig(ctx, feed.position, feedWait)
		} else {
			change, err = f.config.Source.ReadConfig(ctx)
		}
		if !f.handleResult(ctx, &feed, err) {
			continue
		}
		feed.position, feed.hasPosition = max(feed.position, change.Position), true
		isNew := f.applyConfig(change.Config)
		f.applyOrders(change)
		f.ordersPosition.Store(feed.position)
		f.peerFeed.advanceConfig(feed.position, isNew, time.Now().Add(-change.Age))
	}
}

// applyConfig puts a configuration in force and reports whether there is one that peers may
// not have.
func (f *Follower) applyConfig(c *routes.Config) bool {
	if c == nil {
		return false
	}
	if f.config.Routes.Apply(c) {
		f.config.Logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes),
			"organisations", len(c.Organisations))
	}
	return true
}

// followReplicas keeps the replicas up to date.
func (f *Follower) followReplicas(ctx context.Context) {
	feed := feedState{
		table: "replicas",
	}
	for ctx.Err() == nil {
		var changes ReplicaChanges
		var err error
		whole := !feed.hasPosition
		if whole {
			changes, err = f.readAllReplicas(ctx)
		} else {
			changes, err = f.config.Source.FollowReplicas(ctx, feed.position, f.feedTimeout())
		}
		if f.handleResult(ctx, &feed, err) {
			if whole {
				f.config.Logger.Info("full replica list read", "entries", len(changes.Changes),
					"position", changes.Position, "before", feed.position)
			}
			feed.position, feed.hasPosition = max(feed.position, changes.Position), true
			f.applyReplicas(changes, whole, feed.afterOutage)
			f.ready.Store(true)
			answeredAt := time.Now().Add(-changes.Age)
			f.heardAt.Store(&answeredAt)
			f.peerFeed.advanceReplicas(feed.position, whole, answeredAt)
		}
		f.applySeed()
		f.expire(time.Now())
	}
}

// feedTimeout returns how long the feed may wait: at most until the next lapsed
// entry counts as removed.
func (f *Follower) feedTimeout() time.Duration {
	wait := feedWait
	for _, at := range f.lapseDeadlines {
		wait = min(wait, max(time.Until(at), minRetryDelay))
	}
	return wait
}

// applyReplicas applies changes. If whole is set, they are a full list, and replicas
// that it lacks are removed. If afterOutage is set, some of the changes may date
// from an outage of the store.
func (f *Follower) applyReplicas(changes ReplicaChanges, whole, afterOutage bool) {
	// Full lists are ordered by ID. The peer feed takes changes fastest by their version.
	slices.SortStableFunc(changes.Changes, func(a, b ReplicaChange) int { return cmp.Compare(a.Version, b.Version) })
	listed := map[string]bool{}
	var started, present []*Replica
	// If an entry lapsed and came back in one answer, its last change counts.
	var missing []string
	for _, change := range changes.Changes {
		listed[change.ID] = true
		if change.Version <= f.versions[change.ID] {
			continue
		}
		f.versions[change.ID] = change.Version
		f.peerFeed.put(change)
		if change.Unreadable != "" {
			f.config.Logger.Warn("replica entry unreadable", "replica", change.ID, "version", change.Version, "cause", change.Unreadable)
		}
		if change.Replica == nil {
			missing = append(missing, change.ID)
			continue
		}
		missing = slices.DeleteFunc(missing, func(id string) bool { return id == change.ID })
		if f.isNewStart(change.Replica) {
			started = append(started, change.Replica)
		}
		present = append(present, change.Replica)
	}
	// A peer's replicas are a list, too.
	f.addAll(started, whole || !f.ready.Load())
	for _, r := range present {
		f.handleListed(r)
	}
	if whole {
		missing = append(missing, f.unlisted(listed, changes.Position)...)
	}
	f.handleMissing(missing, afterOutage)
}

// unlisted returns known replicas that a full list lacks. A list that is older
// than an entry's last change is not evidence that the entry was removed.
func (f *Follower) unlisted(listed map[string]bool, position uint64) []string {
	var missing []string
	for _, u := range f.config.Upstreams.All() {
		if id := u.Instance.ID; !listed[id] && f.versions[id] <= position {
			missing = append(missing, id)
		}
	}
	return missing
}

// isNewStart reports whether an entry names a start of a replica that is not in the table.
func (f *Follower) isNewStart(r *Replica) bool {
	known := f.config.Upstreams.Get(r.ID)
	return known == nil || !known.Instance.Started.Equal(r.Started) || known.Instance.Address != r.Address
}

// handleListed applies an entry that names a replica of the table.
func (f *Follower) handleListed(r *Replica) {
	delete(f.lapseDeadlines, r.ID)
	if f.isNewStart(r) {
		return // A later change of the same answer names another start.
	}
	if r.Draining {
		f.markLeaving(r.ID, r.LeavesIn)
		return
	}
	if _, wasRemoved := f.removedAt[r.ID]; wasRemoved {
		f.config.Logger.Info("replica readmitted", "replica", r.ID)
		f.config.Upstreams.Readmit(r.ID)
	}
	delete(f.removedAt, r.ID)
}

// addAll adds new starts of replicas at once. They replace earlier starts under the same
// IDs. If listed is set, they come from a list, which is logged as one.
func (f *Follower) addAll(started []*Replica, listed bool) {
	level := slog.LevelInfo
	if listed {
		level = slog.LevelDebug
	}
	var upstreams []*blackboard.Upstream
	for _, r := range started {
		if f.config.Upstreams.Get(r.ID) != nil {
			f.config.Upstreams.Remove(r.ID)
		}
		delete(f.removedAt, r.ID)
		f.config.Upstreams.Readmit(r.ID)
		upstreams = append(upstreams, f.newUpstream(r))
		f.config.Logger.Log(context.Background(), level, "replica added", "replica", r.ID, "service", r.Service,
			"failure_domain", r.FailureDomain, "version", r.Version, "draining", r.Draining)
	}
	f.config.Upstreams.AddAll(upstreams)
}

// markLeaving marks a replica as leaving, so that it takes no new requests. It goes
// away after the given time, or at an unknown time if that is zero.
func (f *Follower) markLeaving(id string, in time.Duration) {
	if f.config.Upstreams.MarkLeaving(id, leavesAt(in)) {
		f.config.Logger.Info("replica leaving", "replica", id, "leaves_in", in)
	}
}

// lapsedFraction is the fraction of a service's replicas that must disappear
// together during a loss of the store to count as lapsed entries. It is above the
// fraction that is lost when a failure domain is reclaimed, which is a quarter or a
// half.
const lapsedFraction = 0.6

// handleMissing handles entries that are no longer in the table.
//
// During an outage of the store live replicas cannot write to it and their entries
// lapse. When it recovers, a whole service would appear to be removed and every
// request would be refused. If the entries of most of a service disappeared during
// the outage, they therefore have some time to come back. In all other cases the
// replicas are removed at once: if only this node was disconnected, nothing
// lapsed, and waiting would send new requests to replicas that left a moment ago.
// A replica whose entry comes back later is readmitted.
func (f *Follower) handleMissing(ids []string, afterOutage bool) {
	missingByService := map[string][]string{}
	for _, id := range ids {
		u := f.config.Upstreams.Get(id)
		if _, isRemoved := f.removedAt[id]; u != nil && !isRemoved {
			missingByService[u.Instance.Service] = append(missingByService[u.Instance.Service], id)
		}
	}
	now := time.Now()
	for service, serviceIDs := range missingByService {
		lapsed := afterOutage && float64(len(serviceIDs)) >= lapsedFraction*float64(f.countActive(service))
		for _, id := range serviceIDs {
			if !lapsed {
				f.markRemoved(id, now)
				continue
			}
			if _, ok := f.lapseDeadlines[id]; !ok {
				f.lapseDeadlines[id] = now.Add(lapseGracePeriod)
			}
		}
	}
}

// countActive returns the number of a service's replicas that take new requests.
func (f *Follower) countActive(service string) int {
	count := 0
	for _, u := range f.config.Upstreams.Of(service) {
		if !u.Leaving() {
			count++
		}
	}
	return count
}

// markRemoved marks a replica as removed, so that it takes no new requests.
func (f *Follower) markRemoved(id string, now time.Time) {
	delete(f.lapseDeadlines, id)
	f.removedAt[id] = now
	f.config.Upstreams.MarkLeaving(id, time.Time{})
	f.config.Logger.Info("replica removed", "replica", id)
}

// expire removes replicas whose lapsed entries did not come back in time, and
// deletes from the table those that were removed removedRetention ago.
func (f *Follower) expire(now time.Time) {
	for id, at := range f.lapseDeadlines {
		if !now.Before(at) {
			f.markRemoved(id, now)
		}
	}
	for id, at := range f.removedAt {
		if now.Sub(at) < removedRetention {
			continue
		}
		delete(f.removedAt, id)
		if u := f.config.Upstreams.Get(id); u != nil {
			u.Replica.Close()
			f.config.Upstreams.Remove(id)
		}
	}
}
