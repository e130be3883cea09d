package scaling

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"zinniamast/demand"
)

// domainShares returns the shares in which a service's replicas are distributed, for
// State.Shares, and reports them.
func (c *Controller) domainShares(s State, now time.Time) map[string]float64 {
	t := c.trackers[s.Service.Name]
	o := Observation{
		Domains: s.Domains,
		Demand:  map[string]float64{},
		Present: map[string]int{},
		At:      now,
	}
	loads := c.config.Demand.ByDomain(s.Service.Name)
	for _, domain := range s.Domains {
		o.Present[domain] = inDomain(s.Present, domain)
		if load, isKnown := loads[domain]; isKnown {
			o.Demand[domain] = domainDemand(load, s)
		}
	}
	shares := t.domains.Update(o)
	c.metrics.observe(s.Service.Name, s.Domains, o.Demand, shares)
	if !maps.Equal(shares, t.shares) || (shares == nil) != (t.shares == nil) {
		c.config.Logger.Info("replica shares changed", "service", s.Service.Name, "follow_demand", shares != nil,
			"demand", domainText(o.Demand), "shares", domainText(shares), "present", domainText(counts(o.Present)))
	}
	t.shares = shares
	return shares
}

// domainDemand returns how many replicas a failure domain's load needs. If the work of its
// requests is unknown there, the service's mean work is used.
func domainDemand(load demand.Load, s State) float64 {
	if sizedFraction(load) < minSizedFraction && sizedFraction(s.Load) >= minSizedFraction {
		load.Work = load.Arrivals * s.Load.Work / s.Load.Sized
		load.Sized = load.Arrivals
	}
	s.Load = load
	return neededReplicas(s)
}

// expected returns how many replicas each place has once its last order is fulfilled. An
// order that was not fulfilled in time, or since which replicas have left, does not count.
func (c *Controller) expected(s State, now time.Time) map[Place]int {
	expected := maps.Clone(s.Present)
	for key, last := range c.orders {
		if key.service == s.Service.Name && last.isPending(s.Present[key.place], now) {
			expected[key.place] = last.count
		}
	}
	return expected
}

// domainText writes the values of failure domains in the order of their names.
func domainText(values map[string]float64) string {
	var parts []string
	for _, domain := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s=%.2f", domain, values[domain]))
	}
	return strings.Join(parts, " ")
}
