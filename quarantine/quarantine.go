// Package quarantine holds back requests that crash the replicas that run them.
// It finds them by comparing, by content fingerprint, which requests were running
// on the replicas that crashed.
package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
)

// Config holds the dependencies and settings of a Quarantine.
type Config struct {
	// CrashThreshold returns the number of crashes after which a request is held back. If
	// nil, it is 2.
	CrashThreshold func() int
	// FailureDomain returns the failure domain of a replica, or "" if it is unknown.
	// If nil, all are unknown.
	FailureDomain func(upstream string) string
	// Started returns when a replica was last started, or the zero time if it is unknown.
	// If nil, all are unknown.
	Started func(upstream string) time.Time
	// Gossip exchanges reports with the other nodes. If nil, only this node's own
	// crashes count.
	Gossip zinniamast.Gossip
	// Table keeps the requests that are held back while all nodes are stopped. If nil,
	// they are forgotten then.
	Table zinniamast.Table
	// Logger logs each request that is held back or freed. If nil, nothing is logged.
	Logger *slog.Logger
	// Registerer registers the counters. If nil, they are not registered.
	Registerer prometheus.Registerer
}

const (
	defaultCrashThreshold = 2
	// crashMergeWindow is the time within which reports about one replica belong to
	// the same crash.
	crashMergeWindow = 10 * time.Second
	// domainFailureCrashes crashes in one failure domain within domainFailureWindow
	// are a failure of the whole domain rather than single crashes.
	domainFailureWindow  = 10 * time.Second
	domainFailureCrashes = 3
	// crashReportTimeout is how long a node waits for the reports of other nodes
	// about the requests that ran on a crashed replica.
	crashReportTimeout = 500 * time.Millisecond
	// crashRetention is how long a crash counts as evidence against a request.
	crashRetention = 30 * time.Minute
	// maxCrashes limits the number of retained crashes. The oldest are dropped first.
	maxCrashes = 1000
)

// Quarantine implements zinniamast.Quarantine. No other lock is taken while its
// mutex is held.
type Quarantine struct {
	config  Config
	metrics *metrics
	archive *archive

	mu sync.Mutex
	// running holds the running requests by replica and fingerprint.
	running map[string]map[uint64]*run
	// crashes are in the order in which this node learned of them.
	crashes []*crash
	// clearedAt holds the time at which a suspect last ended without a crash.
	clearedAt map[uint64]time.Time
	// held contains the requests held back by this node, and remoteHeld those held
	// back by other nodes.
	held       map[uint64]Held
	remoteHeld map[uint64]Held
	// freed contains the requests that an operator freed.
	freed map[uint64]freedState
}

// run describes the running requests with one fingerprint on one replica.
type run struct {
	// count is their number, and writing that of those whose answer the replica has been
	// writing for a while.
	count, writing int
	// firstStart and lastStart are the times at which the first and the last of
	// these requests started.
	firstStart, lastStart time.Time
}

// crash is the crash of one replica.
type crash struct {
	upstream string
	domain   string
	// at is when this node learned of the crash.
	at time.Time
	// observed is when the first node observed the crash, of those that reported it.
	observed time.Time
	// started is when the replica that crashed had been started.
	started time.Time
	// running holds the fingerprints of the requests that ran on the replica, as
	// reported by all nodes, with the time of the latest report.
	running map[uint64]time.Time
	// writing holds those that the replica had been answering for a while. They are no
	// suspects while there are others.
	writing map[uint64]time.Time
}

// suspects returns the requests that may have crashed the replica.
func (c *crash) suspects() map[uint64]time.Time {
	if len(c.running) == 0 {
		return c.writing
	}
	return c.running
}

// ran reports whether the request is a suspect of the crash.
func (c *crash) ran(fingerprint uint64) bool {
	_, ok := c.suspects()[fingerprint]
	return ok
}

var _ zinniamast.Quarantine = (*Quarantine)(nil)

