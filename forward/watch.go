package forward

import (
	"time"

	"zinniamast/routes"
)

const (
	// A repeatable request waits firstTimeoutTargets times its first-token target,
	// but at least minFirstTimeout, for the first byte before it moves to another
	// replica. Only time distinguishes a replica that stopped without a connection
	// reset from one with a queue.
	firstTimeoutTargets = 3
	minFirstTimeout     = 500 * time.Millisecond
	// A resumable stream waits pauseTimeoutTargets times its pause target, but at
	// least minPauseTimeout, for the next event. Callers abandon a stream after a gap
	// of eight pause targets or two seconds.
	pauseTimeoutTargets = 4
	minPauseTimeout     = time.Second
)

// minHedgeDelay is the shortest time after which a stream that has not begun is sent to a second
// replica. Shorter targets leave no time for that.
const minHedgeDelay = 200 * time.Millisecond

// hedgeDelay returns the time after which a stream that has not begun is sent to a second replica,
// so that its first event can still meet the target; false if it is not.
func (h *Handler) hedgeDelay(c *call) (time.Duration, bool) {
	delay := c.route.Target / 2
	return delay, h.config.Hedges != nil && c.route.Kind == routes.Stream && c.route.Prompted && c.route.Repeatable() && delay >= minHedgeDelay
}

// silenceTimeouts bound how long a replica may send nothing. Zero means no bound.
type silenceTimeouts struct {
	// first bounds the wait for the first byte, and pause the wait for each further
	// event.
	first time.Duration
	pause time.Duration
}

// silenceTimeoutsOf returns the silence timeouts of a request. A request that may
// not be repeated waits until its deadline, because it could not move to another
// replica.
func silenceTimeoutsOf(c *call) silenceTimeouts {
	if !c.route.Repeatable() || c.route.Target == 0 {
		return silenceTimeouts{}
	}
	timeouts := silenceTimeouts{
		first: max(firstTimeoutTargets*c.route.Target, minFirstTimeout),
	}
	if c.route.Kind == routes.Stream && c.route.PauseTarget > 0 {
		timeouts.pause = max(pauseTimeoutTargets*c.route.PauseTarget, minPauseTimeout)
	}
	return timeouts
}
