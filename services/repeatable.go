package services

import (
	"context"

	"zinniamast"
)

// runRepeatable runs a call that may be repeated. It retries failed attempts on
// other replicas and hedges calls that are marked idempotent.
func (h *Handler) runRepeatable(ctx context.Context, c *call) (*result, error) {
	a := h.newAttempts(c)
	attempt := a.attempt
	if c.isIdempotent {
		attempt = a.attemptWithHedge
	}
	for {
		answer, err := attempt(ctx)
		if err == nil {
			h.metrics.countAnswer(c.service.Name)
			return &result{
				answer: answer,
			}, nil
		}
		failed := zinniamast.AsUpstreamError(err)
		if failed == nil {
			return nil, h.withKeyRan(ctx, c, a.refusalWithRan(err))
		}
		a.recordFailure(failed)
		h.latency.recordUnanswered(c.service.Name)
		if ctx.Err() != nil {
			return nil, h.withKeyRan(ctx, c, contextRefusal(ctx).WithRan(a.ran))
		}
		if err := a.waitForRetry(ctx); err != nil {
			return nil, h.withKeyRan(ctx, c, zinniamast.AsRefusal(err))
		}
	}
}

// refusalWithRan returns a refusal that occurred between two attempts, with what
// the earlier attempts prove.
func (a *attempts) refusalWithRan(err error) *zinniamast.Refusal {
	return zinniamast.AsRefusal(err).WithRan(a.ran)
}