// New returns a quarantine that subscribes to the reports of other nodes.
func New(config Config) *Quarantine {
	if config.CrashThreshold == nil {
		config.CrashThreshold = func() int { return defaultCrashThreshold }
	}
	if config.FailureDomain == nil {
		config.FailureDomain = func(string) string { return "" }
	}
	if config.Started == nil {
		config.Started = func(string) time.Time { return time.Time{} }
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	q := &Quarantine{
		config:     config,
		metrics:    newMetrics(config.Registerer),
		archive:    newArchive(config.Table, tablePartition, config.Logger),
		running:    map[string]map[uint64]*run{},
		clearedAt:  map[uint64]time.Time{},
		held:       map[uint64]Held{},
		remoteHeld: map[uint64]Held{},
		freed:      map[uint64]freedState{},
	}
	if config.Gossip != nil {
		config.Gossip.Subscribe(zinniamast.TopicCrash, q.receiveCrashItem)
		config.Gossip.Subscribe(zinniamast.TopicQuarantine, q.receiveQuarantineItem)
	}
	return q
}

// Check implements zinniamast.Quarantine. If the request's replica crashed within
// the last half second, Check waits for the rest of that time, so that other nodes
// can report the requests that they ran on the replica. Without these reports the
// request would seem to be the only one that ran there, and nodes would disagree
// on the replicas that each suspect avoids.
func (q *Quarantine) Check(fingerprint uint64) (bool, error) {
	if pause := q.reportWait(fingerprint); pause > 0 {
		time.Sleep(pause)
	}
	return q.CheckRetry(fingerprint)
}

// CheckRetry implements zinniamast.Quarantine.
func (q *Quarantine) CheckRetry(fingerprint uint64) (bool, error) {
	alone, held, isNew := q.decide(fingerprint)
	if held == nil {
		return alone, nil
	}
	if isNew {
		q.publishHeldBack(held)
	}
	return false, zinniamast.Refuse(zinniamast.ReasonQuarantined,
		"%d replicas died running this request (fingerprint %s); it is held back until an operator has looked at it",
		held.Crashes, held.Fingerprint)
}

// decide reports whether a request must run alone or is held back, and whether it
// was not held back before.
func (q *Quarantine) decide(fingerprint uint64) (alone bool, held *Held, isNew bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropExpired(time.Now())
	freed := q.freed[fingerprint].onProbation
	if len(q.crashes) == 0 && len(q.remoteHeld) == 0 && !freed {
		return false, nil, false
	}
	entry, ok := q.held[fingerprint]
	if !ok {
		entry, ok = q.remoteHeld[fingerprint]
	}
	if !ok {
		evidence := q.evidenceAgainst(fingerprint)
		if !q.isCulprit(fingerprint, evidence) {
			alone = freed || evidence.crashes > 0 || evidence.involved > 1
			if alone {
				q.metrics.alone.Inc()
			}
			q.logAdmitted(fingerprint, evidence)
			return alone, nil, false
		}
		entry = q.holdBack(fingerprint, evidence)
	}
	q.metrics.refused.Inc()
	return false, &entry, !ok
}

// holdBack records that a request is held back. The caller holds the lock.
func (q *Quarantine) holdBack(fingerprint uint64, e evidence) Held {
	held := Held{
		Fingerprint: Fingerprint(fingerprint),
		Since:       time.Now(),
		expires:     time.Now().Add(crashRetention),
		Crashes:     max(e.crashes, e.involved, e.written),
		lastReport:  e.lastReport,
	}
	q.held[fingerprint] = held
	q.config.Logger.Warn("request held back", "fingerprint", held.Fingerprint, "crashes", held.Crashes,
		"reason", zinniamast.ReasonQuarantined)
	return held
}

// reportWait returns how long other nodes' reports about the request's last crash
// are still awaited.
func (q *Quarantine) reportWait(fingerprint uint64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.crashes) == 0 {
		return 0
	}
	evidence := q.evidenceAgainst(fingerprint)
	if evidence.crashes == 0 {
		return 0
	}
	return crashReportTimeout - time.Since(evidence.lastCrash.at)
}

