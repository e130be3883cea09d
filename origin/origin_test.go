package origin_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/origin"
	"zinniamast/roster"
)

// fleet is a fleet of directories that call each other in memory.
type fleet struct {
	check     *is.I
	upstreams *blackboard.Upstreams
	table     *memoryTable
	nodes     []*node
	// puts and finds count the calls between nodes.
	mu          sync.Mutex
	puts, finds int
}

// node is an instance of a fleet.
type node struct {
	*origin.Directory
	id     string
	stop   context.CancelFunc
	roster *roster.Roster
	// isGone means that no call reaches the node or leaves it, and isStale that it hears of no
	// new replicas.
	isGone, isStale atomic.Bool
	// hearsNothing means that no news of replicas come.
	hearsNothing atomic.Bool
}

var errGone = errors.New("instance is gone")

func newFleet(t *testing.T, size int, versions ...string) *fleet {
	f := &fleet{
		check:     is.New(t),
		upstreams: blackboard.NewUpstreams(),
		table: &memoryTable{
			items: map[zinniamast.Key]zinniamast.Item{},
		},
	}
	for i, version := range versions {
		f.addReplica(fmt.Sprint("i-", i), version)
	}
	var entries []roster.Entry
	for i := range size {
		entries = append(entries, roster.Entry{
			ID:            fmt.Sprint("edge-", i),
			FailureDomain: fmt.Sprint("domain-", i%4),
			Address:       fmt.Sprint(i),
		})
	}
	for _, entry := range entries {
		n := &node{
			id: entry.ID,
			roster: roster.New(roster.Config{
				ID:     entry.ID,
				Logger: slog.New(slog.DiscardHandler),
			}),
		}
		n.roster.Set(entries)
		f.nodes = append(f.nodes, n)
	}
	f.start(t, true)
	return f
}

// start starts a process of each node, after those before have been stopped.
func (f *fleet) start(t *testing.T, isFirstStart bool) {
	for _, n := range f.nodes {
		n.Directory = f.newDirectory(n, f.newVersions(isFirstStart))
	}
	for _, n := range f.nodes {
		ctx, stop := context.WithCancel(t.Context())
		n.stop = stop
		go n.Run(ctx)
	}
}

func (f *fleet) newVersions(isFirstStart bool) *origin.Versions {
	return origin.NewVersions(origin.VersionsConfig{
		Upstreams:    f.upstreams,
		Table:        f.table,
		IsFirstStart: func() bool { return isFirstStart },
		Check:        func(time.Duration) (uint64, error) { return 1, nil },
		Logger:       slog.New(slog.DiscardHandler),
	})
}

func (f *fleet) newDirectory(n *node, versions *origin.Versions) *origin.Directory {
	return origin.New(origin.Config{
		Upstreams: f.upstreams,
		Versions:  versions,
		Holders: func(stream string, count int) []zinniamast.Instance {
			isSelf := func(instance zinniamast.Instance) bool { return n == f.at(instance.Address) }
			others := slices.DeleteFunc(n.roster.Holders(stream, count+1), isSelf)
			return others[:min(count, len(others))]
		},
		Put: func(_ context.Context, address string, origins []origin.Origin) error {
			f.mu.Lock()
			f.puts++
			f.mu.Unlock()
			if n.isGone.Load() || f.at(address).isGone.Load() {
				return errGone
			}
			f.at(address).Hold(origins)
			return nil
		},
		Find: func(_ context.Context, address string, query origin.Query) (origin.Answer, error) {
			f.mu.Lock()
			f.finds++
			f.mu.Unlock()
			if f.at(address).isGone.Load() {
				return origin.Answer{}, errGone
			}
			return f.at(address).Answer(query), nil
		},
		IsFresh: func() bool { return !n.isStale.Load() },
		HeardAt: func() time.Time {
			if n.hearsNothing.Load() {
				return time.Time{}
			}
			return time.Now()
		},
		Table:    f.table,
		Instance: n.id,
		Logger:   slog.New(slog.DiscardHandler),
	})
}

// at returns the node with an address.
func (f *fleet) at(address string) *node {
	i := 0
	_, err := fmt.Sscan(address, &i)
	f.check.NoErr(err)
	return f.nodes[i]
}

func (f *fleet) addReplica(id, version string) {
	f.upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      id,
			Service: "svc",
			Version: version,
			Started: time.UnixMilli(1),
		},
	})
}

// find returns the version of a stream that a node finds; empty if it finds none.
func (f *fleet) find(n *node, stream string) string {
	version, ok := n.Find(context.Background(), "svc", stream)
	f.check.Equal(ok, version != "")
	return version
}

// putCount and findCount return the number of calls between nodes.
func (f *fleet) putCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.puts
}

func (f *fleet) findCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finds
}

// memoryTable is a table with one partition.
type memoryTable struct {
	mu     sync.Mutex
	items  map[zinniamast.Key]zinniamast.Item
	writes int
}

