package registry_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/plain"
	"zinniamast/registry"
	"zinniamast/routes"
)

// beatingStore is a Source whose replicas rewrite their entries every 1.2 s.
type beatingStore struct {
	mu       sync.Mutex
	replicas []*registry.Replica
	version  uint64
	next     int
	answers  int
	lists    int
	// queued are changes that come with the next answer of the feed.
	queued []registry.ReplicaChange
	// dropped means that the feed's history is lost, and silent that no call is answered.
	dropped bool
	silent  bool
}

const beatSpacing = 250 * time.Millisecond

func newBeatingStore(replicas int) *beatingStore {
	s := &beatingStore{}
	for i := range replicas {
		s.replicas = append(s.replicas, &registry.Replica{
			ID:      fmt.Sprintf("i-%05d", i),
			Service: "svc",
			Address: "127.0.0.1:1",
			Slots:   8,
		})
	}
	return s
}

// change returns the next change of an entry; the caller holds the lock.
func (s *beatingStore) change(replica *registry.Replica) registry.ReplicaChange {
	s.version++
	return registry.ReplicaChange{
		ID:      replica.ID,
		Version: s.version,
		Replica: replica,
	}
}

// queue adds changes of replica 7 to the next answer; nil removes its entry.
func (s *beatingStore) queue(states ...*registry.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range states {
		change := s.change(s.replicas[7])
		change.Replica = state
		s.queued = append(s.queued, change)
	}
}

// ReadReplicas implements registry.Source.
func (s *beatingStore) ReadReplicas(context.Context) (registry.ReplicaChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	s.dropped = false
	var list registry.ReplicaChanges
	for i := range s.replicas {
		list.Changes = append(list.Changes, s.change(s.replicas[len(s.replicas)-1-i]))
	}
	list.Position = s.version
	return list, nil
}

// FollowReplicas implements registry.Source.
func (s *beatingStore) FollowReplicas(ctx context.Context, _ uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	time.Sleep(min(beatSpacing, wait))
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		return registry.ReplicaChanges{}, hang(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped {
		return registry.ReplicaChanges{}, registry.ErrHistoryDropped
	}
	s.answers++
	changes := registry.ReplicaChanges{
		Changes: s.queued,
	}
	s.queued = nil
	for range len(s.replicas) * 5 / 24 {
		if s.next%len(s.replicas) != 7 {
			rewritten := *s.replicas[s.next%len(s.replicas)]
			changes.Changes = append(changes.Changes, s.change(&rewritten))
		}
		s.next++
	}
	changes.Position = s.version
	return changes, nil
}

// ReadConfig implements registry.Source.
func (s *beatingStore) ReadConfig(context.Context) (registry.ConfigChange, error) {
	return registry.ConfigChange{}, nil
}

// FollowConfig implements registry.Source.
func (s *beatingStore) FollowConfig(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	time.Sleep(wait)
	return registry.ConfigChange{
		Position: position,
	}, ctx.Err()
}

// newReader returns a follower of a store.
func newReader(s *beatingStore) *registry.Follower {
	return registry.NewFollower(registry.FollowerConfig{
		Source:    s,
		Routes:    &routes.Table{},
		Upstreams: blackboard.NewUpstreams(),
		Build:     func(string, string) zinniamast.Replica { return plain.New(plain.Config{}) },
		Logger:    slog.New(slog.DiscardHandler),
	})
}

// runReader runs a test on a reader before ten replicas a node, in virtual time.
func runReader(t *testing.T, nodes int, test func(check *is.I, s *beatingStore, f *registry.Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newBeatingStore(10 * nodes)
		f := newReader(s)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { f.Run(ctx) })
		defer running.Wait()
		defer cancel()
		time.Sleep(5 * time.Second)
		test(is.New(t), s, f)
	})
}

func forSizes(t *testing.T, test func(t *testing.T, nodes int)) {
	t.Helper()
	for _, nodes := range []int{30, 100, 300} {
		t.Run(fmt.Sprintf("%d_nodes", nodes), func(t *testing.T) { test(t, nodes) })
	}
}

