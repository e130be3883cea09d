package membership_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/membership"
)

// liveMembers returns how many live members of its own domain a node knows, itself
// included.
func (n *node) liveMembers() int {
	living := 0
	for _, member := range n.table.All() {
		if member.FailureDomain == n.domain && !member.Dead {
			living++
		}
	}
	return living
}

func (n *node) entryOf(id string) blackboard.Member {
	member, _ := n.table.Get(id)
	return member
}

// waitUntil waits for a condition in virtual time and returns how long it elapsed, or -1.
func waitUntil(limit time.Duration, condition func() bool) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		if condition() {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return -1
}

func allOf(nodes []*node, condition func(*node) bool) func() bool {
	return func() bool {
		for _, n := range nodes {
			if !condition(n) {
				return false
			}
		}
		return true
	}
}

// A fault affects one node of a failure domain of eight, or the links around it.
// Requests of callers are routed by the member table, so a real death must be known to
// all nodes within 2 s. A false one must not spread, empty the table, or outlast its
// cause.
func TestFaultsInADomain(t *testing.T) {
	const victim = "node-003"
	cases := []struct {
		name string
		// inject starts the fault and returns the function that ends it.
		inject func(n *network) func()
		// isDeath means that the fault is a real death.
		isDeath bool
		// mayBeDead means that the victim may be recorded as dead while the fault lasts.
		mayBeDead bool
	}{
		{
			name:    "crash with refused connections",
			inject:  func(n *network) func() { n.crash(victim, false); return func() {} },
			isDeath: true,
		},
		{
			name:    "instance vanishes",
			inject:  func(n *network) func() { n.crash(victim, true); return func() {} },
			isDeath: true,
		},
		{
			name:   "pause of a second",
			inject: func(n *network) func() { resume := n.pause(victim); time.Sleep(time.Second); return resume },
		},
		{
			name:      "pause of five seconds",
			inject:    func(n *network) func() { resume := n.pause(victim); time.Sleep(5 * time.Second); return resume },
			mayBeDead: true,
		},
		{
			name: "link between two nodes cut both ways",
			inject: func(n *network) func() {
				n.update(func() {
					n.cut[[2]string{victim, "node-002"}] = true
					n.cut[[2]string{"node-002", victim}] = true
				})
				time.Sleep(20 * time.Second)
				return func() { n.update(func() { clear(n.cut) }) }
			},
		},
		{
			name: "one way cut between two nodes",
			inject: func(n *network) func() {
				n.update(func() { n.cut[[2]string{"node-002", victim}] = true })
				time.Sleep(20 * time.Second)
				return func() { n.update(func() { clear(n.cut) }) }
			},
		},
		{
			name: "nothing reaches the node but it still sends",
			inject: func(n *network) func() {
				n.update(func() {
					for id := range n.nodes {
						n.cut[[2]string{id, victim}] = true
					}
				})
				time.Sleep(20 * time.Second)
				return func() { n.update(func() { clear(n.cut) }) }
			},
			mayBeDead: true,
		},
		{
			name: "round trips of a second",
			inject: func(n *network) func() {
				n.update(func() { n.extraDelay[victim] = 500 * time.Millisecond })
				time.Sleep(20 * time.Second)
				return func() { n.update(func() { clear(n.extraDelay) }) }
			},
		},
		{
			name: "one message in ten lost",
			inject: func(n *network) func() {
				n.update(func() { n.lossRate = 0.1 })
				time.Sleep(20 * time.Second)
				return func() { n.update(func() { n.lossRate = 0 }) }
			},
			mayBeDead: true,
		},
		{
			name: "domain cut in halves",
			inject: func(n *network) func() {
				n.update(func() {
					for a := range n.nodes {
						for b := range n.nodes {
							if (a < "node-004") != (b < "node-004") {
								n.cut[[2]string{a, b}] = true
							}
						}
					}
				})
				time.Sleep(time.Minute)
				return func() { n.update(func() { clear(n.cut) }) }
			},
			mayBeDead: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				n := newNetwork()
				nodes := n.fleet(t, 8, 1)
				for _, each := range nodes {
					check.Equal(each.liveMembers(), 8)
				}
				others := append(append([]*node{}, nodes[:3]...), nodes[4:]...)
				if c.isDeath {
					c.inject(n)
					elapsed := waitUntil(5*time.Second, allOf(others, func(n *node) bool { return n.entryOf(victim).Dead }))
					t.Logf("known dead everywhere after %v", elapsed)
					check.True(elapsed > 0 && elapsed < 2*time.Second)
					time.Sleep(time.Minute)
					for _, each := range others {
						check.Equal(each.liveMembers(), 7)
					}
					return
				}
				end := c.inject(n)
				for _, each := range others {
					check.True(c.mayBeDead || !each.entryOf(victim).Dead)
					check.Equal(len(each.table.All()), 8)
				}
				// A node that receives no messages keeps its table.
				if c.name == "nothing reaches the node but it still sends" {
					check.Equal(nodes[3].liveMembers(), 8)
					check.True(nodes[3].Isolated())
				}
				end()
				elapsed := waitUntil(40*time.Second, allOf(nodes, func(n *node) bool { return n.liveMembers() == 8 }))
				t.Logf("all members known again after %v", elapsed)
				check.True(elapsed >= 0)
			})
		})
	}
}

