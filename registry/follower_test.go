package registry_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/plain"
	"zinniamast/platform"
	"zinniamast/registry"
	"zinniamast/routes"
	"zinniamast/standin/store"
)

// fixture is a follower of a simulated store, with its tables.
type fixture struct {
	t         *testing.T
	is        *is.I
	store     *store.Store
	routes    *routes.Table
	upstreams *blackboard.Upstreams
	follower  *registry.Follower
	orders    *orders
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t:         t,
		is:        is.New(t),
		store:     store.New(),
		routes:    &routes.Table{},
		upstreams: blackboard.NewUpstreams(),
		orders:    &orders{},
	}
	f.follower = registry.NewFollower(registry.FollowerConfig{
		Source:    platform.NewStore(f.store.Address()),
		Routes:    f.routes,
		Upstreams: f.upstreams,
		Build: func(id, address string) zinniamast.Replica {
			return plain.New(plain.Config{
				Upstream: id,
				Address:  "http://" + address,
			})
		},
		OnOrder: f.orders.receive,
		Logger:  slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		f.store.Close()
	})
	return f
}

// entry is a replica's entry as the platform's replicas write it.
type entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	Born    int64  `json:"born"`
	Leaves  int    `json:"leaves_ms,omitempty"`
}

func readyEntry(born int64) entry {
	return entry{
		Service: "svc",
		Address: "127.0.0.1:1",
		Zone:    "here",
		State:   "ready",
		Slots:   4,
		Born:    born,
	}
}

func drainingEntry(born int64) entry {
	e := readyEntry(born)
	e.State = "draining"
	return e
}

// eventually waits until a condition holds, and fails the test after the limit.
func (f *fixture) eventually(limit time.Duration, what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %s: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// isAccepting returns a condition: the replica takes new requests.
func (f *fixture) isAccepting(id string) func() bool {
	return func() bool {
		u := f.upstreams.Get(id)
		return u != nil && !u.Leaving()
	}
}

func (f *fixture) isNotAccepting(id string) func() bool {
	return func() bool { return !f.isAccepting(id)() }
}

func (f *fixture) hasVersion(number int64) func() bool {
	return func() bool {
		current := f.routes.Current()
		return current != nil && current.Version == number
	}
}

type configuration struct {
	Version int64 `json:"version"`
}

// A change of the configuration and a draining replica are applied soon after the
// store reports them.
func TestFollowerAppliesChanges(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("op", "config", configuration{Version: 3})
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.eventually(time.Second, "configuration", f.hasVersion(3))
	f.eventually(time.Second, "replica", f.isAccepting("i-1"))
	f.is.True(f.follower.Ready())
	f.store.PutJSON("op", "config", configuration{Version: 9})
	f.store.PutJSON("servers", "i-1", drainingEntry(1))
	f.eventually(time.Second, "new version", f.hasVersion(9))
	f.eventually(time.Second, "leaving", f.isNotAccepting("i-1"))
}

// An older version of the configuration arrives, written by mistake or in a late
// answer. The version in force stays.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("op", "config", configuration{Version: 9})
	f.eventually(time.Second, "configuration", f.hasVersion(9))
	f.store.PutJSON("op", "config", configuration{Version: 4})
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.eventually(time.Second, "replica", f.isAccepting("i-1"))
	time.Sleep(100 * time.Millisecond)
	f.is.True(f.hasVersion(9)())
}

// A replica's entry is removed without a draining state before. While the store is
// reachable the replica takes no new requests from then on.
func TestRemovedEntryTakesNoRequests(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.eventually(time.Second, "replica", f.isAccepting("i-1"))
	f.store.Remove("servers", "i-1")
	f.eventually(time.Second, "removed", f.isNotAccepting("i-1"))
}

// The store is down and entries lapse. After it recovers, one replica's entry comes
// back a second later and the other's never does. The first takes requests all the
// time, the second is removed after the grace period.
func TestLapsedEntryComesBackWithinGracePeriod(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.store.PutJSON("servers", "i-2", readyEntry(1))
	f.eventually(time.Second, "replicas", f.isAccepting("i-2"))
	f.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(2500 * time.Millisecond) // the feed ends and the next call fails
	f.store.Remove("servers", "i-1")
	f.store.Remove("servers", "i-2")
	f.store.SetFault(store.Fault{})
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		f.is.True(f.isAccepting("i-1")())
	}
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.eventually(4*time.Second, "second replica removed", f.isNotAccepting("i-2"))
	f.is.True(f.isAccepting("i-1")())
}

// Every entry lapses and comes back while a node cannot reach the store. The first
// answer afterwards holds both changes of each entry, in order. The replicas must
// take requests all the time, since the service is healthy.
func TestEntryLapsedAndBackInOneAnswer(t *testing.T) {
	f := newFixture(t)
	ids := []string{"i-1", "i-2", "i-3"}
	for _, id := range ids {
		f.store.PutJSON("servers", id, readyEntry(1))
	}
	f.eventually(time.Second, "replicas", f.isAccepting("i-3"))
	f.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(1500 * time.Millisecond)
	for _, id := range ids {
		f.store.Remove("servers", id)
	}
	for _, id := range ids {
		f.store.PutJSON("servers", id, readyEntry(1))
	}
	f.store.SetFault(store.Fault{})
	for range 35 {
		time.Sleep(100 * time.Millisecond)
		for _, id := range ids {
			f.is.True(f.isAccepting(id)())
		}
	}
}