func (m *memoryTable) Get(_ context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if item, ok := m.items[key]; ok {
		return item, nil
	}
	return zinniamast.Item{}, zinniamast.ErrNotFound
}

func (m *memoryTable) Query(context.Context, string, string, int) ([]zinniamast.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []zinniamast.Item
	for _, item := range m.items {
		all = append(all, item)
	}
	return all, nil
}

func (m *memoryTable) Write(_ context.Context, writes []zinniamast.Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range writes {
		if m.items[w.Item.Key].Revision != w.Expect {
			return zinniamast.ErrConflict
		}
	}
	m.writes++
	for _, w := range writes {
		w.Item.Revision = w.Expect + 1
		m.items[w.Item.Key] = w.Item
	}
	return nil
}

// writeCount returns the number of successful writes.
func (m *memoryTable) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

// Guards against a stream whose version is lost with the instance that passed it on.
func TestOriginOutlastsItsInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1", "v2")
		first := f.nodes[0]
		first.Began("svc", "r-1", "v1")
		first.Began("svc", "r-2", "v2")
		time.Sleep(100 * time.Millisecond)
		first.isGone.Store(true)
		for _, n := range f.nodes[1:] {
			f.check.Equal(f.find(n, "r-1"), "v1")
			f.check.Equal(f.find(n, "r-2"), "v2")
		}
	})
}

// Guards against a stream that goes on at a version that was guessed.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1", "v2")
		f.nodes[0].Began("svc", "r-1", "v1")
		f.nodes[0].isGone.Store(true) // before the holders were told
		time.Sleep(100 * time.Millisecond)
		for _, n := range f.nodes[1:] {
			f.check.Equal(f.find(n, "r-1"), "")
		}
	})
}

// Guards against a cost for streams of a service that has one version and that do not break off, and against asking more than a few instances for one that does.
func TestOneVersionCostsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1", "v1")
		f.nodes[0].Began("svc", "r-1", "v1")
		f.nodes[0].Began("svc", "r-2", "v1")
		time.Sleep(time.Second)
		f.nodes[0].Ended("r-2")
		f.check.Equal(f.find(f.nodes[0], "r-1"), "v1")
		f.check.Equal(f.findCount(), 0)
		f.nodes[0].isGone.Store(true)
		f.check.Equal(f.find(f.nodes[1], "r-1"), "v1")
		f.check.Equal(f.putCount(), 0)
		f.check.True(f.findCount() <= 4)
	})
}

// Guards against streams that began before a rollout and whose version is not known in it.
func TestOriginsAreToldWhenARolloutBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1")
		first := f.nodes[0]
		first.Began("svc", "r-1", "v1")
		first.Began("svc", "r-2", "v1")
		first.Ended("r-2")
		time.Sleep(time.Second)
		f.addReplica("i-new", "v2")
		time.Sleep(time.Second)
		first.isGone.Store(true)
		f.check.Equal(f.find(f.nodes[1], "r-1"), "v1")
		f.check.True(f.putCount() <= 2)
	})
}

// Guards against a search that asks each of many instances.
func TestFewInstancesAreAskedForAnOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 370, "v1", "v2")
		f.nodes[0].Began("svc", "r-1", "v1")
		time.Sleep(100 * time.Millisecond)
		f.check.Equal(f.putCount(), 2)
		f.nodes[0].isGone.Store(true)
		f.check.Equal(f.find(f.nodes[200], "r-1"), "v1")
		f.check.True(f.findCount() <= 4)
	})
}

// Guards against an instance that takes the only version that it knows for that of each stream, although others know of a newer one.
func TestStaleInstanceAsksOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1", "v2")
		stale := f.nodes[1]
		stale.isStale.Store(true)
		upstreams := f.upstreams
		f.upstreams = blackboard.NewUpstreams()
		f.addReplica("i-0", "v1")
		stale.Directory = f.newDirectory(stale, f.newVersions(true))
		f.upstreams = upstreams
		f.nodes[0].Began("svc", "r-1", "v2")
		time.Sleep(100 * time.Millisecond)
		f.check.Equal(f.find(stale, "r-1"), "v2")
		f.check.Equal(f.find(stale, "r-unknown"), "")
	})
}

// outOfStep returns a node that has not heard of the replicas of version v2, which the others know.
func (f *fleet) outOfStep(n *node) *node {
	upstreams := f.upstreams
	f.upstreams = blackboard.NewUpstreams()
	f.addReplica("i-0", "v1")
	n.Directory = f.newDirectory(n, f.newVersions(true))
	f.upstreams = upstreams
	return n
}

// Guards against a stream of a new version that goes on at the old one at an instance that was cut off or stood still while the new one joined.
func TestInstanceOutOfStepDoesNotTakeItsVersionForTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1", "v2")
		behind := f.outOfStep(f.nodes[1])
		f.nodes[0].Began("svc", "r-1", "v2")
		f.nodes[2].Began("svc", "r-2", "v1")
		time.Sleep(100 * time.Millisecond)
		f.check.Equal(f.find(behind, "r-1"), "v2")
		f.check.Equal(f.find(behind, "r-2"), "v1")
		f.check.Equal(f.find(behind, "r-untold"), "")
		for _, n := range f.nodes {
			n.isGone.Store(n != behind)
		}
		behind.hearsNothing.Store(true)
		f.check.Equal(f.find(behind, "r-3"), "")
	})
}