// Seven of 26 nodes vanish at once, as if a rack failed, among them neighbours on the
// ring that monitored each other. The others must detect all seven deaths soon and must
// not declare each other dead.
func TestRackFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		n := newNetwork()
		nodes := n.fleet(t, 26, 1)
		for _, victim := range nodes[8:15] {
			n.crash(victim.id, true)
		}
		others := append(append([]*node{}, nodes[:8]...), nodes[15:]...)
		elapsed := waitUntil(10*time.Second, allOf(others, func(n *node) bool { return n.liveMembers() == 19 }))
		t.Logf("seven deaths known to all after %v", elapsed)
		check.True(elapsed > 0 && elapsed < 2*time.Second)
		for range 100 {
			check.True(allOf(others, func(n *node) bool { return n.liveMembers() == 19 })())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// A failure domain is lost with all its nodes. The other domain retains it for a while,
// because it may only be partitioned, and then removes it, because configuration changes
// would wait for it.
func TestLostDomainIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		n := newNetwork()
		nodes := n.fleet(t, 4, 2)
		n.crash(nodes[1].id, true)
		n.crash(nodes[3].id, true)
		time.Sleep(30 * time.Minute)
		check.Equal(len(nodes[0].Domains()), 1)
		time.Sleep(31 * time.Minute)
		check.Equal(len(nodes[0].Domains()), 0)
		check.Equal(len(nodes[0].table.All()), 2)
		n.start(t, "again", "domain-01", nodes[0].id)
		check.True(waitUntil(time.Minute, func() bool { return len(nodes[2].Domains()) == 1 }) >= 0)
	})
}

// A node shuts down as planned: it first takes no new requests, then stops. Both must be
// known in its failure domain within 2 s, and neither an old seed list nor the outdated
// table of another node may bring it back.
func TestPlannedDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		n := newNetwork()
		nodes := n.fleet(t, 9, 1)
		cutOff := nodes[8]
		n.update(func() {
			for id := range n.nodes {
				n.cut[[2]string{id, cutOff.id}] = true
				n.cut[[2]string{cutOff.id, id}] = true
			}
		})
		leaver, others := nodes[3], append(append([]*node{}, nodes[:3]...), nodes[4:8]...)
		leaver.AnnounceLeaving()
		elapsed := waitUntil(2*time.Second, allOf(others, func(n *node) bool { return n.entryOf(leaver.id).Leaving }))
		t.Logf("leaving known after %v", elapsed)
		check.True(elapsed >= 0)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		leaver.AnnounceDeparture(ctx)
		cancel()
		check.True(allOf(others, func(n *node) bool { return n.entryOf(leaver.id).Dead })())
		n.crash(leaver.id, false)
		// The partitioned node returns with its outdated table.
		n.update(func() { clear(n.cut) })
		time.Sleep(30 * time.Second)
		for _, each := range append(others, cutOff) {
			check.True(each.entryOf(leaver.id).Dead)
			check.Equal(each.liveMembers(), 8)
		}
		// A node with the same ID starts on a clock that is behind.
		restarted := n.start(t, leaver.id, leaver.domain, "node-001")
		elapsed = waitUntil(10*time.Second, allOf(others, func(n *node) bool { return n.liveMembers() == 9 }))
		check.True(elapsed >= 0)
		check.Equal(restarted.liveMembers(), 9)
	})
}