// present returns a peer's position of now.
func present(check *is.I, s *beatingStore, f *registry.Follower) uint64 {
	answer, err := f.ReplicasAfter(context.Background(), uint64(len(s.replicas)), 0)
	check.NoErr(err)
	return answer.Position
}

// TestHeartbeatsWakeNoPeers guards against peers that ask again, and entries that are looked at, for each heartbeat.
func TestHeartbeatsWakeNoPeers(t *testing.T) {
	forSizes(t, func(t *testing.T, nodes int) {
		runReader(t, nodes, func(check *is.I, s *beatingStore, f *registry.Follower) {
			s.queue(nil)
			time.Sleep(2 * beatSpacing)
			list, err := f.ReplicasAfter(context.Background(), uint64(10*nodes), 0)
			check.NoErr(err)
			check.Equal(len(list.Changes), 1)
			s.mu.Lock()
			before := s.answers
			s.mu.Unlock()
			examined, answers, position := f.Examined(), 0, list.Position
			for began := time.Now(); time.Since(began) < 10*time.Second; answers++ {
				answer, err := f.ReplicasAfter(context.Background(), position, 700*time.Millisecond)
				check.NoErr(err)
				check.Equal(len(answer.Changes), 0)
				check.True(answer.Position > position)
				position = answer.Position
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			t.Logf("%d answers, %d entries examined", answers, f.Examined()-examined)
			check.True(answers <= 15)                                                       // 40 if each answer of the store woke the peer
			check.True(f.Examined()-examined <= uint64(answers)+uint64(s.answers-before)+1) // one each, and one of an answer counted before
		})
	})
}

// TestChangeWakesPeersAtOnce guards against peers that learn late of a replica that leaves or changes back.
func TestChangeWakesPeersAtOnce(t *testing.T) {
	forSizes(t, func(t *testing.T, nodes int) {
		runReader(t, nodes, func(check *is.I, s *beatingStore, f *registry.Follower) {
			ready := s.replicas[7]
			draining := *ready
			draining.Draining = true
			position := present(check, s, f)
			for _, states := range [][]*registry.Replica{{&draining}, {ready}, {nil}, {ready}, {&draining, ready}, {&draining, nil, &draining}} {
				s.queue(states...)
				began := time.Now()
				answer, err := f.ReplicasAfter(context.Background(), position, 700*time.Millisecond)
				check.NoErr(err)
				check.True(time.Since(began) <= beatSpacing)
				check.Equal(len(answer.Changes), 1)
				last := states[len(states)-1]
				check.Equal(answer.Changes[0].ID, "i-00007")
				check.Equal(answer.Changes[0].Replica, last)
				position = answer.Position
			}
		})
	})
}

// TestPausedPeerMissesNoRemoval guards against a peer that reads the whole list after a pause of ten seconds.
func TestPausedPeerMissesNoRemoval(t *testing.T) {
	forSizes(t, func(t *testing.T, nodes int) {
		runReader(t, nodes, func(check *is.I, s *beatingStore, f *registry.Follower) {
			position := present(check, s, f)
			s.queue(nil)
			time.Sleep(10 * time.Second)
			answer, err := f.ReplicasAfter(context.Background(), position, 0)
			check.NoErr(err)
			check.Equal(len(answer.Changes), 1)
			check.True(answer.Changes[0].Replica == nil)
			time.Sleep(30 * time.Second)
			_, err = f.ReplicasAfter(context.Background(), position, 0)
			check.True(errors.Is(err, registry.ErrHistoryDropped)) // removed entries are not held for ever
		})
	})
}

// TestWaitingPeersLearnThatTheFeedStartsAnew guards against removals that peers never learn of.
func TestWaitingPeersLearnThatTheFeedStartsAnew(t *testing.T) {
	runReader(t, 30, func(check *is.I, s *beatingStore, f *registry.Follower) {
		position := present(check, s, f)
		s.mu.Lock()
		s.dropped = true
		s.mu.Unlock()
		_, err := f.ReplicasAfter(context.Background(), position, 700*time.Millisecond)
		check.True(errors.Is(err, registry.ErrHistoryDropped))
		check.Equal(s.lists, 2)
		s.mu.Lock()
		position = s.version
		s.mu.Unlock()
		_, err = f.ReplicasAfter(context.Background(), position, 700*time.Millisecond)
		check.NoErr(err) // it goes on from the new list
	})
}

// TestReaderWhoseStoreHangsRefuses guards against peers that wait for a reader that learns of no change.
func TestReaderWhoseStoreHangsRefuses(t *testing.T) {
	runReader(t, 30, func(check *is.I, s *beatingStore, f *registry.Follower) {
		position := present(check, s, f)
		s.mu.Lock()
		s.silent = true
		s.mu.Unlock()
		began := time.Now()
		for {
			answer, err := f.ReplicasAfter(context.Background(), position, 700*time.Millisecond)
			if err != nil {
				check.True(errors.Is(err, registry.ErrStale))
				break
			}
			position = answer.Position
			time.Sleep(time.Millisecond) // the time that the answer travels
		}
		check.True(time.Since(began) <= 1500*time.Millisecond)
	})
}

// cutStore is the store behind a path on which its feed has fallen silent.
type cutStore struct {
	*beatingStore
}

// FollowReplicas implements registry.Source.
func (cutStore) FollowReplicas(ctx context.Context, _ uint64, _ time.Duration) (registry.ReplicaChanges, error) {
	return registry.ReplicaChanges{}, hang(ctx)
}

// distantPeer is a peer whose answers travel for a millisecond.
type distantPeer struct {
	registry.Peer
}

// ReplicasAfter implements registry.Peer.
func (p distantPeer) ReplicasAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	time.Sleep(time.Millisecond)
	return p.Peer.ReplicasAfter(ctx, position, wait)
}