// AttemptStarted implements zinniamast.Quarantine.
func (q *Quarantine) AttemptStarted(upstream string, fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	runs := q.running[upstream]
	if runs == nil {
		runs = map[uint64]*run{}
		q.running[upstream] = runs
	}
	if runs[fingerprint] == nil {
		runs[fingerprint] = &run{
			firstStart: time.Now(),
		}
	}
	runs[fingerprint].lastStart = time.Now()
	runs[fingerprint].count++
}

// AttemptWrites implements zinniamast.Quarantine.
func (q *Quarantine) AttemptWrites(upstream string, fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.running[upstream][fingerprint]; r != nil {
		r.writing++
	}
}

// AttemptEnded implements zinniamast.Quarantine.
//
// An attempt that was refused, failed or was cancelled does not clear a suspect, as its
// replica may never have run the request.
func (q *Quarantine) AttemptEnded(upstream string, fingerprint uint64, isAnswered bool) {
	q.mu.Lock()
	r := q.running[upstream][fingerprint]
	if r == nil {
		q.mu.Unlock()
		return
	}
	shouldPublish, wasHeld, isHeldElsewhere := false, false, false
	isCleared := isAnswered && !q.crashedSince(upstream, r.firstStart)
	if freed := q.freed[fingerprint]; isCleared && freed.onProbation && !r.firstStart.Before(freed.at) {
		freed.onProbation = false
		q.freed[fingerprint] = freed
	}
	if isCleared && len(q.crashes)+len(q.remoteHeld) > 0 {
		_, isHeldElsewhere = q.remoteHeld[fingerprint]
		e := q.evidenceAgainst(fingerprint)
		wasHeld = q.markCleared(fingerprint, upstream)
		// After the failure of a large domain most requests were in a single crash, and
		// publishing the end of each would take too much of the links between nodes.
		shouldPublish = e.crashes > 0 || e.involved > 1 || wasHeld || isHeldElsewhere
	}
	q.endRun(upstream, fingerprint, r)
	q.mu.Unlock()
	if shouldPublish && q.config.Gossip != nil {
		q.publishCleared(fingerprint)
	}
	if wasHeld || isHeldElsewhere {
		q.publishNotHeld(fingerprint)
	}
}

// markCleared records that a request ended without crashing its replica, on this
// node or on another one. It reports whether this node had decided to hold the request
// back. The caller holds the lock.
func (q *Quarantine) markCleared(fingerprint uint64, where string) (wasHeld bool) {
	q.logCleared(fingerprint, where)
	_, wasHeld = q.held[fingerprint]
	delete(q.held, fingerprint)
	delete(q.remoteHeld, fingerprint)
	for _, c := range q.crashes {
		if _, wasWriting := c.writing[fingerprint]; wasWriting || c.ran(fingerprint) {
			q.clearedAt[fingerprint] = time.Now()
			break
		}
	}
	return wasHeld
}

// endRun removes one request from the running ones. The caller holds the lock.
func (q *Quarantine) endRun(upstream string, fingerprint uint64, r *run) {
	r.count--
	r.writing = min(r.writing, r.count)
	if r.count > 0 {
		return
	}
	delete(q.running[upstream], fingerprint)
	if len(q.running[upstream]) == 0 {
		delete(q.running, upstream)
	}
}

// crashedSince reports whether a replica crashed at or after the given time. The
// caller holds the lock.
func (q *Quarantine) crashedSince(upstream string, since time.Time) bool {
	for _, c := range q.crashes {
		if c.upstream == upstream && !c.at.Before(since) {
			return true
		}
	}
	return false
}