// A seed of a joining node is dead, and the first answer comes from another failure
// domain. The node must still find all members of its own.
func TestJoinThroughAnotherDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		n := newNetwork()
		nodes := n.fleet(t, 9, 3)
		joiner := n.start(t, "late", "domain-01", "nobody", "node-002")
		elapsed := waitUntil(10*time.Second, func() bool { return joiner.liveMembers() == 4 })
		t.Logf("joined after %v", elapsed)
		check.True(elapsed >= 0)
		check.Equal(len(joiner.Domains()), 2)
		check.True(joiner.Joined())
		elapsed = waitUntil(10*time.Second, func() bool { return nodes[1].liveMembers() == 4 && nodes[4].liveMembers() == 4 })
		check.True(elapsed >= 0)
		check.True(joiner.entryOf("node-000").FailureDomain == "domain-00")
	})
}

// All nodes start at once and the seeds last, so the seeds do not answer at first. A
// node that meets a node of another failure domain on the instance list knows no member
// of its own. When such nodes counted as joined, they stayed separate for half a minute:
// each followed the store on its own, and gossip of one reached none of the others.
func TestSimultaneousStartWithLateSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newNetwork()
		network.listedFrom = time.Now().Add(time.Second)
		var all []*node
		for i := range 24 {
			name := fmt.Sprintf("node-%03d", 23-i)
			all = append(all, network.start(t, name, fmt.Sprintf("domain-%02d", i%4), "node-000", "node-001", "node-002"))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		for _, n := range all {
			known := 0
			for _, member := range n.table.All() {
				if member.FailureDomain == n.domain && !member.Dead {
					known++
				}
			}
			is.Equal(known, 6) // every node of its own domain, itself included
		}
	})
}

// Gossip about a leaving upstream must reach every node of the failure domain well
// within 2 s, also if its origin dies at once, and the other domains if it is wide. Each
// node receives it once, and a node that joins later receives it until it expires.
func TestGossip(t *testing.T) {
	for _, size := range []struct{ nodes, domains int }{{nodes: 12, domains: 3}, {nodes: 60, domains: 1}} {
		t.Run(fmt.Sprint(size.nodes, "nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				n := newNetwork()
				nodes := n.fleet(t, size.nodes, size.domains)
				received := map[string]int{}
				for _, each := range nodes {
					each.Subscribe(zinniamast.TopicUpstreamLeaving, func(zinniamast.GossipItem) {
						n.update(func() { received[each.id]++ })
					})
				}
				nodes[5].Publish(zinniamast.GossipItem{
					Topic:      zinniamast.TopicUpstreamLeaving,
					Key:        "replica",
					Expires:    time.Now().Add(time.Minute),
					AllDomains: true,
				})
				count := func() int { n.mu.Lock(); defer n.mu.Unlock(); return len(received) }
				elapsed := waitUntil(2*time.Second, func() bool { return count() == size.nodes-1 })
				t.Logf("received by all of %d nodes in %d domains after %v", size.nodes, size.domains, elapsed)
				check.True(elapsed >= 0)
				lateNode := n.start(t, "late", nodes[5].domain, nodes[5].id)
				lateNode.Subscribe(zinniamast.TopicUpstreamLeaving, func(zinniamast.GossipItem) {
					n.update(func() { received["late"]++ })
				})
				time.Sleep(20 * time.Second)
				n.update(func() {
					check.Equal(received["late"], 1)
					for id, times := range received {
						check.True(times == 1 || id == "late")
					}
				})
			})
		})
	}
}

