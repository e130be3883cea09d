package routing

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// priorities is how many priority classes a queue tells apart.
const priorities = 3

// replica is what the router knows of one upstream.
type replica struct {
	id       string
	serial   uint32
	hash     uint64
	upstream *blackboard.Upstream
	plain    bool
	distance time.Duration
	// long means that long prompts are kept to it.
	long bool
	// price is per second of the machine.
	price float64

	speed         *speed
	firstFactor   factor
	betweenFactor factor

	own    ownLoad
	remote remoteLoad
	report reported
	// told is shared with the other replicas of its failure domain.
	told *told

	cache   cacheState
	circuit circuit
	limit   limit
	// polled is when the engine was last asked for its report.
	polled time.Time
}

func newReplica(upstream *blackboard.Upstream, serial uint32, distance time.Duration, plain bool) *replica {
	id := upstream.Instance.ID
	return &replica{
		id:       id,
		serial:   serial,
		hash:     hashID(id),
		upstream: upstream,
		plain:    plain,
		distance: distance,
		cache: cacheState{
			reach: initialReach,
		},
		limit: newLimit(upstream.Slots),
	}
}

// short names the replica in gossip, where bytes are scarce.
func (p *replica) short() uint32 { return uint32(p.hash) }

// ownLoad is this node's own work at a replica, counted at once.
type ownLoad struct {
	running int
	// queued are prompt tokens sent whose first token has not come, by priority.
	queued [priorities]int
	// changes remembers recent counts, to read lagging reports against; it is
	// allocated with the first use, since a node uses few of a large fleet.
	changes []loadChange
	next    int
}

// remembered is how many changes are kept.
const remembered = 32

type loadChange struct {
	at      time.Time
	running int
	queued  int
}

// last returns when the counts last changed.
func (o *ownLoad) last() time.Time {
	if o.next == 0 {
		return time.Time{}
	}
	return o.changes[(o.next-1)%remembered].at
}

func (o *ownLoad) total() int {
	sum := 0
	for _, tokens := range o.queued {
		sum += tokens
	}
	return sum
}

// mark remembers the counts from now on.
func (o *ownLoad) mark(now time.Time) {
	if o.changes == nil {
		o.changes = make([]loadChange, remembered)
	}
	o.changes[o.next%remembered] = loadChange{
		at:      now,
		running: o.running,
		queued:  o.total(),
	}
	o.next++
}

// before returns the counts that held at an earlier time, as far back as remembered.
func (o *ownLoad) before(at time.Time) (running, queued int) {
	oldest := max(0, o.next-remembered)
	for i := o.next - 1; i >= oldest; i-- {
		change := &o.changes[i%remembered]
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
	// heard is when the last of them spoke.
	heard time.Time
}

// reported is what is left of an engine's report after this node's own work
// at that time is taken off.
type reported struct {
	at      time.Time
	running int
	queued  int
	// missing means that the engine did not have the service's model loaded.
	missing bool
}

const (
	// reportCurrent is how long a report tells more than what other nodes say:
	// requests run for a second or two, and at some ninety nodes what they say of
	// theirs is four seconds old.
	reportCurrent = time.Second
	// reportFresh is how long a report counts in full: reports lag by seconds,
	// and what others run lasts for seconds too.
	reportFresh = 8 * time.Second
	// reportStale is when a report counts no more.
	reportStale = 24 * time.Second
)

// weight is how much the report still says about now.
func (e *reported) weight(now time.Time) float64 {
	age := now.Sub(e.at)
	if e.at.IsZero() || age >= reportStale {
		return 0
	}
	if age <= reportFresh {
		return 1
	}
	return float64(reportStale-age) / float64(reportStale-reportFresh)
}

// load is what is believed to be at a replica now.
type load struct {
	// running are sequences, the queued ones included.
	running float64
	// ahead are prompt tokens to compute before a new request of the priority.
	ahead float64
}

// load adds the node's own work, which is exact, to what the engine's report
// leaves unexplained, or what other nodes say where that is more and the report
// is not current.
func (p *replica) load(priority int, now time.Time) load {
	weight := p.report.weight(now)
	others := weight * float64(p.report.running)
	ahead := p.drained(p.report.queued, now.Sub(p.report.at))
	if now.Sub(p.report.at) > reportCurrent {
		others = max(others, float64(p.remote.running))
		ahead = max(ahead, p.drained(p.remote.queued, now.Sub(p.remote.heard)))
	}
	for class, tokens := range p.own.queued {
		if class <= priority {
			ahead += float64(tokens)
		}
	}
	return load{
		running: float64(p.own.running) + others,
		ahead:   ahead,
	}
}

// drained is what is left of a queue that was seen some time ago. Queues of
// prompts last for less than the news of them takes: counted in full, they
// would drive work away from replicas that are idle again.
func (p *replica) drained(queued int, age time.Duration) float64 {
	if queued == 0 {
		return 0
	}
	perToken := p.speed.first.slope * p.firstFactor.value()
	return max(0, float64(queued)-age.Seconds()/max(perToken, minPerToken))
}

// minPerToken stands for a speed that is not to be believed, in seconds.
const minPerToken = 1e-6

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