// A replica removes its entry just after the store became reachable again. It is
// removed at once: the grace period for lapsed entries applies only to the first
// answer, otherwise new requests would go to the replica for two seconds.
func TestEntryRemovedAfterStoreRecovers(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.eventually(time.Second, "replica", f.isAccepting("i-1"))
	f.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(2500 * time.Millisecond)
	f.store.SetFault(store.Fault{})
	f.store.PutJSON("servers", "i-2", readyEntry(1))
	f.eventually(2*time.Second, "regained", f.isAccepting("i-2"))
	f.store.Remove("servers", "i-1")
	f.eventually(500*time.Millisecond, "removed", f.isNotAccepting("i-1"))
}

// Only this node is disconnected from the store for some seconds. One replica of
// four removes its entry just before the node reconnects, so that the entry
// disappears during a loss of the store. The replica is still removed at once,
// since the other three entries show that nothing lapsed.
func TestEntryRemovedWhileNodeIsDisconnected(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		f.store.PutJSON("servers", id, readyEntry(1))
	}
	f.eventually(time.Second, "replicas", f.isAccepting("i-4"))
	f.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(2500 * time.Millisecond)
	f.store.Remove("servers", "i-1")
	f.store.SetFault(store.Fault{})
	f.eventually(1200*time.Millisecond, "removed", f.isNotAccepting("i-1"))
	f.is.True(f.isAccepting("i-2")())
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.eventually(time.Second, "readmitted", f.isAccepting("i-1"))
}

// Guards against a replica that said in its answers that it leaves and is readmitted as its entry comes back.
func TestReplicaThatAnnouncedItsLeavingIsNotReadmitted(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.store.PutJSON("servers", "i-2", readyEntry(1))
	f.eventually(time.Second, "replicas", f.isAccepting("i-2"))
	f.is.True(f.upstreams.AnnounceLeaving(f.upstreams.Get("i-1")))
	f.store.Remove("servers", "i-1")
	f.store.Remove("servers", "i-2")
	f.eventually(time.Second, "removed", f.isNotAccepting("i-2"))
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.store.PutJSON("servers", "i-2", readyEntry(1))
	f.eventually(time.Second, "readmitted", f.isAccepting("i-2"))
	f.is.True(f.isNotAccepting("i-1")())
}

// The store drops its history, and a feed that is opened meanwhile receives no
// changes while a replica leaves. The node must learn of it soon afterwards.
func TestFeedOpenedWhileHistoryIsDropped(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.eventually(time.Second, "replica", f.isAccepting("i-1"))
	f.store.SetFault(store.Fault{
		SilentFeeds: true,
	})
	f.store.PutJSON("servers", "i-2", readyEntry(1)) // ends the feed that still receives changes
	time.Sleep(50 * time.Millisecond)
	f.store.SetFault(store.Fault{})
	f.store.PutJSON("servers", "i-1", drainingEntry(1))
	f.eventually(3*time.Second, "leaving", f.isNotAccepting("i-1"))
}

// The store has dropped the history from the feed's position, including a change.
// The full list is read, and replicas that it lacks are removed.
func TestHistoryDropped(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("servers", "i-1", readyEntry(1))
	f.store.PutJSON("servers", "i-2", readyEntry(1))
	f.eventually(time.Second, "replicas", f.isAccepting("i-2"))
	f.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(2500 * time.Millisecond)
	f.store.Remove("servers", "i-1")
	f.store.PutJSON("servers", "i-2", drainingEntry(1))
	f.store.DropHistory()
	f.store.SetFault(store.Fault{})
	f.eventually(2*time.Second, "leaving", f.isNotAccepting("i-2"))
	f.eventually(4*time.Second, "removed", f.isNotAccepting("i-1"))
}

// Another writer stores entries that cannot be parsed or lack fields. They add no
// replica, and the valid entries are applied.
func TestUnreadableEntries(t *testing.T) {
	f := newFixture(t)
	f.store.Put("servers", "i-0", []byte("\xff not json"))
	f.store.Put("servers", "i-3", []byte(`{"service":"svc","address":7,"zone":"here","state":"ready"}`))
	f.store.Put("servers", "i-4", []byte(`{"service":"svc","zone":"here","state":"ready"}`))
	f.store.Put("servers", "i-5", []byte(`{"service":"svc","address":"127.0.0.1:1","zone":"here","state":"odd"}`))
	f.store.PutJSON("servers", "i-9", readyEntry(1))
	f.eventually(time.Second, "replica", f.isAccepting("i-9"))
	f.is.Equal(len(f.upstreams.All()), 1)
}

