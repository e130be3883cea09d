package scaling

import (
	"maps"
	"slices"
	"time"
)

const (
	// unevenFraction is the difference between two failure domains' demand, relative to
	// the mean of all, from which demand is uneven. minUnevenReplicas is the least
	// difference in replicas: with a few requests per second the relative difference is
	// mostly chance.
	unevenFraction    = 0.5
	minUnevenReplicas = 1
	// unevenTime is how long demand must be uneven before plans follow it.
	unevenTime = 10 * time.Second
	// decisionInterval is the time between two changes of the shares.
	decisionInterval = 30 * time.Second
	// turnInterval is the time between two changes of direction of a failure domain's plan
	// while demand alternates. It is to be 30 s between orders, which may follow their plan
	// a round later.
	turnInterval = 30*time.Second + planInterval
	// unknownTime is how long a new lease holder waits for the load of all failure
	// domains before it stops keeping a distribution that it found.
	unknownTime = 30 * time.Second
	// evenTime is how long demand must be even before replicas are moved back.
	evenTime = 5 * time.Minute
	// evenTolerance is the difference in replicas between two failure domains up to
	// which they are evenly distributed.
	evenTolerance = 2
)

// Observation is what is known of a service's failure domains at one time.
type Observation struct {
	Domains []string
	// Demand is the number of replicas that each failure domain's load needs. A failure
	// domain whose load is unknown is missing.
	Demand map[string]float64
	// Present is the number of replicas in each failure domain.
	Present map[string]int
	At      time.Time
}

// isComplete reports whether the demand of each failure domain is known.
func (o Observation) isComplete() bool { return len(o.Demand) >= len(o.Domains) }

// exceeds reports whether the demand of one failure domain exceeds that of another by
// more than the limit for even demand.
func (o Observation) exceeds(more, less string) bool {
	m, isKnownMore := o.Demand[more]
	l, isKnownLess := o.Demand[less]
	return isKnownMore && isKnownLess && m-l > unevenLimit(o.Demand)
}

// DomainDemand follows the demand of a service's failure domains and decides in which
// shares plans distribute replicas. The zero value is that of a new lease holder.
type DomainDemand struct {
	startedAt time.Time
	// recent are the observations of the last decisionInterval.
	recent []Observation
	// shares sum up to one; nil means that plans spread replicas evenly.
	shares map[string]float64
	// nextDecision is the earliest time at which shares change.
	nextDecision time.Time
	// isProvisional marks shares of a new lease holder that has not yet seen demand for
	// unevenTime.
	isProvisional bool
	// evenSince is when the shares became even; zero while they are not.
	evenSince time.Time
	// trends are the directions of the plans of the failure domains.
	trends map[string]trend
}

// trend is the direction in which a failure domain's plan changed last.
type trend struct {
	count int
	rises bool
	// since is when the plan turned to this direction; zero before its first change.
	since time.Time
}

// Update records an observation and returns the share of each failure domain, or nil if
// replicas are to be spread evenly. A failure domain whose load is unknown has no share.
//
// Shares follow demand that has been uneven for unevenTime and change every
// decisionInterval. A new lease holder cannot know for how long demand has been uneven: if
// it finds an uneven distribution, and the demand is uneven or not known everywhere, it
// takes the distribution for its predecessor's and keeps it.
func (d *DomainDemand) Update(o Observation) map[string]float64 {
	if d.startedAt.IsZero() {
		d.startedAt = o.At
	}
	d.recent = slices.DeleteFunc(d.recent, func(past Observation) bool {
		return o.At.Sub(past.At) > decisionInterval
	})
	d.recent = append(d.recent, o)
	switch {
	case len(o.Domains) < 2:
		d.shares = nil
	case d.shares != nil:
		d.reconsider(o)
	case d.hasLastingDifference(o) && !o.At.Before(d.nextDecision):
		d.follow(d.meanDemand(o, unevenTime), o.At.Add(decisionInterval))
	case o.At.Sub(d.startedAt) < unevenTime && !isEvenlyDistributed(o):
		d.followProvisionally(o)
	}
	return d.knownShares(o)
}

// RecordPlan records a plan whose orders were accepted.
func (d *DomainDemand) RecordPlan(plan map[Place]int, domains []string, now time.Time) {
	if d.trends == nil {
		d.trends = map[string]trend{}
	}
	for _, domain := range domains {
		count := inDomain(plan, domain)
		t, ok := d.trends[domain]
		rises := count > t.count
		if ok && count != t.count && (t.since.IsZero() || rises != t.rises) {
			t.rises = rises
			t.since = now
		}
		t.count = count
		d.trends[domain] = t
	}
}

// Trends returns the failure domains whose plan turned to rise or to fall within
// turnInterval.
func (d *DomainDemand) Trends(now time.Time) (rising, falling map[string]bool) {
	rising, falling = map[string]bool{}, map[string]bool{}
	for domain, t := range d.trends {
		if t.since.IsZero() || now.Sub(t.since) >= turnInterval {
			continue
		}
		rising[domain] = t.rises
		falling[domain] = !t.rises
	}
	return rising, falling
}

