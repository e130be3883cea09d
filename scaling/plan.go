// Package scaling orders replicas: as many as the demand needs at the lowest
// cost, spread so that enough remain when a failure domain's reclaimable replicas
// are lost.
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
	// targetBusyFraction and targetSlotFraction are the fractions of a replica's time
	// and slots that are planned to be in use. The rest is headroom, since requests
	// arrive unevenly over time and over replicas.
	targetBusyFraction = 0.6
	targetSlotFraction = 0.5
	// linearSurplusReplicas is the number of busy replicas up to which the surplus of
	// reclaimable ones is proportional to it, with a factor that depends only on the
	// price.
	linearSurplusReplicas = 4
	// defaultSlots applies to a service whose configuration does not state how many
	// requests a replica runs at once.
	defaultSlots = 20
	// minSizedFraction is the fraction of requests whose work must be known before
	// that work counts. Below it, a single long prompt would represent all requests
	// of a second.
	minSizedFraction = 0.25
)

// Place is a failure domain and a market.
type Place struct {
	FailureDomain string
	Market        zinniamast.Market
}

// State is the input of a plan.
type State struct {
	Service routes.Service
	Load    demand.Load
	// Desired is how many replicas there should be in all.
	Desired int
	// Required is how many replicas there must be even at the on-demand price. The
	// part of Desired beyond it is bought where it is cheap, or not at all.
	Required int
	// Retained is how many replicas there were before the demand was known; they stay
	// until cheaper ones are present.
	Retained int
	// Domains are the failure domains in which the service runs or may run.
	Domains []string
	// Refused marks the places where no more replicas are available now.
	Refused map[Place]bool
	// ReclaimableUnavailable reports whether the last order for more reclaimable
	// replicas was refused.
	ReclaimableUnavailable bool
	// Present counts the replicas that serve or are starting.
	Present map[Place]int
	// Ordered is what was ordered last; some of these replicas may still be starting.
	Ordered map[Place]int
	// IsMoving means that the service is moved between software versions. Present counts the
	// replicas of the one that carries its load.
	IsMoving bool
	// Shares are the parts of the replicas that failure domains get by their demand; see
	// DomainDemand. One whose load is unknown is missing and keeps its replicas. Nil means
	// that replicas are spread evenly.
	Shares map[string]float64
	// Expected counts the replicas that are present once pending orders are fulfilled. It
	// is used together with Shares.
	Expected map[Place]int
	// Rising and Falling are the failure domains whose plan lately began to rise or fall;
	// it is not to turn again where another one can change instead.
	Rising  map[string]bool
	Falling map[string]bool
}

// Plan returns how many replicas each place should have.
func Plan(s State) map[Place]int {
	scaling := s.Service.Scaling
	plan := map[Place]int{}
	domains := byPrice(s)
	retained := retainedOnDemand(domains, s)
	want := s.Desired
	if scaling.SpotPrice > 0 {
		want = max(s.Required, s.Retained) - spread(plan, domains, zinniamast.Reclaimable, s.Desired, s, retained) + atRisk(plan, domains, s)
	}
	for domain, count := range retained {
		plan[onDemand(domain)] = count
		want -= count
	}
	if want > 0 {
		spread(plan, domains, zinniamast.OnDemand, want, s, nil)
	}
	for _, domain := range domains {
		// The minimum applies to both markets together.
		short := scaling.Min - plan[reclaimable(domain)] - plan[onDemand(domain)]
		if short > 0 {
			plan[onDemand(domain)] += short
		}
		plan[reclaimable(domain)] += 0
		plan[onDemand(domain)] += 0
	}
	if s.Shares != nil {
		followDemand(plan, domains, s)
	}
	return plan
}

