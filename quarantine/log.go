package quarantine

const (
	// ownReport is the reporter of the crashes that this node observed itself.
	ownReport = "this node"
	// maxLoggedFingerprints limits the fingerprints in one line of the log.
	maxLoggedFingerprints = 16
)

// logCrash logs which requests a node reports to have run on a crashed replica.
func (q *Quarantine) logCrash(c *crash, running []uint64, reporter string) {
	fingerprints := make([]Fingerprint, 0, maxLoggedFingerprints)
	for _, fingerprint := range running[:min(len(running), maxLoggedFingerprints)] {
		fingerprints = append(fingerprints, Fingerprint(fingerprint))
	}
	q.config.Logger.Info("replica crashed", "replica", c.upstream, "failure_domain", c.domain, "reporter", reporter,
		"requests", len(running), "fingerprints", fingerprints)
}

// logAdmitted logs a request that was admitted although replicas crashed while they ran
// it, with the crashes that do not count and why the others do not suffice. The caller
// holds the lock.
func (q *Quarantine) logAdmitted(fingerprint uint64, e evidence) {
	if e.involved == 0 {
		return
	}
	equal := 0
	if e.lastCrash != nil {
		for other := range e.lastCrash.suspects() {
			if other != fingerprint && q.evidenceAgainst(other).crashes >= e.crashes {
				equal++
			}
		}
	}
	q.config.Logger.Info("suspect request admitted", "fingerprint", Fingerprint(fingerprint), "crashes", e.crashes,
		"involved", e.involved, "domain_failures", e.inDomainFailures, "equal_suspects", equal,
		"threshold", q.config.CrashThreshold()+q.extraCrashes(fingerprint))
}

// logCleared logs that a request with evidence against it is no longer suspected. The
// caller holds the lock.
func (q *Quarantine) logCleared(fingerprint uint64, where string) {
	if e := q.evidenceAgainst(fingerprint); e.crashes > 0 {
		q.config.Logger.Info("suspect request cleared", "fingerprint", Fingerprint(fingerprint), "crashes", e.crashes,
			"ended_at", where)
	}
}
