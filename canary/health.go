package canary

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"zinniamast"
)

// health tells when old replicas fail more often than they usually do. A version that fails
// too looks good beside them, so its failures are then compared with the usual rates.
type health struct {
	// usual are the old versions' failures by route while they were healthy.
	usual map[uint32]binary
	// pending are the answers of the newest slots by route, if they speak for a change. They are
	// learned learnDelay slots later, unless the old versions are found to fail by then.
	pending map[uint32][]binary
	// worse and better are, by route, logarithms of the likelihood ratios of a change from
	// the usual rate, from the most likely moment of the change on. recent counts the answers
	// since that moment for better.
	worse  map[uint32]float64
	better map[uint32]float64
	recent map[uint32]binary
	// failing are the routes on which old replicas have failed in this disturbance, and
	// recovered is the logarithm of the ratio for its end.
	failing   map[uint32]bool
	recovered float64
	// isDisturbed means that old replicas fail more often than usual, and doubtBefore is the
	// doubt about the new version before they may have begun to.
	isDisturbed bool
	doubtBefore float64
	// apart is the logarithm of the likelihood ratio of a new version that fails far less than
	// the old ones in this disturbance, as of one that the same trouble meets.
	apart float64
	// renewals is the number of times that evidence was asked for again.
	renewals int
	// isRestored means that the usual rates are those of an earlier leader.
	isRestored bool
}

const (
	// changeOdds is the least change of the odds of failures that is looked for.
	changeOdds = 3
	// disturbedLog is the logarithm of the ratio from which old replicas are disturbed, which
	// takes three failures of some 30 answers where one in 500 is usual, and recoveredLog that
	// from which they are so no more, which takes some 100 answers.
	disturbedLog = 5.0
	recoveredLog = 5.0
	// betterLog is the one from which the rates known so far are taken to be those of a
	// disturbance that began before them. It is not looked for where the usual rate is below
	// doubtedFailures, which hides little.
	betterLog = 7.0
	// learnDelay is the number of slots in which a disturbance is found.
	learnDelay = 4
	// minLearnedRate is the number of answers from which a usual rate is compared with, and
	// maxLearnedRate bounds their weight, so that usual rates follow slow changes.
	minLearnedRate = 40
	maxLearnedRate = 2000
	// ratePrior is the number of answers, one of them failed, that are added for a rate.
	ratePrior = 10
	// maxUsualRoutes bounds the usual rates that are recorded.
	maxUsualRoutes = 16
	// youngJudge is the number of closed slots up to which a judge takes over usual rates, at an
	// age of 7 s. With 13 s, judges that had known more lost the trust after a new leader.
	youngJudge = 8
)

func newHealth() health {
	return health{
		usual:  map[uint32]binary{},
		worse:  map[uint32]float64{},
		better: map[uint32]float64{},
		recent: map[uint32]binary{},

		pending: map[uint32][]binary{},
		failing: map[uint32]bool{},
	}
}

// clone returns a copy, for slots that may still change.
func (h *health) clone() health {
	c := *h
	c.usual, c.recent = maps.Clone(h.usual), maps.Clone(h.recent)
	c.worse, c.better = maps.Clone(h.worse), maps.Clone(h.better)
	c.failing = maps.Clone(h.failing)
	c.pending = maps.Clone(h.pending)
	return c
}

// rate returns the usual rate of failures on a route.
func (h *health) rate(route uint32) float64 {
	known := h.usual[route]
	return min((known.bad+1)/(known.answers+ratePrior), maxRate)
}

// highRate returns a usual rate on the high side by about one standard deviation. A rate that
// was taken for too low would never be reached again, and so the disturbance never end.
func (h *health) highRate(route uint32) float64 {
	known := h.usual[route]
	return min((known.bad+1+math.Sqrt(known.bad))/(known.answers+ratePrior), maxRate)
}