// atRisk returns how many of the planned reclaimable replicas are not relied on:
// those of the largest failure domain while no reclaimable replicas are
// available, and none otherwise.
//
// Reclaims come in waves. One failure domain's replicas are reclaimed, no
// replacements are available, and the next domain follows within the boot time of
// an on-demand replica. When the third domain is reclaimed, only half of the
// replicas that the demand needs are present for four seconds.
func atRisk(plan map[Place]int, domains []string, s State) int {
	if !s.ReclaimableUnavailable {
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

// retainedOnDemand returns how many on-demand replicas each failure domain keeps,
// including those that are starting, until cheaper ones are present in their
// place.
//
// Reclaimable replicas that were refused are ordered again some seconds later,
// and each such plan counts on them. If they took up a failure domain's limit, or
// if on-demand ones were stopped at that moment, replicas ordered four seconds
// before would be lost before they serve: at a peak that needs 24 replicas,
// only eight are then present for ten seconds.
func retainedOnDemand(domains []string, s State) map[string]int {
	missing := max(s.Required, s.Retained)
	if s.Service.Scaling.SpotPrice <= 0 {
		missing = s.Desired
	}
	if s.ReclaimableUnavailable {
		missing += atRisk(s.Present, domains, s)
	}
	for _, domain := range domains {
		missing -= s.Present[reclaimable(domain)]
	}
	retained := map[string]int{}
	for _, domain := range domains {
		current := max(s.Present[onDemand(domain)], s.Ordered[onDemand(domain)])
		room := s.Service.Scaling.Max - s.Present[reclaimable(domain)]
		minimum := s.Service.Scaling.Min - s.Present[reclaimable(domain)]
		if count := min(max(missing, minimum), current, room); count > 0 {
			retained[domain] = count
			missing -= count
		}
	}
	return retained
}

// busyReplicas returns how many replicas of the usual speed the load's prompts
// would keep busy all the time; zero while that is unknown.
func busyReplicas(s State) float64 {
	if fraction := sizedFraction(s.Load); fraction >= minSizedFraction {
		return s.Load.Work / fraction
	}
	return 0
}

// filledReplicas returns how many replicas have all their slots filled by the
// load.
func filledReplicas(s State) float64 {
	slots := defaultSlots
	if s.Service.Engine != nil && s.Service.Engine.Slots > 0 {
		slots = s.Service.Engine.Slots
	}
	return s.Load.Running / float64(slots)
}

// sizedFraction returns the fraction of the requests whose work is known.
func sizedFraction(l demand.Load) float64 {
	if l.Arrivals <= 0 {
		return 0
	}
	return min(1, l.Sized/l.Arrivals)
}

// requiredReplicas returns how many replicas the demand needs at any price, over
// all failure domains: by the machine time that its requests take, or by the
// slots that they fill, whichever is more.
func requiredReplicas(s State) int { return int(math.Ceil(neededReplicas(s))) }

// neededReplicas returns the number of required replicas before rounding.
func neededReplicas(s State) float64 {
	return max(busyReplicas(s)/targetBusyFraction, filledReplicas(s)/targetSlotFraction)
}

// desiredReplicas returns how many replicas the demand needs where they are
// cheap: so many that the required ones remain when a failure domain is lost, and
// more where the price is low.
//
// An organisation's load may rise to several times its usual within a moment, or
// replicas may crash, and new replicas take seconds to start. The cost of late
// answers grows faster than linearly with the utilisation of the replicas, so at
// a quarter of the price replicas that are half as busy are worth their cost.
func desiredReplicas(s State) int {
	spare := max(withSpareDomain(requiredReplicas(s), len(s.Domains)), s.Service.Scaling.Min*len(s.Domains))
	if s.Service.Scaling.SpotPrice <= 0 {
		return spare
	}
	return max(spare, int(math.Ceil(reclaimableReplicas(busyReplicas(s), targetBusyFraction*math.Sqrt(s.Service.Scaling.SpotPrice)))))
}

// reclaimableReplicas returns how many reclaimable replicas serve a load that
// keeps busy replicas busy all the time, if each is to be busy for a fraction of
// its time. Uneven arrivals average out over many replicas, so beyond
// linearSurplusReplicas the surplus grows by the square root only.
func reclaimableReplicas(busy, fraction float64) float64 {
	if busy <= linearSurplusReplicas {
		return busy / fraction
	}
	return busy + (linearSurplusReplicas/fraction-linearSurplusReplicas)*math.Sqrt(busy/linearSurplusReplicas)
}

// midpointOfLimits returns the midpoint between the minimum and the maximum
// number of replicas that may be ordered.
func midpointOfLimits(s State) int {
	return (s.Service.Scaling.Min + s.Service.Scaling.Max) * len(s.Domains) / 2
}

// withSpareDomain returns how many replicas are ordered so that the required ones
// remain when one failure domain's part is lost and no others are available for
// some ten seconds.
func withSpareDomain(required, domains int) int {
	if domains < 2 {
		return required
	}
	return (required*domains + domains - 2) / (domains - 1)
}

// withoutSpareDomain returns how many of the initial replicas remain when one
// failure domain's part of them is lost.
func withoutSpareDomain(initial, domains int) int {
	if domains < 2 {
		return initial
	}
	return initial * (domains - 1) / domains
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

// spread places replicas of one market evenly, round by round from the cheapest
// failure domain on, and returns how many it placed. Replicas of the other market
// in a failure domain count towards the same limit.
func spread(plan map[Place]int, domains []string, market zinniamast.Market, want int, s State, retained map[string]int) int {
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
			if placed == want || plan[place]+max(plan[other], retained[domain]) >= s.Service.Scaling.Max {
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
