package routing

import "time"

// limit bounds the sequences at a replica. It follows the measured time
// between tokens: additive increase while the target holds with the batch
// nearly full, multiplicative decrease when it does not. The learned curve
// says the same sooner; this guards against a curve that is wrong.
type limit struct {
	most float64
	// slots is the most that the replica runs at once; the rest waits there.
	slots   float64
	lowered time.Time
}

// newLimit returns the limit of a replica that runs so many requests at once;
// zero where it does not say.
//
// Failure: a replica of sixteen slots is trusted with 32 sequences; half of them
// wait there past their latency target while other replicas have free slots.
func newLimit(slots int) limit {
	l := limit{
		most:  initialLimit,
		slots: maxLimit,
	}
	if slots > 0 {
		l.slots = float64(slots)
		l.most = min(l.most, l.slots)
	}
	return l
}

const (
	initialLimit = 32
	minLimit     = 2
	maxLimit     = 512
	// limitDecrease is the part kept when the target is missed.
	limitDecrease = 0.9
	// limitPause is how long one decrease has to show its effect.
	limitPause = time.Second
	// limitFull is the part of the limit that must be in use for it to rise.
	limitFull = 0.8
)

// learn takes in a measured time between tokens with the given sequences running.
func (l *limit) learn(between, target, running float64, now time.Time) {
	if target <= 0 {
		return
	}
	if between <= target {
		if running >= limitFull*l.most {
			l.most = min(l.slots, l.most+1)
		}
		return
	}
	if now.Sub(l.lowered) < limitPause {
		return
	}
	l.lowered = now
	l.most = max(minLimit, limitDecrease*min(l.most, running))
}

// Limit returns how many sequences a replica is trusted with now; zero if it is unknown.
func (r *Router) Limit(upstream string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.replicas[upstream]
	if !ok {
		return 0
	}
	return int(p.limit.most)
}

// Running returns how many attempts of this node are in progress.
func (r *Router) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}
