package capacity_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/capacity"
	"zinniamast/standin/platform"
)

// gossipBus delivers gossip between the meters of a test, but none between the
// isolated failure domain and the others.
type gossipBus struct {
	mu        sync.Mutex
	endpoints []*busEndpoint
	isolated  string
}

func (b *gossipBus) isolate(domain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isolated = domain
}

type busEndpoint struct {
	bus     *gossipBus
	node    string
	domain  string
	receive func(zinniamast.GossipItem)
}

func (e *busEndpoint) Subscribe(_ zinniamast.Topic, f func(zinniamast.GossipItem)) { e.receive = f }

func (e *busEndpoint) Publish(item zinniamast.GossipItem) {
	e.bus.mu.Lock()
	defer e.bus.mu.Unlock()
	item.Origin = e.node
	for _, other := range e.bus.endpoints {
		sameDomain := other.domain == e.domain
		if other.receive == nil || !sameDomain && (!item.AllDomains || e.domain == e.bus.isolated || other.domain == e.bus.isolated) {
			continue
		}
		other.receive(item)
	}
}

// Guards against a wrong sum of demand on any of nine nodes in three failure domains,
// each of which receives one sum from each other domain. While one domain is cut
// off, the others must keep its last sum and report incomplete rates, so that no
// instance is returned. When the node that publishes a domain's sum dies, the next
// one must take over.
func TestMeterSumsFleetDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &gossipBus{}
		members := blackboard.NewMembers()
		var meters []*capacity.Meter
		var stops []context.CancelFunc
		var running sync.WaitGroup
		for _, domain := range []string{"a", "b", "c"} {
			for _, n := range []string{"1", "2", "3"} {
				id := domain + n
				members.Update(id, func(member *blackboard.Member) bool {
					member.FailureDomain = domain
					return true
				})
				endpoint := &busEndpoint{
					bus:    b,
					node:   id,
					domain: domain,
				}
				b.endpoints = append(b.endpoints, endpoint)
				meter := capacity.NewMeter(capacity.MeterConfig{
					Gossip:        endpoint,
					Members:       members,
					Node:          id,
					FailureDomain: domain,
				})
				meters = append(meters, meter)
				ctx, cancel := context.WithCancel(context.Background())
				stops = append(stops, cancel)
				running.Go(func() { meter.Run(ctx) })
			}
		}
		count := func(seconds int) {
			for range seconds {
				time.Sleep(time.Second)
				for _, meter := range meters {
					meter.Add("draft", 100)
				}
			}
		}
		check := func(node int, complete bool) {
			rates, all := meters[node].Rates()
			is.Equal(all, complete)
			is.True(rates["draft"] > 800 && rates["draft"] < 1000)
		}
		count(46)
		for node := range meters {
			check(node, true)
		}
		b.isolate("c")
		count(120)
		check(0, false)
		b.isolate("")
		members.Update("b1", func(member *blackboard.Member) bool {
			member.Dead = true
			return true
		})
		b.mu.Lock()
		b.endpoints[3].receive = nil
		b.mu.Unlock()
		stops[3]()
		count(120)
		rates, all := meters[0].Rates()
		is.True(all)
		is.True(rates["draft"] > 700 && rates["draft"] < 900)
		for _, stop := range stops {
			stop()
		}
		running.Wait()
	})
}

// Guards against returning instances in use: a node that has just started takes over
// while a failure domain is cut off, so that it sees no demand.
func TestReturnsNothingOnIncompleteDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(platform.Config{})
		stop := s.startNode("one", s.platform.Cloud, s.platform.Table)
		time.Sleep(time.Hour)
		full := len(s.platform.Cloud.Live())
		stop()
		s.mu.Lock()
		s.units = 0
		s.complete = false
		s.mu.Unlock()
		stopNext := s.startNode("two", s.platform.Cloud, s.platform.Table)
		time.Sleep(time.Hour)
		is.Equal(len(s.platform.Cloud.Live()), full)
		s.mu.Lock()
		s.complete = true
		s.mu.Unlock()
		time.Sleep(time.Hour)
		is.True(len(s.platform.Cloud.Live()) < full)
		stopNext()
		s.running.Wait()
	})
}
