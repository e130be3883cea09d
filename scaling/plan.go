// Package scaling orders replicas: as many as the demand needs, at the least
// cost, spread so that the loss of a failure domain's reclaimable replicas
// leaves enough.
package scaling

import (
	"cmp"
	"math"
	"slices"

	"zinniamast"
	"zinniamast/demand"
	"zinniamast/routes"
)

const (
	// busyPart of a replica's slots is what it is ordered for: requests come
	// unevenly to replicas, and long prompts slow what runs beside them.
	busyPart = 0.6
	// unknownSlots stands for a service that does not say how many requests its
	// replicas run at once.
	unknownSlots = 20
	// spare is the part ordered beyond that, for the time that a new replica
	// takes to start.
	spare = 1.25
	// leastPart of what may be ordered at most is kept in any case, for the
	// seconds that pass until a jump of the load is seen and new replicas have
	// started: one organisation may send several times its usual from one moment
	// to the next. With four of 24 replicas kept, a fifth of a day's requests
	// failed where that came in the first seconds; with eight, none for want of
	// replicas.
	leastPart = 1.0 / 3
)

// Place is a failure domain and market.
type Place struct {
	FailureDomain string
	Market        zinniamast.Market
}

// State is what a plan is made from.
type State struct {
	Service routes.Service
	Load    demand.Load
	// Needed is how many replicas there shall be in all.
	Needed int
	// Domains are the failure domains in which the service runs or may run.
	Domains []string
	// Refused are places where none is to be had now.
	Refused map[Place]bool
	// Present are the replicas that take work, or are starting.
	Present map[Place]int
	// Ordered is what was ordered last; some of it may still be starting.
	Ordered map[Place]int
}

// Plan returns how many replicas each place shall have.
func Plan(s State) map[Place]int {
	scaling := s.Service.Scaling
	want := s.Needed
	plan := map[Place]int{}
	domains := byPrice(s)
	if scaling.SpotPrice > 0 {
		want -= spread(plan, domains, zinniamast.Reclaimable, want, s)
	}
	if want > 0 {
		spread(plan, domains, zinniamast.OnDemand, want, s)
	}
	holdOver(plan, domains, s)
	for _, domain := range domains {
		reclaimable := Place{
			FailureDomain: domain,
			Market:        zinniamast.Reclaimable,
		}
		onDemand := Place{
			FailureDomain: domain,
			Market:        zinniamast.OnDemand,
		}
		// The least number holds for both markets together.
		short := scaling.Min - plan[reclaimable] - plan[onDemand]
		if short > 0 {
			plan[onDemand] += short
		}
		plan[reclaimable] += 0
		plan[onDemand] += 0
	}
	return plan
}

// holdOver keeps replicas of the dearer market, also those that are starting,
// until the cheaper ones that take their place are there.
//
// Load: reclaimable ones are refused for some seconds. Each time they are
// asked for again the plan counts on them; giving the dearer ones back at that
// moment and ordering them anew at the refusal starts replicas that never serve.
func holdOver(plan map[Place]int, domains []string, s State) {
	here, planned := 0, 0
	for _, domain := range domains {
		here += s.Present[Place{
			FailureDomain: domain,
			Market:        zinniamast.Reclaimable,
		}]
		planned += plan[Place{
			FailureDomain: domain,
			Market:        zinniamast.OnDemand,
		}]
	}
	missing := s.Needed - here - planned
	for _, domain := range domains {
		place := Place{
			FailureDomain: domain,
			Market:        zinniamast.OnDemand,
		}
		room := s.Service.Scaling.Max - plan[place] - plan[Place{
			FailureDomain: domain,
			Market:        zinniamast.Reclaimable,
		}]
		kept := min(missing, max(s.Present[place], s.Ordered[place])-plan[place], room)
		if kept > 0 {
			plan[place] += kept
			missing -= kept
		}
	}
}

// needed is how many replicas the demand needs, all failure domains together,
// with one failure domain's part to spare.
func needed(s State) int {
	slots := unknownSlots
	if s.Service.Engine != nil && s.Service.Engine.Slots > 0 {
		slots = s.Service.Engine.Slots
	}
	base := math.Ceil(spare * s.Load.Running / (busyPart * float64(slots)))
	domains := float64(len(s.Domains))
	base = max(base, math.Ceil(leastPart*float64(s.Service.Scaling.Max)*domains))
	if domains > 1 {
		base = math.Ceil(base * domains / (domains - 1))
	}
	return int(base)
}

// byPrice returns the failure domains, cheapest first.
func byPrice(s State) []string {
	domains := slices.Clone(s.Domains)
	slices.SortFunc(domains, func(a, b string) int {
		if byCost := cmp.Compare(s.Service.Scaling.Prices[a], s.Service.Scaling.Prices[b]); byCost != 0 {
			return byCost
		}
		return cmp.Compare(a, b)
	})
	return domains
}

// spread places replicas of one market evenly, in turns that begin with the
// cheapest, and returns how many it placed.
func spread(plan map[Place]int, domains []string, market zinniamast.Market, want int, s State) int {
	placed := 0
	for round := 1; placed < want && round <= s.Service.Scaling.Max; round++ {
		for _, domain := range domains {
			place := Place{
				FailureDomain: domain,
				Market:        market,
			}
			other := Place{
				FailureDomain: domain,
				Market:        otherMarket(market),
			}
			if placed == want || plan[place]+plan[other] >= s.Service.Scaling.Max {
				continue
			}
			if s.Refused[place] && plan[place] >= s.Present[place] {
				continue
			}
			plan[place]++
			placed++
		}
	}
	return placed
}

func otherMarket(market zinniamast.Market) zinniamast.Market {
	if market == zinniamast.Reclaimable {
		return zinniamast.OnDemand
	}
	return zinniamast.Reclaimable
}