// The push of a newer configuration reached one node only. The comparison of versions in
// the heartbeats must make all others fetch it, in every failure domain.
func TestNewerConfigurationIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		n := newNetwork()
		nodes := n.fleet(t, 6, 2)
		nodes[0].version.Store(7)
		elapsed := waitUntil(20*time.Second, allOf(nodes, func(n *node) bool { return n.version.Load() == 7 }))
		t.Logf("newer version fetched by all after %v", elapsed)
		check.True(elapsed >= 0)
	})
}

// Control traffic per node must not grow with the fleet. The test measures messages and
// bytes per node, sent and received, when idle and with bulk gossip from every node each
// second, and then the time until a silent death is known.
func TestTrafficIsBounded(t *testing.T) {
	sizes := []struct{ nodes, domains int }{
		{nodes: 9, domains: 4}, {nodes: 30, domains: 4}, {nodes: 100, domains: 4}, {nodes: 370, domains: 14}, {nodes: 80, domains: 1},
	}
	for _, size := range sizes {
		if testing.Short() && size.nodes > 30 {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes in %d domains", size.nodes, size.domains), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				fleet := n.fleet(t, size.nodes, size.domains)
				time.Sleep(20 * time.Second)
				logHeap(t, size.nodes)
				n.measureTraffic(t, fleet, false)
				n.measureTraffic(t, fleet, true)
				n.measureDetection(t, fleet)
			})
		})
	}
}

// logHeap logs the heap per node, including the fake network.
func logHeap(t *testing.T, nodes int) {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	t.Logf("heap %d KiB per node", stats.HeapAlloc/uint64(nodes)/1024)
}

// measureTraffic logs the traffic of some seconds and checks it against the budget.
func (n *network) measureTraffic(t *testing.T, fleet []*node, bulk bool) {
	const budgetBytesPerSecond = 7000
	const seconds = 10
	n.update(func() {
		clear(n.bytes)
		clear(n.messages)
	})
	for range seconds {
		for i, each := range fleet {
			if bulk {
				each.Publish(zinniamast.GossipItem{
					Topic:   zinniamast.TopicLoad,
					Key:     fmt.Sprint(i),
					Value:   make([]byte, 100),
					Expires: time.Now().Add(20 * time.Second),
				})
			}
		}
		time.Sleep(time.Second)
	}
	n.update(func() {
		worst, sum, messages := 0, 0, 0
		for id, size := range n.bytes {
			worst = max(worst, size)
			sum += size
			messages += n.messages[id]
		}
		perNode := float64(len(fleet) * seconds)
		t.Logf("bulk %v: mean %.0f B/s, worst %.0f B/s, %.1f messages/s sent per node",
			bulk, float64(sum)/perNode, float64(worst)/seconds, float64(messages)/perNode)
		is.New(t).True(float64(worst)/seconds < budgetBytesPerSecond)
	})
}

// measureDetection crashes one node silently and measures the time until its domain
// knows.
func (n *network) measureDetection(t *testing.T, fleet []*node) {
	victim := fleet[len(fleet)-1]
	var neighbours []*node
	for _, each := range fleet {
		if each.domain == victim.domain && each != victim {
			neighbours = append(neighbours, each)
		}
	}
	n.crash(victim.id, true)
	elapsed := waitUntil(5*time.Second, allOf(neighbours, func(n *node) bool { return n.entryOf(victim.id).Dead }))
	t.Logf("silent death known to %d neighbours after %v", len(neighbours), elapsed)
	is.New(t).True(elapsed > 0 && elapsed < 2*time.Second)
}

var _ membership.Transport = nodeTransport{}
