package routing

import (
	"zinniamast"
)

// Why a candidate was chosen, as a metric label and in explanations.
const (
	choiceCheapest = "cheapest_on_target"
	choiceHome     = "prefix_home"
	choiceSoonest  = "soonest_on_target"
	choiceNoTarget = "soonest_off_target"
	choiceProbe    = "probe"
	choiceAlone    = "alone"
	choiceNone     = "none"
)

const (
	// costTolerance is how much dearer than the cheapest a candidate may be and still
	// count as equal: predictions are not exact enough to tell them apart.
	costTolerance = 1.2
	// homeTolerance is how much later than the soonest a home may finish and still
	// be preferred for the sake of later requests with the same prefix.
	homeTolerance = 1.25
	// soonestTolerance is how much later than the soonest still counts as equal where
	// no candidate meets the target.
	soonestTolerance = 1.3
	// longPromptTolerance is how much later than elsewhere a long prompt may be whole on
	// the part of the replicas that long prompts are kept to.
	longPromptTolerance = 2.0
)

// choose returns the index of the best candidate, or -1, and why. It compares
// one thing after the other, so that a choice can be told in a sentence: first
// the rank, then the price, then the prefix's home, then the completion.
func choose(candidates []candidate, need *zinniamast.Need, homeCost float64) (best int, reason string) {
	if len(candidates) == 0 {
		return -1, choiceNone
	}
	if need.Alone {
		return leastLoaded(candidates), choiceAlone
	}
	top := candidates[0].rank
	for i := range candidates {
		top = min(top, candidates[i].rank)
	}
	switch top {
	case rankOnTarget:
		return cheapest(candidates, homeCost)
	case rankCircuitOpen:
		return oldestOpenCircuit(candidates), choiceProbe
	default:
		return soonest(candidates, top, isLongPrompt(need)), choiceNoTarget
	}
}

// cheapest picks among those that meet the target: of the cheapest ones the
// prefix's home, or else the soonest.
func cheapest(candidates []candidate, homeCost float64) (best int, reason string) {
	lowest, least := -1.0, -1
	for i := range candidates {
		c := &candidates[i]
		if c.rank == rankOnTarget && (least < 0 || c.cost < lowest) {
			lowest, least = c.cost, i
		}
	}
	best, home, equals := -1, -1, 0
	for i := range candidates {
		c := &candidates[i]
		if c.rank != rankOnTarget || c.cost > max(costTolerance, homeCost)*lowest {
			continue
		}
		if c.isHome && c.cost <= homeCost*lowest && (home < 0 || c.completion < candidates[home].completion) {
			home = i
		}
		if c.cost > costTolerance*lowest {
			continue
		}
		equals++
		if best < 0 || c.completion < candidates[best].completion {
			best = i
		}
	}
	if home >= 0 && float64(candidates[home].completion) <= homeTolerance*float64(candidates[best].completion) {
		return home, choiceHome
	}
	if equals == 1 {
		return best, choiceCheapest
	}
	return best, choiceSoonest
}

// soonest picks among those of one rank: the cheapest of the soonest. A long
// prompt is kept to its part of the replicas where that delays it little.
func soonest(candidates []candidate, of rank, long bool) int {
	best := cheapestOfSoonest(candidates, of, false)
	if !long {
		return best
	}
	kept := cheapestOfSoonest(candidates, of, true)
	if kept >= 0 && float64(candidates[kept].completion) <= longPromptTolerance*float64(candidates[best].completion) {
		return kept
	}
	return best
}

// cheapestOfSoonest looks at the candidates of one rank, or at those of them
// that long prompts are kept to; it returns -1 if there are none.
func cheapestOfSoonest(candidates []candidate, of rank, longs bool) int {
	first := -1
	for i := range candidates {
		c := &candidates[i]
		if c.matches(of, longs) && (first < 0 || c.completion < candidates[first].completion) {
			first = i
		}
	}
	best := first
	for i := range candidates {
		c := &candidates[i]
		if c.matches(of, longs) && c.cost < candidates[best].cost &&
			float64(c.completion) <= soonestTolerance*float64(candidates[first].completion) {
			best = i
		}
	}
	return best
}

func (c *candidate) matches(of rank, longs bool) bool {
	return c.rank == of && (c.replica.takesLongPrompts || !longs)
}

// leastLoaded picks the replica with the least at stake: what a suspect request
// crashes must take no other request with it.
func leastLoaded(candidates []candidate) int {
	best := 0
	for i := range candidates {
		c, b := &candidates[i], &candidates[best]
		if c.rank >= rankSilent && b.rank < rankSilent {
			continue
		}
		if c.running < b.running || b.rank >= rankSilent && c.rank < rankSilent {
			best = i
		}
	}
	return best
}

// oldestOpenCircuit picks the replica that has been shunned longest. There is always
// one to probe: circuits never close a whole service.
func oldestOpenCircuit(candidates []candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].replica.circuit.openUntil.Before(candidates[best].replica.circuit.openUntil) {
			best = i
		}
	}
	return best
}
