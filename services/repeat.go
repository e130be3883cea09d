package services

import (
	"context"

	"zinniamast"
)

// repeat runs a call that may be repeated, on other replicas if need be.
func (h *Handler) repeat(ctx context.Context, c *call) (*result, error) {
	a := h.attempts(c)
	attempt := a.once
	if c.idempotent {
		attempt = a.hedged
	}
	for {
		answer, err := attempt(ctx)
		if err == nil {
			h.metrics.answered(c.service.Name)
			return &result{
				answer: answer,
			}, nil
		}
		failed := zinniamast.AsUpstreamError(err)
		if failed == nil {
			return nil, h.vouch(ctx, c, a.refused(err))
		}
		a.note(failed)
		h.pace.silence(c.service.Name)
		if ctx.Err() != nil {
			return nil, h.vouch(ctx, c, pastDeadline(ctx).WithRan(a.ran))
		}
		if err := a.again(ctx); err != nil {
			return nil, h.vouch(ctx, c, zinniamast.AsRefusal(err))
		}
	}
}

// refused returns a refusal that came between attempts, with what those before it proved.
func (a *attempts) refused(err error) *zinniamast.Refusal {
	return zinniamast.AsRefusal(err).WithRan(a.ran)
}
