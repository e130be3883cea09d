package canary

import (
	"maps"
	"slices"
)

// doubts are logarithms of likelihood ratios: of a version that fails doubtedFailures more
// often than the old ones, and of one of whose answers doubtedSlow are slow, as of one that is
// three times slower. A good version lowers them, also on the slowest replicas.
type doubts struct {
	failures, slow float64
}

const (
	doubtedFailures = 0.05
	doubtedSlow     = 0.75
	// trustLog is the logarithm of the ratios below which a version is trusted, and
	// maxDoubtLog bounds them, so that trust returns once trouble is over.
	trustLog    = -2.0
	maxDoubtLog = 3.0
	minDoubtLog = -6.0
)

// isTrusted reports whether the answers speak for the version.
func (d doubts) isTrusted() bool { return max(d.failures, d.slow) <= trustLog }

// isDoubted reports whether the answers speak against the version.
func (d doubts) isDoubted() bool { return max(d.failures, d.slow) > 0 }

// add adds the answers of a slot, with the old versions' rates.
func (d *doubts) add(b *baseline, tallies Tallies) {
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
		if cell.Measure == MeasureFirst {
			usual := b.rate(key)
			failures += tally.failures().ratio(usual, min(usual+doubtedFailures, 0.99))
		}
		if limit, ok := b.durations[key].slowBeyond(slowQuantiles[0]); ok {
			key.slow = 1
			usual := b.rate(key)
			slow += tally.slow(limit).ratio(usual, max(doubtedSlow, (1+usual)/2))
		}
	}
	d.failures = min(max(d.failures+failures, minDoubtLog), maxDoubtLog)
	d.slow = min(max(d.slow+slow, minDoubtLog), maxDoubtLog)
}
