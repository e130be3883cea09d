package discovery_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/discovery"
)

// listStub is an instance list that can return partial lists and errors.
type listStub struct {
	instances []zinniamast.Instance
	err       error
	reads     int
}

func (l *listStub) List(context.Context) ([]zinniamast.Instance, error) {
	l.reads++
	return l.instances, l.err
}

// sizedListStub is a list whose client reports its size on the wire.
type sizedListStub struct {
	listStub
	bytes int64
}

func (p *sizedListStub) ListBytes() int64 { return p.bytes }

// gossipStub delivers at once to all nodes but the origin.
type gossipStub struct {
	id          string
	peers       *[]*gossipStub
	subscribers map[zinniamast.Topic]func(zinniamast.GossipItem)
	published   int
}

func (g *gossipStub) Publish(item zinniamast.GossipItem) {
	g.published++
	for _, peer := range *g.peers {
		if f := peer.subscribers[item.Topic]; peer != g && f != nil {
			f(item)
		}
	}
}

func (g *gossipStub) Subscribe(topic zinniamast.Topic, f func(zinniamast.GossipItem)) {
	g.subscribers[topic] = f
}

type fixture struct {
	*discovery.Controller
	upstreams *blackboard.Upstreams
	list      *listStub
	gossip    *gossipStub
}

func newFixtures(count int) []*fixture {
	var peers []*gossipStub
	var all []*fixture
	for i := range count {
		f := &fixture{
			upstreams: blackboard.NewUpstreams(),
			list:      &listStub{},
			gossip: &gossipStub{
				id:          fmt.Sprint(i),
				peers:       &peers,
				subscribers: map[zinniamast.Topic]func(zinniamast.GossipItem){},
			},
		}
		peers = append(peers, f.gossip)
		f.Controller = discovery.New(discovery.Config{
			Upstreams: f.upstreams,
			Members:   blackboard.NewMembers(),
			List:      discovery.NewPacedList(f.list),
			Gossip:    f.gossip,
			Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
			Build: func(instance zinniamast.Instance) *blackboard.Upstream {
				return &blackboard.Upstream{
					Instance: instance,
				}
			},
		})
		all = append(all, f)
	}
	return all
}

func instances(started time.Time, ids ...string) []zinniamast.Instance {
	var all []zinniamast.Instance
	for _, id := range ids {
		all = append(all, zinniamast.Instance{
			ID:      id,
			Role:    "engine",
			Service: "model",
			Started: started,
		})
	}
	return all
}

// The request path of one node finds that a replica refuses requests because it
// is leaving. All nodes must mark it, and the report is published once. Lists
// that still show the replica as running must not bring it back, not even on a
// node that did not know it before. A later start of the same instance must be
// added.
func TestLeavingIsSharedAndPersists(t *testing.T) {
	check := is.New(t)
	nodes := newFixtures(3)
	start := time.Unix(1000, 0)
	for _, node := range nodes {
		node.list.instances = instances(start, "a", "b")
	}
	nodes[0].Read(t.Context())
	nodes[1].Read(t.Context())
	nodes[0].upstreams.MarkLeaving("a", time.Unix(2000, 0))
	check.True(nodes[1].upstreams.Get("a").Leaving())
	check.Equal(nodes[1].upstreams.Get("a").LeavesAt().Unix(), int64(2000))
	check.Equal(nodes[0].gossip.published+nodes[1].gossip.published+nodes[2].gossip.published, 1)
	for _, node := range nodes {
		node.Read(t.Context())
	}
	check.True(nodes[0].upstreams.Get("a").Leaving())
	check.True(nodes[2].upstreams.Get("a") == nil)
	check.True(nodes[2].upstreams.Get("b") != nil)
	nodes[1].ReportGone("a")
	for _, node := range nodes {
		node.Read(t.Context())
		check.True(node.upstreams.Get("a") == nil)
	}
	// The first node to list the new start informs the others; their older
	// lists must neither remove it nor restore the previous start.
	restarted := start.Add(time.Hour)
	for _, node := range nodes {
		node.list.instances = instances(restarted, "a", "b")
		node.Read(t.Context())
		for _, other := range nodes {
			check.True(!other.upstreams.Get("a").Leaving())
			check.True(other.upstreams.Get("a").Instance.Started.Equal(restarted))
		}
	}
	for _, node := range nodes {
		node.list.instances = instances(start, "a", "b")
		node.Read(t.Context())
		check.True(node.upstreams.Get("a").Instance.Started.Equal(restarted))
	}
}

