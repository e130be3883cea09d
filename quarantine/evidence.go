package quarantine

import (
	"slices"
	"time"
)

// evidence is the evidence that a request crashes replicas.
type evidence struct {
	// crashes is the number of independent crashes that involved the request since
	// it last ended without a crash.
	crashes int
	// lastCrash is the latest of these crashes.
	lastCrash *crash
	// involved is the number of successive crashes that involved the request since it last
	// ended without a crash, whatever else may have caused them. Unlike crashes, it counts
	// the failures of whole domains.
	involved int
	// lastInvolved is the latest crash that involved the request, and inDomainFailures the
	// number of those that count as the failure of a whole failure domain.
	lastInvolved     *crash
	inDomainFailures int
	// inSameDomain is the number of those that are not among crashes because another one in
	// their failure domain had just counted.
	inSameDomain int
	// written is the number of successive crashes of replicas that had been answering the
	// request for a while, beside others that are likelier to have crashed them.
	written int
	// lastReport is when the latest of all these crashes was reported.
	lastReport time.Time
}

// maxWritten is the number of successive crashes after which a request is held back although
// each replica had been answering it for a while.
const maxWritten = 5

// evidenceAgainst gathers the evidence against a request. The caller holds the lock.
//
// Crashes in one failure domain within seconds count once, because a request
// that is retried within a failing domain is involved in the crashes of several
// replicas.
//
// For the successive crashes, those observed within crashReportTimeout count once: the nodes
// that ran copies of the request may not have known of each other's crashes. Reports arrive
// late and in any order, so the times at which this node learned of the crashes do not tell.
//
// A late report of a crash must not hold a request back again after an operator
// freed it. Therefore crashes that were reported before the request was freed
// do not count, no matter when the report arrives.
func (q *Quarantine) evidenceAgainst(fingerprint uint64) evidence {
	var e evidence
	cleared := q.clearedAt[fingerprint]
	freed := q.freed[fingerprint].at
	counted := map[string]time.Time{}
	successive, written := make([]time.Time, 0, 4), make([]time.Time, 0, 4)
	for _, c := range q.crashes {
		reported, isSuspect := c.suspects()[fingerprint]
		if !isSuspect {
			reported = c.writing[fingerprint]
		}
		if c.at.Before(cleared) || !reported.After(freed) {
			continue
		}
		e.lastReport = reported
		if !isSuspect {
			if isSuccessive(written, c) {
				written = append(written, c.observed)
				e.written++
			}
			continue
		}
		if isSuccessive(successive, c) {
			successive = append(successive, c.observed)
			e.involved++
		}
		e.lastInvolved = c
		if q.isDomainFailure(c, fingerprint) {
			e.inDomainFailures++
			continue
		}
		e.lastCrash = c
		before, seen := counted[c.domain]
		if seen && c.domain != "" && c.at.Sub(before) < domainFailureWindow {
			e.inSameDomain++
			continue
		}
		counted[c.domain] = c.at
		e.crashes++
	}
	return e
}

// isSuccessive reports whether a crash is not within crashReportTimeout of another one that counted.
func isSuccessive(counted []time.Time, c *crash) bool {
	for _, at := range counted {
		if c.observed.Sub(at).Abs() < crashReportTimeout {
			return false
		}
	}
	return true
}

// isCulprit reports whether the evidence is sufficient to hold a request back.
// The caller holds the lock.
//
// A replica that crashes because of one poison request may run thirty innocent
// ones, which must not be held back as well. Therefore the first crash only
// makes its requests suspects, and these are then run on separate replicas. Of
// the requests of the next crash, only one that was involved in more crashes
// than every other can be the cause, because an innocent request was involved
// in at most as many crashes as the poison request that it ran beside.
//
// If replicas crash for several reasons at once, or all in the only failure domain of a
// service, this comparison may find none of them. A request is then held back after one
// crash more than the threshold, or two more if it last ran beside one that was in as
// many, but not beside one that was in more: an innocent request that has failed that
// often in succession is rare, and one more run would most likely fail as well.
func (q *Quarantine) isCulprit(fingerprint uint64, e evidence) bool {
	if q.freed[fingerprint].onProbation && e.crashes > 0 {
		return true
	}
	threshold := q.config.CrashThreshold()
	extraCrashes := q.extraCrashes(fingerprint)
	if e.written >= maxWritten {
		return true
	}
	isComparable := extraCrashes == 0 && e.inDomainFailures == 0 && e.inSameDomain == 0
	if !isComparable && e.involved > threshold {
		equal, stronger := q.suspectsBeside(fingerprint, e)
		if stronger == 0 && (equal == 0 || e.involved > threshold+1) {
			return true
		}
	}
	if e.crashes < threshold+extraCrashes {
		return false
	}
	for other := range e.lastCrash.suspects() {
		if other != fingerprint && q.evidenceAgainst(other).crashes >= e.crashes {
			return false
		}
		// A freed request may be the cause after all. This crash holds it back again,
		// and the requests that ran beside it are not held back.
		if q.freed[other].onProbation {
			return false
		}
	}
	return true
}

