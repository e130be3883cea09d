package queue

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// evenDemand is the factor up to which weights count as equal. While a change of weights is not
// known to all nodes, they disagree on some places, and requests are rejected there.
const evenDemand = 3

// spareFactor is the part of the square root of a demand that a node gets beyond the demand.
const spareFactor = 2

// weight returns the weight of a demand in the division of places. Small groups of places are used
// less well than large ones, by about the square root of the demand.
func weight(demand float64) float64 { return demand + spareFactor*math.Sqrt(demand) }

// weights returns the weights of nodes in the division of a service's places. A node that has told
// no demand counts as the mean of the others.
func (q *Queue) weights(name string, nodes []string) []float64 {
	slots := q.config.Slots(name)
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(name)
	weights := allocate(float64(slots), s.allDemands(nodes))
	for i := range weights {
		weights[i] = weight(max(weights[i], minDemand))
	}
	isUneven := slices.Max(weights) > evenDemand*slices.Min(weights)
	if !s.uneven.hasLasted(isUneven, q.settleTime(), time.Now()) {
		for i := range weights {
			weights[i] = 1
		}
	}
	s.recordPart(nodes, weights)
	return weights
}

// settleTime is how long weights must differ until they count. The reports of a large fleet are of
// several seconds, so that after a change of all demands some are of before it and some of after it.
// By the end of this time each node has told a demand that was measured after the change.
func (q *Queue) settleTime() time.Duration {
	if q.reportInterval <= minDemandInterval {
		return 0
	}
	return q.reportInterval + demandTime
}

// lasting tells how long a condition has held.
type lasting struct {
	since time.Time
	// checkedAt is when the condition was last checked.
	checkedAt time.Time
}

// hasLasted reports whether the condition holds now and has been found to hold for a time. Checks
// that are further apart than that time begin anew.
func (l *lasting) hasLasted(holds bool, length time.Duration, now time.Time) bool {
	if !holds || now.Sub(l.checkedAt) > max(length, minDemandInterval) {
		l.since = now
	}
	l.checkedAt = now
	return holds && now.Sub(l.since) >= length
}

// allDemands returns the demands of nodes, as far as this one knows them.
func (s *service) allDemands(nodes []string) []classDemands {
	now := time.Now()
	demands := make([]classDemands, len(nodes))
	isKnown := make([]bool, len(nodes))
	known := 0
	var mean classDemands
	for i, node := range nodes {
		r, ok := s.reports[node]
		if node == s.queue.config.Node {
			r, ok = s.published, true
		}
		if ok && now.Before(r.expires) {
			demands[i], isKnown[i] = r.demands, true
		}
		if !isKnown[i] {
			continue
		}
		known++
		for class, demand := range demands[i] {
			mean[class] += demand
		}
	}
	for class := range mean {
		mean[class] /= float64(max(known, 1))
	}
	for i := range demands {
		if !isKnown[i] {
			demands[i] = mean
		}
	}
	return demands
}

// allocate returns how many of a service's slots each node gets if they are allocated to all demands
// in the order of the classes, each of which has at least minClassShare of them if it asks for so
// many. If the slots suffice, or if their number is not known, each node gets what it asks for.
func allocate(slots float64, demands []classDemands) []float64 {
	var asked, granted classDemands
	for i := range demands {
		for class, demand := range demands[i] {
			asked[class] += demand
		}
	}
	granted = asked
	if slots > 0 && asked.sum() > slots {
		left := slots
		for class, demand := range asked {
			granted[class] = min(demand, minClassShare*slots)
			left -= granted[class]
		}
		for class, demand := range asked {
			more := min(demand-granted[class], left)
			granted[class] += more
			left -= more
		}
	}
	allocated := make([]float64, len(demands))
	for i := range demands {
		for class, demand := range demands[i] {
			if demand > 0 {
				allocated[i] += demand * granted[class] / asked[class]
			}
		}
	}
	return allocated
}

// recordPart records this node's part of the weights.
func (s *service) recordPart(nodes []string, weights []float64) {
	own, total := 0.0, 0.0
	for i, node := range nodes {
		total += weights[i]
		if node == s.queue.config.Node {
			own = weights[i]
		}
	}
	s.part = 1
	if own > 0 && !s.queue.isLocal {
		s.part = own / total
	}
}

// OwnPlaces returns how many of a replica's slots belong to the node with the given index, if they
// are dealt to the nodes in proportion to weights. The nodes lie one after the other on a line, in an
// order that differs from replica to replica, each as long as its weight, and the slots at equal
// distances. So each node gets its part of each replica, rounded up or down.
func OwnPlaces(replica string, slots int, own int, nodes []string, weights []float64) int {
	seed := xxh3.HashString(replica)
	ownHash := xxh3.HashStringSeed(nodes[own], seed)
	before, total := 0.0, 0.0
	for i, node := range nodes {
		total += weights[i]
		hash := xxh3.HashStringSeed(node, seed)
		if hash < ownHash || hash == ownHash && node < nodes[own] {
			before += weights[i]
		}
	}
	distance := total / float64(slots)
	offset := float64(seed>>11) / (1 << 53)
	slotsUntil := func(position float64) int { return int(math.Ceil(position/distance - offset)) }
	return slotsUntil(before+weights[own]) - slotsUntil(before)
}

// division is the nodes among which the places of a service are divided, as of a time.
type division struct {
	nodes   []string
	weights []float64
	own     int
	at      time.Time
}

// divisionTime is how long a division is used. It is worked out for all replicas of a service at
// once, which a node asks for one after the other.
const divisionTime = 200 * time.Millisecond

// Places returns a function that tells how many of a replica's slots are this node's. nodes returns
// all nodes that may be alive, this one among them.
func (q *Queue) Places(nodes func() []string) func(service, replica string, slots int) int {
	var mu sync.Mutex
	divisions := map[string]*division{}
	return func(name, replica string, slots int) int {
		mu.Lock()
		defer mu.Unlock()
		d := divisions[name]
		if now := time.Now(); d == nil || now.Sub(d.at) > divisionTime {
			all := nodes()
			d = &division{
				nodes:   all,
				weights: q.weights(name, all),
				own:     slices.Index(all, q.config.Node),
				at:      now,
			}
			divisions[name] = d
		}
		if d.own < 0 {
			return 0
		}
		return OwnPlaces(replica, slots, d.own, d.nodes, d.weights)
	}
}
