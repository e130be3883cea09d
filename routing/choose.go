package routing

import (
	"zinniamast"
)

// Reasons for a choice, used as a metric label and in explanations.
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
	// costTolerance is the cost, as a multiple of the cheapest candidate's, up to
	// which a candidate counts as equally cheap: predictions are not exact enough to
	// distinguish them.
	costTolerance = 1.2
	// homeTolerance is the completion time, as a multiple of the soonest, up to which
	// a home is preferred for the benefit of later requests with the same prefix.
	homeTolerance = 1.25
	// soonestTolerance is the completion time, as a multiple of the soonest, up to
	// which candidates count as equal if none meets the target.
	soonestTolerance = 1.3
	// longPromptTolerance is the completion time, as a multiple of the best other
	// candidate's, up to which a long prompt is sent to a replica for long prompts.
	longPromptTolerance = 2.0
)

// choose returns the index of the best candidate, or -1, and the reason. It applies
// the criteria one after the other, so that a choice can be explained in a sentence:
// the rank, the cost, the prefix's home and the completion time.
func choose(candidates []candidate, request *zinniamast.RouteRequest, homeCost float64) (best int, reason string) {
	if len(candidates) == 0 {
		return -1, choiceNone
	}
	if request.Alone {
		return leastLoaded(candidates), choiceAlone
	}
	bestRank := candidates[0].rank
	for i := range candidates {
		bestRank = min(bestRank, candidates[i].rank)
	}
	switch bestRank {
	case rankOnTarget:
		return cheapest(candidates, homeCost)
	case rankCircuitOpen:
		return oldestOpenCircuit(candidates), choiceProbe
	default:
		return soonest(candidates, bestRank, isLongPrompt(request)), choiceNoTarget
	}
}

// cheapest picks among the candidates that meet the target: the prefix's home if it
// is one of the cheapest, or else the soonest of the cheapest.
func cheapest(candidates []candidate, homeCost float64) (best int, reason string) {
	lowestCost, lowestIndex := -1.0, -1
	for i := range candidates {
		c := &candidates[i]
		if c.rank == rankOnTarget && (lowestIndex < 0 || c.cost < lowestCost) {
			lowestCost, lowestIndex = c.cost, i
		}
	}
	best, home, equallyCheap := -1, -1, 0
	for i := range candidates {
		c := &candidates[i]
		if c.rank != rankOnTarget || c.cost > max(costTolerance, homeCost)*lowestCost {
			continue
		}
		if c.isHome && c.cost <= homeCost*lowestCost && (home < 0 || c.completion < candidates[home].completion) {
			home = i
		}
		if c.cost > costTolerance*lowestCost {
			continue
		}
		equallyCheap++
		if best < 0 || c.completion < candidates[best].completion {
			best = i
		}
	}
	if home >= 0 && float64(candidates[home].completion) <= homeTolerance*float64(candidates[best].completion) {
		return home, choiceHome
	}
	if equallyCheap == 1 {
		return best, choiceCheapest
	}
	return best, choiceSoonest
}

// soonest picks among the candidates of one rank: the cheapest of the soonest. A
// long prompt is sent to a replica for long prompts if that delays it little.
func soonest(candidates []candidate, wanted rank, long bool) int {
	best := cheapestOfSoonest(candidates, wanted, false)
	if !long {
		return best
	}
	preferred := cheapestOfSoonest(candidates, wanted, true)
	if preferred >= 0 && float64(candidates[preferred].completion) <= longPromptTolerance*float64(candidates[best].completion) {
		return preferred
	}
	return best
}

// cheapestOfSoonest picks among the candidates of one rank, optionally only those
// for long prompts; it returns -1 if there are none.
func cheapestOfSoonest(candidates []candidate, wanted rank, longPromptsOnly bool) int {
	earliest := -1
	for i := range candidates {
		c := &candidates[i]
		if c.matches(wanted, longPromptsOnly) && (earliest < 0 || c.completion < candidates[earliest].completion) {
			earliest = i
		}
	}
	best := earliest
	for i := range candidates {
		c := &candidates[i]
		if c.matches(wanted, longPromptsOnly) && c.cost < candidates[best].cost &&
			float64(c.completion) <= soonestTolerance*float64(candidates[earliest].completion) {
			best = i
		}
	}
	return best
}

func (c *candidate) matches(wanted rank, longPromptsOnly bool) bool {
	return c.rank == wanted && (c.replica.takesLongPrompts || !longPromptsOnly)
}

// leastLoaded picks the replica with the fewest sequences: if a suspect request
// crashes its replica, no other request should fail with it.
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

// oldestOpenCircuit picks the replica whose circuit allows a probe soonest. There is
// always one to probe: circuits never make a whole service unavailable.
func oldestOpenCircuit(candidates []candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].replica.circuit.openUntil.Before(candidates[best].replica.circuit.openUntil) {
			best = i
		}
	}
	return best
}
