package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// claim is one organisation's demand and weight in a division of capacity.
type claim struct {
	hash   uint64
	demand float64
	weight float64
}

// fairShare is the work that one organisation used over all nodes, and the work
// that it is entitled to, regardless of its demand.
type fairShare struct {
	used     float64
	entitled float64
}

// headroom returns how far the organisation is below its share: 0 at or above
// it, 1 at fullHeadroom below it or further.
func (s fairShare) headroom() float64 {
	if s.entitled <= 0 {
		return 0
	}
	return min(max((1-s.used/s.entitled)/fullHeadroom, 0), 1)
}

// recoveryTime returns how long an organisation above its share must send nothing
// until its usage has decayed to the share.
func (s fairShare) recoveryTime() time.Duration {
	if s.entitled <= 0 {
		return usageWindow
	}
	return time.Duration(float64(usageWindow) * math.Log(s.used/s.entitled))
}

// serviceShares holds the shares of all organisations at one service, by account hash.
type serviceShares map[uint64]fairShare

// shareOf returns an account's share of the work that the fleet admits at its service.
func (u *usage) shareOf(hash uint64, weights map[uint64]float64) fairShare {
	service := serviceOf(hash)
	shares, ok := u.shares[service]
	if !ok {
		shares = divideFairly(u.fleetTotals(service), weights)
		u.shares[service] = shares
	}
	return shares[hash]
}

// addAdmitted adds work that was admitted since the shares were computed.
func (u *usage) addAdmitted(hash uint64, work float64) {
	shares, ok := u.shares[serviceOf(hash)]
	if !ok {
		return
	}
	s := shares[hash]
	s.used += work
	shares[hash] = s
}

// divideFairly divides the work that the fleet admits at a service among the
// organisations by weight (weighted max-min fairness): entitlements beyond an
// organisation's demand go to the others.
func divideFairly(all map[uint64]totals, weights map[uint64]float64) serviceShares {
	claims := make([]claim, 0, len(all))
	for hash, t := range all {
		claims = append(claims, claim{
			hash:   hash,
			demand: t.offered,
			weight: weightOf(weights, hash),
		})
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if byDemand := cmp.Compare(a.demand/a.weight, b.demand/b.weight); byDemand != 0 {
			return byDemand
		}
		return cmp.Compare(a.hash, b.hash)
	})
	remaining, weight := 0.0, 0.0
	for _, c := range claims {
		remaining += all[c.hash].admitted
		weight += c.weight
	}
	shares := make(serviceShares, len(claims))
	for _, c := range claims {
		entitled := remaining * c.weight / weight
		shares[c.hash] = fairShare{
			used:     all[c.hash].admitted,
			entitled: entitled,
		}
		remaining -= min(c.demand, entitled)
		weight -= c.weight
	}
	return shares
}

// weightOf returns the weight of an organisation's account; it is 1 if the
// configuration does not name the organisation.
func weightOf(weights map[uint64]float64, hash uint64) float64 {
	if weight, ok := weights[hash]; ok && weight > 0 {
		return weight
	}
	return 1
}