// A draining replica is started again under the same ID. The new start takes
// requests, although the old one was leaving.
func TestNewStartUnderSameID(t *testing.T) {
	f := newFixture(t)
	f.store.PutJSON("servers", "i-1", drainingEntry(1))
	f.eventually(time.Second, "known", func() bool { return f.upstreams.Get("i-1") != nil })
	f.is.True(f.isNotAccepting("i-1")())
	f.store.PutJSON("servers", "i-1", readyEntry(2))
	f.eventually(time.Second, "new start", f.isAccepting("i-1"))
}

// orders collects the orders that a follower passes on.
type orders struct {
	mu  sync.Mutex
	all []zinniamast.RolloutOrder
}

func (o *orders) receive(order zinniamast.RolloutOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, order)
}

func (o *orders) newest() (newest zinniamast.RolloutOrder, count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.all) == 0 {
		return newest, 0
	}
	return o.all[len(o.all)-1], len(o.all)
}

// Guards against orders that are missed, told twice or not taken back when the history of the store is gone.
func TestOrdersAreFollowed(t *testing.T) {
	f := newFixture(t)
	f.store.Put("op", "config", []byte(`{"version":1}`))
	f.store.Put("op", "rollout/svc", []byte(`{"service":"svc","to":"v2","durationS":12}`))
	f.eventually(3*time.Second, "the order is known", func() bool {
		order, _ := f.orders.newest()
		return order.Version == "v2" && f.follower.OrdersKnownUntil() >= order.Revision
	})
	f.store.DropHistory()
	f.store.Put("op", "config", []byte(`{"version":2}`))
	f.eventually(5*time.Second, "the next configuration", func() bool {
		current := f.routes.Current()
		return current != nil && current.Version == 2
	})
	_, count := f.orders.newest()
	f.is.Equal(count, 1)
	f.store.Remove("op", "rollout/svc")
	f.store.DropHistory()
	f.eventually(5*time.Second, "the order is withdrawn", func() bool {
		order, _ := f.orders.newest()
		return order.IsWithdrawn
	})
}

// Guards against nodes that each receive and apply every heartbeat of every replica.
func TestHeartbeatsAreNotPassedOn(t *testing.T) {
	f := newFixture(t)
	f.store.Put("op", "config", []byte(`{"version":1}`))
	for i := range 50 {
		f.store.PutJSON("servers", fmt.Sprint("i-", i), readyEntry(1))
	}
	f.eventually(3*time.Second, "all replicas are known", func() bool { return len(f.upstreams.All()) == 50 })
	position := uint64(0)
	for _, row := range f.store.Rows("servers", "") {
		position = max(position, row.Ver)
	}
	for i := range 50 {
		f.store.PutJSON("servers", fmt.Sprint("i-", i), readyEntry(1)) // the same again
	}
	f.store.PutJSON("servers", "i-7", drainingEntry(1))
	f.eventually(3*time.Second, "the leaving replica is known", func() bool { return f.upstreams.Get("i-7").Leaving() })
	changes, err := f.follower.ReplicasAfter(t.Context(), position, 0)
	f.is.NoErr(err)
	f.is.Equal(len(changes.Changes), 1)
	f.is.Equal(changes.Changes[0].ID, "i-7")
}

// Guards against a configuration that travels again with every answer, and one that a peer misses.
func TestConfigurationIsPassedOnOnce(t *testing.T) {
	f := newFixture(t)
	f.store.Put("op", "config", []byte(`{"version":1}`))
	f.eventually(3*time.Second, "the configuration is known", func() bool { return f.routes.Current() != nil })
	first, err := f.follower.ConfigAfter(t.Context(), 0, time.Second)
	f.is.NoErr(err)
	f.is.Equal(first.Config.Version, int64(1))
	f.store.PutJSON("servers", "i-1", readyEntry(1)) // the position advances
	again, err := f.follower.ConfigAfter(t.Context(), first.Position, 0)
	f.is.NoErr(err)
	f.is.True(again.Config == nil)
	f.store.Put("op", "config", []byte(`{"version":2}`))
	f.eventually(3*time.Second, "the next configuration", func() bool { return f.routes.Current().Version == 2 })
	f.eventually(time.Second, "it is passed on", func() bool {
		next, err := f.follower.ConfigAfter(t.Context(), again.Position, 0)
		return err == nil && next.Config != nil && next.Config.Version == 2
	})
}

// Guards against a leaving replica that takes requests while the rest of a long list is applied.
func TestLeavingReplicaOfALongListNeverTakesRequests(t *testing.T) {
	f := newFixture(t)
	const count = 2000
	f.store.PutJSON("servers", "i-leaving", drainingEntry(1))
	for i := range count {
		f.store.PutJSON("servers", fmt.Sprint("j-", i), readyEntry(1))
	}
	for deadline := time.Now().Add(10 * time.Second); len(f.upstreams.Of("svc")) <= count && time.Now().Before(deadline); {
		if u := f.upstreams.Get("i-leaving"); u != nil {
			f.is.True(u.Leaving())
		}
	}
	f.is.Equal(len(f.upstreams.Of("svc")), count+1)
}
