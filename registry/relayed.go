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
// change once more; with a reader in each failure domain that is one node's part
// of it a domain.
type Relayed struct {
	config RelayedConfig
	// Each loop of the follower has its own pace.
	replicas pace
	configs  pace
}

// pace is how one loop asks.
type pace struct {
	// shunned is until when the store is asked instead of the reader.
	shunned time.Time
	// answered is when the store answered last.
	answered time.Time
}

var _ Source = (*Relayed)(nil)

// NewRelayed returns a source that prefers the failure domain's reader.
func NewRelayed(config RelayedConfig) *Relayed {
	return &Relayed{
		config: config,
	}
}

// reader returns the peer to ask, or nil.
func (r *Relayed) reader(p *pace) Peer {
	if time.Now().Before(p.shunned) {
		return nil
	}
	return r.config.Reader()
}

// failed notes a peer's failure; a peer that is ahead of its own history is no failure.
func (p *pace) failed(err error) {
	if !errors.Is(err, ErrHistoryGone) {
		p.shunned = time.Now().Add(relayShun)
	}
}

// feedSpacing is the time from one answer of the store's feed to the next call.
//
// Load: a feed answers as soon as one row has changed, and 94 replicas change
// theirs each 1.2 s; a reader that asked again at once made some twenty calls a
// second. Changes of a quarter of a second come in one answer.
const feedSpacing = 250 * time.Millisecond

// space waits until the store may be asked again.
func (p *pace) space(ctx context.Context) {
	wait := time.Until(p.answered.Add(feedSpacing))
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
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
		return r.storeReplicas(ctx, position, wait)
	}
	asked, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	changes, err := peer.TellReplicas(asked, position, min(wait, relayWait))
	if err == nil {
		return changes, nil
	}
	r.replicas.failed(err)
	return r.storeReplicas(ctx, position, wait)
}

func (r *Relayed) storeReplicas(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error) {
	r.replicas.space(ctx)
	changes, err := r.config.Store.FollowReplicas(ctx, position, wait)
	r.replicas.answered = time.Now()
	return changes, err
}

// FollowConfig implements Source.
func (r *Relayed) FollowConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error) {
	peer := r.reader(&r.configs)
	if peer == nil {
		return r.storeConfig(ctx, position, wait)
	}
	asked, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	change, err := peer.TellConfig(asked, position, min(wait, relayWait))
	if err == nil {
		return change, nil
	}
	r.configs.failed(err)
	return r.storeConfig(ctx, position, wait)
}

func (r *Relayed) storeConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error) {
	r.configs.space(ctx)
	change, err := r.config.Store.FollowConfig(ctx, position, wait)
	r.configs.answered = time.Now()
	return change, err
}
