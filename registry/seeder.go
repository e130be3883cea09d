package registry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// minAskInterval is the first pause between two rounds in which a starting node asks
	// peers whether they know the replicas. It doubles up to maxAskInterval, since each round
	// connects to other peers. askTimeout bounds one round.
	minAskInterval = 200 * time.Millisecond
	maxAskInterval = 1600 * time.Millisecond
	askTimeout     = 500 * time.Millisecond
	// minListTimeout bounds the first fetch of a list; each that fails doubles the bound, up
	// to maxListTimeout. A list that arrives too late has cost both nodes as much as one in
	// time: with a fixed bound of 0.5 s, 100 nodes that started at once on a busy machine
	// fetched 42 lists each.
	minListTimeout = 500 * time.Millisecond
	maxListTimeout = 4 * time.Second
	// maxAskedPeers bounds the peers that are asked concurrently.
	maxAskedPeers = 3
)

// SeederConfig configures a Seeder.
type SeederConfig struct {
	// Follower receives the replicas.
	Follower *Follower
	// Peers returns the addresses of other live nodes in random order.
	Peers func() []string
	// Knows asks a node whether it knows the replicas.
	Knows func(ctx context.Context, address string) (bool, error)
	// Fetch fetches the replicas that a node knows.
	Fetch func(ctx context.Context, address string) (ReplicaChanges, error)
	// Logger logs failures; nil means slog's default.
	Logger *slog.Logger
}

// Seeder fetches the replicas from a peer for a node that has not heard of them from the
// store yet.
//
// A list has an entry for each replica of the deployment. So that a start costs one list,
// and not several at a time for as long as the store or the peers are slow, peers are first
// asked whether they know the replicas, and only one list is fetched at a time.
type Seeder struct {
	config SeederConfig

	mu sync.Mutex
	// fetching means that a list is being fetched, and fetched that one has arrived.
	fetching bool
	fetched  bool
	// listTimeout bounds the next fetch.
	listTimeout time.Duration
}

// NewSeeder returns a seeder that does nothing until Run or FetchFrom is called.
func NewSeeder(config SeederConfig) *Seeder {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Seeder{
		config:      config,
		listTimeout: minListTimeout,
	}
}

// Run asks a few peers at a time until the replicas are known or ctx ends. During a rolling
// restart while the store is unavailable, some peers have just stopped; asked one after the
// other, they would leave a starting node without replicas for about a second and a half.
func (s *Seeder) Run(ctx context.Context) {
	interval := minAskInterval
	for s.isNeeded() {
		wait := minAskInterval
		if peers := s.config.Peers(); len(peers) > 0 {
			s.fetchFromOneOf(ctx, peers[:min(len(peers), maxAskedPeers)])
			wait = interval
			interval = min(2*interval, maxAskInterval)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// isNeeded reports whether the replicas are neither known nor about to be.
func (s *Seeder) isNeeded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.fetched && !s.config.Follower.KnowsReplicas()
}

// fetchFromOneOf fetches the replicas from the first of a few peers to say that it knows them.
func (s *Seeder) fetchFromOneOf(ctx context.Context, peers []string) {
	if peer, ok := s.findPeer(ctx, peers); ok {
		s.FetchFrom(ctx, peer)
	}
}

// findPeer returns the first of the peers to say that it knows the replicas.
func (s *Seeder) findPeer(ctx context.Context, peers []string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	informed := make(chan string, len(peers))
	for _, peer := range peers {
		go func() {
			knows, err := s.config.Knows(ctx, peer)
			if err != nil {
				s.config.Logger.Debug("failed to ask peer for replicas", "peer", peer, "cause", err)
			}
			if !knows {
				peer = ""
			}
			informed <- peer
		}()
	}
	for range peers {
		if peer := <-informed; peer != "" {
			return peer, true
		}
	}
	return "", false
}

// FetchFrom fetches the replicas from a peer, unless they are known or being fetched.
func (s *Seeder) FetchFrom(ctx context.Context, peer string) {
	timeout, ok := s.beginFetch()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := s.config.Fetch(ctx, peer)
	s.endFetch(list, err)
	if err != nil {
		s.config.Logger.Debug("failed to fetch replicas from peer", "peer", peer, "cause", err)
		return
	}
	s.config.Follower.Seed(list)
}

// beginFetch returns the time that the fetch may take, and false if none may begin.
func (s *Seeder) beginFetch() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetching || s.fetched || s.config.Follower.KnowsReplicas() {
		return 0, false
	}
	s.fetching = true
	return s.listTimeout, true
}

func (s *Seeder) endFetch(list ReplicaChanges, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
	s.fetched = err == nil && len(list.Changes) > 0
	if err != nil {
		s.listTimeout = min(2*s.listTimeout, maxListTimeout)
	}
}
