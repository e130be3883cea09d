package quarantine

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/xxh3"

	"zinniamast"
)

// PartsConfig holds the dependencies and settings of Parts.
type PartsConfig struct {
	// FailureDomain returns the failure domain of a replica, or "" if it is unknown.
	// If nil, all are unknown.
	FailureDomain func(upstream string) string
	// Gossip exchanges reports with the other nodes. If nil, only this node's own
	// crashes count.
	Gossip zinniamast.Gossip
	// Table keeps the parts that are held back while all nodes are stopped. If nil, they
	// are forgotten then.
	Table zinniamast.Table
	// Logger logs each part that is held back, cleared or freed. If nil, nothing is logged.
	Logger *slog.Logger
	// Registerer registers the counters. If nil, they are not registered.
	Registerer prometheus.Registerer
}

const (
	// WritingTime is how long a replica must have written an answer until that shows that
	// neither the request nor a part of its prompt crashes replicas when they begin to answer.
	WritingTime = 500 * time.Millisecond
	// soundTime is how long before a crash a replica may have begun to write a sound answer
	// for the parts of its prompt not to be suspects of the crash.
	soundTime = 2 * time.Second
	// maxPartCrashes and maxSuspectParts bound the retained crashes and the suspects of each.
	maxPartCrashes  = 200
	maxSuspectParts = 64
)

// Parts finds and holds back the parts of prompts that crash each replica that begins to
// answer a request with them, whatever else the request contains. It implements
// zinniamast.PartQuarantine. No other lock is taken while its mutex is held, except by
// Config.FailureDomain.
type Parts struct {
	config  PartsConfig
	metrics *partMetrics
	archive *archive

	mu sync.Mutex
	// running holds the runs of requests whose prompts have parts, by replica.
	running map[string]map[*partRun]bool
	// crashes are in the order in which this node learned of them.
	crashes []*partCrash
	// suspected holds the crashes of which a part is a suspect, in the same order.
	suspected map[uint64][]*partCrash
	sound     soundParts
	// held holds the sets of parts that are held back, by their key.
	held map[string]HeldParts
	// lapsed and freed hold the times at which a part was last held back without being
	// freed, and at which an operator freed it.
	lapsed map[uint64]time.Time
	freed  map[uint64]time.Time
	// withdrawn holds the keys of this node's verdicts that no longer hold and that the
	// other nodes have not been told of.
	withdrawn []string
}

var _ zinniamast.PartQuarantine = (*Parts)(nil)

// NewParts returns a quarantine of prompt parts that subscribes to the reports of other
// nodes.
func NewParts(config PartsConfig) *Parts {
	if config.FailureDomain == nil {
		config.FailureDomain = func(string) string { return "" }
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	p := &Parts{
		config:    config,
		metrics:   newPartMetrics(config.Registerer),
		archive:   newArchive(config.Table, partTablePartition, config.Logger),
		running:   map[string]map[*partRun]bool{},
		suspected: map[uint64][]*partCrash{},
		held:      map[string]HeldParts{},
		lapsed:    map[uint64]time.Time{},
		freed:     map[uint64]time.Time{},
	}
	if config.Gossip != nil {
		config.Gossip.Subscribe(zinniamast.TopicPromptPart, p.receiveEvidence)
		config.Gossip.Subscribe(zinniamast.TopicQuarantine, p.receiveVerdict)
	}
	return p
}

// Run reads the parts that were held back when all nodes stopped, and stores changes until
// ctx ends.
func (p *Parts) Run(ctx context.Context) { p.archive.run(ctx, p.readHeld) }

// Check implements zinniamast.PartQuarantine.
func (p *Parts) Check(parts []uint64) (alone bool, err error) {
	if len(parts) == 0 {
		return false, nil
	}
	p.mu.Lock()
	now := time.Now()
	p.dropExpired(now)
	held, isHeld := p.heldIn(parts)
	isNew := false
	if !isHeld {
		held, isNew = p.holdCulprit(parts, now)
		isHeld = isNew
	}
	alone = !isHeld && p.hasSuspect(parts)
	var cancels []func()
	if isNew {
		cancels = p.takeCancels(held)
	}
	p.mu.Unlock()
	if isNew {
		p.publishHeld(held)
		runAll(cancels)
	}
	if isHeld {
		p.metrics.refused.Inc()
		return false, zinniamast.Refuse(zinniamast.ReasonQuarantined,
			"%d replicas crashed when they began to answer prompts with the part %s; it is held back",
			held.Crashes, held.Key()).WithRetryAfter(max(time.Second, held.expires.Sub(now)))
	}
	if alone {
		p.metrics.alone.Inc()
	}
	return alone, nil
}

// hasSuspect reports whether a part is suspected of having crashed replicas. The caller
// holds the lock.
func (p *Parts) hasSuspect(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		return p.onProbation(part) || p.evidenceAgainst(part).depth > 0
	})
}

// suspectReplicas is the number of replicas that the requests with a suspect part use. Half
// as many more are used as there are unanswered ones of this node, as many requests with a
// part are most likely no suspects for long.
const suspectReplicas = 2

// ReplicasToAvoid implements zinniamast.PartQuarantine. All nodes choose the same replicas
// for a part, outside the failure domains in which it may just have crashed some, so that
// its next crash involves as few replicas and as few other suspects as possible.
func (p *Parts) ReplicasToAvoid(parts []uint64, replicas []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var suspect uint64
	var strongest partEvidence
	for _, part := range parts {
		if e := p.evidenceAgainst(part); e.depth > strongest.depth {
			suspect, strongest = part, e
		}
	}
	if strongest.depth == 0 {
		return nil
	}
	usable := slices.DeleteFunc(slices.Clone(replicas), func(id string) bool {
		return slices.Contains(strongest.recentDomains, p.config.FailureDomain(id))
	})
	if len(usable) == 0 {
		usable = slices.Clone(replicas)
	}
	slices.SortFunc(usable, func(a, b string) int {
		return cmp.Compare(xxh3.HashStringSeed(a, suspect), xxh3.HashStringSeed(b, suspect))
	})
	usable = usable[:min(len(usable), suspectReplicas+p.unanswered(suspect)/2)]
	return slices.DeleteFunc(slices.Clone(replicas), func(id string) bool { return slices.Contains(usable, id) })
}

