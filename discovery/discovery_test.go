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

// list is the platform's list with faults.
type list struct {
	instances []zinniamast.Instance
	err       error
	reads     int
}

func (l *list) List(context.Context) ([]zinniamast.Instance, error) {
	l.reads++
	return l.instances, l.err
}

// packed is a list whose client tells its size on the wire.
type packed struct {
	list
	bytes int64
}

func (p *packed) ListBytes() int64 { return p.bytes }

// gossip delivers to all nodes but the origin at once.
type gossip struct {
	id    string
	peers *[]*gossip
	subs  map[zinniamast.Topic]func(zinniamast.GossipItem)
	sent  int
}

func (g *gossip) Publish(news zinniamast.GossipItem) {
	g.sent++
	for _, peer := range *g.peers {
		if f := peer.subs[news.Topic]; peer != g && f != nil {
			f(news)
		}
	}
}

func (g *gossip) Subscribe(topic zinniamast.Topic, f func(zinniamast.GossipItem)) { g.subs[topic] = f }

type fixture struct {
	*discovery.Controller
	table  *blackboard.Upstreams
	list   *list
	gossip *gossip
}

func fixtures(count int) []*fixture {
	var peers []*gossip
	var all []*fixture
	for i := range count {
		f := &fixture{
			table: blackboard.NewUpstreams(),
			list:  &list{},
			gossip: &gossip{
				id:    fmt.Sprint(i),
				peers: &peers,
				subs:  map[zinniamast.Topic]func(zinniamast.GossipItem){},
			},
		}
		peers = append(peers, f.gossip)
		f.Controller = discovery.New(discovery.Config{
			Upstreams: f.table,
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

// The request path of one node meets a replica that refuses because it leaves.
// All nodes must mark it, told once by the one that saw it; lists that still
// show it alive must not bring it back, not even at a node that knew nothing
// of it before, while a new life under the same name is welcome.
func TestLeavingCountsAtOnceAndStays(t *testing.T) {
	check := is.New(t)
	nodes := fixtures(3)
	start := time.Unix(1000, 0)
	for _, node := range nodes {
		node.list.instances = instances(start, "a", "b")
	}
	nodes[0].Read(t.Context())
	nodes[1].Read(t.Context())
	nodes[0].table.MarkLeaving("a", time.Unix(2000, 0))
	check.True(nodes[1].table.Get("a").Leaving())
	check.Equal(nodes[1].table.Get("a").LeavesAt().Unix(), int64(2000))
	check.Equal(nodes[0].gossip.sent+nodes[1].gossip.sent+nodes[2].gossip.sent, 1)
	for _, node := range nodes {
		node.Read(t.Context())
	}
	check.True(nodes[0].table.Get("a").Leaving())
	check.True(nodes[2].table.Get("a") == nil)
	check.True(nodes[2].table.Get("b") != nil)
	nodes[1].ReportGone("a")
	for _, node := range nodes {
		node.Read(t.Context())
		check.True(node.table.Get("a") == nil)
	}
	// Whoever reads the new life first tells the others; their older lists
	// neither take it away nor bring the old one back.
	again := start.Add(time.Hour)
	for _, node := range nodes {
		node.list.instances = instances(again, "a", "b")
		node.Read(t.Context())
		for _, other := range nodes {
			check.True(!other.table.Get("a").Leaving())
			check.True(other.table.Get("a").Instance.Started.Equal(again))
		}
	}
	for _, node := range nodes {
		node.list.instances = instances(start, "a", "b")
		node.Read(t.Context())
		check.True(node.table.Get("a").Instance.Started.Equal(again))
	}
}

// The list is cut short, comes back empty or fails for minutes. The table must
// not empty: requests would be refused that the replicas could serve. One
// replica that stays out of full lists is gone after some seconds.
func TestListsThatLie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		node := fixtures(1)[0]
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
		check.Equal(len(node.table.All()), 6)
		read(full, nil, 1)
		read(full[:5], nil, 9)
		check.Equal(len(node.table.All()), 6)
		read(full[:5], nil, 3)
		check.Equal(len(node.table.All()), 5)
		read(full, nil, 1)
		check.Equal(len(node.table.All()), 5)
	})
}

// A new replica shows in one node's list while the others' turns to read are
// minutes away. They must take it in from the news, as one told once; but a
// life that left stays out, and a node that starts tells nobody of the fleet
// that it finds.
func TestOneNodeFindsWhatJoins(t *testing.T) {
	check := is.New(t)
	nodes := fixtures(3)
	start := time.Unix(1000, 0)
	nodes[0].list.instances = instances(start, "a", "b")
	nodes[0].Read(t.Context())
	check.Equal(nodes[0].gossip.sent, 0)
	nodes[2].table.Bar("c", start)
	nodes[0].list.instances = instances(start, "a", "b", "c")
	nodes[0].Read(t.Context())
	check.Equal(nodes[0].gossip.sent, 1)
	check.True(nodes[1].table.Get("c") != nil)
	check.True(nodes[2].table.Get("c") == nil)
	check.Equal(nodes[1].gossip.sent, 0)

	var many []string
	for i := range 100 {
		many = append(many, fmt.Sprint("more-", i))
	}
	nodes[0].list.instances = instances(start, many...)
	nodes[0].Read(t.Context())
	check.Equal(nodes[0].gossip.sent, 1)
	check.Equal(len(nodes[0].table.All()), 103)
}

// At 5,700 entries each reading is over a megabyte, or a tenth of that
// compressed. Read every few seconds it would cost a node many times what it
// may spend on control, so readings must grow apart with their size, for all
// that need the list together.
func TestReadingsGrowApartWithTheList(t *testing.T) {
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
			platform := &packed{
				list: list{
					instances: instances(time.Unix(1000, 0), ids...),
				},
				bytes: c.bytes,
			}
			var source zinniamast.InstanceList = platform
			if c.bytes == 0 {
				source = &platform.list
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
			check.True(paced.Pace() > 4*time.Second)
		})
	}
}
