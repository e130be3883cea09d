package canary

import (
	"maps"
	"slices"
	"time"

	"zinniamast"
)

// A replica that crashes, is reset or loses its path breaks all its connections, so the number
// of answers that are lost depends on its load and not on its version. All answers that one such
// event breaks off at a node therefore count as one failure at most (breaks), and a few events of
// new replicas do not count at all (losses).

const (
	// breakTime is how long answers that break off at a replica may belong to the same event at
	// a node. A version whose every answer breaks off is counted in full after it.
	breakTime = time.Second
	// minLost is the number of answers from which an event is one of the replica or its path:
	// a request that fails breaks its own connection only.
	minLost = 2
	// maxExcused is the number of events that do not count, each at another replica. Beyond it a
	// version counts as one that crashes its replicas.
	maxExcused = 3
)

// isBreak reports whether the connection broke off, as in a crash of the replica.
func (s *Sample) isBreak() bool {
	return s.IsFailed && (s.Failure == zinniamast.FailureReset || s.Failure == zinniamast.FailureCutShort)
}

// breaks holds the latest event of each replica at this node. A later answer of the replica
// ends the event.
type breaks map[string]lostReplica

type lostReplica struct {
	// at is when the first answer broke off.
	at time.Time
	// isBack means that the replica has answered since.
	isBack bool
}

// add records a sample. It returns the time at which it counts: for an answer that broke off,
// that of the first one of its event. isFirst reports whether the sample is no later one.
func (b breaks) add(sample *Sample, at time.Time) (event time.Time, isFirst bool) {
	last, ok := b[sample.Replica]
	if !sample.isBreak() {
		// With an end, the sample may be of an answer that did not come in time.
		if ok && !sample.IsFailed && sample.First > 0 && sample.Took == 0 {
			last.isBack = true
			b[sample.Replica] = last
		}
		return at, true
	}
	if ok && !last.isBack {
		if at.Sub(last.at) <= breakTime {
			return last.at, false
		}
		return at, true
	}
	b[sample.Replica] = lostReplica{
		at: at,
	}
	return at, true
}

// losses are the events in which replicas of the new version lost several connections at once.
type losses struct {
	// excused are the replicas of which an event does not count.
	excused map[uint32]bool
	// uncounted is the number of answers that broke off beyond those that count.
	uncounted float64
}

func newLosses() losses {
	return losses{
		excused: map[uint32]bool{},
	}
}

// clone returns a copy, for slots that may still change.
func (l *losses) clone() losses {
	return losses{
		excused:   maps.Clone(l.excused),
		uncounted: l.uncounted,
	}
}

// merge returns the tallies of a slot with the events of nodes that count among the failures.
// Those of one replica in a slot are taken for one event of the replica when it is excused.
func (l *losses) merge(tallies Tallies) Tallies {
	lost := map[uint32]uint64{}
	for cell, tally := range tallies {
		if cell.Measure == MeasureBreak {
			lost[cell.Replica] += Tallies{cell: tally}.size()
		}
	}
	if len(lost) == 0 {
		return tallies
	}
	isExcused := map[uint32]bool{}
	for _, replica := range slices.Sorted(maps.Keys(lost)) {
		if lost[replica] >= minLost && !l.excused[replica] && len(l.excused) < maxExcused {
			l.excused[replica], isExcused[replica] = true, true
		}
	}
	merged := maps.Clone(tallies)
	for cell, tally := range tallies {
		if cell.Measure != MeasureBreak {
			continue
		}
		delete(merged, cell)
		l.uncounted += tally.answers()
		if isExcused[cell.Replica] {
			l.uncounted += float64(tally.Failed)
			continue
		}
		merged.addFailed(Cell{
			Route:  cell.Route,
			Domain: cell.Domain,
			IsNew:  cell.IsNew,
		}, tally.Failed)
	}
	return merged
}
