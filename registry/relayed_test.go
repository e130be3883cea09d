package registry_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/registry"
	"zinniamast/routes"
	"zinniamast/standin/store"
)

// table is a Source and a Peer of fixed changes that counts how it is asked.
type table struct {
	asked atomic.Int64
	// silent never answers; fails answers with an error.
	silent bool
	fails  error
}

func (s *table) ReadReplicas(context.Context) (registry.ReplicaChanges, error) {
	return registry.ReplicaChanges{}, s.fails
}

func (s *table) ReadConfig(context.Context) (registry.ConfigChange, error) {
	return registry.ConfigChange{}, s.fails
}

func (s *table) FollowReplicas(ctx context.Context, position uint64, _ time.Duration) (registry.ReplicaChanges, error) {
	s.asked.Add(1)
	if s.silent {
		<-ctx.Done()
		return registry.ReplicaChanges{}, ctx.Err()
	}
	return registry.ReplicaChanges{
		Position: position + 1,
	}, s.fails
}

func (s *table) FollowConfig(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	changes, err := s.FollowReplicas(ctx, position, wait)
	return registry.ConfigChange{
		Config:   &routes.Config{},
		Position: changes.Position,
	}, err
}

func (s *table) TellReplicas(ctx context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	return s.FollowReplicas(ctx, position, wait)
}

func (s *table) TellConfig(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	return s.FollowConfig(ctx, position, wait)
}

// relayed asks a reader before a store.
func relayed(store *table, reader registry.Peer) *registry.Relayed {
	return registry.NewRelayed(registry.RelayedConfig{
		Store:  store,
		Reader: func() registry.Peer { return reader },
	})
}

// While a reader answers, the store is not asked; a node without one asks the store.
func TestFollowsTheReader(t *testing.T) {
	check := is.New(t)
	store, reader := &table{}, &table{}
	source := relayed(store, reader)
	for range 3 {
		_, err := source.FollowReplicas(context.Background(), 1, time.Second)
		check.NoErr(err)
	}
	check.Equal(reader.asked.Load(), int64(3))
	check.Equal(store.asked.Load(), int64(0))
	_, err := relayed(store, nil).FollowConfig(context.Background(), 1, time.Second)
	check.NoErr(err)
	check.Equal(store.asked.Load(), int64(1))
}

// The reader is suspended or has lost the store. The node hears of changes from
// the store itself, within the time in which a leaving replica must be known,
// and leaves the reader alone for a while.
func TestLeavesASilentReader(t *testing.T) {
	for name, reader := range map[string]*table{
		"suspended": {silent: true},
		"stale":     {fails: registry.ErrStale},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			store := &table{}
			source := relayed(store, reader)
			began := time.Now()
			_, err := source.FollowReplicas(context.Background(), 1, time.Second)
			check.NoErr(err)
			check.True(time.Since(began) < 1500*time.Millisecond)
			_, err = source.FollowReplicas(context.Background(), 2, time.Second)
			check.NoErr(err)
			check.Equal(store.asked.Load(), int64(2))
			check.Equal(reader.asked.Load(), int64(1))
		})
	}
}

// A reader tells peers what it hears of the store, removals too; one that is
// further back than the reader's own knowledge is told to read the whole list.
func TestReaderTells(t *testing.T) {
	b := newBed(t)
	ctx := context.Background()
	b.store.PutJSON("servers", "i-0", ready(1))
	b.within(time.Second, "replica", b.takesWork("i-0"))
	told, err := b.follower.TellReplicas(ctx, 1, time.Second)
	b.is.NoErr(err)
	position := told.Position
	b.store.PutJSON("servers", "i-1", ready(1))
	b.store.Remove("servers", "i-0")
	b.within(time.Second, "gone", b.takesNone("i-0"))
	told, err = b.follower.TellReplicas(ctx, position, time.Second)
	b.is.NoErr(err)
	b.is.Equal(len(told.Changes), 2)
	for _, change := range told.Changes {
		b.is.Equal(change.Replica == nil, change.ID == "i-0")
	}
	began := time.Now()
	_, err = b.follower.TellReplicas(ctx, told.Position, 100*time.Millisecond)
	b.is.NoErr(err)
	b.is.True(time.Since(began) >= 100*time.Millisecond)
}

// The reader alone loses the store, which turns it away or is silent. It stops
// speaking for the store before a replica that leaves meanwhile must be known:
// the peer, which waits for news, is told to ask the store itself.
func TestReaderThatLosesTheStoreStopsSpeaking(t *testing.T) {
	for name, fault := range map[string]store.Fault{
		"turned away": {Status: http.StatusServiceUnavailable},
		"silent":      {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.store.PutJSON("servers", "i-0", ready(1))
			b.within(time.Second, "replica", b.takesWork("i-0"))
			told, err := b.follower.TellReplicas(context.Background(), 1, time.Second)
			b.is.NoErr(err)
			b.store.SetFault(fault)
			began := time.Now()
			for err == nil && time.Since(began) < 5*time.Second {
				_, err = b.follower.TellReplicas(context.Background(), told.Position, 700*time.Millisecond)
			}
			b.is.True(errors.Is(err, registry.ErrStale))
			b.is.True(time.Since(began) < 1600*time.Millisecond)
		})
	}
}
