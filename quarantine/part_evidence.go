package quarantine

import (
	"slices"
	"time"
)

const (
	// partThreshold is the depth of evidence from which a part is held back.
	partThreshold = 2
	// maxEqualDepth is the depth from which a part is held back although others are equal to
	// it.
	maxEqualDepth = 5
	// otherCauseTime is how long a crash without a part makes it less likely that the part is
	// the cause of other crashes, once the reports of all nodes have come.
	otherCauseTime = 10 * time.Second
)

// partCrash is the crash of one replica.
type partCrash struct {
	upstream string
	domain   string
	at       time.Time
	// suspects holds the parts that may have crashed the replica.
	suspects map[uint64]suspectPart
}

// suspectPart is a suspect of a crash.
type suspectPart struct {
	// depth is one more than the depth of the evidence against the part that the node knew
	// when it sent the request to the replica.
	//
	// Crashes at the same moment, as in the failure of a domain, are thus of one depth, and
	// evidence grows only with runs that started after earlier crashes were known. This
	// requires no order of events at different nodes.
	depth int
	// reported is when the crash was reported, by the clock of the reporting node.
	reported time.Time
}

func (c *partCrash) maxDepth() int {
	depth := 0
	for _, s := range c.suspects {
		depth = max(depth, s.depth)
	}
	return depth
}

// partEvidence is the evidence against a part.
type partEvidence struct {
	// depth is the number of successive crashes, each of a run that started when those before
	// it were known.
	depth int
	// crashes is the number of all crashes, and domains that of the failure domains in which
	// they were.
	crashes, domains int
	// recentDomains are the failure domains of the latest crashes.
	recentDomains []string
	// deepest is the latest crash of that depth.
	deepest *partCrash
	// lastReport is when the latest crash was reported.
	lastReport time.Time
}

// evidenceAgainst gathers the evidence against a part since it was last sound or freed,
// except the crashes that a part explains that is held back. The caller holds the lock.
func (p *Parts) evidenceAgainst(part uint64) partEvidence {
	var e partEvidence
	var domains []string
	soundAt, wasSound := p.sound.at(part)
	for _, c := range p.suspected[part] {
		s := c.suspects[part]
		if wasSound && c.at.Sub(soundAt) <= soundTime || !s.reported.After(p.freed[part]) || p.isExplained(c, part) {
			continue
		}
		e.crashes++
		if s.depth >= e.depth {
			e.depth, e.deepest = s.depth, c
		}
		if s.reported.After(e.lastReport) {
			e.lastReport = s.reported
		}
		domain := c.domain
		if domain == "" {
			domain = c.upstream // Unknown domains are taken for different ones.
		}
		if !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
		if c.domain != "" && time.Since(c.at) < domainFailureWindow {
			e.recentDomains = append(e.recentDomains, c.domain)
		}
	}
	e.domains = len(domains)
	return e
}

// isExplained reports whether parts that are held back explain a crash without a part. The
// caller holds the lock.
func (p *Parts) isExplained(c *partCrash, part uint64) bool {
	for _, held := range p.held {
		if held.contains(part) {
			continue
		}
		if !slices.ContainsFunc(held.Parts, func(h Part) bool { return c.suspects[uint64(h)].depth == 0 }) {
			return true
		}
	}
	return false
}

// culprits returns the parts of a request that are to be held back; nil if the evidence does
// not suffice. If requests with one of them have always had the others as well, only
// requests with all of them are.
//
// Sound parts that are new are suspects of the crashes beside which they ran. They are in
// fewer crashes than the culprit, as one that a replica answers is sound from then on. The
// caller holds the lock.
func (p *Parts) culprits(parts []uint64) (set []uint64, e partEvidence) {
	for _, part := range parts {
		found := p.evidenceAgainst(part)
		if found.depth <= e.depth || !p.suffices(part, found) {
			continue
		}
		rivals := p.rivals(part, found)
		areAllIn := !slices.ContainsFunc(rivals, func(r uint64) bool { return !slices.Contains(parts, r) })
		switch {
		case p.onProbation(part), found.depth >= maxEqualDepth && !areAllIn:
			set, e = []uint64{part}, found
		case areAllIn:
			set, e = append(rivals, part), found
		}
	}
	return set, e
}

// suffices reports whether the evidence against a part suffices to hold it back, unless there
// are rivals. The caller holds the lock.
func (p *Parts) suffices(part uint64, e partEvidence) bool {
	if p.onProbation(part) {
		return e.depth > 0
	}
	threshold := partThreshold
	if _, wasSound := p.sound.at(part); wasSound || e.domains < 2 || p.hasOtherCause(part) {
		threshold++
	}
	return e.depth >= threshold
}