// Guards against streams that end at an instance that alone is left, although the store tells it of all replicas.
func TestStreamsGoOnAtTheLastInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1")
		for _, n := range f.nodes[1:] {
			n.isGone.Store(true)
		}
		last := f.nodes[0]
		f.check.Equal(f.find(last, "r-1"), "v1")
		last.hearsNothing.Store(true)
		go func() {
			time.Sleep(time.Second)
			f.addReplica("i-new", "v2")
			last.hearsNothing.Store(false)
		}()
		f.check.Equal(f.find(last, "r-1"), "") // the news tell of another version
	})
}

// Guards against streams that end at an instance while a holder of their origins is gone, or has just started and knows no version.
func TestStreamsGoOnWhileHoldersAreGoneOrStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1")
		for i, n := range f.nodes[6:] {
			n.isGone.Store(i%2 == 0)
			if i%2 == 1 {
				n.Directory = f.newDirectory(n, f.newVersions(false))
			}
		}
		for i := range 20 {
			f.check.Equal(f.find(f.nodes[0], fmt.Sprint("r-", i)), "v1")
		}
	})
}

// Guards against streams that end in an outage of the store, in which no instance hears of new replicas.
func TestStreamsGoOnWhileNobodyHearsOfReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1")
		for _, n := range f.nodes {
			n.isStale.Store(true)
		}
		f.check.Equal(f.find(f.nodes[1], "r-1"), "v1")
	})
}

// Guards against streams that end although replicas of their version are there, after all instances have lost power.
func TestOriginsOutlastAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, "v1", "v2")
		for i, n := range f.nodes {
			n.Began("svc", fmt.Sprint("r-1-", i), "v1")
			n.Began("svc", fmt.Sprint("r-2-", i), "v2")
			n.Began("svc", fmt.Sprint("r-ended-", i), "v2")
			n.Ended(fmt.Sprint("r-ended-", i))
		}
		for round := range 3 {
			time.Sleep(2 * time.Second)
			for _, n := range f.nodes {
				n.stop()
			}
			synctest.Wait() // calls between the processes have ended
			f.start(t, false)
			time.Sleep(time.Second)
			f.nodes[0].Began("svc", fmt.Sprint("r-new-", round), "v2")
			for i := range f.nodes {
				taker := f.nodes[(i+1+round)%len(f.nodes)]
				f.check.Equal(f.find(taker, fmt.Sprint("r-1-", i)), "v1")
				f.check.Equal(f.find(taker, fmt.Sprint("r-2-", i)), "v2")
				f.check.Equal(f.find(taker, fmt.Sprint("r-ended-", i)), "")
			}
		}
		time.Sleep(2 * time.Minute)
		writes := f.table.writeCount()
		time.Sleep(time.Minute)
		f.check.Equal(f.table.writeCount(), writes) // nothing changes
	})
}

// Guards against a process that takes the version that it sees for the only one, although another one served before it started.
func TestVersionsBeforeTheStartAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "v1", "v2")
		writer := f.newVersions(true)
		go writer.Run(t.Context())
		go f.newDirectory(f.nodes[0], writer).Run(t.Context())
		time.Sleep(2 * time.Second)
		f.check.Equal(f.table.writeCount(), 1)
		f.upstreams.Remove("i-0")

		started := f.newVersions(false)
		isSole := func() bool {
			_, ok := started.Sole("svc")
			return ok
		}
		f.check.True(!isSole()) // not read yet
		f.check.NoErr(started.Read(t.Context()))
		f.check.True(!isSole()) // v1 has served until a moment ago
		time.Sleep(2 * time.Minute)
		started.Observe()
		version, ok := started.Sole("svc")
		f.check.True(ok)
		f.check.Equal(version, "v2")

		later := f.newVersions(false)
		f.check.NoErr(later.Read(t.Context()))
		version, ok = later.Sole("svc")
		f.check.True(ok)
		f.check.Equal(version, "v2")
		f.check.True(f.table.writeCount() <= 3)
	})
}

// Guards against a process that takes versions in the table that it cannot read for none.
func TestUnreadableVersionsAreNotTakenForNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "v2")
		f.check.NoErr(f.table.Write(t.Context(), []zinniamast.Write{{
			Item: zinniamast.Item{
				Key: zinniamast.Key{
					Partition: origin.Partition,
					Sort:      "svc",
				},
				Value: []byte("odd"),
			},
		}}))
		started := f.newVersions(false)
		f.check.NoErr(started.Read(t.Context()))
		_, ok := started.Sole("svc")
		f.check.True(!ok)
	})
}
