package routing

import "time"

// concurrencyLimit bounds the sequences at a replica. It follows the measured time
// between tokens: additive increase while the target holds with the batch
// nearly full, multiplicative decrease when it does not. The learned curve
// says the same sooner; this guards against a curve that is wrong.
type concurrencyLimit struct {
	current float64
	// slots is the most that the replica runs at once; the rest waits there.
	slots     float64
	loweredAt time.Time
}

// newConcurrencyLimit returns the limit of a replica that runs so many requests at once;
// zero where it does not say.
//
// Failure: a replica of sixteen slots is trusted with 32 sequences; half of them
// wait there past their latency target while other replicas have free slots.
func newConcurrencyLimit(slots int) concurrencyLimit {
	l := concurrencyLimit{
		current: initialLimit,
		slots:   maxLimit,
	}
	if slots > 0 {
		l.slots = float64(slots)
		l.current = min(l.current, l.slots)
	}
	return l
}

const (
	initialLimit = 32
	minLimit     = 2
	maxLimit     = 512
	// limitDecreaseFactor is the part kept when the target is missed.
	limitDecreaseFactor = 0.9
	// limitDecreaseInterval is how long one decrease has to show its effect.
	limitDecreaseInterval = time.Second
	// limitUsedShare is the part of the limit that must be in use for it to rise.
	limitUsedShare = 0.8
)

// learn takes in a measured time between tokens with the given sequences running.
func (l *concurrencyLimit) learn(between, target, running float64, now time.Time) {
	if target <= 0 {
		return
	}
	if between <= target {
		if running >= limitUsedShare*l.current {
			l.current = min(l.slots, l.current+1)
		}
		return
	}
	if now.Sub(l.loweredAt) < limitDecreaseInterval {
		return
	}
	l.loweredAt = now
	l.current = max(minLimit, limitDecreaseFactor*min(l.current, running))
}

// Limit returns how many sequences a replica is trusted with now; zero if it is unknown.
func (r *Router) Limit(upstream string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.replicas[upstream]
	if !ok {
		return 0
	}
	return int(p.limit.current)
}

// Running returns how many attempts of this node are in progress.
func (r *Router) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}
