package membership_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/membership"
)

// ownDomainFirst lists the nodes of one failure domain, and later all.
type ownDomainFirst struct {
	network *network
	domain  string
	allFrom time.Time
}

// List implements zinniamast.InstanceList.
func (o ownDomainFirst) List(ctx context.Context) ([]zinniamast.Instance, error) {
	all, err := o.network.List(ctx)
	if time.Now().After(o.allFrom) {
		return all, err
	}
	var own []zinniamast.Instance
	for _, instance := range all {
		if instance.FailureDomain == o.domain {
			own = append(own, instance)
		}
	}
	return own, err
}

// startAll starts nodes in several failure domains at once.
func (n *network) startAll(t *testing.T, count, domains int) []*node {
	t.Helper()
	n.listedFrom = time.Now()
	var all []*node
	for i := range count {
		started := &node{
			id:     fmt.Sprintf("node-%03d", i),
			domain: fmt.Sprintf("domain-%02d", i%domains),
			table:  blackboard.NewMembers(),
		}
		started.Membership = membership.New(membership.Config{
			List: ownDomainFirst{
				network: n,
				domain:  started.domain,
				allFrom: time.Now().Add(time.Second),
			},
			ID:            started.id,
			FailureDomain: started.domain,
			Address:       started.id,
			Weight:        1,
			SeedInterval:  2 * time.Second,
			Members:       started.table,
			Transport:     nodeTransport{network: n, id: started.id},
			Logger:        slog.New(slog.NewTextHandler(io.Discard, nil)),
			ConfigVersion: started.version.Load,
			OnNewerConfig: func(_ string, version uint64) { started.version.Store(version) },
		})
		n.update(func() { n.nodes[started.id] = started })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			started.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
		all = append(all, started)
		time.Sleep(time.Millisecond)
	}
	return all
}

// knownDomains returns the number of failure domains of which a node knows a live member.
func (n *node) knownDomains() int {
	known := map[string]bool{}
	for _, member := range n.table.All() {
		if !member.Dead {
			known[member.FailureDomain] = true
		}
	}
	return len(known)
}

// TestMassStartKnowsAllDomains guards against nodes that know only their own domain for minutes.
func TestMassStartKnowsAllDomains(t *testing.T) {
	const domains = 6
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := n.startAll(t, 195, domains)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				for i, each := range nodes {
					each.Publish(zinniamast.GossipItem{
						Topic:   zinniamast.TopicLoad,
						Key:     fmt.Sprint(i),
						Value:   make([]byte, 60),
						Expires: time.Now().Add(20 * time.Second),
					})
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
		elapsed := waitUntil(2*time.Minute, allOf(nodes, func(each *node) bool { return each.knownDomains() == domains }))
		t.Logf("all nodes know all failure domains after %v", elapsed)
		is.New(t).True(elapsed >= 0 && elapsed < 14*time.Second) // traffic starts then
	})
}

// TestJoiningNodeReceivesHeldRequests guards against a node that starts later and does not hear of a held request among many other items.
func TestJoiningNodeReceivesHeldRequests(t *testing.T) {
	const otherItems = 1000
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := n.fleet(t, 6, 2)
		publish := func(topic zinniamast.Topic, key string) {
			nodes[0].Publish(zinniamast.GossipItem{
				Topic:      topic,
				Key:        key,
				Value:      make([]byte, 8),
				Expires:    time.Now().Add(10 * time.Minute),
				AllDomains: true,
			})
		}
		publish(zinniamast.TopicQuarantine, "held")
		for i := range otherItems {
			publish(zinniamast.TopicLoad, fmt.Sprint(i))
		}
		time.Sleep(time.Minute)
		received := 0
		late := n.start(t, "late", nodes[1].domain, nodes[1].id)
		late.Subscribe(zinniamast.TopicQuarantine, func(zinniamast.GossipItem) { n.update(func() { received++ }) })
		time.Sleep(20 * time.Second)
		n.update(func() { is.New(t).Equal(received, 1) })
	})
}
