package forward

import (
	"slices"
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

// mayLeave reports whether a request may leave a silent replica, and charges the
// retry budget for its next send if so: another replica must be predicted to send
// the first token within the same timeout. If a failed answer of a replica is
// already available for the caller, the request may leave without a charge.
func (h *Handler) mayLeave(c *call, id string) bool {
	if c.failedAnswer != nil {
		return true
	}
	if c.sends+1 >= c.route.MaxAttempts || c.arrivals+1 >= maxArrivals {
		return false
	}
	choice, err := h.config.Router.Route(h.routeRequest(c, append(slices.Clone(h.avoided(c)), id)))
	if err != nil || choice.FirstToken > min(silenceTimeoutsOf(c).first, time.Until(c.deadline)) {
		return false
	}
	return h.chargeRetry(c) == nil
}
