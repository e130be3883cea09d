package scaling

import (
	"math"

	"zinniamast"
)

const (
	// busyFractionAfterLoss is how busy replicas may be after the loss of a failure
	// domain. With more than that, requests wait longer than their targets until
	// replacements have started.
	busyFractionAfterLoss = 0.8
	// maxShareDeviation is how far a failure domain's share of the replicas may be below
	// its share of the demand to cover its own loss.
	maxShareDeviation = 0.1
)

// precedence exceeds the number of replicas that any failure domain lacks.
const precedence = 1 << 20

// markets are the markets in the order in which plans use them.
var markets = []zinniamast.Market{zinniamast.Reclaimable, zinniamast.OnDemand}

// distribution turns an evenly spread plan into one that follows the demand of failure
// domains. Only the failure domains change: the number of replicas of each market, the
// minimum, the maximum and refused places are those of the even plan.
type distribution struct {
	State
	// domains are the failure domains, cheapest first.
	domains []string
	plan    map[Place]int
	// quota is how many replicas of both markets each failure domain is to have, and
	// target how many each place is to have without moving any.
	quota  map[string]int
	target map[Place]int
}

// followDemand distributes a plan's replicas by State.Shares. Replicas that are present or
// starting stay where they are. Lost ones are replaced in their failure domain up to its
// quota; other new ones go where most are lacking, and surplus ones leave where most are.
func followDemand(plan map[Place]int, domains []string, s State) {
	d := &distribution{
		State:   s,
		domains: domains,
		plan:    plan,
		quota:   map[string]int{},
		target:  map[Place]int{},
	}
	for _, domain := range domains {
		for _, market := range markets {
			at := Place{
				FailureDomain: domain,
				Market:        market,
			}
			d.target[at] = s.Expected[at]
		}
	}
	d.setQuotas()
	for _, market := range markets {
		d.setTargets(market)
	}
	for d.transfer(zinniamast.Reclaimable) || d.transfer(zinniamast.OnDemand) {
	}
}

// setQuotas divides the planned replicas among failure domains by their shares. A failure
// domain without a share keeps what it has. What is left after rounding down, or because a
// share exceeds its limit, goes where most is lacking, to the cheapest of equal ones.
func (d *distribution) setQuotas() {
	planned, sum := 0, 0.0
	for _, count := range d.plan {
		planned += count
	}
	divided := planned
	for _, domain := range d.domains {
		share, isKnown := d.Shares[domain]
		sum += share
		if !isKnown {
			d.quota[domain] = inDomain(d.target, domain)
			divided -= d.quota[domain]
		}
	}
	if sum <= 0 {
		return
	}
	var known []*quota
	remaining := divided
	for _, domain := range d.domains {
		share, isKnown := d.Shares[domain]
		if !isKnown {
			continue
		}
		q := &quota{
			domain: domain,
			exact:  max(0, share/sum*float64(divided)),
			most:   d.maxQuota(share/sum, planned),
		}
		q.count = min(int(q.exact), q.most)
		remaining -= q.count
		known = append(known, q)
	}
	for ; remaining > 0; remaining-- {
		var best *quota
		for _, q := range known {
			if q.count < q.most && (best == nil || q.lack() > best.lack()) {
				best = q
			}
		}
		if best == nil {
			break
		}
		best.count++
	}
	for _, q := range known {
		d.quota[q.domain] = q.count
	}
}

// quota is how many replicas a failure domain is to have: by its exact share, and at most.
type quota struct {
	domain string
	exact  float64
	most   int
	count  int
}

func (q *quota) lack() float64 { return q.exact - float64(q.count) }

// maxQuota returns how many replicas a failure domain may have: so many that the others
// suffice when it is lost, but no fewer than even spreading gives it or than
// maxShareDeviation below its share.
func (d *distribution) maxQuota(share float64, planned int) int {
	survivors := math.Ceil(float64(d.Required) * targetBusyFraction / busyFractionAfterLoss)
	even := float64(planned) / float64(len(d.domains))
	quota := max(float64(planned)-survivors, math.Ceil(even), math.Ceil((share-maxShareDeviation)*float64(planned)))
	return min(int(quota), d.Service.Scaling.Max)
}

