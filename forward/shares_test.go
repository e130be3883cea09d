package forward_test

import (
	"testing"
	"time"

	"zinniamast/routes"
)

// bulkAtOneNode is a play in which the first of three nodes has only bulk callers and the others
// have urgent ones, who ask for more than the equal share of their nodes: for 0.6 of the capacity
// at each.
func bulkAtOneNode() (loadPlay, loadBounds) {
	isBulk := func(n *fleetNode) bool { return n.name == "node-0" }
	p := loadPlay{
		fleet: fleetConfig{
			nodes: 3,
			slots: 8,
			organisations: []routes.Organisation{
				organisation("urgent", 0),
				organisation("bulk", 2),
			},
		},
		groups: []callerGroup{
			{
				name:         "urgent",
				organisation: "urgent",
				load:         0.5,
				crowd:        1.2,
				calls:        func(n *fleetNode) bool { return !isBulk(n) },
			},
			{
				name:         "bulk",
				organisation: "bulk",
				load:         0.3,
				crowd:        0.6,
				calls:        isBulk,
			},
		},
	}
	// The first seconds of the crowd pass until the nodes know of the demand.
	p.countFrom = loadFrom + demandKnown
	return p, loadBounds{
		served: map[string]float64{
			"urgent": urgentAtOthersServed,
		},
		ofMean: starvedOfMean,
	}
}

const (
	// demandKnown is the time until a change of the demand has changed the shares of all nodes.
	demandKnown = 5 * time.Second
	// urgentAtOthersServed is the least part of urgent requests that is served: the goal for urgent
	// callers, of what is left for them. They ask for 1.2 of the capacity, of which bulk callers keep
	// a tenth.
	urgentAtOthersServed = urgentServed * (1 - 0.1) / 1.2
)

// Guards against bulk requests that are served at a node with no other callers while other nodes refuse urgent ones.
func TestBulkCallersOfOneNodeLeavePlacesToUrgentOnes(t *testing.T) {
	p, b := bulkAtOneNode()
	p.judge(t, 3, b)
}
