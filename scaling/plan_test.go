package scaling_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/routes"
	"zinniamast/scaling"
)

var domains = []string{"a", "b", "c", "d"}

func service() routes.Service {
	return routes.Service{
		Name: "svc",
		Scaling: &routes.Scaling{
			Min:       1,
			Max:       6,
			SpotPrice: 0.22,
			Prices: map[string]float64{
				"a": 1,
				"b": 0.8,
				"c": 1.25,
				"d": 0.9,
			},
		},
	}
}

func place(domain string, market zinniamast.Market) scaling.Place {
	return scaling.Place{
		FailureDomain: domain,
		Market:        market,
	}
}

func total(plan map[scaling.Place]int, market zinniamast.Market) int {
	sum := 0
	for _, domain := range domains {
		sum += plan[place(domain, market)]
	}
	return sum
}

// On a calm day all replicas are reclaimable ones, spread evenly, and the
// dearer ones go once these are there, not before.
func TestCheapAndSpread(t *testing.T) {
	check := is.New(t)
	present := map[scaling.Place]int{}
	for _, domain := range domains {
		present[place(domain, zinniamast.OnDemand)] = 3
	}
	state := scaling.State{
		Service: service(),
		Domains: domains,
		Needed:  10,
		Least:   10,
		Present: present,
	}
	plan := scaling.Plan(state)
	check.Equal(total(plan, zinniamast.Reclaimable), 10)
	check.Equal(total(plan, zinniamast.OnDemand), 10) // held until the others are there
	for _, domain := range domains {
		check.True(plan[place(domain, zinniamast.Reclaimable)] >= 2)
		present[place(domain, zinniamast.Reclaimable)] = plan[place(domain, zinniamast.Reclaimable)]
	}
	plan = scaling.Plan(state)
	check.Equal(total(plan, zinniamast.OnDemand), 0)
}

// What is seen: a calm day pays for four replicas on demand, at 4.5 times the
// price of reclaimable ones, for as long as none of these is to be had.
// A failure domain's reclaimable replicas are taken and refused there, while the
// market has given some elsewhere since. The demand needs 12 replicas and 12 are
// left: the spare failure domain was there for this. Only when a second one goes
// are replicas bought on demand.
func TestSpareDomainIsNotBoughtOnDemand(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service: service(),
		Domains: domains,
		Needed:  16,
		Least:   12,
		Refused: map[scaling.Place]bool{},
		Present: map[scaling.Place]int{},
	}
	for _, domain := range domains {
		state.Refused[place(domain, zinniamast.Reclaimable)] = true
	}
	for _, domain := range domains[1:] {
		state.Present[place(domain, zinniamast.Reclaimable)] = 4
	}
	plan := scaling.Plan(state)
	check.Equal(total(plan, zinniamast.Reclaimable), 12)
	check.Equal(plan[place("a", zinniamast.OnDemand)], 1) // the least number of the failure domain
	check.Equal(total(plan, zinniamast.OnDemand), 1)
	state.Present[place("b", zinniamast.Reclaimable)] = 0
	plan = scaling.Plan(state)
	check.Equal(total(plan, zinniamast.Reclaimable), 8)
	check.Equal(total(plan, zinniamast.OnDemand), 4)
}

// What is seen: reclaims come in waves, and each takes a failure domain before a
// replica on demand that is ordered then has started. Callers wait for four
// seconds at a third of the replicas. Once the market refused, the domain that
// would cost most is not counted on, and its part is bought before it goes.
func TestReclaimsThatGoOnAreMetAhead(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service: service(),
		Domains: domains,
		Needed:  16,
		Least:   12,
		Dry:     true,
		Refused: map[scaling.Place]bool{},
		Present: map[scaling.Place]int{},
	}
	for _, domain := range domains {
		state.Refused[place(domain, zinniamast.Reclaimable)] = true
	}
	for _, domain := range domains[1:] {
		state.Present[place(domain, zinniamast.Reclaimable)] = 4
	}
	check.Equal(total(scaling.Plan(state), zinniamast.OnDemand), 4)
	state.Dry = false
	check.Equal(total(scaling.Plan(state), zinniamast.OnDemand), 1)
}

