package membership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
)

// retriedContactTime is the time after which a node whose exchanges were lost in a partition is
// again in contact; an exchange times out after 3 s.
const retriedContactTime = 2 * time.Second

// isolate cuts a node off from all others, or ends that.
func (n *network) isolate(id string, isCut bool) {
	n.update(func() {
		for other := range n.nodes {
			n.cut[[2]string{id, other}] = isCut
			n.cut[[2]string{other, id}] = isCut
		}
	})
}

// waitForExchanges waits until a node has started an exchange with each of some others.
func (n *network) waitForExchanges(t *testing.T, from string, to ...string) {
	t.Helper()
	n.update(func() { clear(n.exchanges) })
	isStarted := func() (all bool) {
		n.update(func() {
			all = true
			for _, id := range to {
				all = all && n.exchanges[[2]string{from, id}] > 0
			}
		})
		return all
	}
	for start := time.Now(); !isStarted(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("no exchanges from %s with %v", from, to)
		}
	}
}

func heldRequest() zinniamast.GossipItem {
	return zinniamast.GossipItem{
		Topic:      zinniamast.TopicQuarantine,
		Key:        "held",
		Value:      make([]byte, 8),
		Expires:    time.Now().Add(10 * time.Minute),
		AllDomains: true,
	}
}

// Guards against a node without contact after a partition in which its exchanges with all members were lost just before the end.
func TestLostExchangesDoNotDelayContact(t *testing.T) {
	for publisher := range 4 {
		t.Run(fmt.Sprint("publisher ", publisher), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				nodes := n.fleet(t, 8, 2)
				cut := nodes[6]
				received := 0
				cut.Subscribe(zinniamast.TopicQuarantine, func(zinniamast.GossipItem) { n.update(func() { received++ }) })
				n.isolate(cut.id, true)
				time.Sleep(5 * time.Second)
				nodes[publisher].Publish(heldRequest())
				// While messages are refused none hangs, so the next heartbeat reaches out to all members at once.
				n.update(func() { n.refused[cut.id] = true })
				time.Sleep(5 * time.Second)
				n.update(func() { clear(n.refused) })
				n.waitForExchanges(t, cut.id, nodes[0].id, nodes[2].id, nodes[4].id)
				n.crash(nodes[publisher].id, false)
				n.update(func() { clear(n.cut) })
				time.Sleep(retriedContactTime)
				n.update(func() { is.New(t).Equal(received, 1) })
			})
		})
	}
}

// Guards against urgent news that wait until the exchanges time out that carried them during a partition.
func TestNewsInLostExchangesIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := n.fleet(t, 8, 1)
		cut := nodes[6]
		received := map[string]int{}
		var others []string
		for i, each := range nodes {
			if i != 6 {
				others = append(others, each.id)
				each.Subscribe(zinniamast.TopicQuarantine, func(zinniamast.GossipItem) { n.update(func() { received[each.id]++ }) })
			}
		}
		n.isolate(cut.id, true)
		time.Sleep(5 * time.Second)
		n.update(func() { n.refused[cut.id] = true })
		time.Sleep(5 * time.Second)
		cut.Publish(heldRequest())
		n.update(func() { clear(n.refused) })
		n.waitForExchanges(t, cut.id, others...)
		n.update(func() { clear(n.cut) })
		time.Sleep(retriedContactTime)
		n.update(func() {
			for _, id := range others {
				is.New(t).Equal(received[id], 1)
			}
		})
	})
}

// Guards against urgent news that wait for an exchange with another domain that was lost in a partition.
func TestLostExchangesDoNotDelayOtherDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var nodes []*node
		for i, domain := range []string{"domain-00", "domain-01", "domain-01", "domain-01"} {
			nodes = append(nodes, n.start(t, fmt.Sprintf("node-%03d", i), domain, "node-000", "node-001"))
		}
		time.Sleep(20 * time.Second)
		received := map[string]int{}
		for _, each := range nodes[1:] {
			each.Subscribe(zinniamast.TopicQuarantine, func(zinniamast.GossipItem) { n.update(func() { received[each.id]++ }) })
		}
		lone := nodes[0]
		n.isolate(lone.id, true)
		time.Sleep(8 * time.Second)
		n.update(func() { clear(n.exchanges) })
		isStarted := func() (started bool) {
			n.update(func() { started = len(n.exchangesFrom(lone.id)) > 0 })
			return started
		}
		is.New(t).True(waitUntil(10*time.Second, isStarted) >= 0)
		n.isolate(lone.id, false)
		lone.Publish(heldRequest())
		time.Sleep(retriedContactTime)
		n.update(func() {
			for _, each := range nodes[1:] {
				is.New(t).Equal(received[each.id], 1)
			}
		})
	})
}

// exchangesFrom returns how many exchanges a node has started, by receiver; the caller holds the lock.
func (n *network) exchangesFrom(id string) map[string]int {
	counts := map[string]int{}
	for pair, count := range n.exchanges {
		if pair[0] == id {
			counts[pair[1]] = count
		}
	}
	return counts
}

// Guards against a member that answers and is suspected because an earlier exchange with it times out.
func TestLateFailureIsNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := n.fleet(t, 3, 1)
		from, to := nodes[0].id, nodes[1].id
		n.update(func() { n.cut[[2]string{from, to}] = true })
		n.waitForExchanges(t, from, to)
		n.update(func() { clear(n.cut) })
		time.Sleep(retriedContactTime)
		n.update(func() { clear(n.probes) })
		time.Sleep(3 * time.Second)
		n.update(func() { is.New(t).Equal(len(n.probes), 0) })
	})
}

// Guards against a node that sends more with each member that it cannot reach.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, seconds = 25, 12
		n := newNetwork()
		nodes := n.fleet(t, members+1, 1)
		cut := nodes[6]
		n.isolate(cut.id, true)
		time.Sleep(20 * time.Second)
		n.update(func() { clear(n.exchanges) })
		time.Sleep(seconds * time.Second)
		n.update(func() {
			sum := 0
			for _, count := range n.exchangesFrom(cut.id) {
				sum += count
			}
			t.Logf("%.1f exchanges/s", float64(sum)/seconds)
			// Each times out after 3 s; three more start with each heartbeat.
			is.New(t).True(sum <= (members/3+1+2*3)*seconds)
			is.New(t).True(sum >= members*seconds/4)
		})
	})
}

// Guards against a node that was paused and does not hear soon of what was held back meanwhile.
func TestPausedNodeReceivesHeldRequests(t *testing.T) {
	for _, lost := range []time.Duration{2 * time.Second, 8 * time.Second, 40 * time.Second} {
		for publisher := range 4 {
			t.Run(fmt.Sprint(lost, " publisher ", publisher), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					nodes := n.fleet(t, 8, 2)
					paused := nodes[6]
					received := 0
					paused.Subscribe(zinniamast.TopicQuarantine, func(zinniamast.GossipItem) { n.update(func() { received++ }) })
					resume := n.pause(paused.id)
					time.Sleep(lost / 2)
					nodes[publisher].Publish(heldRequest())
					time.Sleep(lost / 2)
					n.crash(nodes[publisher].id, false)
					resume()
					time.Sleep(retriedContactTime)
					n.update(func() { is.New(t).Equal(received, 1) })
				})
			})
		}
	}
}
