package registry

import (
	"context"
	"errors"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/feedindex"
)

// ErrStale means that a peer has no recent answer from the store.
var ErrStale = errors.New("peer has no recent answer from the store")

// staleAfter is how long after the store's last answer a node still answers on its
// behalf: the time to the feed's next call, its longest wait and some time for the
// answer.
//
// If only the reader is disconnected from the store, its whole failure domain
// does not learn of leaving replicas until the reader reports ErrStale. With
// this limit and one call to the store the other nodes learn of a leaving replica
// within the two seconds that the platform allows.
const staleAfter = feedSpacing + feedWait + 300*time.Millisecond

// peerFeed holds the content of the store's tables from which a node answers its
// peers, with the store's own positions. Its lock is held for microseconds.
type peerFeed struct {
	mu sync.Mutex
	// entries holds the newest change of each replica, removed ones included, and
	// versions orders them by their version, and removed the removed ones.
	entries  map[string]ReplicaChange
	versions *feedindex.Index[string]
	removed  *feedindex.Index[string]
	// newest is the highest version of the entries at the last answer of the store's feed.
	newest uint64
	// orders holds the newest order of each service.
	orders map[string]zinniamast.RolloutOrder
	// oldestPosition is the position before which removals are not known: that of
	// the last full list, or a later one once old removed entries are deleted.
	oldestPosition uint64
	// configPosition is the position up to which the present configuration was not known.
	configPosition uint64
	// replicas and config are the progress of the two feeds.
	replicas feedProgress
	config   feedProgress
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// feedProgress is the position of a feed and the time of its last answer.
type feedProgress struct {
	position   uint64
	answeredAt time.Time
}

func newPeerFeed() peerFeed {
	return peerFeed{
		entries:  map[string]ReplicaChange{},
		versions: feedindex.New[string](),
		removed:  feedindex.New[string](),
		orders:   map[string]zinniamast.RolloutOrder{},
		changed:  make(chan struct{}),
	}
}

// put stores the newest change of an entry. Replicas rewrite their entries every second or
// so; a change that says nothing new is not passed on, as each of many nodes would otherwise
// receive and apply those of all replicas.
func (p *peerFeed) put(change ReplicaChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.entries[change.ID]; ok && known.saysTheSame(change) {
		return
	}
	p.entries[change.ID] = change
	p.versions.Put(change.ID, change.Version)
	if change.Replica == nil {
		p.removed.Put(change.ID, change.Version)
	} else {
		p.removed.Delete(change.ID)
	}
}

// saysTheSame reports whether two changes of an entry describe the same replica.
func (c ReplicaChange) saysTheSame(other ReplicaChange) bool {
	if c.Replica == nil || other.Replica == nil || c.Unreadable != other.Unreadable {
		return false
	}
	return *c.Replica == *other.Replica
}

// putOrder stores the newest order of a service.
func (p *peerFeed) putOrder(order zinniamast.RolloutOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders[order.Service] = order
}

// removedEntryPositions is the number of positions for which removed entries are
// retained, and removedEntryRewrites the least number of rewrites of each entry for which
// they are; a peer that is further behind reads the full list. Each rewrite takes a position:
// 3,000 replicas that rewrite their entries every 1.2 s use 5,000 positions in two seconds,
// and a peer that was paused for that long would read the list of all. With 16 rewrites it
// has 19 seconds, as 5,000 positions give it before 300 replicas.
const (
	removedEntryPositions = 5000
	removedEntryRewrites  = 16
)

func (p *peerFeed) advanceReplicas(position uint64, whole bool, answeredAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas.recordAnswer(answeredAt)
	p.replicas.position = max(p.replicas.position, position)
	newest := p.newest
	for id := range p.versions.After(newest) {
		newest = max(newest, p.entries[id].Version)
	}
	if whole {
		p.oldestPosition = position
	}
	// Heartbeats alone wake no peer: with 75 nodes a failure domain and 3,000 replicas each
	// would ask four times a second for nothing.
	if whole || newest > p.newest {
		p.newest = newest
		p.wake()
	}
	retained := max(removedEntryPositions, removedEntryRewrites*uint64(len(p.entries)))
	if position < retained || p.oldestPosition >= position-retained {
		return
	}
	p.oldestPosition = position - retained
	p.deleteRemoved()
}

// deleteRemoved deletes the removed entries that are older than oldestPosition; the caller
// holds the lock.
func (p *peerFeed) deleteRemoved() {
	for id, ok := p.removed.Oldest(); ok && p.entries[id].Version <= p.oldestPosition; id, ok = p.removed.Oldest() {
		delete(p.entries, id)
		p.versions.Delete(id)
		p.removed.Delete(id)
	}
}

// advanceConfig records an answer of the configuration's feed, and whether it brought
// another one.
func (p *peerFeed) advanceConfig(position uint64, isNew bool, answeredAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isNew {
		p.configPosition = position
	}
	p.config.recordAnswer(answeredAt)
	if position <= p.config.position {
		return
	}
	p.config.position = position
	p.wake()
}

// recordAnswer records when the store gave an answer. A peer may pass on an older one than the last.
func (f *feedProgress) recordAnswer(at time.Time) {
	if at.After(f.answeredAt) {
		f.answeredAt = at
	}
}

// wake wakes all waiting calls of peers; the caller holds the lock.
func (p *peerFeed) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// markUnreachable records that the store does not answer, and wakes all waiting
// calls of peers.
func (p *peerFeed) markUnreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas.answeredAt, p.config.answeredAt = time.Time{}, time.Time{}
	p.wake()
}