// add adds the old versions' answers of a slot. It reports whether old replicas have begun to
// fail more often than usual, and whether they do so no more.
func (h *health) add(tallies Tallies) (hasBegun, hasEnded bool) {
	counts := map[uint32]binary{}
	for cell, tally := range tallies {
		if !cell.IsNew && cell.Measure == MeasureFirst {
			counts[cell.Route] = tally.failures()
		}
	}
	for _, route := range slices.Sorted(maps.Keys(counts)) {
		if h.usual[route].answers >= minLearnedRate && h.compare(route, counts[route]) {
			h.forget(route)
			hasEnded = true
		}
	}
	for route, log := range h.worse {
		if log >= disturbedLog {
			h.failing[route] = true
		}
	}
	wasDisturbed := h.isDisturbed
	h.isDisturbed = len(h.failing) > 0 && h.recovered < recoveredLog
	hasBegun = h.isDisturbed && !wasDisturbed
	hasEnded = hasEnded || wasDisturbed && !h.isDisturbed
	if hasEnded {
		h.renewals++
		h.recovered = 0
		clear(h.failing)
		clear(h.worse)
	}
	if h.isDisturbed {
		clear(h.pending)
		return hasBegun, hasEnded
	}
	for route, count := range counts {
		h.learn(route, count)
	}
	return hasBegun, hasEnded
}

// isCalm reports whether nothing speaks for a disturbance.
func (h *health) isCalm() bool {
	for _, log := range h.worse {
		if log > 0 {
			return false
		}
	}
	return true
}

// compare compares a route's answers of a slot with its usual rate. It reports whether the old
// versions are found to fail less often than that.
func (h *health) compare(route uint32, counts binary) (isBetter bool) {
	rate := h.highRate(route)
	worse := min(max(rate+doubtedFailures, beyondOdds(rate, changeOdds)), 0.99)
	h.worse[route] = min(max(0, h.worse[route]+counts.ratio(rate, worse)), disturbedLog)
	if h.failing[route] {
		h.recovered = max(0, h.recovered-counts.ratio(rate, worse))
	}
	rate = h.rate(route)
	if rate < doubtedFailures {
		return false
	}
	better := h.better[route] + counts.ratio(rate, beyondOdds(rate, 1.0/changeOdds))
	if better <= 0 {
		h.better[route] = 0
		delete(h.recent, route)
		return false
	}
	h.better[route] = better
	sum := h.recent[route]
	sum.add(counts)
	h.recent[route] = sum
	return better >= betterLog
}

// forget replaces the usual rate of a route by its recent one. What is known of the other
// routes is as old, so it gets little weight.
func (h *health) forget(route uint32) {
	for other, known := range h.usual {
		h.usual[other] = known.atMost(minLearnedRate)
	}
	h.usual[route] = h.recent[route]
	clear(h.worse)
	clear(h.failing)
	clear(h.better)
	clear(h.recent)
	clear(h.pending)
}

// learn adds a route's answers of a slot to its usual rate, once nothing speaks for a change.
func (h *health) learn(route uint32, count binary) {
	// A new slice, as a clone may share the old one.
	pending := append(slices.Clone(h.pending[route]), count)
	known := 0
	switch {
	case h.worse[route] == 0:
		known = len(pending)
	case len(pending) > learnDelay:
		known = 1
	}
	sum := h.usual[route]
	for _, b := range pending[:known] {
		sum.add(b)
	}
	h.usual[route] = sum.atMost(maxLearnedRate)
	h.pending[route] = pending[known:]
}

// atMost returns the same rate with a bounded number of answers.
func (b binary) atMost(answers float64) binary {
	if b.answers <= answers {
		return b
	}
	return binary{
		answers: answers,
		bad:     b.bad * answers / b.answers,
	}
}

// rates returns the usual rates, for the record of the rollout.
func (h *health) rates() []zinniamast.RouteFailures {
	var rates []zinniamast.RouteFailures
	for route, known := range h.usual {
		if known.answers >= minLearnedRate {
			rates = append(rates, zinniamast.RouteFailures{
				Route:   route,
				Answers: math.Round(known.answers),
				Failed:  math.Round(10*known.bad) / 10,
			})
		}
	}
	slices.SortFunc(rates, func(a, b zinniamast.RouteFailures) int {
		return cmp.Or(cmp.Compare(b.Answers, a.Answers), cmp.Compare(a.Route, b.Route))
	})
	return rates[:min(len(rates), maxUsualRoutes)]
}

// restore takes over the usual rates that an earlier leader knew.
func (h *health) restore(rates []zinniamast.RouteFailures) {
	h.isRestored = true
	for _, r := range rates {
		h.usual[r.Route] = binary{
			answers: r.Answers,
			bad:     r.Failed,
		}
		delete(h.worse, r.Route)
		delete(h.better, r.Route)
		delete(h.recent, r.Route)
	}
	clear(h.pending)
}