// rivals returns the other suspects of a part's deepest crash against which there is as much
// evidence. The caller holds the lock.
func (p *Parts) rivals(part uint64, e partEvidence) []uint64 {
	var rivals []uint64
	for other := range e.deepest.suspects {
		if other != part && p.evidenceAgainst(other).depth >= e.depth {
			rivals = append(rivals, other)
		}
	}
	return rivals
}

// hasOtherCause reports whether replicas have crashed lately for which neither the part nor
// one that is held back is the cause. The caller holds the lock.
func (p *Parts) hasOtherCause(part uint64) bool {
	for _, c := range p.crashes {
		age := time.Since(c.at)
		_, isSuspect := c.suspects[part]
		if !isSuspect && age < otherCauseTime && age > crashReportTimeout && !p.isExplained(c, part) {
			return true
		}
	}
	return false
}

// prove records that a run has shown that its parts are sound, and returns those against
// which there was evidence. The caller holds the lock.
func (p *Parts) prove(r *partRun) (cleared []uint64) {
	r.isProved = true
	for _, part := range r.parts {
		if p.clear(part, r.began, r.upstream) {
			cleared = append(cleared, part)
		}
	}
	return cleared
}

// clear records that a replica began a sound answer to a prompt with a part, and reports
// whether there was evidence against it or a verdict on it. The caller holds the lock.
func (p *Parts) clear(part uint64, at time.Time, where string) bool {
	depth := p.evidenceAgainst(part).depth
	wasOnProbation := p.onProbation(part)
	p.sound.put(part, at)
	delete(p.lapsed, part)
	wasHeld := p.release(part)
	if depth == 0 && !wasHeld && !wasOnProbation {
		return false
	}
	p.config.Logger.Info("suspect prompt part cleared", "part", Part(part), "depth", depth, "held", wasHeld, "answered_by", where)
	return true
}

// recordCrash records the suspects of a crash that a node reports. It reports whether any of
// them, or its depth, was not recorded before. The caller holds the lock.
func (p *Parts) recordCrash(upstream string, suspects map[uint64]int, now, reported time.Time) (c *partCrash, isNew bool) {
	for _, known := range slices.Backward(p.crashes) {
		if now.Sub(known.at) > crashMergeWindow {
			break
		}
		if known.upstream == upstream {
			c = known
			break
		}
	}
	if c == nil {
		c = &partCrash{
			upstream: upstream,
			domain:   p.config.FailureDomain(upstream),
			at:       now,
			suspects: map[uint64]suspectPart{},
		}
		p.crashes = append(p.crashes, c)
		p.dropCrashes(len(p.crashes) - maxPartCrashes)
	}
	for part, depth := range suspects {
		known, ok := c.suspects[part]
		if ok && known.depth >= depth || !ok && len(c.suspects) >= maxSuspectParts && depth == 1 {
			continue
		}
		if !ok {
			p.suspected[part] = append(p.suspected[part], c)
		}
		c.suspects[part] = suspectPart{
			depth:    depth,
			reported: reported,
		}
		isNew = true
	}
	return c, isNew
}

// recentCrashes returns the number of replicas of a failure domain that crashed recently. The
// caller holds the lock.
func (p *Parts) recentCrashes(domain string, now time.Time) int {
	count := 0
	for _, c := range p.crashes {
		if domain != "" && c.domain == domain && now.Sub(c.at) < domainFailureWindow {
			count++
		}
	}
	return count
}

// dropExpired forgets what is too old. The caller holds the lock.
func (p *Parts) dropExpired(now time.Time) {
	for key, held := range p.held {
		if now.Before(held.expires) {
			continue
		}
		p.drop(key)
		for _, part := range held.Parts {
			p.lapsed[uint64(part)] = now
		}
	}
	old := 0
	for old < len(p.crashes) && now.Sub(p.crashes[old].at) > crashRetention {
		old++
	}
	p.dropCrashes(old)
	for part, at := range p.lapsed {
		if now.Sub(at) > staleItemAge {
			delete(p.lapsed, part)
		}
	}
	for part, at := range p.freed {
		if now.Sub(at) > staleItemAge {
			delete(p.freed, part)
		}
	}
}

// dropCrashes forgets the oldest crashes. The caller holds the lock.
func (p *Parts) dropCrashes(count int) {
	if count <= 0 {
		return
	}
	for _, c := range p.crashes[:count] {
		for part := range c.suspects {
			p.suspected[part] = slices.DeleteFunc(p.suspected[part], func(other *partCrash) bool { return other == c })
			if len(p.suspected[part]) == 0 {
				delete(p.suspected, part)
			}
		}
	}
	p.crashes = slices.Delete(p.crashes, 0, count)
}
