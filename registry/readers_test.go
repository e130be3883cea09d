package registry_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/registry"
)

// TestNextReaderIsCalledBeforeStore guards against a whole domain that calls the store for its reader.
func TestNextReaderIsCalledBeforeStore(t *testing.T) {
	check := is.New(t)
	store, next := &fakeSource{}, &fakeSource{}
	stale := &fakeSource{
		err: registry.ErrStale,
	}
	source := newRelayed(store, stale, next)
	for range 3 {
		_, err := source.FollowReplicas(context.Background(), 1, time.Second)
		check.NoErr(err)
		_, err = source.FollowConfig(context.Background(), 1, time.Second)
		check.NoErr(err)
	}
	check.Equal(store.calls.Load(), int64(0))
	check.Equal(stale.calls.Load(), int64(2)) // once in each loop until its backoff ends
	check.Equal(next.calls.Load(), int64(6))
}

// TestSuspendedReadersLeaveTimeForTheStore guards against leaving replicas that become known too late.
func TestSuspendedReadersLeaveTimeForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		var readers []registry.Peer
		for range 6 {
			readers = append(readers, &fakeSource{
				hangs: true,
			})
		}
		source := newRelayed(&fakeSource{}, readers...)
		began := time.Now()
		_, err := source.FollowReplicas(context.Background(), 1, time.Second)
		check.NoErr(err)
		check.True(time.Since(began) < 1500*time.Millisecond)
	})
}

// largeDomain is a failure domain whose nodes follow the store through each other.
type largeDomain struct {
	calls atomic.Int64
	nodes []*domainNode
}

// domainNode is a node that follows the store, its own face to its peers included.
type domainNode struct {
	domain *largeDomain
	source *registry.Relayed

	mu    sync.Mutex
	cut   bool
	stale bool
}

var errCut = errors.New("store unreachable")

func newLargeDomain(count int) *largeDomain {
	d := &largeDomain{}
	for i := range count {
		n := &domainNode{
			domain: d,
		}
		n.source = registry.NewRelayed(registry.RelayedConfig{
			Store: n,
			Readers: func() []registry.Peer {
				var above []registry.Peer
				for _, other := range d.nodes[:i] {
					above = append(above, other)
				}
				return above
			},
		})
		d.nodes = append(d.nodes, n)
	}
	return d
}

// run follows the store until ctx ends, as a node does.
func (n *domainNode) run(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := n.source.FollowReplicas(ctx, 1, 750*time.Millisecond)
		n.mu.Lock()
		n.stale = err != nil
		n.mu.Unlock()
		if err != nil {
			time.Sleep(400 * time.Millisecond)
		}
	}
}

// setCut cuts a node off from the store, or heals the cut.
func (n *domainNode) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// FollowReplicas is the store's side of a feed.
func (n *domainNode) FollowReplicas(_ context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	n.domain.calls.Add(1)
	n.mu.Lock()
	cut := n.cut
	n.mu.Unlock()
	if cut {
		return registry.ReplicaChanges{}, errCut
	}
	time.Sleep(wait)
	return registry.ReplicaChanges{
		Position: position,
	}, nil
}

// FollowConfig implements registry.Source; only replicas are followed.
func (n *domainNode) FollowConfig(context.Context, uint64, time.Duration) (registry.ConfigChange, error) {
	return registry.ConfigChange{}, nil
}

// ReadReplicas implements registry.Source.
func (n *domainNode) ReadReplicas(context.Context) (registry.ReplicaChanges, error) {
	return registry.ReplicaChanges{}, nil
}

// ReadConfig implements registry.Source.
func (n *domainNode) ReadConfig(context.Context) (registry.ConfigChange, error) {
	return registry.ConfigChange{}, nil
}

// ReplicasAfter implements registry.Peer.
func (n *domainNode) ReplicasAfter(_ context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	n.mu.Lock()
	stale := n.stale
	n.mu.Unlock()
	if stale {
		return registry.ReplicaChanges{}, registry.ErrStale
	}
	time.Sleep(wait)
	return registry.ReplicaChanges{
		Position: position,
	}, nil
}

// ConfigAfter implements registry.Peer.
func (n *domainNode) ConfigAfter(context.Context, uint64, time.Duration) (registry.ConfigChange, error) {
	return registry.ConfigChange{}, nil
}

// callsWithout returns the calls to the store that a failure domain makes within ten
// seconds while its first nodes are cut off from the store.
func callsWithout(t *testing.T, count, cut int) (calls int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newLargeDomain(count)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, n := range d.nodes {
			running.Go(func() { n.run(ctx) })
		}
		time.Sleep(5 * time.Second)
		for _, n := range d.nodes[:cut] {
			n.setCut(true)
		}
		before := d.calls.Load()
		time.Sleep(10 * time.Second)
		calls = d.calls.Load() - before
		cancel()
		running.Wait()
	})
	return calls
}

// TestStoreCallsDoNotGrowWithTheDomain guards against calls for each node while the store refuses some.
func TestStoreCallsDoNotGrowWithTheDomain(t *testing.T) {
	check := is.New(t)
	for cut := range 4 {
		small, large := callsWithout(t, 6, cut), callsWithout(t, 37, cut)
		t.Logf("%d cut: %d calls of 6 nodes, %d of 37", cut, small, large)
		check.True(large <= 2*small)
	}
}