// What is seen: the only replica of a failure domain stops each four seconds and
// another starts for four, with an empty cache. Reclaimable replicas were refused
// and are asked for again; the plan counts on them, and gives the dear one back
// before it hears that there are none.
func TestDearReplicaStaysUntilTheCheapOneIsThere(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service: service(),
		Domains: domains,
		Needed:  8,
		Least:   4,
		Present: map[scaling.Place]int{},
	}
	for _, domain := range domains {
		state.Present[place(domain, zinniamast.OnDemand)] = 1
	}
	state.Present[place("b", zinniamast.OnDemand)] = 4
	plan := scaling.Plan(state)
	for _, domain := range domains {
		check.True(plan[place(domain, zinniamast.OnDemand)] >= 1)
	}
}

// A failure domain's reclaimable replicas are taken and none are to be had:
// on-demand ones are ordered in their place at once.
func TestOnDemandWhereRefused(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service: service(),
		Domains: domains,
		Needed:  10,
		Least:   10,
		Refused: map[scaling.Place]bool{},
		Present: map[scaling.Place]int{},
	}
	for _, domain := range domains[1:] {
		state.Present[place(domain, zinniamast.Reclaimable)] = 2
	}
	for _, domain := range domains {
		state.Refused[place(domain, zinniamast.Reclaimable)] = true
	}
	plan := scaling.Plan(state)
	check.Equal(total(plan, zinniamast.Reclaimable), 6)
	check.Equal(total(plan, zinniamast.OnDemand), 4)
}

// Reclaimable replicas are asked for again after a refusal. The on-demand ones
// that were ordered meanwhile, and have not started yet, stay ordered until the
// reclaimable ones are there.
func TestNoFlapping(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service: service(),
		Domains: domains,
		Needed:  10,
		Least:   10,
		Present: map[scaling.Place]int{
			place("a", zinniamast.Reclaimable): 3,
		},
		Ordered: map[scaling.Place]int{},
	}
	for _, domain := range domains[1:] {
		state.Ordered[place(domain, zinniamast.OnDemand)] = 2
	}
	plan := scaling.Plan(state)
	check.Equal(total(plan, zinniamast.OnDemand), 6)
	for _, domain := range domains[1:] {
		state.Present[place(domain, zinniamast.Reclaimable)] = 3
	}
	plan = scaling.Plan(state)
	check.Equal(total(plan, zinniamast.OnDemand), 0)
}

// Callers wait through a crowd at a third of the replicas that it needs. All
// failure domains are at their limit, with on-demand replicas that start in
// place of reclaimed ones; reclaimable ones are asked for again and would fill
// the limit alone. Those that start are not given back for a hope.
func TestStartingReplicasStayAtTheLimit(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service: service(),
		Domains: domains,
		Needed:  24,
		Least:   24,
		Present: map[scaling.Place]int{
			place("a", zinniamast.Reclaimable): 3,
			place("c", zinniamast.Reclaimable): 2,
		},
		Ordered: map[scaling.Place]int{
			place("a", zinniamast.OnDemand): 3,
			place("b", zinniamast.OnDemand): 6,
			place("c", zinniamast.OnDemand): 4,
			place("d", zinniamast.OnDemand): 6,
		},
	}
	plan := scaling.Plan(state)
	for _, domain := range domains {
		at := place(domain, zinniamast.OnDemand)
		check.Equal(plan[at], state.Ordered[at])
	}
}

// Whatever is needed, present or refused, each failure domain has its least
// number and no more than its most, of both markets together.
func TestPlanKeepsToTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := scaling.State{
			Service: service(),
			Domains: domains,
			Needed:  rapid.IntRange(0, 60).Draw(t, "needed"),
			Least:   rapid.IntRange(0, 60).Draw(t, "least"),
			Refused: map[scaling.Place]bool{},
			Present: map[scaling.Place]int{},
		}
		for _, domain := range domains {
			for _, market := range []zinniamast.Market{zinniamast.Reclaimable, zinniamast.OnDemand} {
				p := place(domain, market)
				state.Refused[p] = rapid.Bool().Draw(t, "refused")
				state.Present[p] = rapid.IntRange(0, 3).Draw(t, "present")
			}
		}
		plan := scaling.Plan(state)
		for _, domain := range domains {
			sum := plan[place(domain, zinniamast.Reclaimable)] + plan[place(domain, zinniamast.OnDemand)]
			if sum < 1 || sum > 6 {
				t.Fatalf("%d replicas in %s: %v", sum, domain, plan)
			}
		}
	})
}