// ReplicaCrashed implements zinniamast.Quarantine. It must be called before Ended of the
// requests that were running on the replica.
func (q *Quarantine) ReplicaCrashed(upstream string) {
	q.mu.Lock()
	var running, writing []uint64
	for fingerprint, r := range q.running[upstream] {
		switch {
		case !q.countsAsEvidence(fingerprint, r):
		case r.writing == r.count:
			writing = append(writing, fingerprint)
		default:
			running = append(running, fingerprint)
		}
	}
	now := time.Now()
	isNew := q.recordCrash(upstream, running, now, ownReport)
	isNewWriting := q.recordWriting(upstream, writing, now, ownReport)
	if q.recentCrashes(q.config.FailureDomain(upstream)) > domainFailureCrashes {
		running, writing = q.successive(running), q.successive(writing)
	}
	q.mu.Unlock()
	if q.config.Gossip == nil {
		return
	}
	if isNew && len(running) > 0 {
		q.publishCrash(upstream, running)
	}
	if isNewWriting && len(writing) > 0 {
		q.publishCrash(writingKeyPrefix+upstream, writing)
	}
}

// recordCrash records the requests that a node reports to have run on a crashed
// replica and reports whether any of them was not recorded before. The caller holds
// the lock.
func (q *Quarantine) recordCrash(upstream string, running []uint64, reportedAt time.Time, reporter string) bool {
	c := q.crashOf(upstream, reportedAt)
	return q.recordRuns(c, c.running, running, reportedAt, reporter)
}

// recordWriting is recordCrash for the requests that the replica had been answering for a
// while. The caller holds the lock.
func (q *Quarantine) recordWriting(upstream string, writing []uint64, reportedAt time.Time, reporter string) bool {
	c := q.crashOf(upstream, reportedAt)
	return q.recordRuns(c, c.writing, writing, reportedAt, reporter)
}

// crashOf returns the crash to which a report about a replica belongs, which may be a new one.
// The caller holds the lock.
func (q *Quarantine) crashOf(upstream string, reportedAt time.Time) *crash {
	now := time.Now()
	c := q.findRecentCrash(upstream, now)
	if c == nil {
		c = &crash{
			upstream: upstream,
			domain:   q.config.FailureDomain(upstream),
			at:       now,
			observed: now,
			started:  q.config.Started(upstream),
			running:  map[uint64]time.Time{},
			writing:  map[uint64]time.Time{},
		}
		q.crashes = append(q.crashes, c)
		q.metrics.crashes.Inc()
	}
	if reportedAt.Before(c.observed) {
		c.observed = reportedAt
	}
	return c
}

// recordRuns adds requests to those of a crash, and reports whether any of them is new there.
// The caller holds the lock.
func (q *Quarantine) recordRuns(c *crash, known map[uint64]time.Time, fingerprints []uint64, reportedAt time.Time, reporter string) bool {
	before := len(known)
	for _, fingerprint := range fingerprints {
		if reportedAt.After(known[fingerprint]) {
			known[fingerprint] = reportedAt
		}
	}
	isNew := len(known) > before
	if isNew {
		q.logCrash(c, fingerprints, reporter)
	}
	return isNew
}

// findRecentCrash returns the crash to which a report received now belongs, or nil. A
// replica that was started again since has crashed again.
func (q *Quarantine) findRecentCrash(upstream string, now time.Time) *crash {
	for _, c := range slices.Backward(q.crashes) {
		if now.Sub(c.at) > crashMergeWindow {
			return nil
		}
		if c.upstream == upstream {
			if !c.started.IsZero() && q.config.Started(upstream).After(c.started) {
				return nil
			}
			return c
		}
	}
	return nil
}

// dropExpired removes expired crashes and the oldest ones beyond maxCrashes. The
// caller holds the lock.
func (q *Quarantine) dropExpired(now time.Time) {
	q.dropExpiredHeld(now)
	old := max(0, len(q.crashes)-maxCrashes)
	for old < len(q.crashes) && now.Sub(q.crashes[old].at) > crashRetention {
		old++
	}
	if old == 0 {
		return
	}
	q.crashes = append(q.crashes[:0:0], q.crashes[old:]...)
	if len(q.crashes) == 0 {
		clear(q.clearedAt)
		clear(q.held)
	}
}
