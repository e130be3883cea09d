package forward_test

import (
	"fmt"
	"testing"
	"time"
)

// crowdTotals are the least totals of the plays with scarce capacity, as in loadBounds.
type crowdTotals struct {
	bulk, organisation [2]float64
}

// judgeCrowds judges the plays with scarce capacity after a change.
func judgeCrowds(t *testing.T, totals crowdTotals, change func(*loadPlay)) {
	t.Run("bulk crowd", func(t *testing.T) {
		p, b := bulkCrowd()
		change(&p)
		b.total = totals.bulk
		p.judge(t, 3, b)
	})
	t.Run("organisation crowd", func(t *testing.T) {
		p, b := organisationCrowd()
		change(&p)
		b.total = totals.organisation
		p.judge(t, 3, b)
	})
}

// Guards against a node that is restarted and then doubles or loses the shares of those that it serves, and against waiting requests that end with it.
func TestSharesHoldWhileNodesAreRestartedInTurn(t *testing.T) {
	totals := crowdTotals{
		bulk:         [2]float64{0.54, 0.55},
		organisation: [2]float64{0.62, 0.62},
	}
	judgeCrowds(t, totals, func(p *loadPlay) {
		p.disturb = func(w *loadWorld) {
			interval := (loadUntil - loadFrom) / time.Duration(w.config.nodes+1)
			for i := range w.config.nodes {
				time.AfterFunc(time.Duration(i+1)*interval, func() { w.restart(i) })
			}
		}
	})
}

// Guards against nodes without gossip that take more than their part of scarce capacity, or give their callers other parts than the rest do.
func TestSharesHoldWhileNodesGetNoGossip(t *testing.T) {
	totals := crowdTotals{
		bulk:         [2]float64{0.55, 0.55},
		organisation: [2]float64{0.62, 0.62},
	}
	judgeCrowds(t, totals, func(p *loadPlay) {
		p.disturb = func(w *loadWorld) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, n := range w.nodes[:len(w.nodes)/3] {
				n.hasNoGossip = true
			}
		}
	})
}

// Guards against callers that lose their shares to the streams that lost replicas leave, or to a rush of waiting requests.
func TestSharesHoldWhileDomainLosesReplicas(t *testing.T) {
	totals := crowdTotals{
		bulk:         [2]float64{0.43, 0.43},
		organisation: [2]float64{0.48, 0.49},
	}
	// The second domain has two of the nine replicas. Urgent callers ask for 0.45 of what remains,
	// and an organisation within its share for 0.12.
	judgeCrowds(t, totals, func(p *loadPlay) {
		p.fleet.hasNoReplacements = true
		p.disturb = func(w *loadWorld) {
			for _, r := range w.replicas {
				if r.domain == "domain-1" {
					r.crash("lost")
				}
			}
		}
	})
}

// recoveryTime is the time after which the goals hold again when all nodes were killed.
const recoveryTime = 2 * time.Second

// Guards against nodes that all lost what they knew of shares and do not find it again in time.
func TestSharesHoldAfterAllNodesWereKilled(t *testing.T) {
	totals := crowdTotals{
		bulk:         [2]float64{0.53, 0.54},
		organisation: [2]float64{0.60, 0.61},
	}
	judgeCrowds(t, totals, func(p *loadPlay) {
		p.countFrom = loadFrom + recoveryTime
		p.disturb = func(w *loadWorld) {
			for i := range w.config.nodes {
				w.kill(i)
			}
		}
	})
}

// Guards against shares that hold only in small fleets, as each of many nodes sees few requests of each class or organisation.
func TestSharesHoldInLargeFleets(t *testing.T) {
	for _, size := range []struct {
		nodes, slotsPerNode int
	}{
		{
			nodes:        78,
			slotsPerNode: 12,
		},
		{
			nodes:        113,
			slotsPerNode: 10,
		},
		{
			nodes:        195,
			slotsPerNode: 8,
		},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			if testing.Short() && (seed > 1 || size.nodes > 78) {
				continue
			}
			play := func(t *testing.T, p loadPlay, b loadBounds, totals [2]float64) {
				p.fleet.slots = 16
				p.fleet.nodes = size.nodes
				p.fleet.replicas = size.nodes * size.slotsPerNode / p.fleet.slots
				leastTotal := totals[0]
				if p.isPatient = seed == 2; p.isPatient {
					leastTotal = totals[1]
				}
				w := p.run(t, seed)
				p.check(t, w, b)
				p.checkAll(t, w.counts, b, leastTotal)
			}
			t.Run(fmt.Sprintf("%d nodes, bulk crowd, seed %d", size.nodes, seed), func(t *testing.T) {
				p, b := bulkCrowd()
				play(t, p, b, [2]float64{0.55, 0.57})
			})
			t.Run(fmt.Sprintf("%d nodes, organisation crowd, seed %d", size.nodes, seed), func(t *testing.T) {
				p, b := organisationCrowd()
				play(t, p, b, [2]float64{0.64, 0.64})
			})
		}
	}
}
