package routing

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// priorityCount is how many priority classes a queue tells apart.
const priorityCount = 3

// replica is what the router knows of one upstream.
type replica struct {
	id          string
	serial      uint32
	hash        uint64
	upstream    *blackboard.Upstream
	servesCalls bool
	distance    time.Duration
	// takesLongPrompts means that long prompts are kept to it.
	takesLongPrompts bool
	// pricePerSecond is per second of the machine.
	pricePerSecond float64

	speed         *speed
	firstFactor   factor
	betweenFactor factor

	own    ownLoad
	remote remoteLoad
	report residualReport
	// reportGroup is shared with the other replicas of its failure domain.
	reportGroup *reportGroup

	cache   cacheState
	circuit circuit
	limit   concurrencyLimit
	// polledAt is when the engine was last asked for its report.
	polledAt time.Time
}

func newReplica(upstream *blackboard.Upstream, serial uint32, distance time.Duration, plain bool) *replica {
	id := upstream.Instance.ID
	return &replica{
		id:          id,
		serial:      serial,
		hash:        hashID(id),
		upstream:    upstream,
		servesCalls: plain,
		distance:    distance,
		cache: cacheState{
			retentionTokens: initialRetentionTokens,
		},
		limit: newConcurrencyLimit(upstream.Slots),
	}
}

// shortID names the replica in gossip, where bytes are scarce.
func (p *replica) shortID() uint32 { return uint32(p.hash) }

// ownLoad is this node's own work at a replica, counted at once.
type ownLoad struct {
	running int
	// queued are prompt tokens sent whose first token has not come, by priority.
	queued [priorityCount]int
	// changes remembers recent counts, to read lagging reports against; it is
	// allocated with the first use, since a node uses few of a large fleet.
	changes []loadChange
	next    int
}

// maxLoadChanges is how many changes are kept.
const maxLoadChanges = 32

type loadChange struct {
	at      time.Time
	running int
	queued  int
}

// lastChangeAt returns when the counts last changed.
func (o *ownLoad) lastChangeAt() time.Time {
	if o.next == 0 {
		return time.Time{}
	}
	return o.changes[(o.next-1)%maxLoadChanges].at
}

func (o *ownLoad) queuedTotal() int {
	sum := 0
	for _, tokens := range o.queued {
		sum += tokens
	}
	return sum
}

// recordChange remembers the counts from now on.
func (o *ownLoad) recordChange(now time.Time) {
	if o.changes == nil {
		o.changes = make([]loadChange, maxLoadChanges)
	}
	o.changes[o.next%maxLoadChanges] = loadChange{
		at:      now,
		running: o.running,
		queued:  o.queuedTotal(),
	}
	o.next++
}

// countsAt returns the counts that held at an earlier time, as far back as remembered.
func (o *ownLoad) countsAt(at time.Time) (running, queued int) {
	oldest := max(0, o.next-maxLoadChanges)
	for i := o.next - 1; i >= oldest; i-- {
		change := &o.changes[i%maxLoadChanges]
		if !change.at.After(at) {
			return change.running, change.queued
		}
	}
	return 0, 0
}

// remoteLoad is the sum of what other nodes say they have at a replica.
type remoteLoad struct {
	running int
	queued  int
	// receivedAt is when the last of them spoke.
	receivedAt time.Time
}

// residualReport is what is left of an engine's report after this node's own work
// at that time is taken off.
type residualReport struct {
	at      time.Time
	running int
	queued  int
	// modelMissing means that the engine did not have the service's model loaded.
	modelMissing bool
}

const (
	// reportCurrentAge is how long a report tells more than what other nodes say:
	// requests run for a second or two, and at some ninety nodes what they say of
	// theirs is four seconds old.
	reportCurrentAge = time.Second
	// reportFreshAge is how long a report counts in full: reports lag by seconds,
	// and what others run lasts for seconds too.
	reportFreshAge = 8 * time.Second
	// reportStaleAge is when a report counts no more.
	reportStaleAge = 24 * time.Second
)

// weight is how much the report still says about now.
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

// load is what is believed to be at a replica now.
type load struct {
	// running are sequences, the queued ones included.
	running float64
	// tokensAhead are prompt tokens to compute before a new request of the priority.
	tokensAhead float64
}

// load adds the node's own work, which is exact, to what the engine's report
// leaves unexplained, or what other nodes say where that is more and the report
// is not current.
func (p *replica) load(priority int, now time.Time) load {
	weight := p.report.weight(now)
	others := weight * float64(p.report.running)
	ahead := p.remainingQueue(p.report.queued, now.Sub(p.report.at))
	if now.Sub(p.report.at) > reportCurrentAge {
		others = max(others, float64(p.remote.running))
		ahead = max(ahead, p.remainingQueue(p.remote.queued, now.Sub(p.remote.receivedAt)))
	}
	for class, tokens := range p.own.queued {
		if class <= priority {
			ahead += float64(tokens)
		}
	}
	return load{
		running:     float64(p.own.running) + others,
		tokensAhead: ahead,
	}
}

// remainingQueue is what is left of a queue that was seen some time ago. Queues of
// prompts last for less than the news of them takes: counted in full, they
// would drive work away from replicas that are idle again.
func (p *replica) remainingQueue(queued int, age time.Duration) float64 {
	if queued == 0 {
		return 0
	}
	perToken := p.speed.first.slope * p.firstFactor.value()
	return max(0, float64(queued)-age.Seconds()/max(perToken, minSecondsPerToken))
}

// minSecondsPerToken stands for a speed that is not to be believed, in seconds.
const minSecondsPerToken = 1e-6

// usable says whether the replica takes new work at all.
func (p *replica) usable(need *zinniamast.Need) bool {
	if p.upstream.Leaving() {
		return false
	}
	for _, id := range need.Avoid {
		if id == p.id {
			return false
		}
	}
	return true
}
