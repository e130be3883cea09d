package registry_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
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

// hangingSource is a store that answers nothing.
type hangingSource struct{}

var _ registry.Source = hangingSource{}

func hang(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

// ReadReplicas implements registry.Source.
func (hangingSource) ReadReplicas(ctx context.Context) (registry.ReplicaChanges, error) {
	return registry.ReplicaChanges{}, hang(ctx)
}

// FollowReplicas implements registry.Source.
func (hangingSource) FollowReplicas(ctx context.Context, _ uint64, _ time.Duration) (registry.ReplicaChanges, error) {
	return registry.ReplicaChanges{}, hang(ctx)
}

// ReadConfig implements registry.Source.
func (hangingSource) ReadConfig(ctx context.Context) (registry.ConfigChange, error) {
	return registry.ConfigChange{}, hang(ctx)
}

// FollowConfig implements registry.Source.
func (hangingSource) FollowConfig(ctx context.Context, _ uint64, _ time.Duration) (registry.ConfigChange, error) {
	return registry.ConfigChange{}, hang(ctx)
}

// logCounter counts the records from level info on.
type logCounter struct {
	slog.Handler
	count *atomic.Int64
}

// Enabled implements slog.Handler.
func (logCounter) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }

// Handle implements slog.Handler.
func (c logCounter) Handle(context.Context, slog.Record) error {
	c.count.Add(1)
	return nil
}

// seeding is a starting node whose store hangs, and its peers.
type seeding struct {
	follower *registry.Follower
	seeder   *registry.Seeder
	// informedAt is when the peers begin to know the replicas, and fetch answers for them.
	informedAt time.Time
	fetch      func(ctx context.Context, peer string) error
	lines      atomic.Int64
	questions  atomic.Int64
	fetches    atomic.Int64
	running    atomic.Int64
	mostAtOnce atomic.Int64
}

// newSeeding starts a node among the given numbers of peers and replicas, until the test ends.
func newSeeding(t *testing.T, peers, replicas int) *seeding {
	s := &seeding{
		informedAt: time.Now(),
		fetch:      func(context.Context, string) error { return nil },
	}
	logger := slog.New(logCounter{
		Handler: slog.DiscardHandler,
		count:   &s.lines,
	})
	s.follower = registry.NewFollower(registry.FollowerConfig{
		Source:    hangingSource{},
		Routes:    &routes.Table{},
		Upstreams: blackboard.NewUpstreams(),
		Build: func(id, address string) zinniamast.Replica {
			return plain.New(plain.Config{
				Upstream: id,
				Address:  "http://" + address,
			})
		},
		Logger: logger,
	})
	var list registry.ReplicaChanges
	for i := range replicas {
		id := fmt.Sprintf("i-%05d", i)
		list.Changes = append(list.Changes, registry.ReplicaChange{
			ID:      id,
			Version: uint64(i + 1),
			Replica: &registry.Replica{
				ID:      id,
				Service: "svc",
				Address: "replica:1",
			},
		})
	}
	var addresses []string
	for i := range peers {
		addresses = append(addresses, fmt.Sprintf("peer-%d", i))
	}
	s.seeder = registry.NewSeeder(registry.SeederConfig{
		Follower: s.follower,
		Peers:    func() []string { return addresses },
		Knows: func(context.Context, string) (bool, error) {
			s.questions.Add(1)
			return !time.Now().Before(s.informedAt), nil
		},
		Fetch: func(ctx context.Context, peer string) (registry.ReplicaChanges, error) {
			s.fetches.Add(1)
			s.mostAtOnce.Store(max(s.mostAtOnce.Load(), s.running.Add(1)))
			defer s.running.Add(-1)
			if err := s.fetch(ctx, peer); err != nil {
				return registry.ReplicaChanges{}, err
			}
			return list, nil
		},
		Logger: logger,
	})
	return s
}

// run runs the node for a time.
func (s *seeding) run(duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.follower.Run(ctx)
	}()
	s.seeder.Run(ctx)
	<-ctx.Done()
	<-done
}

// after returns a fetch that takes the given time.
func after(wait time.Duration) func(context.Context, string) error {
	return func(ctx context.Context, _ string) error {
		select {
		case <-time.After(wait):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Guards against starting nodes that fetch list after list from peers that are slow as all start at once.
func TestStartFetchesFewListsFromSlowPeers(t *testing.T) {
	for _, nodes := range []int{30, 100, 300} {
		t.Run(fmt.Sprintf("%d_nodes", nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSeeding(t, nodes-1, 10*nodes)
				s.fetch = after(3 * time.Second)
				for range 20 { // as membership does for each message of a peer with a configuration
					go s.seeder.FetchFrom(context.Background(), "peer-0")
				}
				s.run(12 * time.Second)
				is.True(s.follower.KnowsReplicas())
				is.Equal(s.mostAtOnce.Load(), int64(1))
				is.Equal(s.fetches.Load(), int64(4)) // bounded by 0.5, 1, 2 and 4 s
				is.True(s.questions.Load() <= 15)    // three peers in each of five rounds
			})
		})
	}
}

// Guards against the transfer of a line of the log for each replica of the deployment.
func TestPeersListIsLoggedAsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSeeding(t, 3, 3000)
		s.run(time.Second)
		is.True(s.follower.KnowsReplicas())
		is.Equal(s.fetches.Load(), int64(1))
		is.True(s.lines.Load() <= 3)
	})
}

// Guards against lists from peers that know nothing, and against a node that stops to ask them.
func TestPeersAreAskedUntilTheyKnowReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSeeding(t, 20, 30)
		s.informedAt = time.Now().Add(3 * time.Second)
		s.run(2900 * time.Millisecond)
		is.Equal(s.fetches.Load(), int64(0))
		is.True(s.questions.Load() <= 15) // three peers in each of at most five rounds
		s.run(2 * time.Second)
		is.True(s.follower.KnowsReplicas())
	})
}

// Guards against a starting node without replicas because the peers that it asked first have just stopped.
func TestListIsFetchedFromAnotherPeerAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSeeding(t, 3, 30)
		s.fetch = func(context.Context, string) error {
			if s.fetches.Load() <= 2 {
				return errors.New("stopped")
			}
			return nil
		}
		s.run(time.Second)
		is.True(s.follower.KnowsReplicas())
	})
}
