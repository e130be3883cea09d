package registry

import (
	"context"
	"errors"
	"time"
)

const (
	// relayWait is how long a peer waits for a change, and relayTimeout bounds the
	// calls to all peers together: if one is suspended, this node must give up and
	// call the store within the time in which a leaving replica has to be known.
	relayWait    = 700 * time.Millisecond
	relayTimeout = 1100 * time.Millisecond
	// maxNewsAge is the age of the news at which this node stops waiting for a peer that has passed
	// on old news and then falls silent, but it waits for minRelayTimeout at least. relayMargin is
	// the part of a call's time that the peer does not wait for a change.
	maxNewsAge      = staleAfter + 100*time.Millisecond
	minRelayTimeout = 300 * time.Millisecond
	relayMargin     = 200 * time.Millisecond
	// readerBackoff is how long a peer is not called after it has failed.
	readerBackoff = 3 * time.Second
	// maxReaders bounds the peers that are called before the store.
	maxReaders = 4
)

// Peer is another node that follows the store and answers on its behalf.
type Peer interface {
	// ReplicasAfter waits for changes of replicas after a position.
	ReplicasAfter(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error)
	// ConfigAfter waits for a change of the configuration after a position.
	ConfigAfter(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error)
}

// RelayedConfig configures a Relayed source.
type RelayedConfig struct {
	// Store provides full lists, and changes if there is no reader.
	Store Source
	// Readers returns the nodes of this failure domain that come before this one in
	// following the store on behalf of the others, the first one first.
	Readers func() []Peer
}

// Relayed is a Source for many nodes: one node of each failure domain, the reader,
// follows the store, and the others follow that node.
//
// Each node that follows the store adds a call a second and one more transfer of
// every change to the store's load. With readers the store serves only one node of
// each failure domain, or the next one that reaches it if the reader does not.
type Relayed struct {
	config RelayedConfig
	// Each of the follower's two loops has its own state.
	replicas loopState
	configs  loopState
}

// loopState holds the times that decide whether and when one loop calls the store.
type loopState struct {
	// backoffUntil holds the time until which a peer is not called.
	backoffUntil map[Peer]time.Time
	// storeAnsweredAt is the end of the last call to the store.
	storeAnsweredAt time.Time
	// newsAt is when the store gave its newest answer that has reached this node.
	newsAt time.Time
}

// peerTimeout returns how long to wait for the peers.
func (l *loopState) peerTimeout() time.Duration {
	if l.newsAt.IsZero() {
		return relayTimeout
	}
	return min(relayTimeout, max(minRelayTimeout, time.Until(l.newsAt.Add(maxNewsAge))))
}

// peerWait returns how long a peer that is called now may wait for a change.
func (l *loopState) peerWait() time.Duration { return min(relayWait, l.peerTimeout()-relayMargin) }

// recordNews records the age of the news of an answer.
func (l *loopState) recordNews(age time.Duration) {
	if at := time.Now().Add(-age); at.After(l.newsAt) {
		l.newsAt = at
	}
}

var _ Source = (*Relayed)(nil)

// NewRelayed returns a source that prefers the failure domain's reader.
func NewRelayed(config RelayedConfig) *Relayed {
	return &Relayed{
		config: config,
		replicas: loopState{
			backoffUntil: map[Peer]time.Time{},
		},
		configs: loopState{
			backoffUntil: map[Peer]time.Time{},
		},
	}
}

// callReaders calls one reader after another until one answers, and reports whether
// one has. After ErrHistoryDropped the store is to be called: the reader works, but
// lacks the history from the requested position.
//
// If a reader that has lost the store were followed by the store itself, all nodes of
// its failure domain would call the store for as long as the reader cannot.
func (r *Relayed) callReaders(ctx context.Context, l *loopState, call func(context.Context, Peer) error) bool {
	ctx, cancel := context.WithTimeout(ctx, l.peerTimeout())
	defer cancel()
	readers := r.config.Readers()
	for _, reader := range readers[:min(len(readers), maxReaders)] {
		if time.Now().Before(l.backoffUntil[reader]) {
			continue
		}
		err := call(ctx, reader)
		if err == nil {
			delete(l.backoffUntil, reader)
			return true
		}
		if errors.Is(err, ErrHistoryDropped) {
			return false
		}
		l.backoffUntil[reader] = time.Now().Add(readerBackoff)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// recordStoreAnswer records how a call to the store ended. While the store does not
// answer this node, its readers are asked again at once: they may be the only source left.
func (l *loopState) recordStoreAnswer(err error) {
	l.storeAnsweredAt = time.Now()
	if err == nil {
		l.recordNews(0)
	}
	if err != nil && !errors.Is(err, ErrHistoryDropped) {
		clear(l.backoffUntil)
	}
}

// feedSpacing is the time from one answer of the store's feed to the next call.
//
// A feed answers as soon as one row has changed, and 94 replicas change theirs
// every 1.2 s, so a reader that calls again at once makes some twenty calls a
// second. With this spacing the changes of a quarter of a second come in one
// answer.
const feedSpacing = 250 * time.Millisecond

// waitForSpacing waits until the store may be called again.
func (l *loopState) waitForSpacing(ctx context.Context) {
	wait := time.Until(l.storeAnsweredAt.Add(feedSpacing))
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
	var changes ReplicaChanges
	if r.callReaders(ctx, &r.replicas, func(ctx context.Context, reader Peer) (err error) {
		changes, err = reader.ReplicasAfter(ctx, position, min(wait, r.replicas.peerWait()))
		return err
	}) {
		r.replicas.recordNews(changes.Age)
		return changes, nil
	}
	return r.storeReplicas(ctx, position, wait)
}

func (r *Relayed) storeReplicas(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error) {
	r.replicas.waitForSpacing(ctx)
	changes, err := r.config.Store.FollowReplicas(ctx, position, wait)
	r.replicas.recordStoreAnswer(err)
	return changes, err
}

// FollowConfig implements Source.
func (r *Relayed) FollowConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error) {
	var change ConfigChange
	if r.callReaders(ctx, &r.configs, func(ctx context.Context, reader Peer) (err error) {
		change, err = reader.ConfigAfter(ctx, position, min(wait, r.configs.peerWait()))
		return err
	}) {
		r.configs.recordNews(change.Age)
		return change, nil
	}
	return r.storeConfig(ctx, position, wait)
}

func (r *Relayed) storeConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error) {
	r.configs.waitForSpacing(ctx)
	change, err := r.config.Store.FollowConfig(ctx, position, wait)
	r.configs.recordStoreAnswer(err)
	return change, err
}
