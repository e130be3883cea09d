package services

import (
	"context"
	"fmt"

	"zinniamast"
	"zinniamast/claims"
)

// single runs a call that may not be repeated and has no key: every request is
// a call of its own.
func (h *Handler) single(c *call) (*result, error) {
	ctx, cancel := h.detached(c)
	defer cancel()
	return h.dispatch(ctx, c, h.attempts(c))
}

// detached bounds a call by its deadline alone. A caller that goes away must
// not break off a booking halfway, whose outcome nobody would know then.
func (h *Handler) detached(c *call) (context.Context, context.CancelFunc) {
	return context.WithDeadline(h.config.Context, c.deadline)
}

// dispatch runs a call that may not be repeated. Only attempts that are proven
// not to have run are followed by another.
func (h *Handler) dispatch(ctx context.Context, c *call, a *attempts) (*result, error) {
	for {
		answer, err := a.once(ctx)
		if err == nil {
			h.metrics.answered(c.service.Name)
			return &result{
				answer: answer,
			}, nil
		}
		failed := zinniamast.AsUpstreamError(err)
		if failed == nil {
			return nil, a.refused(err)
		}
		a.note(failed)
		if a.ran != zinniamast.NotRun {
			return nil, a.inconclusive(answer)
		}
		if err := a.again(ctx); err != nil {
			return nil, err
		}
	}
}

// maxQuoted bounds how much of a service's own error a refusal quotes.
const maxQuoted = 200

// inconclusive refuses a call that ran or may have run and has no whole answer.
func (a *attempts) inconclusive(answer zinniamast.ServiceAnswer) *zinniamast.Refusal {
	switch a.failed.Failure {
	case zinniamast.FailureError:
		quoted := string(answer.Body[:min(len(answer.Body), maxQuoted)])
		return zinniamast.Refuse(zinniamast.ReasonUpstreamFailed,
			"%s ran the call and failed with status %d: %s", a.call.service.Name, answer.Status, quoted).
			WithRan(a.ran)
	case zinniamast.FailureCutShort:
		return zinniamast.Refuse(zinniamast.ReasonAnswerCutShort,
			"%s ran the call and its answer was cut short; %s", a.call.service.Name, a.call.nextStep()).
			WithRan(a.ran)
	default:
		return unknown(a.call, a.failed.Failure)
	}
}

// unknown refuses a call of which nobody knows whether it ran.
func unknown(c *call, cause any) *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonOutcomeUnknown,
		"whether %s ran the call is not known (%v); %s", c.service.Name, cause, c.nextStep()).
		WithRan(zinniamast.Unknown)
}

// nextStep says what the caller can do about an outcome that is not known.
func (c *call) nextStep() string {
	switch {
	case c.key == "":
		return "look into the service before you send it again, and send a key next time"
	case c.service.LookupPath != "":
		return fmt.Sprintf("send the same key again and the service is asked what became of %s", c.upstreamKey())
	default:
		return fmt.Sprintf("the operator sees it as %s in the list of open unknowns; do not send it under another key", c.upstreamKey())
	}
}

// claimed runs a call under a claim on its key.
func (h *Handler) claimed(ctx context.Context, c *call) (*result, error) {
	standing, err := h.config.Claims.Begin(ctx, c.claim())
	if err != nil {
		return nil, err
	}
	if standing.Claim != nil {
		return h.underClaim(c, standing.Claim)
	}
	record := standing.Record
	if record.IsOutcomeUnknown() && h.lookUp(ctx, c) {
		standing, err = h.config.Claims.Begin(ctx, c.claim())
		if err != nil {
			return nil, err
		}
		if standing.Claim != nil {
			return h.underClaim(c, standing.Claim)
		}
		record = standing.Record
	}
	return h.stood(c, &record)
}

// underClaim runs the call and ends its claim by what the attempts proved.
func (h *Handler) underClaim(c *call, claim *claims.Claim) (*result, error) {
	ctx, cancel := h.detached(c)
	defer cancel()
	a := h.attempts(c)
	a.mayDispatch = claim.MayDispatch
	done, err := h.dispatch(ctx, c, a)
	if err == nil {
		claim.Answer(done.answer)
		return done, nil
	}
	refusal := zinniamast.AsRefusal(err)
	switch refusal.Ran {
	case zinniamast.NotRun:
		refusal.Ran = claim.Release()
	case zinniamast.DidRun:
		claim.EndAsRan()
	default:
		claim.EndAsUnknown()
	}
	return nil, refusal
}

// stood answers with what an earlier request under the key came to.
func (h *Handler) stood(c *call, record *claims.Record) (*result, error) {
	switch {
	case record.State == claims.StateDone && record.Answer != nil:
		return &result{
			answer:   *record.Answer,
			replayed: true,
		}, nil
	case record.State.Ran() == zinniamast.DidRun:
		return nil, zinniamast.Refuse(zinniamast.ReasonUpstreamFailed,
			"the call under this key ran and its answer is not kept; ask the service for %s", c.upstreamKey()).
			WithRan(zinniamast.DidRun)
	case record.IsOutcomeUnknown():
		return nil, unknown(c, "an earlier request under the key").WithRetryAfter(lookupRetry)
	default:
		return nil, claims.InProgress()
	}
}
