package forward

import (
	"context"
	"time"

	"zinniamast"
)

// A begun stream that no replica works on any more is held only as long as a further send
// is expected to begin while its caller still waits. Otherwise it ends at once, and the
// caller can resume it by itself in the time that is left.

// Callers abandon a stream after a gap between events of patienceTargets times its
// first-token target or patiencePauses times its pause target, but at least minPatience.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
)

// resumeBy returns the time by which a begun stream must go on: the deadline, or the time
// at which its caller abandons it.
func (c *call) resumeBy(a *answer) time.Time {
	patience := max(minPatience, patienceTargets*c.route.Target, patiencePauses*c.route.PauseTarget)
	by := a.lastWrite.Add(patience)
	if c.deadline.Before(by) {
		return c.deadline
	}
	return by
}

// mayResume reports whether a request is a begun stream that may wait for its next send:
// one whose replica was silent before it broke off.
func (c *call) mayResume(a *answer) bool {
	return a.begun && c.metSilence && c.sends < c.route.MaxAttempts
}

// nextReplica returns the replica for the next send of a request and charges the retry
// budget if the send is a retry. A begun stream may wait for both.
func (h *Handler) nextReplica(ctx context.Context, a *answer, c *call) (routed, *zinniamast.Refusal) {
	defer h.logWaited(c)
	for {
		if refusal := h.recheck(c); refusal != nil {
			return routed{}, refusal
		}
		if c.ran == zinniamast.NotRun && !a.begun {
			if refusal := h.checkStop(c); refusal != nil {
				return routed{}, refusal
			}
		}
		if refusal := h.awaitTurn(ctx, a, c); refusal != nil {
			return routed{}, refusal
		}
		to, refusal := h.chooseApart(c)
		if refusal != nil {
			if detour, ok := h.chooseDetour(a, c); ok {
				to, refusal = detour, nil
			}
		}
		switch {
		case refusal != nil && c.place.mayWait && c.place.isLacking:
			c.place.mustWait = true
			continue
		case refusal != nil && !(c.mayResume(a) && h.hasReplica(c)):
			return routed{}, refusal
		case refusal != nil:
			refusal = h.awaitReplicas(ctx, a, c, refusal)
		case c.mayResume(a) && time.Until(c.resumeBy(a)) < to.choice.FirstToken:
			return routed{}, zinniamast.Refuse(zinniamast.ReasonDeadlineUnmet, "no replica resumes the stream in time")
		case h.chargeRetry(c):
			return to, nil
		case c.place.mayWait && h.mayRetryInTime(c):
			c.place.mustWait = true
			continue
		default:
			refusal = h.awaitRetry(ctx, a, c)
		}
		if refusal != nil {
			return routed{}, refusal
		}
	}
}

// hasReplica reports whether the service has a replica for the request, be it one that the
// request avoids or that takes none at the moment.
func (h *Handler) hasReplica(c *call) bool {
	_, err := h.config.Router.Route(h.routeRequest(c, nil))
	return err == nil
}

// chargeRetry charges the retry budget for the next send of a request if that is a retry.
// It returns false if the budget is used up.
func (h *Handler) chargeRetry(c *call) bool {
	if c.owesRetry && !h.config.RetryBudget.AllowRetry(c.service) {
		return false
	}
	c.owesRetry = false
	return true
}

// awaitRetry waits until the retry budget allows the next send of a begun stream, and
// charges it. It returns a refusal if the budget is not expected to do so in time.
func (h *Handler) awaitRetry(ctx context.Context, a *answer, c *call) *zinniamast.Refusal {
	refusal := zinniamast.Refuse(zinniamast.ReasonRetryBudget, "the service's retries are used up").WithRan(c.ran).WithRetryAfter(fullRetryAfter)
	if !c.mayResume(a) {
		return refusal
	}
	h.logWait(c, refusal)
	if h.config.RetryBudget.AwaitRetry(ctx, c.service, c.resumeBy(a)) {
		c.owesRetry = false
		return nil
	}
	if ctx.Err() != nil {
		return h.endedRefusal(ctx, c)
	}
	return refusal
}

// awaitReplicas waits until a begun stream may ask replicas again that have failed or
// refused it, as they may be full or unreachable only for a moment. The interval grows.
// It returns the given refusal if the stream may not wait that long.
func (h *Handler) awaitReplicas(ctx context.Context, a *answer, c *call, refusal *zinniamast.Refusal) *zinniamast.Refusal {
	interval := resumeInterval << c.resumeWaits
	if !c.mayResume(a) || ctx.Err() != nil || time.Until(c.resumeBy(a)) < interval {
		return refusal
	}
	h.logWait(c, refusal)
	select {
	case <-time.After(interval):
	case <-ctx.Done():
		return h.endedRefusal(ctx, c)
	}
	c.resumeWaits = min(c.resumeWaits+1, maxResumeDoublings)
	c.avoid, c.dials = nil, 0
	return nil
}

// logWait logs that a begun stream waits for its next send.
func (h *Handler) logWait(c *call, refusal *zinniamast.Refusal) {
	h.config.Logger.Info("stream waits to be resumed", "request", c.metadata.ID, "service", c.service, "reason", refusal.Reason,
		"sends", c.sends, "arrivals", c.arrivals, "cause", c.lastError(), "left", c.remaining())
}
