package canary

import (
	"maps"
	"slices"
)

// Doubts are logarithms of likelihood ratios: of a version that fails doubtedFailures more
// often than the old ones, and of one of whose answers doubtedSlow are slow, as of one that is
// three times slower. A good version lowers them, also on the slowest replicas.
type Doubts struct {
	Failures float64
	Slow     float64
}

const (
	doubtedFailures = 0.05
	doubtedSlow     = 0.75
	// disturbedFailures is doubtedFailures while old replicas fail. It is smaller because no
	// later answers of healthy old replicas may be there to show the version's failures.
	disturbedFailures = 0.03
	// doubtedMargin is by how much the odds of slow answers may be higher: replicas differ.
	doubtedMargin = 2.0
	// trustLog is the logarithm of the ratios below which a version is trusted, and
	// maxDoubtLog bounds them, so that trust returns once trouble is over.
	trustLog    = -2.0
	maxDoubtLog = 3.0
	minDoubtLog = -6.0
	// renewedLog bounds the trust in a version after old replicas have recovered.
	renewedLog = trustLog / 2
)

// blendWeight is the number of answers that an earlier rate counts for beside those of a slot.
const blendWeight = 20

// blend returns the rate of bad answers of a slot, with an earlier rate: trouble that begins
// or ends meets both versions at once.
func (b binary) blend(rate float64) float64 {
	return (b.bad + blendWeight*rate) / (b.answers + blendWeight)
}

// beyondOdds returns the rate whose odds are higher than those of another by a factor.
func beyondOdds(rate, factor float64) float64 {
	odds := factor * rate / (1 - rate)
	return odds / (1 + odds)
}

// isTrusted reports whether the answers speak for the version.
func (d Doubts) isTrusted() bool { return max(d.Failures, d.Slow) <= trustLog }

// isDoubted reports whether the answers speak against the version.
func (d Doubts) isDoubted() bool { return max(d.Failures, d.Slow) > 0 }

// add adds the answers of a slot, with the old versions' rates. While old replicas fail more
// often than usual, these are the usual ones: what a version shows beside failing replicas
// must not count for more than what it shows beside healthy ones. Once they have recovered,
// the version must show again that it is good.
func (d *Doubts) add(b *baseline, h *health, tallies Tallies) {
	wasDisturbed := h.isDisturbed
	hasBegun, hasEnded := h.add(tallies)
	if hasBegun {
		d.Failures = max(d.Failures, h.doubtBefore)
		h.apart = 0
	}
	if hasEnded {
		if wasDisturbed && d.Failures > 0 && h.apart <= 0 {
			// The trouble may have met both versions.
			d.Failures = max(h.doubtBefore, 0)
		}
		d.Failures = max(d.Failures, renewedLog)
	}
	failures, slow := 0.0, 0.0
	// In a fixed order, all nodes get the same sums.
	for _, cell := range slices.SortedFunc(maps.Keys(tallies), Cell.compare) {
		tally := tallies[cell]
		if !cell.IsNew {
			continue
		}
		key := stratum{
			route:   cell.Route,
			measure: cell.Measure,
		}
		old := tallies[Cell{
			Route:   cell.Route,
			Measure: cell.Measure,
		}]
		if cell.Measure == MeasureFirst {
			usual, more := old.failures().blend(b.rate(key)), doubtedFailures
			if h.isDisturbed {
				h.apart += tally.failures().ratio(usual, beyondOdds(usual, 1.0/changeOdds))
				more = disturbedFailures
			}
			if h.isDisturbed || h.renewals > 0 {
				// The rates of the last seconds still hold the failures of the disturbance.
				usual = min(usual, h.rate(cell.Route))
			}
			failures += tally.failures().ratio(usual, min(usual+more, 0.99))
		}
		if limit, ok := b.durations[key].slowBeyond(slowQuantiles[0]); ok {
			key.slow = 1
			usual := beyondOdds(b.rate(key), doubtedMargin)
			slow += tally.slow(limit).ratio(usual, max(doubtedSlow, (1+usual)/2))
		}
	}
	d.Failures = min(max(d.Failures+failures, minDoubtLog), maxDoubtLog)
	d.Slow = min(max(d.Slow+slow, minDoubtLog), maxDoubtLog)
	if h.isCalm() {
		h.doubtBefore = d.Failures
	}
}
