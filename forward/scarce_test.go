package forward_test

import (
	"fmt"
	"testing"

	"zinniamast/routes"
)

// The least parts served that the goals of docs/hard-load.md name.
const (
	urgentServed   = 0.98
	sharedServed   = 0.97
	calmServed     = 0.99
	spreadOnTarget = 0.98
	// starvedOfMean, sizeOfMean and domainOfMean are parts of the mean of all requests, or of those
	// of the same kind.
	starvedOfMean = 0.25
	sizeOfMean    = 0.5
	domainOfMean  = 0.9
)

// twoClasses returns a play with urgent callers and with bulk callers, of which a crowd comes.
func twoClasses(urgent, urgentCrowd, bulk, bulkCrowd float64) loadPlay {
	return loadPlay{
		fleet: fleetConfig{
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
				load:         urgent,
				crowd:        urgentCrowd,
			},
			{
				name:         "bulk",
				organisation: "bulk",
				load:         bulk,
				crowd:        bulkCrowd,
			},
		},
	}
}

// bulkCrowd is a play in which bulk callers ask for 1.4 of the capacity, urgent ones for 0.35.
func bulkCrowd() (loadPlay, loadBounds) {
	return twoClasses(0.35, 0, 0.35, 1.4), loadBounds{
		served: map[string]float64{
			"urgent": urgentServed,
		},
		ofMean: starvedOfMean,
		total:  [2]float64{0.55, 0.55},
	}
}

// organisationCrowd is a play in which one of eight organisations, which ask for 0.09 of the
// capacity each, asks for ten times that.
func organisationCrowd() (loadPlay, loadBounds) {
	p := loadPlay{
		fleet: fleetConfig{
			slots: 8,
		},
	}
	for i := range 8 {
		name := fmt.Sprint("organisation-", i)
		p.fleet.organisations = append(p.fleet.organisations, organisation(name, -1))
		g := callerGroup{
			name:         name,
			kind:         "within share",
			organisation: name,
			load:         0.09,
		}
		if i == 0 {
			g.kind, g.crowd = "crowd", 0.9
		}
		p.groups = append(p.groups, g)
	}
	return p, loadBounds{
		served: map[string]float64{
			"within share": sharedServed,
		},
		ofMean: starvedOfMean,
		total:  [2]float64{0.62, 0.62},
	}
}

// Guards against urgent requests that are lost while bulk requests get the scarce places, and against bulk callers that starve.
func TestUrgentCallersAreServedInCrowd(t *testing.T) {
	p, b := bulkCrowd()
	p.judge(t, 3, b)
}

// Guards against an organisation that takes the places of all others by sending more.
func TestOrganisationsWithinShareAreServedInCrowd(t *testing.T) {
	p, b := organisationCrowd()
	p.judge(t, 3, b)
}

// Guards against requests that are refused, or lost in a queue, although there is room for all.
func TestAllAreServedWithoutOverload(t *testing.T) {
	p := twoClasses(0.35, 0, 0.35, 0)
	p.judge(t, 3, loadBounds{
		served: map[string]float64{
			"urgent": calmServed,
			"bulk":   calmServed,
		},
	})
}

// Guards against a class that starves while a more urgent one asks for more than the capacity.
func TestBulkCallersAreNotStarvedByUrgentCrowd(t *testing.T) {
	p := twoClasses(0.35, 1.5, 0.35, 0)
	p.judge(t, 3, loadBounds{
		ofMean: starvedOfMean,
		total:  [2]float64{0.51, 0.53},
	})
}
