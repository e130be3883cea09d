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

// Without refusals all replicas are reclaimable ones, spread evenly. On-demand
// replicas are stopped once the reclaimable ones are present, not before.
func TestReclaimableReplicasAreSpreadEvenly(t *testing.T) {
	check := is.New(t)
	present := map[scaling.Place]int{}
	for _, domain := range domains {
		present[place(domain, zinniamast.OnDemand)] = 3
	}
	state := scaling.State{
		Service:  service(),
		Domains:  domains,
		Desired:  10,
		Required: 10,
		Present:  present,
	}
	plan := scaling.Plan(state)
	check.Equal(total(plan, zinniamast.Reclaimable), 10)
	check.Equal(total(plan, zinniamast.OnDemand), 10) // retained until the others are present
	for _, domain := range domains {
		check.True(plan[place(domain, zinniamast.Reclaimable)] >= 2)
		present[place(domain, zinniamast.Reclaimable)] = plan[place(domain, zinniamast.Reclaimable)]
	}
	plan = scaling.Plan(state)
	check.Equal(total(plan, zinniamast.OnDemand), 0)
}

// A failure domain's reclaimable replicas are reclaimed and refused there. The
// demand needs 12 replicas and 12 remain, since the spare failure domain covers
// the loss. On-demand replicas at 4.5 times the price are bought only when a
// second domain is lost; otherwise four of them are paid for as long as no
// reclaimable ones are available.
func TestSpareDomainIsNotBoughtOnDemand(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service:  service(),
		Domains:  domains,
		Desired:  16,
		Required: 12,
		Refused:  map[scaling.Place]bool{},
		Present:  map[scaling.Place]int{},
	}
	for _, domain := range domains {
		state.Refused[place(domain, zinniamast.Reclaimable)] = true
	}
	for _, domain := range domains[1:] {
		state.Present[place(domain, zinniamast.Reclaimable)] = 4
	}
	plan := scaling.Plan(state)
	check.Equal(total(plan, zinniamast.Reclaimable), 12)
	check.Equal(plan[place("a", zinniamast.OnDemand)], 1) // the minimum of the failure domain
	check.Equal(total(plan, zinniamast.OnDemand), 1)
	state.Present[place("b", zinniamast.Reclaimable)] = 0
	plan = scaling.Plan(state)
	check.Equal(total(plan, zinniamast.Reclaimable), 8)
	check.Equal(total(plan, zinniamast.OnDemand), 4)
}

// Reclaims come in waves, and each takes a failure domain before an on-demand
// replica ordered at that moment has started; for four seconds a third of the
// replicas then serves all requests. Once reclaimable replicas are refused, the
// plan does not rely on the largest failure domain and buys its part on demand
// before it is reclaimed.
func TestLargestDomainIsReplacedBeforeItIsReclaimed(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service:                service(),
		Domains:                domains,
		Desired:                16,
		Required:               12,
		ReclaimableUnavailable: true,
		Refused:                map[scaling.Place]bool{},
		Present:                map[scaling.Place]int{},
	}
	for _, domain := range domains {
		state.Refused[place(domain, zinniamast.Reclaimable)] = true
	}
	for _, domain := range domains[1:] {
		state.Present[place(domain, zinniamast.Reclaimable)] = 4
	}
	check.Equal(total(scaling.Plan(state), zinniamast.OnDemand), 4)
	state.ReclaimableUnavailable = false
	check.Equal(total(scaling.Plan(state), zinniamast.OnDemand), 1)
}

// Reclaimable replicas that were refused are ordered again, and the plan counts
// on them. If it stopped the on-demand replica before the refusal arrives, the
// only replica of a failure domain would stop every four seconds and another
// would take four to start, with an empty cache.
func TestOnDemandReplicaStaysUntilTheReclaimableOneIsPresent(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service:  service(),
		Domains:  domains,
		Desired:  8,
		Required: 4,
		Present:  map[scaling.Place]int{},
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

// A failure domain's reclaimable replicas are reclaimed and no others are
// available: on-demand ones are ordered in their place at once.
func TestOnDemandWhereRefused(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service:  service(),
		Domains:  domains,
		Desired:  10,
		Required: 10,
		Refused:  map[scaling.Place]bool{},
		Present:  map[scaling.Place]int{},
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

// Reclaimable replicas are ordered again after a refusal. On-demand replicas that
// were ordered meanwhile and have not started yet stay ordered until the
// reclaimable ones are present.
func TestNoFlapping(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service:  service(),
		Domains:  domains,
		Desired:  10,
		Required: 10,
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

// All failure domains are at their limit with on-demand replicas that start in
// place of reclaimed ones. Reclaimable replicas are ordered again and would fill
// the limit alone. If the starting replicas were stopped for them, a third of
// the needed replicas would serve the peak.
func TestStartingReplicasStayAtTheLimit(t *testing.T) {
	check := is.New(t)
	state := scaling.State{
		Service:  service(),
		Domains:  domains,
		Desired:  24,
		Required: 24,
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

// Whatever is needed, present or refused, each failure domain gets at least its
// minimum and at most its maximum number of replicas, over both markets together.
func TestPlanKeepsToTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := scaling.State{
			Service:  service(),
			Domains:  domains,
			Desired:  rapid.IntRange(0, 60).Draw(t, "desired"),
			Required: rapid.IntRange(0, 60).Draw(t, "required"),
			Refused:  map[scaling.Place]bool{},
			Present:  map[scaling.Place]int{},
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
