package forward_test

import (
	"fmt"
	"testing"
	"time"

	"zinniamast/routes"
)

// unevenPlay returns a play with groups of callers of one organisation.
func unevenPlay(groups ...callerGroup) loadPlay {
	for i := range groups {
		groups[i].organisation = "all"
	}
	return loadPlay{
		fleet: fleetConfig{
			slots:         8,
			organisations: []routes.Organisation{organisation("all", -1)},
		},
		groups: groups,
	}
}

// Guards against requests that are sent to slow replicas as if these were as fast as others, or that fast ones do not get.
func TestUnevenReplicasServeTheirCapacity(t *testing.T) {
	for _, speeds := range [][]float64{{0.6, 1, 1.6}, {0.5, 1, 2}} {
		t.Run(fmt.Sprint("speeds ", speeds), func(t *testing.T) {
			p := unevenPlay(callerGroup{
				name: "all",
				load: 0.75,
			})
			p.fleet.speeds = speeds
			p.judge(t, 3, loadBounds{
				onTarget: spreadOnTarget,
			})
		})
	}
}

// Guards against crowds that uneven replicas serve less of than they have room for, and against long requests that these lose.
func TestUnevenReplicasServeCrowd(t *testing.T) {
	for _, c := range []struct {
		speeds []float64
		total  [2]float64
	}{
		{
			speeds: []float64{0.6, 1, 1.6},
			total:  [2]float64{0.71, 0.73},
		},
		{
			speeds: []float64{0.5, 1, 2},
			total:  [2]float64{0.70, 0.72},
		},
	} {
		t.Run(fmt.Sprint("speeds ", c.speeds), func(t *testing.T) {
			p := unevenPlay(callerGroup{
				name:  "all",
				load:  0.75,
				crowd: 1.3,
				sizes: []requestSize{
					{
						part:  0.7,
						from:  200 * time.Millisecond,
						until: 1460 * time.Millisecond,
					},
					{
						part:  0.2,
						from:  1460 * time.Millisecond,
						until: 1820 * time.Millisecond,
					},
					{
						part:  0.1,
						from:  1820 * time.Millisecond,
						until: 2 * time.Second,
					},
				},
			})
			p.fleet.speeds = c.speeds
			p.judge(t, 3, loadBounds{
				sizeOfMean: sizeOfMean,
				total:      c.total,
			})
		})
	}
}

// byDomain returns a play in which the callers of each failure domain call its nodes. Three quarters
// of the callers are in the first domain.
func byDomain(load, crowd float64) loadPlay {
	var groups []callerGroup
	for i := range fleetDomains {
		domain, kind, of := fmt.Sprint("domain-", i), "other domains", 0.25/(fleetDomains-1)
		if i == 0 {
			kind, of = "busy domain", 0.75
		}
		groups = append(groups, callerGroup{
			name:  domain,
			kind:  kind,
			load:  of * load,
			crowd: of * crowd,
			calls: func(n *fleetNode) bool { return n.domain == domain },
		})
	}
	return unevenPlay(groups...)
}

// Guards against callers of a failure domain with most of the demand that find no room, while replicas of other domains have some.
func TestDomainWithMostCallersIsServed(t *testing.T) {
	p := byDomain(0.75, 0)
	p.judge(t, 3, loadBounds{
		onTarget: spreadOnTarget,
	})
}

// Guards against a failure domain whose callers get the capacity that those of others need, or that lose theirs to them.
func TestDomainsShareCapacityInCrowd(t *testing.T) {
	p := byDomain(0.75, 1.5)
	p.judge(t, 3, loadBounds{
		ofMean: domainOfMean,
		total:  [2]float64{0.63, 0.64},
	})
}

// byNode returns a play in which three quarters of the callers call one node.
func byNode(load, crowd float64) loadPlay {
	isBusy := func(n *fleetNode) bool { return n.name == "node-0" }
	return unevenPlay(
		callerGroup{
			name:  "busy node",
			load:  0.75 * load,
			crowd: 0.75 * crowd,
			calls: isBusy,
		},
		callerGroup{
			name:  "other nodes",
			load:  0.25 * load,
			crowd: 0.25 * crowd,
			calls: func(n *fleetNode) bool { return !isBusy(n) },
		},
	)
}

// Guards against a node with most of the callers that refuses these while replicas have room.
func TestNodeWithMostCallersServesThem(t *testing.T) {
	p := byNode(0.6, 0)
	p.judge(t, 3, loadBounds{
		onTarget: spreadOnTarget,
	})
}

// Guards against callers of a node that lose their places to those of other nodes, which freed them first.
func TestNodesShareCapacityInCrowd(t *testing.T) {
	p := byNode(0.6, 1.5)
	p.judge(t, 3, loadBounds{
		ofMean: domainOfMean,
		total:  [2]float64{0.62, 0.63},
	})
}

// Guards against long requests that starve behind short ones, or short ones behind long ones, in a crowd.
func TestEachSizeIsServedInCrowd(t *testing.T) {
	p, b := bulkCrowd()
	for i := range p.groups {
		p.groups[i].sizes = []requestSize{
			{
				part:   0.5,
				from:   200 * time.Millisecond,
				until:  200 * time.Millisecond,
				tokens: 100,
			},
			{
				part:   0.5,
				from:   2 * time.Second,
				until:  2 * time.Second,
				tokens: 1000,
			},
		}
	}
	b.sizeOfMean = sizeOfMean
	b.total = [2]float64{0.55, 0.56}
	p.judge(t, 3, b)
}
