package forward

import (
	"slices"
	"time"

	"zinniamast/routes"
)

const (
	// firstPatience is how many of its targets a repeatable request waits for
	// the first byte before it goes to another replica, and minFirstPatience
	// the least it waits: a replica that went dark without a reset is told from
	// one with a queue only by time.
	firstPatience    = 3
	minFirstPatience = 500 * time.Millisecond
	// pausePatience is how many of its pause targets a resumable stream waits for
	// the next event, and minPausePatience the least. Callers abandon a stream
	// after a gap of eight pauses or two seconds.
	pausePatience    = 4
	minPausePatience = time.Second
)

// waits are how long a send may be silent.
type waits struct {
	// first bounds the wait for the first byte, pause that for each further event.
	first time.Duration
	pause time.Duration
}

// patience returns the waits of a request. What may not be repeated waits to
// its deadline: a replica's silence is no reason to end it.
func patience(c *call) waits {
	if !c.route.Repeatable() || c.route.Target == 0 {
		return waits{}
	}
	w := waits{
		first: max(firstPatience*c.route.Target, minFirstPatience),
	}
	if c.route.Kind == routes.Stream && c.route.PauseTarget > 0 {
		w.pause = max(pausePatience*c.route.PauseTarget, minPausePatience)
	}
	return w
}

// mayLeave says whether a request may leave a silent replica, and pays for its
// next send if so: another replica is to begin within the same patience. A
// replica's own failure that is in hand is an answer too.
func (h *Handler) mayLeave(c *call, id string) bool {
	if c.held != nil {
		return true
	}
	if c.sends+1 >= c.route.MaxAttempts || c.arrivals+1 >= maxArrivals {
		return false
	}
	choice, err := h.config.Router.Route(h.need(c, append(slices.Clone(h.avoided(c)), id)))
	if err != nil || choice.FirstToken > min(patience(c).first, time.Until(c.deadline)) {
		return false
	}
	return h.pay(c) == nil
}
