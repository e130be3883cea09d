package throttle_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/throttle"
)

// hub delivers gossip items to all other nodes after a delay.
type hub struct {
	links []*link
	// published are all items so far.
	published []zinniamast.GossipItem
}

// link connects one node to the hub. It implements zinniamast.Gossip.
type link struct {
	hub     *hub
	receive func(zinniamast.GossipItem)
}

const gossipDelay = 200 * time.Millisecond

func (l *link) Publish(item zinniamast.GossipItem) {
	l.hub.published = append(l.hub.published, item)
	time.AfterFunc(gossipDelay, func() {
		for _, other := range l.hub.links {
			if other != l {
				other.receive(item)
			}
		}
	})
}

func (l *link) Subscribe(_ zinniamast.Topic, receive func(zinniamast.GossipItem)) {
	l.receive = receive
}

const service = "svc"

// newNodes returns nodes, the first of which is the owner of every replica, and the upstream
// that they share.
func newNodes(count int) ([]*throttle.Throttle, *blackboard.Upstreams, *blackboard.Upstream) {
	nodes, _, upstreams, upstream := newHubNodes(count)
	return nodes, upstreams, upstream
}

// newHubNodes is newNodes that also returns the nodes' hub.
func newHubNodes(count int) ([]*throttle.Throttle, *hub, *blackboard.Upstreams, *blackboard.Upstream) {
	upstreams := blackboard.NewUpstreams()
	upstream := newUpstream(time.UnixMilli(1))
	upstreams.Add(upstream)
	h := &hub{}
	var nodes []*throttle.Throttle
	for i := range count {
		l := &link{
			hub: h,
		}
		h.links = append(h.links, l)
		nodes = append(nodes, throttle.New(throttle.Config{
			Upstreams: upstreams,
			IsOwner:   func(string, string) bool { return i == 0 },
			Gossip:    l,
		}))
	}
	return nodes, h, upstreams, upstream
}

func newUpstream(started time.Time) *blackboard.Upstream {
	return &blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:            "i-1",
			Service:       service,
			FailureDomain: "here",
			Started:       started,
		},
	}
}

// limited is the feedback of a replica that names a rate limit; zero names none.
func limited(rate float64) zinniamast.Feedback {
	return zinniamast.Feedback{
		Condition: zinniamast.Condition{
			RateLimit: rate,
		},
	}
}

// maySend reports whether a node may send a request to the replica now.
func maySend(node *throttle.Throttle) bool {
	return len(node.Limited(service).Blocked) == 0
}

// Guards against a node that goes on sending because it, or the one that told it, is not the owner.
func TestOnlyOwnerSendsAndKeepsToLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes, _, upstream := newNodes(3)
		for _, node := range nodes {
			is.True(maySend(node))
		}
		nodes[1].Answered(upstream, time.Now(), limited(2))
		is.True(!maySend(nodes[1])) // at once, without the others
		time.Sleep(time.Second)
		is.True(!maySend(nodes[2]))
		sent := 0
		for range 1000 {
			if maySend(nodes[0]) {
				is.True(nodes[0].Begin(upstream))
				sent++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(sent >= 18 && sent <= 22) // two a second for 10 s, and a burst
	})
}

// Guards against a limit that outlasts the need of its replica, and one that an overtaken answer ends.
func TestLimitEndsWithAnswerToLaterRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes, _, upstream := newNodes(3)
		before := time.Now()
		time.Sleep(time.Second)
		nodes[0].Answered(upstream, time.Now(), limited(2))
		time.Sleep(time.Second)
		nodes[0].Answered(upstream, before, limited(0))
		is.True(!maySend(nodes[1]))
		nodes[0].Answered(upstream, time.Now(), limited(0))
		time.Sleep(time.Second)
		for _, node := range nodes {
			is.True(maySend(node))
		}
	})
}

// Guards against a limit whose end nobody learns because the owner sends its replica nothing.
func TestReplicaIsDueForRequestOfItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes, _, upstream := newNodes(2)
		due := func(node int) string { return nodes[node].Limited(service).Due }
		nodes[0].Answered(upstream, time.Now(), limited(2))
		time.Sleep(time.Second)
		is.Equal(due(0), "")
		time.Sleep(time.Second)
		is.Equal(due(0), upstream.Instance.ID)
		is.Equal(due(1), "")
		is.True(nodes[0].Begin(upstream))
		is.Equal(due(0), "")
	})
}

// Guards against a node that joins and hears of the end of a limit before it hears of its start.
func TestLaterReportsOfALimitGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes, hub, upstreams, upstream := newHubNodes(3)
		nodes[1].Answered(upstream, time.Now(), limited(2))
		time.Sleep(time.Second)
		nodes[0].Answered(upstream, time.Now(), limited(0))
		time.Sleep(time.Second)
		published := hub.published
		is.Equal(len(published), 2)
		for _, order := range [][]int{{0, 1}, {1, 0}} {
			l := &link{
				hub: hub,
			}
			joined := throttle.New(throttle.Config{
				Upstreams: upstreams,
				IsOwner:   func(string, string) bool { return false },
				Gossip:    l,
			})
			for _, i := range order {
				l.receive(published[i])
			}
			is.True(maySend(joined))
		}

		nodes[2].Answered(upstream, time.Now(), limited(3)) // in need again
		time.Sleep(time.Second)
		is.True(!maySend(nodes[1]))
	})
}

// Guards against a limit that is applied to another start of its replica.
func TestLimitBelongsToOneStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nodes, upstreams, upstream := newNodes(2)
		nodes[0].Answered(upstream, time.Now(), limited(2))
		time.Sleep(time.Second)
		is.True(!maySend(nodes[1]))
		upstreams.Remove(upstream.Instance.ID)
		upstreams.Add(newUpstream(time.UnixMilli(2)))
		is.True(maySend(nodes[1]))
	})
}

// Guards against two nodes that each use a replica's whole limit, and none that does.
func TestReplicaHasOneOwner(t *testing.T) {
	is := is.New(t)
	const domains = 3
	var instances []zinniamast.Instance
	members := map[string]*blackboard.Members{}
	for i := range 12 {
		domain := fmt.Sprint("domain-", i%domains)
		id := fmt.Sprint("node-", i)
		instances = append(instances, zinniamast.Instance{
			ID:            id,
			FailureDomain: domain,
		})
		if members[domain] == nil {
			members[domain] = blackboard.NewMembers()
		}
		members[domain].Update(id, func(m *blackboard.Member) bool {
			m.FailureDomain = domain
			return true
		})
	}
	owners := func(replica, domain string) (found []string) {
		for _, instance := range instances {
			o := throttle.Owners{
				Node:          instance.ID,
				FailureDomain: instance.FailureDomain,
				Members:       members[instance.FailureDomain],
				Instances:     func() []zinniamast.Instance { return instances },
			}
			if o.IsOwner(replica, domain) {
				found = append(found, instance.ID)
			}
		}
		return found
	}
	chosen := map[string]bool{}
	for i := range 100 {
		for _, domain := range []string{"domain-0", "domain-1", "a domain without nodes"} {
			found := owners(fmt.Sprint("i-", i), domain)
			is.Equal(len(found), 1)
			chosen[found[0]] = true
		}
	}
	is.Equal(len(chosen), 12) // the owners of many replicas are spread

	first := owners("i-1", "domain-0")[0]
	members["domain-0"].Update(first, func(m *blackboard.Member) bool {
		m.Dead = true
		return true
	})
	second := owners("i-1", "domain-0")
	is.Equal(len(second), 2) // the dead node itself, if it still runs, and its successor
	is.True(second[0] != second[1])
}