// unanswered returns the number of this node's runs with a part that have shown nothing yet.
// The caller holds the lock.
func (p *Parts) unanswered(part uint64) int {
	count := 0
	for _, runs := range p.running {
		for r := range runs {
			if !r.isProved && slices.Contains(r.parts, part) {
				count++
			}
		}
	}
	return count
}

// Started implements zinniamast.PartQuarantine.
func (p *Parts) Started(upstream string, parts []uint64, cancel func()) zinniamast.PartRun {
	if len(parts) == 0 {
		return idleRun{}
	}
	r := &partRun{
		owner:    p,
		upstream: upstream,
		parts:    parts,
		cancel:   cancel,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) > 0 {
		r.depths = make([]int, len(parts))
		for i, part := range parts {
			r.depths[i] = p.evidenceAgainst(part).depth
		}
	}
	if p.running[upstream] == nil {
		p.running[upstream] = map[*partRun]bool{}
	}
	p.running[upstream][r] = true
	return r
}

// ReplicaCrashed implements zinniamast.PartQuarantine. It must be called before Ended of the
// runs on the replica.
func (p *Parts) ReplicaCrashed(upstream string) {
	now := time.Now()
	p.mu.Lock()
	runs := p.running[upstream]
	if len(runs) == 0 {
		p.mu.Unlock()
		return
	}
	suspects := p.suspectsOf(runs, now)
	c, isNew := p.recordCrash(upstream, suspects, now, now)
	shouldPublish := isNew && (p.recentCrashes(c.domain, now) <= domainFailureCrashes || c.maxDepth() > 1)
	if isNew {
		p.logCrash(c, suspects, ownReport)
	}
	var verdicts []HeldParts
	var cancels []func()
	for r := range runs {
		if held, ok := p.holdCulprit(r.parts, now); ok {
			verdicts = append(verdicts, held)
			cancels = append(cancels, p.takeCancels(held)...)
		}
	}
	p.mu.Unlock()
	if shouldPublish {
		p.publishCrash(upstream, suspects)
	}
	for _, held := range verdicts {
		p.publishHeld(held)
	}
	runAll(cancels)
}

// suspectsOf returns the parts of the runs on a crashed replica that may have crashed it. A
// replica that has been writing an answer for a while was not crashed by its prompt, and a part
// that a replica has answered lately crashes none. The caller holds the lock.
func (p *Parts) suspectsOf(runs map[*partRun]bool, now time.Time) map[uint64]int {
	suspects := map[uint64]int{}
	for r := range runs {
		if r.isProved || !r.began.IsZero() && now.Sub(r.began) >= WritingTime {
			continue
		}
		for i, part := range r.parts {
			if soundAt, ok := p.sound.at(part); ok && now.Sub(soundAt) <= soundTime {
				continue
			}
			depth := 1
			if r.depths != nil {
				depth += r.depths[i]
			}
			suspects[part] = max(suspects[part], depth)
		}
	}
	return suspects
}

// takeCancels returns the functions that cancel the runs of this node that a verdict holds
// back and whose replicas have not begun to answer. The caller holds the lock.
func (p *Parts) takeCancels(held HeldParts) []func() {
	var cancels []func()
	for _, runs := range p.running {
		for r := range runs {
			if r.began.IsZero() && r.cancel != nil && held.isIn(r.parts) {
				cancels = append(cancels, r.cancel)
				r.cancel = nil
			}
		}
	}
	return cancels
}

func runAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// partRun is one run of a request at a replica. It implements zinniamast.PartRun.
type partRun struct {
	owner    *Parts
	upstream string
	parts    []uint64
	// depths are the depths of the evidence against the parts when the run started; nil if
	// there was none.
	depths []int

	// The owner's lock guards the fields below.

	cancel func()
	// began is when the replica began to write the answer; zero before that.
	began time.Time
	// isProved reports whether the run has shown that its parts are sound.
	isProved bool
}

// Wrote implements zinniamast.PartRun.
func (r *partRun) Wrote() {
	now := time.Now()
	p := r.owner
	p.mu.Lock()
	if r.began.IsZero() {
		r.began = now
	}
	var cleared []uint64
	if !r.isProved && now.Sub(r.began) >= WritingTime {
		cleared = p.prove(r)
	}
	p.mu.Unlock()
	p.publishSound(cleared)
}

// Ended implements zinniamast.PartRun.
func (r *partRun) Ended(isAnswered bool) {
	p := r.owner
	p.mu.Lock()
	delete(p.running[r.upstream], r)
	if len(p.running[r.upstream]) == 0 {
		delete(p.running, r.upstream)
	}
	var cleared []uint64
	if isAnswered && !r.isProved {
		if r.began.IsZero() {
			r.began = time.Now()
		}
		cleared = p.prove(r)
	}
	p.mu.Unlock()
	p.publishSound(cleared)
}

// idleRun is the run of a request without parts. It implements zinniamast.PartRun.
type idleRun struct{}

// Wrote implements zinniamast.PartRun.
func (idleRun) Wrote() {}

// Ended implements zinniamast.PartRun.
func (idleRun) Ended(bool) {}
