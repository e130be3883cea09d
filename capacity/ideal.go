package capacity

import (
	"math"
	"slices"
	"strings"

	"zinniamast"
)

// idealFleet returns the cheapest fleet found for a demand, bought anew.
//
// For k failure domains that share the load, each needs 1/(k-1) of the demand,
// for then the loss of one leaves all of it. More domains need less in all but
// reach dearer ones; the optimum of the underlying linear program splits
// evenly over some k cheapest, so trying every k finds it, up to whole
// instances. Single classes are tried as well: for a small demand a small
// class may be cheaper though it is dearer per unit.
func idealFleet(d Demand, offers []candidate) ([]candidate, bool) {
	var best []candidate
	lowest := math.Inf(1)
	for _, choice := range offerSets(offers) {
		sides := domainsByPrice(choice, d)
		for k := 2; k <= len(sides); k++ {
			parts, _ := trim(correctMix(spread(d, sides[:k]), d, sides[:k]), d, alwaysDroppable)
			f := newFleet(parts)
			if f.meets(d) && f.cost < lowest {
				best, lowest = parts, f.cost
			}
		}
	}
	return best, best != nil
}

// offerSets returns all offers, and those of each class alone.
func offerSets(offers []candidate) [][]candidate {
	all := [][]candidate{offers}
	classes := map[string][]candidate{}
	for _, p := range offers {
		classes[p.offer.Class] = append(classes[p.offer.Class], p)
	}
	names := make([]string, 0, len(classes))
	for name := range classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if len(classes) > 1 {
			all = append(all, classes[name])
		}
	}
	return all
}

// domainOffers is the cheapest that one failure domain offers in each market.
type domainOffers struct {
	failureDomain string
	reclaimable   *candidate
	onDemand      *candidate
	// unitPrice is that of one unit in the mix that the demand allows.
	unitPrice float64
}

// domainsByPrice returns the failure domains, the cheapest first.
func domainsByPrice(offers []candidate, d Demand) []domainOffers {
	byDomain := map[string]*domainOffers{}
	for i := range offers {
		p := &offers[i]
		s, ok := byDomain[p.offer.FailureDomain]
		if !ok {
			s = &domainOffers{
				failureDomain: p.offer.FailureDomain,
			}
			byDomain[p.offer.FailureDomain] = s
		}
		best := &s.onDemand
		if p.isReclaimable() {
			best = &s.reclaimable
		}
		if *best == nil || p.unitPrice() < (*best).unitPrice() {
			*best = p
		}
	}
	sides := make([]domainOffers, 0, len(byDomain))
	for _, s := range byDomain {
		if s.reclaimable != nil && s.onDemand != nil && s.onDemand.unitPrice() <= s.reclaimable.unitPrice() {
			s.reclaimable = nil
		}
		s.unitPrice = s.mixedUnitPrice(d.Reclaimable)
		sides = append(sides, *s)
	}
	slices.SortFunc(sides, func(a, b domainOffers) int {
		if c := compare(a.unitPrice, b.unitPrice); c != 0 {
			return c
		}
		return strings.Compare(a.failureDomain, b.failureDomain)
	})
	return sides
}

func (s *domainOffers) mixedUnitPrice(reclaimable float64) float64 {
	switch {
	case s.reclaimable == nil:
		return s.onDemand.unitPrice()
	case s.onDemand == nil:
		return s.reclaimable.unitPrice()
	}
	return reclaimable*s.reclaimable.unitPrice() + (1-reclaimable)*s.onDemand.unitPrice()
}

// premium is what a unit costs more on demand.
func (s *domainOffers) premium() float64 {
	switch {
	case s.onDemand == nil:
		return math.Inf(1)
	case s.reclaimable == nil:
		return math.Inf(-1)
	}
	return s.onDemand.unitPrice() - s.reclaimable.unitPrice()
}

// spread gives each side the same share and puts what must be on demand where
// it costs least more.
func spread(d Demand, sides []domainOffers) []candidate {
	share := d.Units / float64(len(sides)-1)
	quota := (1 - d.Reclaimable) * share * float64(len(sides))
	order := slices.Clone(sides)
	slices.SortStableFunc(order, func(a, b domainOffers) int { return compare(a.premium(), b.premium()) })
	var parts []candidate
	for _, s := range order {
		for units := 0.0; units+epsilon < share; {
			p := s.reclaimable
			if s.onDemand != nil && (p == nil || quota > epsilon) {
				p = s.onDemand
				quota -= p.units
			}
			parts = append(parts, *p)
			units += p.units
		}
	}
	return parts
}

// correctMix puts more on demand where whole instances left too much reclaimable.
func correctMix(parts []candidate, d Demand, sides []domainOffers) []candidate {
	f := newFleet(parts)
	order := slices.Clone(sides)
	slices.SortStableFunc(order, func(a, b domainOffers) int { return compare(a.premium(), b.premium()) })
	for _, s := range order {
		for i := range parts {
			if f.hasAllowedMix(d) {
				return parts
			}
			if s.onDemand == nil || parts[i].domain != s.onDemand.domain || !parts[i].isReclaimable() {
				continue
			}
			units := parts[i].units - s.onDemand.units
			f.add(&parts[i], -1)
			parts[i] = *s.onDemand
			f.add(&parts[i], 1)
			for ; units > epsilon; units -= s.onDemand.units {
				parts = append(parts, *s.onDemand)
				f.add(s.onDemand, 1)
			}
		}
	}
	return parts
}

// maxAddedInstances bounds grow against a demand that no offer can meet.
const maxAddedInstances = 10000

// grow adds offers to what is there until the demand is met or nothing helps.
func grow(have []candidate, d Demand, offers []candidate) []candidate {
	f := newFleet(have)
	var added []candidate
	for !f.meets(d) && len(added) < maxAddedInstances {
		p := bestOffer(f, d, offers)
		if p == nil {
			break
		}
		f.add(p, 1)
		added = append(added, *p)
	}
	return added
}

// bestOffer returns the offer that brings the most for its price, or nil.
func bestOffer(f *fleet, d Demand, offers []candidate) *candidate {
	var best *candidate
	lowest := math.Inf(1)
	before := f.unitsAfterDomainLoss()
	for i := range offers {
		p := &offers[i]
		f.add(p, 1)
		gain, mixed := f.unitsAfterDomainLoss()-before, f.hasAllowedMix(d)
		f.add(p, -1)
		if before+epsilon >= d.Units {
			// Only the mix is wrong.
			gain = p.units
			mixed = p.offer.Market == zinniamast.OnDemand
		}
		if !mixed || gain <= epsilon {
			continue
		}
		if price := p.offer.Price / min(gain, p.units); price < lowest {
			best, lowest = p, price
		}
	}
	if best == nil && f.total+epsilon < d.Units {
		// One failure domain alone is left: no spread is to be had, but the load must be carried.
		return cheapestOffer(offers)
	}
	return best
}

func cheapestOffer(offers []candidate) *candidate {
	var best *candidate
	for i := range offers {
		if best == nil || offers[i].unitPrice() < best.unitPrice() {
			best = &offers[i]
		}
	}
	return best
}
