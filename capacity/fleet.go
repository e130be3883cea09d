package capacity

import (
	"slices"

	"zinniamast"
)

// candidate is one instance, bought or on offer, that the plan may count in a fleet.
type candidate struct {
	offer zinniamast.Offer
	units float64
	// domain is the number of the failure domain, and kind that of the domain,
	// class and market together, so that a plan for thousands of instances
	// compares numbers and not names.
	domain int
	kind   int
}

// numbering assigns numbers to failure domains and kinds of instances.
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

// candidate returns the candidate for an offer; it reports false for an unknown class.
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

// unitPrice returns the price of one unit for an hour.
func (p *candidate) unitPrice() float64 { return p.offer.Price / p.units }

func (p *candidate) isReclaimable() bool { return p.offer.Market == zinniamast.Reclaimable }

// epsilon absorbs the rounding error of floating-point sums.
const epsilon = 1e-6

// fleet holds the sums over the candidates that serve one service.
type fleet struct {
	domains     []float64
	total       float64
	reclaimable float64
	cost        float64
}

func newFleet(candidates []candidate) *fleet {
	f := &fleet{}
	for i := range candidates {
		f.add(&candidates[i], 1)
	}
	return f
}

// add adds a candidate with sign 1 and removes it with sign -1.
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

// unitsAfterDomainLoss returns the units that remain after the loss of the largest
// failure domain.
func (f *fleet) unitsAfterDomainLoss() float64 {
	largest := 0.0
	for _, units := range f.domains {
		largest = max(largest, units)
	}
	return f.total - largest
}

func (f *fleet) hasAllowedMix(d Demand) bool { return f.reclaimable <= d.Reclaimable*f.total+epsilon }

// meets reports whether the fleet meets the demand after the loss of any one
// failure domain and has no more reclaimable units than allowed.
func (f *fleet) meets(d Demand) bool {
	return f.unitsAfterDomainLoss()+epsilon >= d.Units && f.hasAllowedMix(d)
}

// trim drops candidates that the demand does not need, the most expensive per
// unit first. It returns the retained candidates and the indexes of the dropped ones.
func trim(candidates []candidate, d Demand, droppable func(i int) bool) (retained []candidate, dropped []int) {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return compare(candidates[b].unitPrice(), candidates[a].unitPrice())
	})
	f := newFleet(candidates)
	isDropped := make([]bool, len(candidates))
	// needed marks kinds of which one could not be dropped; then no other of
	// that kind can be dropped either.
	var needed []bool
	for _, i := range order {
		p := &candidates[i]
		for len(needed) <= p.kind {
			needed = append(needed, false)
		}
		if needed[p.kind] || !droppable(i) {
			continue
		}
		f.add(p, -1)
		if f.meets(d) {
			isDropped[i] = true
			dropped = append(dropped, i)
			continue
		}
		f.add(p, 1)
		needed[p.kind] = true
	}
	for i, p := range candidates {
		if !isDropped[i] {
			retained = append(retained, p)
		}
	}
	return retained, dropped
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
