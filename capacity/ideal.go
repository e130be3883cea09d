package capacity

import (
	"math"
	"slices"
	"strings"

	"zinniamast"
)

// idealFleet returns the cheapest fleet found for a demand if all instances were
// bought from scratch.
//
// If k failure domains share the load, each needs 1/(k-1) of the demand, so that
// the others still meet all of it after the loss of one. With more domains the
// total is smaller but includes more expensive domains. The optimum of the
// underlying linear program splits evenly over the k cheapest domains for some
// k, so trying every k finds it, apart from rounding to whole instances. Each
// class is also tried alone: for a small demand a small class may be cheaper
// although its price per unit is higher.
func idealFleet(d Demand, offers []candidate) ([]candidate, bool) {
	var best []candidate
	lowest := math.Inf(1)
	for _, set := range offerSets(offers) {
		domains := domainsByPrice(set, d)
		for k := 2; k <= len(domains); k++ {
			candidates, _ := trim(correctMix(spread(d, domains[:k]), d, domains[:k]), d, alwaysDroppable)
			f := newFleet(candidates)
			if f.meets(d) && f.cost < lowest {
				best, lowest = candidates, f.cost
			}
		}
	}
	return best, best != nil
}

// offerSets returns the set of all offers and, if there are several classes, the
// offers of each class alone.
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

// domainOffers holds the cheapest offer per unit of one failure domain in each market.
type domainOffers struct {
	failureDomain string
	reclaimable   *candidate
	onDemand      *candidate
	// unitPrice is the price of one unit at the mix of markets that the demand allows.
	unitPrice float64
}

// domainsByPrice returns the cheapest offers of each failure domain, the cheapest
// domain first.
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
	domains := make([]domainOffers, 0, len(byDomain))
	for _, s := range byDomain {
		if s.reclaimable != nil && s.onDemand != nil && s.onDemand.unitPrice() <= s.reclaimable.unitPrice() {
			s.reclaimable = nil
		}
		s.unitPrice = s.mixedUnitPrice(d.Reclaimable)
		domains = append(domains, *s)
	}
	slices.SortFunc(domains, func(a, b domainOffers) int {
		if c := compare(a.unitPrice, b.unitPrice); c != 0 {
			return c
		}
		return strings.Compare(a.failureDomain, b.failureDomain)
	})
	return domains
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

// premium returns how much more a unit costs on demand than reclaimable.
func (s *domainOffers) premium() float64 {
	switch {
	case s.onDemand == nil:
		return math.Inf(1)
	case s.reclaimable == nil:
		return math.Inf(-1)
	}
	return s.onDemand.unitPrice() - s.reclaimable.unitPrice()
}

// spread gives each failure domain the same share of the demand and buys the part
// that must be on demand where its premium is lowest.
func spread(d Demand, domains []domainOffers) []candidate {
	share := d.Units / float64(len(domains)-1)
	quota := (1 - d.Reclaimable) * share * float64(len(domains))
	order := slices.Clone(domains)
	slices.SortStableFunc(order, func(a, b domainOffers) int { return compare(a.premium(), b.premium()) })
	var candidates []candidate
	for _, s := range order {
		for units := 0.0; units+epsilon < share; {
			p := s.reclaimable
			if s.onDemand != nil && (p == nil || quota > epsilon) {
				p = s.onDemand
				quota -= p.units
			}
			candidates = append(candidates, *p)
			units += p.units
		}
	}
	return candidates
}

// correctMix replaces reclaimable candidates by on-demand ones where rounding to whole
// instances left too large a reclaimable share.
func correctMix(candidates []candidate, d Demand, domains []domainOffers) []candidate {
	f := newFleet(candidates)
	order := slices.Clone(domains)
	slices.SortStableFunc(order, func(a, b domainOffers) int { return compare(a.premium(), b.premium()) })
	for _, s := range order {
		for i := range candidates {
			if f.hasAllowedMix(d) {
				return candidates
			}
			if s.onDemand == nil || candidates[i].domain != s.onDemand.domain || !candidates[i].isReclaimable() {
				continue
			}
			units := candidates[i].units - s.onDemand.units
			f.add(&candidates[i], -1)
			candidates[i] = *s.onDemand
			f.add(&candidates[i], 1)
			for ; units > epsilon; units -= s.onDemand.units {
				candidates = append(candidates, *s.onDemand)
				f.add(s.onDemand, 1)
			}
		}
	}
	return candidates
}

// maxAddedInstances ends grow if no number of offers can meet the demand.
const maxAddedInstances = 10000

// grow returns the offers to add to a fleet until it meets the demand or no offer
// brings it closer.
func grow(present []candidate, d Demand, offers []candidate) []candidate {
	f := newFleet(present)
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

// bestOffer returns the offer with the lowest price per unit gained, or nil if no
// offer helps.
func bestOffer(f *fleet, d Demand, offers []candidate) *candidate {
	var best *candidate
	lowest := math.Inf(1)
	before := f.unitsAfterDomainLoss()
	for i := range offers {
		p := &offers[i]
		f.add(p, 1)
		gain, isMixAllowed := f.unitsAfterDomainLoss()-before, f.hasAllowedMix(d)
		f.add(p, -1)
		if before+epsilon >= d.Units {
			// There are enough units, but the reclaimable share is too large.
			gain = p.units
			isMixAllowed = p.offer.Market == zinniamast.OnDemand
		}
		if !isMixAllowed || gain <= epsilon {
			continue
		}
		if price := p.offer.Price / min(gain, p.units); price < lowest {
			best, lowest = p, price
		}
	}
	if best == nil && f.total+epsilon < d.Units {
		// Only one failure domain has offers: its loss can't be survived, but the
		// load must still be served.
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
