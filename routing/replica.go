package routing

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// priorityCount is the number of priority classes that a queue distinguishes.
const priorityCount = 3

// replica is the router's state of one upstream.
type replica struct {
	id          string
	serial      uint32
	hash        uint64
	upstream    *blackboard.Upstream
	servesCalls bool
	roundTrip   time.Duration
	// takesLongPrompts means that the replica is one of those that long prompts prefer.
	takesLongPrompts bool
	// pricePerSecond is the price of a second of the instance.
	pricePerSecond float64

	speed         *speed
	firstFactor   factor
	betweenFactor factor

	own    ownLoad
	remote remoteLoad
	report residualReport
	// reportGroup is shared with the service's other replicas in the failure domain.
	reportGroup *reportGroup

	cache   cacheState
	circuit circuit
	limit   concurrencyLimit
	// polledAt is when the engine was last polled.
	polledAt time.Time
}

func newReplica(upstream *blackboard.Upstream, serial uint32, distance time.Duration, servesCalls bool) *replica {
	id := upstream.Instance.ID
	return &replica{
		id:          id,
		serial:      serial,
		hash:        hashID(id),
		upstream:    upstream,
		servesCalls: servesCalls,
		roundTrip:   distance,
		cache: cacheState{
			retentionTokens: initialRetentionTokens,
		},
		limit: newConcurrencyLimit(upstream.Slots),
	}
}

// shortID identifies the replica in gossip, where messages are small.
func (p *replica) shortID() uint32 { return uint32(p.hash) }

// ownLoad is this node's own work in progress at a replica; it is always up to date.
type ownLoad struct {
	running int
	// queuedTokens are the prompt tokens of attempts without a first token yet, by priority.
	queuedTokens [priorityCount]int
	// changes is a ring of recent counts, needed to interpret lagging reports. It is
	// allocated on first use, since a node uses few replicas of a large fleet.
	changes []loadChange
	next    int
}

// maxLoadChanges is the capacity of the ring of changes.
const maxLoadChanges = 32

type loadChange struct {
	at           time.Time
	running      int
	queuedTokens int
}

// lastChangeAt returns when the counts last changed.
func (o *ownLoad) lastChangeAt() time.Time {
	if o.next == 0 {
		return time.Time{}
	}
	return o.changes[(o.next-1)%maxLoadChanges].at
}

func (o *ownLoad) totalQueuedTokens() int {
	sum := 0
	for _, tokens := range o.queuedTokens {
		sum += tokens
	}
	return sum
}

// recordChange stores the present counts in the ring.
func (o *ownLoad) recordChange(now time.Time) {
	if o.changes == nil {
		o.changes = make([]loadChange, maxLoadChanges)
	}
	o.changes[o.next%maxLoadChanges] = loadChange{
		at:           now,
		running:      o.running,
		queuedTokens: o.totalQueuedTokens(),
	}
	o.next++
}

// countsAt returns the counts at an earlier time, as far back as the ring reaches.
func (o *ownLoad) countsAt(at time.Time) (running, queued int) {
	oldest := max(0, o.next-maxLoadChanges)
	for i := o.next - 1; i >= oldest; i-- {
		change := &o.changes[i%maxLoadChanges]
		if !change.at.After(at) {
			return change.running, change.queuedTokens
		}
	}
	return 0, 0
}

// remoteLoad is the sum of the work that other nodes report to have at a replica.
type remoteLoad struct {
	running      int
	queuedTokens int
	// receivedAt is when the latest of their reports was received.
	receivedAt time.Time
}

// residualReport is an engine's report minus this node's own work at the time of
// the report.
type residualReport struct {
	at           time.Time
	running      int
	queuedTokens int
	// modelMissing means that the engine has not loaded the service's model.
	modelMissing bool
}

const (
	// reportCurrentAge is how long an engine's report is more accurate than the load
	// reports of other nodes: requests run for a second or two, and with some ninety
	// nodes those load reports are four seconds old.
	reportCurrentAge = time.Second
	// reportFreshAge is how long a report has full weight: reports lag by seconds,
	// and the requests of other nodes run for seconds too.
	reportFreshAge = 8 * time.Second
	// reportStaleAge is the age from which a report has no weight.
	reportStaleAge = 24 * time.Second
)

// weight returns the weight of the report at a time, between 0 and 1.
func (e *residualReport) weight(now time.Time) float64 {
	age := now.Sub(e.at)
	if e.at.IsZero() || age >= reportStaleAge {
		return 0
	}
	if age <= reportFreshAge {
		return 1
	}
	return float64(reportStaleAge-age) / float64(reportStaleAge-reportFreshAge)
}

// load is the estimated present load of a replica.
type load struct {
	// running is the number of sequences, including queued ones.
	running float64
	// tokensAhead are the prompt tokens to compute before a new request of the priority.
	tokensAhead float64
}

// load adds the node's own work, which is exact, to the residual of the engine's
// report. If the report is not current and other nodes report more work, their
// reports are used instead.
func (p *replica) load(priority int, now time.Time) load {
	weight := p.report.weight(now)
	others := weight * float64(p.report.running)
	ahead := p.remainingQueue(p.report.queuedTokens, now.Sub(p.report.at))
	if now.Sub(p.report.at) > reportCurrentAge {
		others = max(others, float64(p.remote.running))
		ahead = max(ahead, p.remainingQueue(p.remote.queuedTokens, now.Sub(p.remote.receivedAt)))
	}
	for class, tokens := range p.own.queuedTokens {
		if class <= priority {
			ahead += float64(tokens)
		}
	}
	return load{
		running:     float64(p.own.running) + others,
		tokensAhead: ahead,
	}
}

// remainingQueue returns the tokens that remain of a queue reported some time ago.
// Queues of prompts drain faster than reports of them arrive: without this
// correction they would divert work from replicas that are idle again.
func (p *replica) remainingQueue(queued int, age time.Duration) float64 {
	if queued == 0 {
		return 0
	}
	secondsPerToken := p.speed.first.slope * p.firstFactor.value()
	return max(0, float64(queued)-age.Seconds()/max(secondsPerToken, minSecondsPerToken))
}

// minSecondsPerToken bounds an implausibly fast learned speed.
const minSecondsPerToken = 1e-6

// usable reports whether the replica may receive the request at all.
func (p *replica) usable(request *zinniamast.RouteRequest) bool {
	return p.upstream.Accepts(request)
}

// sharesCache reports whether two replicas understand each other's KV cache.
func (p *replica) sharesCache(other *replica) bool {
	return p.upstream.Instance.Version == other.upstream.Instance.Version
}
