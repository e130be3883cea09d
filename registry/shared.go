package registry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrStale means that a peer has not heard from the store lately.
var ErrStale = errors.New("peer has not heard from the store lately")

// freshFor is how long after the store's last answer a node still speaks for
// it: the time to the feed's next call, its longest wait and some time for the
// answer.
//
// Failure: the reader alone is cut off from the store. Until it stops speaking
// the whole failure domain hears of no replica that leaves; with this and one
// call to the store they hear of it within the platform's two seconds.
const freshFor = feedSpacing + feedWait + 300*time.Millisecond

// shared is what a node tells peers of the store's tables, in the store's own
// positions. Its lock is held for microseconds.
type shared struct {
	mu sync.Mutex
	// entries are the newest of each replica, removed ones included.
	entries map[string]ReplicaChange
	// floor is the position of the last whole list: removals before it are not known.
	floor uint64
	// replicas and config are how far the feeds are, and when they last answered.
	replicas heard
	config   heard
	// changed is closed with each change.
	changed chan struct{}
}

// heard is how far a feed is.
type heard struct {
	position uint64
	at       time.Time
}

func newShared() shared {
	return shared{
		entries: map[string]ReplicaChange{},
		changed: make(chan struct{}),
	}
}

// keep remembers an entry.
func (s *shared) keep(change ReplicaChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[change.ID] = change
}

// keepRemoved is how many positions back removed entries are kept; a peer that
// is further behind reads the whole list.
const keepRemoved = 5000

func (s *shared) heardReplicas(position uint64, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(&s.replicas, position)
	if whole {
		s.floor = position
	}
	if position < keepRemoved || s.floor >= position-keepRemoved {
		return
	}
	s.floor = position - keepRemoved
	for id, change := range s.entries {
		if change.Replica == nil && change.Version <= s.floor {
			delete(s.entries, id)
		}
	}
}

func (s *shared) heardConfig(position uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(&s.config, position)
}

// advance notes an answer of a feed; the caller holds the lock.
func (s *shared) advance(h *heard, position uint64) {
	h.at = time.Now()
	if position <= h.position {
		return
	}
	h.position = position
	close(s.changed)
	s.changed = make(chan struct{})
}

// lost notes that the store does not answer, and wakes who waits for it.
func (s *shared) lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas.at, s.config.at = time.Time{}, time.Time{}
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait returns once a feed is beyond a position, the store is no longer heard,
// or the time is up.
func (s *shared) wait(ctx context.Context, h *heard, position uint64, wait time.Duration) {
	s.mu.Lock()
	wait = min(wait, max(0, freshFor-time.Since(h.at)))
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		done, changed := h.position > position || time.Since(h.at) > freshFor, s.changed
		s.mu.Unlock()
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

// TellReplicas answers a peer as the store's feed would. ErrHistoryGone means
// that the peer is too far behind, ErrStale that this node does not know.
func (f *Follower) TellReplicas(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error) {
	s := &f.shared
	s.wait(ctx, &s.replicas, position, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.replicas.at) > freshFor {
		return ReplicaChanges{}, ErrStale
	}
	if position < s.floor {
		return ReplicaChanges{}, ErrHistoryGone
	}
	told := ReplicaChanges{
		Position: max(position, s.replicas.position),
	}
	for _, change := range s.entries {
		if change.Version > position {
			told.Changes = append(told.Changes, change)
		}
	}
	return told, nil
}

// TellConfig answers a peer as the store's feed would.
func (f *Follower) TellConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error) {
	s := &f.shared
	s.wait(ctx, &s.config, position, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.config.at) > freshFor {
		return ConfigChange{}, ErrStale
	}
	return ConfigChange{
		Config:   f.config.Routes.Current(),
		Position: max(position, s.config.position),
	}, nil
}

// Known returns the replicas that are known here, for a peer that knows none.
func (f *Follower) Known() ReplicaChanges {
	s := &f.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	var known ReplicaChanges
	for _, change := range s.entries {
		if change.Replica != nil {
			known.Changes = append(known.Changes, change)
		}
	}
	return known
}