// suspectsBeside returns how many of the other requests that ran on the replica that
// crashed last were in as many successive crashes, and how many in more. The caller holds
// the lock.
func (q *Quarantine) suspectsBeside(fingerprint uint64, e evidence) (equal, stronger int) {
	for other := range e.lastInvolved.suspects() {
		if other == fingerprint {
			continue
		}
		switch involved := q.evidenceAgainst(other).involved; {
		case involved == e.involved:
			equal++
		case involved > e.involved:
			stronger++
		}
	}
	return equal, stronger
}

// extraCrashes returns the number of crashes required beyond the configured
// threshold. It is one if other replicas crashed recently that did not run the
// request and are not part of a recognised domain failure. Crashes then have two
// causes, and an innocent request can be involved in one crash of each, so a
// further crash is required.
func (q *Quarantine) extraCrashes(fingerprint uint64) int {
	for _, c := range q.crashes {
		if !c.ran(fingerprint) && time.Since(c.at) < domainFailureWindow && !q.isDomainFailure(c, fingerprint) {
			return 1
		}
	}
	return 0
}

// isDomainFailure reports whether a crash is part of the failure of a whole
// failure domain and therefore no evidence against the request. If the request
// ran on every replica that crashed in the domain, it is the likely cause, and
// the crashes remain evidence.
func (q *Quarantine) isDomainFailure(c *crash, fingerprint uint64) bool {
	if c.domain == "" {
		return false
	}
	crashes, involved := 0, 0
	for _, other := range q.crashes {
		gap := other.at.Sub(c.at).Abs()
		if other.domain != c.domain || gap > domainFailureWindow {
			continue
		}
		crashes++
		if other.ran(fingerprint) {
			involved++
		}
	}
	return crashes >= domainFailureCrashes && involved < crashes
}

// countsAsEvidence reports whether a crash during a run is evidence against its
// request: either the request is not a suspect yet, or the run started after the last
// crash that involved it. Identical requests of many callers already run on many
// replicas when one of them crashes, so without this rule they would be involved in
// every following crash. The caller holds the lock.
func (q *Quarantine) countsAsEvidence(fingerprint uint64, r *run) bool {
	if freed, ok := q.freed[fingerprint]; ok {
		return !r.lastStart.Before(freed.at)
	}
	for _, c := range slices.Backward(q.crashes) {
		if c.ran(fingerprint) && !c.at.Before(q.clearedAt[fingerprint]) {
			return !r.lastStart.Before(c.at)
		}
	}
	return true
}

// recentCrashes returns the number of replicas of a failure domain that crashed
// recently. When a domain of hundreds of replicas fails, only its first crashes
// are published with all requests that ran there: publishing the others would saturate
// the links between nodes for minutes. The caller holds the lock.
func (q *Quarantine) recentCrashes(domain string) int {
	if domain == "" {
		return 0
	}
	crashes := 0
	for _, c := range q.crashes {
		if c.domain == domain && time.Since(c.at) < domainFailureWindow {
			crashes++
		}
	}
	return crashes
}

// successive returns those of the requests that were in several successive crashes. The
// caller holds the lock.
func (q *Quarantine) successive(fingerprints []uint64) []uint64 {
	return slices.DeleteFunc(fingerprints, func(fingerprint uint64) bool {
		e := q.evidenceAgainst(fingerprint)
		return e.involved < 2 && e.written < 2
	})
}