// wait returns once isDue, the store's last answer is too old, the wait is over or ctx
// ends. isDue is called under the lock.
func (p *peerFeed) wait(ctx context.Context, progress *feedProgress, wait time.Duration, isDue func() bool) {
	p.mu.Lock()
	wait = min(wait, max(0, staleAfter-time.Since(progress.answeredAt)))
	p.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		done, changed := isDue() || time.Since(progress.answeredAt) > staleAfter, p.changed
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// ReplicasAfter answers a peer as the store's feed would. ErrHistoryDropped
// means that the peer is too far behind, ErrStale that this node has no recent
// answer from the store.
func (f *Follower) ReplicasAfter(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error) {
	p := &f.peerFeed
	p.wait(ctx, &p.replicas, wait, func() bool { return p.newest > position || p.oldestPosition > position })
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.replicas.answeredAt) > staleAfter {
		return ReplicaChanges{}, ErrStale
	}
	if position < p.oldestPosition {
		return ReplicaChanges{}, ErrHistoryDropped
	}
	answer := ReplicaChanges{
		Position: max(position, p.replicas.position),
		Age:      time.Since(p.replicas.answeredAt),
	}
	for id := range p.versions.After(position) {
		answer.Changes = append(answer.Changes, p.entries[id])
	}
	return answer, nil
}

// ConfigAfter answers a peer as the store's feed would.
func (f *Follower) ConfigAfter(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error) {
	p := &f.peerFeed
	p.wait(ctx, &p.config, wait, func() bool { return p.config.position > position })
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.config.answeredAt) > staleAfter {
		return ConfigChange{}, ErrStale
	}
	change := ConfigChange{
		Position: max(position, p.config.position),
		Age:      time.Since(p.config.answeredAt),
	}
	if position < p.configPosition {
		change.Config = f.config.Routes.Current()
	}
	for _, order := range p.orders {
		if order.Revision > position {
			change.Orders = append(change.Orders, order)
		}
	}
	return change, nil
}

// Examined returns how many entries this node has looked at to answer its peers.
func (f *Follower) Examined() uint64 {
	f.peerFeed.mu.Lock()
	defer f.peerFeed.mu.Unlock()
	return f.peerFeed.versions.Examined()
}

// Replicas returns the replicas known to this node, for a peer that has none.
func (f *Follower) Replicas() ReplicaChanges {
	p := &f.peerFeed
	p.mu.Lock()
	defer p.mu.Unlock()
	var known ReplicaChanges
	for _, change := range p.entries {
		if change.Replica != nil {
			known.Changes = append(known.Changes, change)
		}
	}
	return known
}