// ConfigAfter implements registry.Peer.
func (p distantPeer) ConfigAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	time.Sleep(time.Millisecond)
	return p.Peer.ConfigAfter(ctx, position, wait)
}

// Guards against news of a reader that has lost the store that count as the store's at the next reader, which has lost it too.
func TestNewsOfAPeerKeepTheirAge(t *testing.T) {
	runReader(t, 30, func(check *is.I, s *beatingStore, first *registry.Follower) {
		second := registry.NewFollower(registry.FollowerConfig{
			Source: registry.NewRelayed(registry.RelayedConfig{
				Store:   cutStore{s},
				Readers: func() []registry.Peer { return []registry.Peer{distantPeer{first}} },
			}),
			Routes:    &routes.Table{},
			Upstreams: blackboard.NewUpstreams(),
			Build:     func(string, string) zinniamast.Replica { return plain.New(plain.Config{}) },
			Logger:    slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { second.Run(ctx) })
		defer running.Wait()
		defer cancel()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		position := s.version
		s.silent = true
		s.mu.Unlock()
		began := time.Now()
		for {
			answer, err := second.ReplicasAfter(context.Background(), position, 700*time.Millisecond)
			if err != nil {
				check.True(errors.Is(err, registry.ErrStale))
				break
			}
			position = answer.Position
			time.Sleep(time.Millisecond) // the time that the answer travels
		}
		check.True(time.Since(began) <= 1600*time.Millisecond)
		check.True(!second.HasHeard(time.Second))
	})
}

// BenchmarkReplicasAfter measures an answer to a peer after a heartbeat of all replicas.
func BenchmarkReplicasAfter(b *testing.B) {
	for _, nodes := range []int{30, 300} {
		b.Run(fmt.Sprintf("%d_nodes", nodes), func(b *testing.B) {
			s := newBeatingStore(10 * nodes)
			f := newReader(s)
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			go f.Run(ctx)
			time.Sleep(500 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := f.ReplicasAfter(ctx, 1<<40, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
