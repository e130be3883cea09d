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
	// busyPart of its time and fullPart of its slots is what a replica is ordered
	// for: requests come unevenly in time and to replicas.
	busyPart = 0.6
	fullPart = 0.5
	// evenFrom is up to how many busy replicas cheap ones are kept by their price alone.
	evenFrom = 4
	// unknownSlots stands for a service that does not say how many requests its
	// replicas run at once.
	unknownSlots = 20
	// knownPart of the requests must have been sized before their work counts: a
	// single long prompt would stand for all that came in a second.
	knownPart = 0.25
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
	// Least is how many there must be if need be at the dearer price; what Needed
	// has beyond it is bought where it is cheap, or not at all.
	Least int
	// Kept is how many there were before the demand was known; they stay until
	// cheaper ones are there.
	Kept int
	// Domains are the failure domains in which the service runs or may run.
	Domains []string
	// Refused are places where none is to be had now.
	Refused map[Place]bool
	// Dry says that reclaimable replicas were refused when last asked for.
	Dry bool
	// Present are the replicas that take work, or are starting.
	Present map[Place]int
	// Ordered is what was ordered last; some of it may still be starting.
	Ordered map[Place]int
}

// Plan returns how many replicas each place shall have.
func Plan(s State) map[Place]int {
	scaling := s.Service.Scaling
	plan := map[Place]int{}
	domains := byPrice(s)
	held := heldOver(domains, s)
	want := s.Needed
	if scaling.SpotPrice > 0 {
		want = max(s.Least, s.Kept) - spread(plan, domains, zinniamast.Reclaimable, s.Needed, s, held) + atRisk(plan, domains, s)
	}
	for domain, count := range held {
		plan[onDemand(domain)] = count
		want -= count
	}
	if want > 0 {
		spread(plan, domains, zinniamast.OnDemand, want, s, nil)
	}
	for _, domain := range domains {
		// The least number holds for both markets together.
		short := scaling.Min - plan[reclaimable(domain)] - plan[onDemand(domain)]
		if short > 0 {
			plan[onDemand(domain)] += short
		}
		plan[reclaimable(domain)] += 0
		plan[onDemand(domain)] += 0
	}
	return plan
}

// atRisk is how many of the planned reclaimable replicas are not counted on: the
// largest failure domain's, while none are to be had.
//
// Load: reclaims come in waves. One failure domain's replicas go, none are to be
// had in their place, and the next domain follows within the time that a replica
// on demand takes to start: at the third one half of what the demand needed was
// there for four seconds.
func atRisk(plan map[Place]int, domains []string, s State) int {
	if !s.Dry {
		return 0
	}
	most := 0
	for _, domain := range domains {
		place := reclaimable(domain)
		most = max(most, min(plan[place], s.Present[place]))
	}
	return most
}

func reclaimable(domain string) Place {
	return Place{
		FailureDomain: domain,
		Market:        zinniamast.Reclaimable,
	}
}

func onDemand(domain string) Place {
	return Place{
		FailureDomain: domain,
		Market:        zinniamast.OnDemand,
	}
}

// heldOver returns how many replicas of the dearer market each failure domain
// keeps, those that are starting included, until cheaper ones in their place
// are there.
//
// Load: reclaimable ones are refused for some seconds, and asked for again. The
// plan counts on them each time. Where they fill a failure domain's limit, or
// the dearer ones were given back at that moment, replicas that had been started
// four seconds ago were stopped before they served: in a crowd that wanted 24
// replicas eight were there for ten seconds.
func heldOver(domains []string, s State) map[string]int {
	missing := max(s.Least, s.Kept)
	if s.Service.Scaling.SpotPrice <= 0 {
		missing = s.Needed
	}
	if s.Dry {
		missing += atRisk(s.Present, domains, s)
	}
	for _, domain := range domains {
		missing -= s.Present[reclaimable(domain)]
	}
	held := map[string]int{}
	for _, domain := range domains {
		known := max(s.Present[onDemand(domain)], s.Ordered[onDemand(domain)])
		room := s.Service.Scaling.Max - s.Present[reclaimable(domain)]
		least := s.Service.Scaling.Min - s.Present[reclaimable(domain)]
		if kept := min(max(missing, least), known, room); kept > 0 {
			held[domain] = kept
			missing -= kept
		}
	}
	return held
}

// busy is how many replicas of the usual speed the load's prompts would keep
// busy all the time; zero while that is not known.
func busy(s State) float64 {
	if part := sizedPart(s.Load); part >= knownPart {
		return s.Load.Work / part
	}
	return 0
}

// full is how many replicas' slots the load fills.
func full(s State) float64 {
	slots := unknownSlots
	if s.Service.Engine != nil && s.Service.Engine.Slots > 0 {
		slots = s.Service.Engine.Slots
	}
	return s.Load.Running / float64(slots)
}

// sizedPart is the part of the requests whose work is known.
func sizedPart(l demand.Load) float64 {
	if l.Arrivals <= 0 {
		return 0
	}
	return min(1, l.Sized/l.Arrivals)
}

// least is how many replicas the demand needs at any price, all failure domains
// together: by the machine time that its requests take, or by the slots they fill.
func least(s State) int { return int(math.Ceil(max(busy(s)/busyPart, full(s)/fullPart))) }

// wanted is how many replicas the demand needs where they are cheap: as many as
// leave the least ones when a failure domain goes, and more where the price is low.
//
// Load: one organisation sends several times its usual from one moment to the
// next, or replicas crash, and new ones take seconds to start. What is lost by
// lateness grows faster than linearly with how busy replicas are, so that at a
// quarter of the price half as busy ones are worth their cost.
func wanted(s State) int {
	spare := max(withSpareDomain(least(s), len(s.Domains)), s.Service.Scaling.Min*len(s.Domains))
	if s.Service.Scaling.SpotPrice <= 0 {
		return spare
	}
	return max(spare, int(math.Ceil(cheaply(busy(s), busyPart*math.Sqrt(s.Service.Scaling.SpotPrice)))))
}

// cheaply is how many cheap replicas serve what keeps some busy all the time,
// where few of them are to be busy for a part of their time. What comes unevenly
// to many replicas evens out: from evenFrom on the surplus grows by the square root.
func cheaply(busy, part float64) float64 {
	if busy <= evenFrom {
		return busy / part
	}
	return busy + (evenFrom/part-evenFrom)*math.Sqrt(busy/evenFrom)
}

// middle is the middle of how many replicas may be ordered.
func middle(s State) int {
	return (s.Service.Scaling.Min + s.Service.Scaling.Max) * len(s.Domains) / 2
}

// withSpareDomain is how many replicas leave least ones when a failure domain's
// part of them goes, and no others are to be had for some ten seconds.
func withSpareDomain(least, domains int) int {
	if domains < 2 {
		return least
	}
	return (least*domains + domains - 2) / (domains - 1)
}

// withoutSpareDomain is the part of found replicas that stays when a failure
// domain's part of them goes.
func withoutSpareDomain(found, domains int) int {
	if domains < 2 {
		return found
	}
	return found * (domains - 1) / domains
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
// cheapest, and returns how many it placed. What a failure domain holds of the
// other market takes its part of the limit.
func spread(plan map[Place]int, domains []string, market zinniamast.Market, want int, s State, held map[string]int) int {
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
			if placed == want || plan[place]+max(plan[other], held[domain]) >= s.Service.Scaling.Max {
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
