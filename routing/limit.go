package routing

import "time"

// concurrencyLimit bounds the sequences at a replica. It follows the measured time
// between tokens: additive increase while the target is met with the batch nearly
// full, multiplicative decrease when it is missed. The learned curve reacts sooner;
// the limit guards against a curve that is wrong.
type concurrencyLimit struct {
	current float64
	// slots is the number of requests that the replica runs at once; others queue there.
	slots     float64
	loweredAt time.Time
}

// newConcurrencyLimit returns the limit of a replica with the given number of slots;
// zero means that the number is unknown.
//
// The limit starts at no more than the slots: if a replica of sixteen slots were sent
// 32 sequences, half of them would wait there past their latency target while other
// replicas have free slots.
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
	// limitDecreaseFactor is the factor of the decrease when the target is missed.
	limitDecreaseFactor = 0.9
	// limitDecreaseInterval is the minimum time between decreases, so that one can take
	// effect before the next.
	limitDecreaseInterval = time.Second
	// limitUsedShare is the share of the limit that must be in use for an increase.
	limitUsedShare = 0.8
)

// learn adjusts the limit to a measured time between tokens, with the given number of
// sequences running.
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

// Limit returns the current limit of sequences at a replica; zero if it is unknown.
func (r *Router) Limit(upstream string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.replicas[upstream]
	if !ok {
		return 0
	}
	return int(p.limit.current)
}

// Running returns the number of this node's attempts in progress.
func (r *Router) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}
