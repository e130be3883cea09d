package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/membership"
)

// contactTime is the time after which a node that can reach the others again counts as one of them.
const contactTime = 3 * time.Second

// Guards against a node that was cut off for seconds and never hears of what was held back meanwhile.
func TestNodeThatWasCutOffReceivesHeldRequests(t *testing.T) {
	for _, lost := range []time.Duration{2 * time.Second, 8 * time.Second, 40 * time.Second} {
		for publisher := range 4 {
			t.Run(fmt.Sprint(lost, " publisher ", publisher), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					nodes := n.fleet(t, 8, 2)
					cut := nodes[6]
					received := 0
					cut.Subscribe(zinniamast.TopicQuarantine, func(zinniamast.GossipItem) { n.update(func() { received++ }) })
					setCut := func(isCut bool) {
						n.update(func() {
							for _, other := range nodes {
								n.cut[[2]string{cut.id, other.id}] = isCut
								n.cut[[2]string{other.id, cut.id}] = isCut
							}
						})
					}
					setCut(true)
					time.Sleep(lost / 2)
					nodes[publisher].Publish(zinniamast.GossipItem{
						Topic:      zinniamast.TopicQuarantine,
						Key:        "held",
						Value:      make([]byte, 8),
						Expires:    time.Now().Add(10 * time.Minute),
						AllDomains: true,
					})
					time.Sleep(lost / 2)
					// The publisher may have been replaced by then.
					n.crash(nodes[publisher].id, false)
					setCut(false)
					time.Sleep(contactTime)
					n.update(func() { is.New(t).Equal(received, 1) })
				})
			})
		}
	}
}

// Guards against a node that was paused and receives the full state of each member of its failure domain.
func TestNodeAsksFewMembersForMissedItems(t *testing.T) {
	for _, members := range []int{8, 25, 75} {
		t.Run(fmt.Sprint(members, " members"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				nodes := n.fleet(t, members, 1)
				denied := nodes[members/2]
				own, _ := denied.table.Get(denied.id)
				n.update(func() { clear(n.asks) })
				denied.Receive(&membership.Exchange{
					From: nodes[0].id,
					Records: []membership.Record{{
						ID:          denied.id,
						Address:     denied.id,
						Incarnation: own.Incarnation,
						Weight:      1,
						State:       membership.Dead,
					}},
				})
				time.Sleep(contactTime)
				n.update(func() {
					is.True(n.asks[denied.id] >= 1)
					is.True(n.asks[denied.id] <= 2)
				})
			})
		})
	}
}

// Guards against a node that keeps an outdated list of another failure domain's contacts for minutes.
func TestOutdatedContactsAreReplaced(t *testing.T) {
	const perDomain = 3
	for receiver := 0; receiver < 2*perDomain; receiver += 2 {
		t.Run(fmt.Sprint("receiver ", receiver), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				var nodes []*node
				for i := range 2 * perDomain {
					nodes = append(nodes, n.start(t, fmt.Sprintf("node-%03d", i), fmt.Sprintf("domain-%02d", i%2), "node-000", "node-001"))
				}
				knowsAll := func(each *node) bool { return len(each.table.All()) == len(nodes) }
				waitUntil(10*time.Second, allOf(nodes, knowsAll))
				sender := nodes[1]
				summary := sender.Receive(&membership.Exchange{
					From:   "node-000",
					Domain: "domain-00",
				}).Summaries[0]
				is.Equal(len(summary.Contacts), perDomain)
				summary.Contacts = summary.Contacts[:perDomain-1]
				nodes[receiver].Receive(&membership.Exchange{
					From:      sender.id,
					Domain:    sender.domain,
					Summaries: []membership.Summary{summary},
				})
				time.Sleep(10 * time.Second)
				for _, each := range nodes {
					is.True(knowsAll(each))
				}
			})
		})
	}
}

// Guards against a node that keeps the contacts another starting node named, which knew no others yet.
func TestContactsOfStartingNodesAreReplaced(t *testing.T) {
	contactsOf := func(each *node) []string {
		var ids []string
		for _, member := range each.table.All() {
			if member.FailureDomain != each.domain {
				ids = append(ids, member.ID)
			}
		}
		slices.Sort(ids)
		return ids
	}
	for wait := 20 * time.Second; wait < 21*time.Second; wait += 125 * time.Millisecond {
		t.Run(fmt.Sprint("after ", wait), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				nodes := n.fleet(t, 8, 2)
				time.Sleep(wait)
				nodes = append(nodes,
					n.start(t, "node-008", "domain-00", "node-009", "node-000", "node-001"),
					n.start(t, "node-009", "domain-01", "node-008", "node-000", "node-001"))
				time.Sleep(10 * time.Second)
				for i, each := range nodes {
					is.New(t).Equal(contactsOf(each), contactsOf(nodes[i%2]))
				}
			})
		})
	}
}
