package queue_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/queue"
)

const (
	largeFleetNodes = 113
	// fleetReplicas times replicaSlots are the places of a large fleet.
	fleetReplicas = 70
	replicaSlots  = 16
)

// playLargeFleet plays nodes that get requests, each of which runs for a second, at a rate that
// depends on the node and the second. After each second it calls visit with the places that each
// node counts as its own.
func playLargeFleet(seconds int, perSecond func(node, second int) int, visit func(second int, places []int)) {
	h := &hub{
		receivers: map[string]func(zinniamast.GossipItem){},
	}
	var names []string
	for i := range largeFleetNodes {
		names = append(names, fmt.Sprint("node-", i))
	}
	var held []func(service, replica string, slots int) int
	var done sync.WaitGroup
	for i, name := range names {
		q := queue.New(queue.Config{
			Node: name,
			Gossip: link{
				hub:  h,
				node: name,
			},
			Slots: func(string) int { return fleetReplicas * replicaSlots },
		})
		held = append(held, q.Places(func() []string { return names }))
		done.Go(func() {
			for second := range seconds {
				rate := perSecond(i, second)
				for range rate {
					time.Sleep(time.Second / time.Duration(rate))
					done.Go(func() { runForSecond(q, 1) })
				}
			}
		})
	}
	for second := range seconds {
		time.Sleep(time.Second)
		places := make([]int, len(held))
		for i := range held {
			for r := range fleetReplicas {
				places[i] += held[i](service, fmt.Sprint("i-", r), replicaSlots)
			}
		}
		visit(second, places)
	}
	done.Wait()
	time.Sleep(time.Minute) // until all timers have ended
}

// runForSecond lets a request wait in vain, so that the capacity is short, and run for a second.
func runForSecond(q *queue.Queue, priority int) {
	var e queue.Entry
	q.Enter(&e, request("acme", priority))
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, _ = e.Wait(ctx)
	e.Began()
	time.Sleep(time.Second)
	e.Ended()
}

// Guards against nodes of a large fleet that claim more than all places when the demand rises, as each counts itself by its present demand and the others by earlier ones.
func TestNodesOfLargeFleetAgreeOnPlacesWhileDemandRises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		perSecond := func(node, second int) int {
			rate := 5 + node%5 // similar callers
			if second >= 6 {
				rate *= 5
			}
			return rate
		}
		mostClaimed, mostHeld := 0, 0
		playLargeFleet(20, perSecond, func(_ int, places []int) {
			total := 0
			for _, held := range places {
				total += held
				mostHeld = max(mostHeld, held)
			}
			mostClaimed = max(mostClaimed, total)
		})
		t.Logf("%d places claimed of %d, %d by one node", mostClaimed, fleetReplicas*replicaSlots, mostHeld)
		check.True(mostClaimed <= fleetReplicas*replicaSlots*101/100)
		check.True(mostHeld <= 2*fleetReplicas*replicaSlots/largeFleetNodes)
	})
}

// Guards against a node of a large fleet with much more demand than the others that never gets more places than these.
func TestNodeOfLargeFleetWithLastingDemandGetsPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		perSecond := func(node, _ int) int {
			if node == 0 {
				return 200
			}
			return 5
		}
		var last []int
		playLargeFleet(25, perSecond, func(_ int, places []int) { last = places })
		t.Logf("%d places, another node %d", last[0], last[1])
		check.True(last[0] >= 100)
		check.True(last[1] >= 5)
	})
}