// The list is truncated, empty or unavailable for minutes. The table must not
// become empty, or requests would be refused that the replicas could serve. One
// replica missing from otherwise complete lists must be removed after some
// seconds.
func TestIncompleteLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		node := newFixtures(1)[0]
		full := instances(time.Unix(1000, 0), "a", "b", "c", "d", "e", "f")
		read := func(instances []zinniamast.Instance, err error, times int) {
			node.list.instances, node.list.err = instances, err
			for range times {
				node.Read(t.Context())
				time.Sleep(time.Second)
			}
		}
		read(full, nil, 1)
		read(nil, nil, 300)
		read(nil, errors.New("down"), 300)
		read(full[:1], nil, 50)
		check.Equal(len(node.upstreams.All()), 6)
		read(full, nil, 1)
		read(full[:5], nil, 9)
		check.Equal(len(node.upstreams.All()), 6)
		read(full[:5], nil, 3)
		check.Equal(len(node.upstreams.All()), 5)
		read(full, nil, 1)
		check.Equal(len(node.upstreams.All()), 5)
	})
}

// A new replica appears in the list of one node while the next reads of the
// others are minutes away. They must add it from a report published once. A
// replica barred after leaving must not be added, and a node that starts must
// not publish the fleet that it finds.
func TestJoinsAreSharedByGossip(t *testing.T) {
	check := is.New(t)
	nodes := newFixtures(3)
	start := time.Unix(1000, 0)
	nodes[0].list.instances = instances(start, "a", "b")
	nodes[0].Read(t.Context())
	check.Equal(nodes[0].gossip.published, 0)
	nodes[2].upstreams.Bar("c", start)
	nodes[0].list.instances = instances(start, "a", "b", "c")
	nodes[0].Read(t.Context())
	check.Equal(nodes[0].gossip.published, 1)
	check.True(nodes[1].upstreams.Get("c") != nil)
	check.True(nodes[2].upstreams.Get("c") == nil)
	check.Equal(nodes[1].gossip.published, 0)

	var many []string
	for i := range 100 {
		many = append(many, fmt.Sprint("more-", i))
	}
	nodes[0].list.instances = instances(start, many...)
	nodes[0].Read(t.Context())
	check.Equal(nodes[0].gossip.published, 1)
	check.Equal(len(nodes[0].upstreams.All()), 103)
}

// At 5,700 entries each read is over a megabyte, or a tenth of that compressed.
// Reads every few seconds would exceed a node's budget for control traffic many
// times over, so the interval between reads must grow with the size, for all
// users of the list together.
func TestReadIntervalGrowsWithListSize(t *testing.T) {
	cases := []struct {
		entries int
		bytes   int64
		reads   int
	}{
		{entries: 17, reads: 1 + 600/5},
		{entries: 5700, reads: 1 + 600/300},
		{entries: 5700, bytes: 100_000, reads: 1 + 600/100},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			check := is.New(t)
			var ids []string
			for i := range c.entries {
				ids = append(ids, fmt.Sprint(i))
			}
			platform := &sizedListStub{
				listStub: listStub{
					instances: instances(time.Unix(1000, 0), ids...),
				},
				bytes: c.bytes,
			}
			var source zinniamast.InstanceList = platform
			if c.bytes == 0 {
				source = &platform.listStub
			}
			paced := discovery.NewPacedList(source)
			for range 600 {
				for range 2 {
					shown, err := paced.List(t.Context())
					check.NoErr(err)
					check.Equal(len(shown), c.entries)
				}
				time.Sleep(time.Second)
			}
			check.True(platform.reads <= c.reads)
			check.True(2*platform.reads >= c.reads)
			paced.Read(t.Context())
			check.True(paced.Interval() > 4*time.Second)
		})
	}
}
