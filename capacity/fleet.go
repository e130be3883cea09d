package capacity

import (
	"slices"

	"zinniamast"
)

// candidate is one instance, bought or on offer, as the plan counts it.
type candidate struct {
	offer zinniamast.Offer
	units float64
	// domain numbers the failure domain, and kind domain, class and market, so
	// that a plan for thousands of instances compares numbers and not names.
	domain int
	kind   int
}

// numbering gives failure domains and kinds of instances their numbers.
type numbering struct {
	units   map[string]float64
	domains map[string]int
	kinds   map[kindName]int
}

type kindName struct {
	failureDomain string
	class         string
	market        zinniamast.Market
}

func newNumbering(classes []Class) *numbering {
	n := &numbering{
		units:   map[string]float64{},
		domains: map[string]int{},
		kinds:   map[kindName]int{},
	}
	for _, class := range classes {
		n.units[class.Name] = class.Units
	}
	return n
}

// candidate returns the part for an offer; it reports false for an unknown class.
func (n *numbering) candidate(offer zinniamast.Offer) (candidate, bool) {
	units := n.units[offer.Class]
	if units <= 0 {
		return candidate{}, false
	}
	name := kindName{
		failureDomain: offer.FailureDomain,
		class:         offer.Class,
		market:        offer.Market,
	}
	if _, ok := n.domains[offer.FailureDomain]; !ok {
		n.domains[offer.FailureDomain] = len(n.domains)
	}
	if _, ok := n.kinds[name]; !ok {
		n.kinds[name] = len(n.kinds)
	}
	return candidate{
		offer:  offer,
		units:  units,
		domain: n.domains[offer.FailureDomain],
		kind:   n.kinds[name],
	}, true
}

// unitPrice is the price of one unit for an hour.
func (p *candidate) unitPrice() float64 { return p.offer.Price / p.units }

func (p *candidate) isReclaimable() bool { return p.offer.Market == zinniamast.Reclaimable }

// epsilon absorbs the error of sums of floats.
const epsilon = 1e-6

// fleet sums the parts that serve one service.
type fleet struct {
	domains     []float64
	total       float64
	reclaimable float64
	cost        float64
}

func newFleet(parts []candidate) *fleet {
	f := &fleet{}
	for i := range parts {
		f.add(&parts[i], 1)
	}
	return f
}

// add counts a part in, or out with sign -1.
func (f *fleet) add(p *candidate, sign float64) {
	for len(f.domains) <= p.domain {
		f.domains = append(f.domains, 0)
	}
	f.domains[p.domain] += sign * p.units
	f.total += sign * p.units
	f.cost += sign * p.offer.Price
	if p.isReclaimable() {
		f.reclaimable += sign * p.units
	}
}

// unitsAfterDomainLoss is what is left after the loss of the largest failure domain.
func (f *fleet) unitsAfterDomainLoss() float64 {
	largest := 0.0
	for _, units := range f.domains {
		largest = max(largest, units)
	}
	return f.total - largest
}

func (f *fleet) hasAllowedMix(d Demand) bool { return f.reclaimable <= d.Reclaimable*f.total+epsilon }

// meets says whether the fleet carries the demand after the loss of any one domain.
func (f *fleet) meets(d Demand) bool {
	return f.unitsAfterDomainLoss()+epsilon >= d.Units && f.hasAllowedMix(d)
}

// trim drops parts, the dearest per unit first, that the demand does not need,
// and returns what is left and what was dropped as indexes.
func trim(parts []candidate, d Demand, droppable func(i int) bool) (kept []candidate, dropped []int) {
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return compare(parts[b].unitPrice(), parts[a].unitPrice())
	})
	f := newFleet(parts)
	gone := make([]bool, len(parts))
	// needed marks kinds of which one could not be dropped: then no other can.
	var needed []bool
	for _, i := range order {
		p := &parts[i]
		for len(needed) <= p.kind {
			needed = append(needed, false)
		}
		if needed[p.kind] || !droppable(i) {
			continue
		}
		f.add(p, -1)
		if f.meets(d) {
			gone[i] = true
			dropped = append(dropped, i)
			continue
		}
		f.add(p, 1)
		needed[p.kind] = true
	}
	for i, p := range parts {
		if !gone[i] {
			kept = append(kept, p)
		}
	}
	return kept, dropped
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func alwaysDroppable(int) bool { return true }
