package quarantine

import (
	"slices"
	"time"
)

// ReplicasToAvoid returns the replicas that a suspect should avoid, so that its next run
// provides as much evidence as possible.
//
// If all suspects of a crash were retried on the same few replicas, the next
// crash would involve the same requests again and would not show which of them
// is the cause. Therefore suspects with equal evidence are spread over disjoint
// groups of replicas, and every node computes the same groups. Suspects also
// avoid the failure domains in which replicas recently crashed while running
// them, because a crash in another domain distinguishes a poison request from
// the failure of a whole domain. At least two replicas remain for each suspect.
func (q *Quarantine) ReplicasToAvoid(fingerprint uint64, replicas []string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	outside := q.outsideCrashedDomains(fingerprint, replicas)
	slices.Sort(outside)
	positions := make(map[string]int, len(outside))
	for position, id := range outside {
		positions[id] = position
	}
	suspects := q.equalSuspects(fingerprint)
	groups := max(1, min(len(suspects), len(outside)/minReplicasPerSuspect))
	ownGroup := slices.Index(suspects, fingerprint) % groups
	var avoid []string
	for _, id := range replicas {
		position, ok := positions[id]
		if !ok || position%groups != ownGroup {
			avoid = append(avoid, id)
		}
	}
	return avoid
}

// minReplicasPerSuspect is the number of replicas that each suspect may at least use.
const minReplicasPerSuspect = 2

// outsideCrashedDomains returns the replicas in failure domains in which no
// replica recently crashed while running the request, or all replicas if those
// are too few. The caller holds the lock.
func (q *Quarantine) outsideCrashedDomains(fingerprint uint64, replicas []string) []string {
	domains := map[string]bool{}
	for _, c := range q.crashes {
		if c.ran(fingerprint) && time.Since(c.at) < domainFailureWindow {
			domains[c.domain] = true
		}
	}
	var outside []string
	for _, id := range replicas {
		if !domains[q.config.FailureDomain(id)] {
			outside = append(outside, id)
		}
	}
	if len(outside) < minReplicasPerSuspect {
		return slices.Clone(replicas)
	}
	return outside
}

// equalSuspects returns, in ascending order, the request itself and those
// requests of its last crash against which there is at least as much evidence.
// The caller holds the lock.
func (q *Quarantine) equalSuspects(fingerprint uint64) []uint64 {
	suspects := []uint64{fingerprint}
	e := q.evidenceAgainst(fingerprint)
	if e.lastCrash == nil {
		return suspects
	}
	for other := range e.lastCrash.suspects() {
		if other != fingerprint && q.evidenceAgainst(other).crashes >= e.crashes {
			suspects = append(suspects, other)
		}
	}
	slices.Sort(suspects)
	return suspects
}
