package registry_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/registry"
	"zinniamast/routes"
	"zinniamast/standin/store"
)

// fakeSource is a Source and a Peer with fixed answers that counts the calls to it.
type fakeSource struct {
	calls atomic.Int64
	// hangs makes calls block until their context ends; fails is the error that
	// the calls return.
	hangs bool
	err   error
}

func (s *fakeSource) ReadReplicas(context.Context) (registry.ReplicaChanges, error) {
	return registry.ReplicaChanges{}, s.err
}

func (s *fakeSource) ReadConfig(context.Context) (registry.ConfigChange, error) {
	return registry.ConfigChange{}, s.err
}

func (s *fakeSource) FollowReplicas(ctx context.Context, position uint64, _ time.Duration) (registry.ReplicaChanges, error) {
	s.calls.Add(1)
	if s.hangs {
		<-ctx.Done()
		return registry.ReplicaChanges{}, ctx.Err()
	}
	return registry.ReplicaChanges{
		Position: position + 1,
	}, s.err
}

func (s *fakeSource) FollowConfig(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	changes, err := s.FollowReplicas(ctx, position, wait)
	return registry.ConfigChange{
		Config:   &routes.Config{},
		Position: changes.Position,
	}, err
}

func (s *fakeSource) ReplicasAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	return s.FollowReplicas(ctx, position, wait)
}

func (s *fakeSource) ConfigAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	return s.FollowConfig(ctx, position, wait)
}

// newRelayed returns a source that calls the readers before the store.
func newRelayed(store *fakeSource, readers ...registry.Peer) *registry.Relayed {
	return registry.NewRelayed(registry.RelayedConfig{
		Store:   store,
		Readers: func() []registry.Peer { return readers },
	})
}

// While a reader answers, the store is not called; a node without a reader calls
// the store.
func TestReaderIsCalledBeforeStore(t *testing.T) {
	check := is.New(t)
	store, reader := &fakeSource{}, &fakeSource{}
	source := newRelayed(store, reader)
	for range 3 {
		_, err := source.FollowReplicas(context.Background(), 1, time.Second)
		check.NoErr(err)
	}
	check.Equal(reader.calls.Load(), int64(3))
	check.Equal(store.calls.Load(), int64(0))
	_, err := newRelayed(store).FollowConfig(context.Background(), 1, time.Second)
	check.NoErr(err)
	check.Equal(store.calls.Load(), int64(1))
}

// The reader is suspended or has lost the store. The node receives changes from the
// store itself, within the time in which a leaving replica must be known, and does
// not call the reader for a while.
func TestUnresponsiveReaderIsBypassed(t *testing.T) {
	for name, reader := range map[string]*fakeSource{
		"suspended": {hangs: true},
		"stale":     {err: registry.ErrStale},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			store := &fakeSource{}
			source := newRelayed(store, reader)
			began := time.Now()
			_, err := source.FollowReplicas(context.Background(), 1, time.Second)
			check.NoErr(err)
			check.True(time.Since(began) < 1500*time.Millisecond)
			_, err = source.FollowReplicas(context.Background(), 2, time.Second)
			check.NoErr(err)
			check.Equal(store.calls.Load(), int64(2))
			check.Equal(reader.calls.Load(), int64(1))
		})
	}
}

// A reader passes the store's changes to its peers, removals included, and a call
// from the current position returns only after its wait.
func TestReaderAnswersPeers(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.store.PutJSON("servers", "i-0", readyEntry(1))
	f.eventually(time.Second, "replica", f.isAccepting("i-0"))
	answer, err := f.follower.ReplicasAfter(ctx, 1, time.Second)
	f.is.NoErr(err)
	position := answer.Position
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.store.Remove("servers", "i-0")
	f.eventually(time.Second, "removed", f.isNotAccepting("i-0"))
	answer, err = f.follower.ReplicasAfter(ctx, position, time.Second)
	f.is.NoErr(err)
	f.is.Equal(len(answer.Changes), 2)
	for _, change := range answer.Changes {
		f.is.Equal(change.Replica == nil, change.ID == "i-0")
	}
	began := time.Now()
	_, err = f.follower.ReplicasAfter(ctx, answer.Position, 100*time.Millisecond)
	f.is.NoErr(err)
	f.is.True(time.Since(began) >= 100*time.Millisecond)
}

// Only the reader loses the store, which refuses its calls or does not answer. The
// reader must report ErrStale to a waiting peer, so that the peer calls the store
// itself, before a replica that leaves meanwhile has to be known.
func TestReaderWithoutStoreReportsStale(t *testing.T) {
	for name, fault := range map[string]store.Fault{
		"unavailable": {Status: http.StatusServiceUnavailable},
		"hanging":     {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.store.PutJSON("servers", "i-0", readyEntry(1))
			f.eventually(time.Second, "replica", f.isAccepting("i-0"))
			answer, err := f.follower.ReplicasAfter(context.Background(), 1, time.Second)
			f.is.NoErr(err)
			f.store.SetFault(fault)
			began := time.Now()
			for err == nil && time.Since(began) < 5*time.Second {
				_, err = f.follower.ReplicasAfter(context.Background(), answer.Position, 700*time.Millisecond)
			}
			f.is.True(errors.Is(err, registry.ErrStale))
			f.is.True(time.Since(began) < 1600*time.Millisecond)
		})
	}
}

// Guards against staying away from a reader that missed one call while the store does not answer either.
func TestReaderIsCalledAgainWhileStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		store := &fakeSource{
			err: errors.New("no path to the store"),
		}
		reader := &fakeSource{
			hangs: true,
		}
		source := newRelayed(store, reader)
		_, err := source.FollowReplicas(t.Context(), 1, time.Second)
		check.True(err != nil)
		_, err = source.FollowConfig(t.Context(), 1, time.Second)
		check.True(err != nil)
		reader.hangs = false
		_, err = source.FollowReplicas(t.Context(), 1, time.Second)
		check.NoErr(err)
		_, err = source.FollowConfig(t.Context(), 1, time.Second)
		check.NoErr(err)
	})
}

// agingPeer passes on news that were as old as its last call allowed, and then falls silent.
type agingPeer struct {
	*fakeSource
	age time.Duration
}

func (p *agingPeer) ReplicasAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	changes, err := p.FollowReplicas(ctx, position, wait)
	changes.Age = p.age
	p.hangs = true
	return changes, err
}

// Guards against waiting for a reader that has passed on old news, as it had lost the store, and then falls silent.
func TestReaderSilentAfterOldNewsIsLeftInTime(t *testing.T) {
	const mustBeKnown = 2 * time.Second
	for _, age := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			source := newRelayed(&fakeSource{}, &agingPeer{
				fakeSource: &fakeSource{},
				age:        age,
			})
			_, err := source.FollowReplicas(t.Context(), 1, time.Second)
			check.NoErr(err)
			news := time.Now().Add(-age)
			_, err = source.FollowReplicas(t.Context(), 2, time.Second) // of the store
			check.NoErr(err)
			check.True(time.Since(news) < mustBeKnown-200*time.Millisecond)
		})
	}
}