// setTargets sets how many replicas of a market each failure domain is to have: what is
// expected there, and the difference to the planned number where most are lacking or
// surplus.
func (d *distribution) setTargets(market zinniamast.Market) {
	change := 0
	for _, domain := range d.domains {
		at := Place{
			FailureDomain: domain,
			Market:        market,
		}
		change += d.plan[at] - d.target[at]
	}
	for ; change > 0; change-- {
		at, ok := d.best(market, func(at Place) (int, bool) {
			_, isKnown := d.Shares[at.FailureDomain]
			return d.additionScore(at), isKnown && d.room(d.target, at) > 0
		})
		if !ok {
			return
		}
		d.target[at]++
	}
	for ; change < 0; change++ {
		at, ok := d.best(market, func(at Place) (int, bool) {
			_, isKnown := d.Shares[at.FailureDomain]
			return d.reductionScore(at), isKnown && d.spare(d.target, at) > 0
		})
		if !ok {
			return
		}
		d.target[at]--
	}
}

// transfer moves planned replicas of a market from one place to another, towards the
// targets, and reports whether it did. The plan stays within the limits that the even plan
// observes.
func (d *distribution) transfer(market zinniamast.Market) bool {
	surplus := func(at Place) (int, bool) {
		count := min(d.plan[at]-d.target[at], d.spare(d.plan, at))
		return count, count > 0
	}
	missing := func(at Place) (int, bool) {
		count := min(d.target[at]-d.plan[at], d.room(d.plan, at))
		return count, count > 0
	}
	from, canGive := d.best(market, surplus)
	to, canReceive := d.best(market, missing)
	if !canGive || !canReceive {
		return false
	}
	given, _ := surplus(from)
	received, _ := missing(to)
	d.plan[from] -= min(given, received)
	d.plan[to] += min(given, received)
	return true
}

// best returns the allowed place of a market with the highest score, the cheapest of equal
// ones.
func (d *distribution) best(market zinniamast.Market, score func(Place) (value int, isAllowed bool)) (best Place, ok bool) {
	most := 0
	for _, domain := range d.domains {
		at := Place{
			FailureDomain: domain,
			Market:        market,
		}
		if value, isAllowed := score(at); isAllowed && (!ok || value > most) {
			best, most, ok = at, value, true
		}
	}
	return best, ok
}

// lack returns how many replicas a place's failure domain has too few.
func (d *distribution) lack(at Place) int {
	return d.quota[at.FailureDomain] - inDomain(d.target, at.FailureDomain)
}

// additionScore orders the failure domains that may get another replica, by what they lack.
// A replica that was lost is replaced in its failure domain if that lacks replicas or its
// plan rose lately, and otherwise if all that lack replicas have had their plans reduced
// lately.
func (d *distribution) additionScore(at Place) int {
	lack := d.lack(at)
	isLost := d.target[at] < d.Ordered[at]
	switch {
	case isLost && (lack > 0 || d.Rising[at.FailureDomain]):
		return lack + 3*precedence
	case lack > 0 && !d.Falling[at.FailureDomain]:
		return lack + 2*precedence
	case isLost:
		return lack + precedence
	}
	return lack
}

// reductionScore orders the failure domains that may lose a replica, by their surplus; those
// whose plan rose lately come last.
func (d *distribution) reductionScore(at Place) int {
	surplus := -d.lack(at)
	if surplus > 0 && !d.Rising[at.FailureDomain] {
		return surplus + precedence
	}
	return surplus
}

// room returns how many more replicas a place may get.
func (d *distribution) room(counts map[Place]int, at Place) int {
	room := d.Service.Scaling.Max - inDomain(counts, at.FailureDomain)
	if d.Refused[at] {
		return min(room, d.Present[at]-counts[at])
	}
	return room
}

// spare returns how many replicas a place may lose while its failure domain keeps the
// minimum.
func (d *distribution) spare(counts map[Place]int, at Place) int {
	return min(counts[at], inDomain(counts, at.FailureDomain)-d.Service.Scaling.Min)
}

// inDomain returns the number of replicas of both markets in a failure domain.
func inDomain(counts map[Place]int, domain string) int {
	return counts[reclaimable(domain)] + counts[onDemand(domain)]
}
