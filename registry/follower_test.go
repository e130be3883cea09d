package registry_test

import (
	"context"
	"log/slog"
	"net/http"
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

// bed is a follower of a stand-in store.
type bed struct {
	t         *testing.T
	is        *is.I
	store     *store.Store
	routes    *routes.Table
	upstreams *blackboard.Upstreams
	follower  *registry.Follower
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{
		t:         t,
		is:        is.New(t),
		store:     store.New(),
		routes:    &routes.Table{},
		upstreams: blackboard.NewUpstreams(),
	}
	b.follower = registry.NewFollower(registry.FollowerConfig{
		Source:    platform.NewStore(b.store.Address()),
		Routes:    b.routes,
		Upstreams: b.upstreams,
		Build: func(id, address string) zinniamast.Replica {
			return plain.New(plain.Config{
				Upstream: id,
				Address:  "http://" + address,
			})
		},
		Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		b.store.Close()
	})
	return b
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

func ready(born int64) entry {
	return entry{
		Service: "svc",
		Address: "127.0.0.1:1",
		Zone:    "here",
		State:   "ready",
		Slots:   4,
		Born:    born,
	}
}

func draining(born int64) entry {
	e := ready(born)
	e.State = "draining"
	return e
}

// within waits until a condition holds.
func (b *bed) within(limit time.Duration, what string, holds func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			b.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// takesWork says whether a replica takes new work.
func (b *bed) takesWork(id string) func() bool {
	return func() bool {
		u := b.upstreams.Get(id)
		return u != nil && !u.Leaving()
	}
}

func (b *bed) takesNone(id string) func() bool {
	return func() bool { return !b.takesWork(id)() }
}

func (b *bed) version(number int64) func() bool {
	return func() bool {
		current := b.routes.Current()
		return current != nil && current.Version == number
	}
}

type configuration struct {
	Version int64 `json:"version"`
}

// An operator's change and a replica's leaving are known within a moment of
// the store's answer.
func TestFollows(t *testing.T) {
	b := newBed(t)
	b.store.PutJSON("op", "config", configuration{Version: 3})
	b.store.PutJSON("servers", "i-1", ready(1))
	b.within(time.Second, "configuration", b.version(3))
	b.within(time.Second, "replica", b.takesWork("i-1"))
	b.is.True(b.follower.Ready())
	b.store.PutJSON("op", "config", configuration{Version: 9})
	b.store.PutJSON("servers", "i-1", draining(1))
	b.within(time.Second, "new version", b.version(9))
	b.within(time.Second, "leaving", b.takesNone("i-1"))
}

// An older version is written by mistake, or a late answer brings one. What is
// in force stays.
func TestNeverGoesBack(t *testing.T) {
	b := newBed(t)
	b.store.PutJSON("op", "config", configuration{Version: 9})
	b.within(time.Second, "configuration", b.version(9))
	b.store.PutJSON("op", "config", configuration{Version: 4})
	b.store.PutJSON("servers", "i-1", ready(1))
	b.within(time.Second, "replica", b.takesWork("i-1"))
	time.Sleep(100 * time.Millisecond)
	b.is.True(b.version(9)())
}

// A replica never says that it leaves: its entry is removed. It is gone at
// once, while the store is well.
func TestRemovedIsGone(t *testing.T) {
	b := newBed(t)
	b.store.PutJSON("servers", "i-1", ready(1))
	b.within(time.Second, "replica", b.takesWork("i-1"))
	b.store.Remove("servers", "i-1")
	b.within(time.Second, "gone", b.takesNone("i-1"))
}

// The store is down and entries lapse. At its return one replica's entry comes
// back a second later, the other's never does: the first has taken work all
// the while, the second is gone after the grace.
func TestLapsedComesBack(t *testing.T) {
	b := newBed(t)
	b.store.PutJSON("servers", "i-1", ready(1))
	b.store.PutJSON("servers", "i-2", ready(1))
	b.within(time.Second, "replicas", b.takesWork("i-2"))
	b.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(2500 * time.Millisecond) // a feed ends and the next one fails
	b.store.Remove("servers", "i-1")
	b.store.Remove("servers", "i-2")
	b.store.SetFault(store.Fault{})
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		b.is.True(b.takesWork("i-1")())
	}
	b.store.PutJSON("servers", "i-1", ready(1))
	b.within(4*time.Second, "the second is gone", b.takesNone("i-2"))
	b.is.True(b.takesWork("i-1")())
}

// While a node hears nothing of the store, every entry lapses and comes back.
// Its first answer holds both changes of each, in order. The replicas take work
// all the while: a service that is well must not be gone.
func TestLapsedAndBackInOneAnswer(t *testing.T) {
	b := newBed(t)
	ids := []string{"i-1", "i-2", "i-3"}
	for _, id := range ids {
		b.store.PutJSON("servers", id, ready(1))
	}
	b.within(time.Second, "replicas", b.takesWork("i-3"))
	b.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(1500 * time.Millisecond)
	for _, id := range ids {
		b.store.Remove("servers", id)
	}
	for _, id := range ids {
		b.store.PutJSON("servers", id, ready(1))
	}
	b.store.SetFault(store.Fault{})
	for range 35 {
		time.Sleep(100 * time.Millisecond)
		for _, id := range ids {
			b.is.True(b.takesWork(id)())
		}
	}
}

// The store is regained, and a moment later a replica leaves by removing its
// entry. It is gone at once: the grace for lapsed entries is over with the
// first answer, or new work would go to it for two seconds.
func TestRemovedAfterTheReturnIsGone(t *testing.T) {
	b := newBed(t)
	b.store.PutJSON("servers", "i-1", ready(1))
	b.within(time.Second, "replica", b.takesWork("i-1"))
	b.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(2500 * time.Millisecond)
	b.store.SetFault(store.Fault{})
	b.store.PutJSON("servers", "i-2", ready(1))
	b.within(2*time.Second, "regained", b.takesWork("i-2"))
	b.store.Remove("servers", "i-1")
	b.within(500*time.Millisecond, "gone", b.takesNone("i-1"))
}

// A node is cut off from the store for some seconds; the store is well. One
// replica of four leaves by removing its entry just before the node is back.
// For the node it vanished during a loss of the store, and all the same it is
// gone at once: nothing lapsed, the other three stand.
func TestRemovedDuringTheNodesOwnCut(t *testing.T) {
	b := newBed(t)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		b.store.PutJSON("servers", id, ready(1))
	}
	b.within(time.Second, "replicas", b.takesWork("i-4"))
	b.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(2500 * time.Millisecond)
	b.store.Remove("servers", "i-1")
	b.store.SetFault(store.Fault{})
	b.within(1200*time.Millisecond, "gone", b.takesNone("i-1"))
	b.is.True(b.takesWork("i-2")())
	b.store.PutJSON("servers", "i-1", ready(1))
	b.within(time.Second, "back after all", b.takesWork("i-1"))
}

// The store drops its history, and a feed that is opened meanwhile hears
// nothing while a replica leaves. The node must hear of it soon after.
func TestDeafFeed(t *testing.T) {
	b := newBed(t)
	b.store.PutJSON("servers", "i-1", ready(1))
	b.within(time.Second, "replica", b.takesWork("i-1"))
	b.store.SetFault(store.Fault{
		DeafFeeds: true,
	})
	b.store.PutJSON("servers", "i-2", ready(1)) // ends the feed that still hears
	time.Sleep(50 * time.Millisecond)
	b.store.SetFault(store.Fault{})
	b.store.PutJSON("servers", "i-1", draining(1))
	b.within(3*time.Second, "leaving", b.takesNone("i-1"))
}

// The history that the feed asks for is gone, with a change in it. The whole
// list is read, and what it does not hold any more is gone.
func TestHistoryDropped(t *testing.T) {
	b := newBed(t)
	b.store.PutJSON("servers", "i-1", ready(1))
	b.store.PutJSON("servers", "i-2", ready(1))
	b.within(time.Second, "replicas", b.takesWork("i-2"))
	b.store.SetFault(store.Fault{
		Status: http.StatusServiceUnavailable,
	})
	time.Sleep(2500 * time.Millisecond)
	b.store.Remove("servers", "i-1")
	b.store.PutJSON("servers", "i-2", draining(1))
	b.store.DropHistory()
	b.store.SetFault(store.Fault{})
	b.within(2*time.Second, "leaving", b.takesNone("i-2"))
	b.within(4*time.Second, "gone", b.takesNone("i-1"))
}

// Another writer leaves entries that cannot be read or lack fields. They name
// no replica, and the others hold.
func TestUnreadableEntries(t *testing.T) {
	b := newBed(t)
	b.store.Put("servers", "i-0", []byte("\xff not json"))
	b.store.Put("servers", "i-3", []byte(`{"service":"svc","address":7,"zone":"here","state":"ready"}`))
	b.store.Put("servers", "i-4", []byte(`{"service":"svc","zone":"here","state":"ready"}`))
	b.store.Put("servers", "i-5", []byte(`{"service":"svc","address":"127.0.0.1:1","zone":"here","state":"odd"}`))
	b.store.PutJSON("servers", "i-9", ready(1))
	b.within(time.Second, "replica", b.takesWork("i-9"))
	b.is.Equal(len(b.upstreams.All()), 1)
}

// A replica that drains is started again under its ID. The new start takes
// work; what was known of the old one does not bar it.
func TestNewStartUnderOneID(t *testing.T) {
	b := newBed(t)
	b.store.PutJSON("servers", "i-1", draining(1))
	b.within(time.Second, "known", func() bool { return b.upstreams.Get("i-1") != nil })
	b.is.True(b.takesNone("i-1")())
	b.store.PutJSON("servers", "i-1", ready(2))
	b.within(time.Second, "new start", b.takesWork("i-1"))
}
