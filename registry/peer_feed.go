package registry

import (
	"context"
	"errors"
	"sync"
	"time"

	"zinniamast"
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
	// entries holds the newest change of each replica, removed ones included.
	entries map[string]ReplicaChange
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
		entries: map[string]ReplicaChange{},
		orders:  map[string]zinniamast.RolloutOrder{},
		changed: make(chan struct{}),
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
// retained; a peer that is further behind reads the full list.
const removedEntryPositions = 5000

func (p *peerFeed) advanceReplicas(position uint64, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(&p.replicas, position)
	if whole {
		p.oldestPosition = position
	}
	if position < removedEntryPositions || p.oldestPosition >= position-removedEntryPositions {
		return
	}
	p.oldestPosition = position - removedEntryPositions
	for id, change := range p.entries {
		if change.Replica == nil && change.Version <= p.oldestPosition {
			delete(p.entries, id)
		}
	}
}

// advanceConfig records an answer of the configuration's feed, and whether it brought
// another one.
func (p *peerFeed) advanceConfig(position uint64, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isNew {
		p.configPosition = position
	}
	p.advance(&p.config, position)
}

// advance records an answer of a feed; the caller holds the lock.
func (p *peerFeed) advance(progress *feedProgress, position uint64) {
	progress.answeredAt = time.Now()
	if position <= progress.position {
		return
	}
	progress.position = position
	close(p.changed)
	p.changed = make(chan struct{})
}

// markUnreachable records that the store does not answer, and wakes all waiting
// calls of peers.
func (p *peerFeed) markUnreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas.answeredAt, p.config.answeredAt = time.Time{}, time.Time{}
	close(p.changed)
	p.changed = make(chan struct{})
}

// wait returns once a feed is beyond a position, the store's last answer is too
// old, the wait is over or ctx ends.
func (p *peerFeed) wait(ctx context.Context, progress *feedProgress, position uint64, wait time.Duration) {
	p.mu.Lock()
	wait = min(wait, max(0, staleAfter-time.Since(progress.answeredAt)))
	p.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		done, changed := progress.position > position || time.Since(progress.answeredAt) > staleAfter, p.changed
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
	p.wait(ctx, &p.replicas, position, wait)
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
	}
	for _, change := range p.entries {
		if change.Version > position {
			answer.Changes = append(answer.Changes, change)
		}
	}
	return answer, nil
}

// ConfigAfter answers a peer as the store's feed would.
func (f *Follower) ConfigAfter(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error) {
	p := &f.peerFeed
	p.wait(ctx, &p.config, position, wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.config.answeredAt) > staleAfter {
		return ConfigChange{}, ErrStale
	}
	change := ConfigChange{
		Position: max(position, p.config.position),
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
