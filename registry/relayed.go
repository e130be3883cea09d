package registry

import (
	"context"
	"errors"
	"time"
)

const (
	// relayWait is how long a peer is asked to wait for a change, and
	// relayTimeout when it counts as silent: a peer that is suspended must be
	// given up, and the store asked, within the time in which a leaving replica
	// is to be known.
	relayWait    = 700 * time.Millisecond
	relayTimeout = 1100 * time.Millisecond
	// relayShun is how long the store is asked directly after a peer has failed.
	relayShun = 3 * time.Second
)

// Peer is another node that follows the store.
type Peer interface {
	TellReplicas(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error)
	TellConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error)
}

// RelayedConfig says where changes come from.
type RelayedConfig struct {
	// Store is asked for whole lists, and for changes where there is no reader.
	Store Source
	// Reader returns the node of this failure domain that follows the store for
	// the others; nil if that is this node, or none is known.
	Reader func() Peer
}

// Relayed is a Source for many nodes: one node of each failure domain follows
// the store, and the others follow that one.
//
// Load: each node that follows the store costs it a call a second and every
// change once more. At 91 nodes that was 0.37 of a day's worth; with a reader
// in each of four failure domains it is four nodes' part.
type Relayed struct {
	config RelayedConfig
	// Each loop of the follower has its own time until which it asks the store.
	replicas shunned
	configs  shunned
}

type shunned struct {
	until time.Time
}

var _ Source = (*Relayed)(nil)

// NewRelayed returns a source that prefers the failure domain's reader.
func NewRelayed(config RelayedConfig) *Relayed {
	return &Relayed{
		config: config,
	}
}

// reader returns the peer to ask, or nil.
func (r *Relayed) reader(s *shunned) Peer {
	if time.Now().Before(s.until) {
		return nil
	}
	return r.config.Reader()
}

// failed notes a peer's failure; a peer that is ahead of its own history is no failure.
func (s *shunned) failed(err error) {
	if !errors.Is(err, ErrHistoryGone) {
		s.until = time.Now().Add(relayShun)
	}
}

// ReadReplicas implements Source.
func (r *Relayed) ReadReplicas(ctx context.Context) (ReplicaChanges, error) {
	return r.config.Store.ReadReplicas(ctx)
}

// ReadConfig implements Source.
func (r *Relayed) ReadConfig(ctx context.Context) (ConfigChange, error) {
	return r.config.Store.ReadConfig(ctx)
}

// FollowReplicas implements Source.
func (r *Relayed) FollowReplicas(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error) {
	peer := r.reader(&r.replicas)
	if peer == nil {
		return r.config.Store.FollowReplicas(ctx, position, wait)
	}
	asked, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	changes, err := peer.TellReplicas(asked, position, min(wait, relayWait))
	if err == nil {
		return changes, nil
	}
	r.replicas.failed(err)
	return r.config.Store.FollowReplicas(ctx, position, wait)
}

// FollowConfig implements Source.
func (r *Relayed) FollowConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error) {
	peer := r.reader(&r.configs)
	if peer == nil {
		return r.config.Store.FollowConfig(ctx, position, wait)
	}
	asked, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	change, err := peer.TellConfig(asked, position, min(wait, relayWait))
	if err == nil {
		return change, nil
	}
	r.configs.failed(err)
	return r.config.Store.FollowConfig(ctx, position, wait)
}