// follow sets the shares to those of a demand.
func (d *DomainDemand) follow(demand map[string]float64, nextDecision time.Time) {
	d.shares = map[string]float64{}
	total := sumOf(demand)
	for domain, value := range demand {
		if total > 0 {
			d.shares[domain] = value / total
		}
	}
	d.nextDecision = nextDecision
	d.isProvisional = false
	d.evenSince = time.Time{}
}

// followProvisionally sets the shares to the present demand if it is uneven. While it is
// not known everywhere, no failure domain has a share, so that each keeps its replicas.
func (d *DomainDemand) followProvisionally(o Observation) {
	switch {
	case !o.isComplete():
		d.follow(nil, o.At.Add(unevenTime))
		d.isProvisional = true
	case isUneven(o.Demand):
		d.follow(o.Demand, o.At.Add(unevenTime))
		d.isProvisional = true
	default:
		d.end(o.At)
	}
}

// reconsider changes the shares if a decision is due. Once demand is even, the shares are
// equal until the distribution is even too, so that replicas are not moved for a
// difference that may return.
func (d *DomainDemand) reconsider(o Observation) {
	if d.isProvisional && len(d.shares) == 0 && o.isComplete() {
		d.followProvisionally(o)
		return
	}
	if o.At.Before(d.nextDecision) {
		return
	}
	mean := d.meanDemand(o, decisionInterval)
	switch {
	case isUneven(mean):
		d.follow(mean, o.At.Add(decisionInterval))
	case d.isProvisional:
		if o.isComplete() || o.At.Sub(d.startedAt) >= unknownTime {
			d.end(o.At)
		}
	case !o.isComplete():
		d.nextDecision = o.At.Add(decisionInterval)
	case d.evenSince.IsZero():
		d.follow(equalDemand(o.Domains), o.At.Add(decisionInterval))
		d.evenSince = o.At
	case isEvenlyDistributed(o) || o.At.Sub(d.evenSince) >= evenTime:
		d.end(o.At.Add(decisionInterval))
	}
}

// end returns to evenly spread plans, at least until nextDecision.
func (d *DomainDemand) end(nextDecision time.Time) {
	d.shares = nil
	d.isProvisional = false
	d.nextDecision = nextDecision
}

// hasLastingDifference reports whether the demand of one failure domain has exceeded that
// of another one for unevenTime. It is the same two all the time, so that demand that
// alternates between failure domains does not count.
func (d *DomainDemand) hasLastingDifference(o Observation) bool {
	start := slices.IndexFunc(d.recent, func(past Observation) bool { return o.At.Sub(past.At) < unevenTime })
	if start < 1 {
		return false
	}
	for more := range o.Demand {
		for less := range o.Demand {
			isWithinLimit := func(past Observation) bool { return !past.exceeds(more, less) }
			if !slices.ContainsFunc(d.recent[start-1:], isWithinLimit) {
				return true
			}
		}
	}
	return false
}

// meanDemand returns the mean demand over a time of each failure domain that is known now.
func (d *DomainDemand) meanDemand(o Observation, over time.Duration) map[string]float64 {
	mean := map[string]float64{}
	for domain := range o.Demand {
		sum, count := 0.0, 0.0
		for _, past := range d.recent {
			if value, isKnown := past.Demand[domain]; isKnown && o.At.Sub(past.At) <= over {
				sum += value
				count++
			}
		}
		mean[domain] = sum / count
	}
	return mean
}

// knownShares returns the shares of the failure domains whose load is known. One alone has
// no share: it would get all new replicas.
func (d *DomainDemand) knownShares(o Observation) map[string]float64 {
	if d.shares == nil {
		return nil
	}
	known := maps.Clone(d.shares)
	maps.DeleteFunc(known, func(domain string, _ float64) bool {
		_, isKnown := o.Demand[domain]
		return !isKnown
	})
	if len(known) < 2 {
		clear(known)
	}
	return known
}

// isUneven reports whether the values of two failure domains differ by more than the limit
// for even demand.
func isUneven(values map[string]float64) bool {
	if len(values) < 2 {
		return false
	}
	all := slices.Collect(maps.Values(values))
	return slices.Max(all)-slices.Min(all) > unevenLimit(values)
}

func unevenLimit(values map[string]float64) float64 {
	return max(minUnevenReplicas, unevenFraction*sumOf(values)/float64(len(values)))
}

// isEvenlyDistributed reports whether returning to evenly spread plans moves only a few
// replicas.
func isEvenlyDistributed(o Observation) bool {
	all := slices.Collect(maps.Values(counts(o.Present)))
	return len(all) == 0 || slices.Max(all)-slices.Min(all) <= evenTolerance
}

func counts(present map[string]int) map[string]float64 {
	values := map[string]float64{}
	for domain, count := range present {
		values[domain] = float64(count)
	}
	return values
}

func equalDemand(domains []string) map[string]float64 {
	equal := map[string]float64{}
	for _, domain := range domains {
		equal[domain] = 1
	}
	return equal
}

func sumOf(values map[string]float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum
}
