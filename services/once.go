package services

import (
	"context"
	"fmt"

	"zinniamast"
	"zinniamast/claims"
)

// runUnkeyed runs a call that may not be repeated and has no key: every request
// is a separate call.
func (h *Handler) runUnkeyed(c *call) (*result, error) {
	ctx, cancel := h.detachedContext(c)
	defer cancel()
	return h.dispatch(ctx, c, h.newAttempts(c))
}

// detachedContext returns a context that ends with the call's deadline or the
// node, not with the caller's request. A caller that disconnects must not
// cancel a booking midway, since its outcome would then be unknown.
func (h *Handler) detachedContext(c *call) (context.Context, context.CancelFunc) {
	return context.WithDeadline(h.config.Context, c.deadline)
}

// dispatch runs a call that may not be repeated. It makes another attempt only
// if all attempts before are proven not to have run.
func (h *Handler) dispatch(ctx context.Context, c *call, a *attempts) (*result, error) {
	for {
		answer, err := a.attempt(ctx)
		if err == nil {
			h.metrics.countAnswer(c.service.Name)
			return &result{
				answer: answer,
			}, nil
		}
		failed := zinniamast.AsUpstreamError(err)
		if failed == nil {
			return nil, a.refusalWithRan(err)
		}
		a.recordFailure(failed)
		if a.ran != zinniamast.NotRun {
			return nil, a.refuseUnanswered(answer)
		}
		if err := a.waitForRetry(ctx); err != nil {
			return nil, err
		}
	}
}

// maxQuotedBytes limits how much of a service's error body a refusal quotes.
const maxQuotedBytes = 200

// refuseUnanswered returns the refusal of a call that ran or may have run but
// has no whole answer.
func (a *attempts) refuseUnanswered(answer zinniamast.ServiceAnswer) *zinniamast.Refusal {
	switch a.lastFailure.Failure {
	case zinniamast.FailureError:
		quoted := string(answer.Body[:min(len(answer.Body), maxQuotedBytes)])
		return zinniamast.Refuse(zinniamast.ReasonUpstreamFailed,
			"%s ran the call and failed with status %d: %s", a.call.service.Name, answer.Status, quoted).
			WithRan(a.ran)
	case zinniamast.FailureCutShort:
		return zinniamast.Refuse(zinniamast.ReasonAnswerCutShort,
			"%s ran the call and its answer was cut short; %s", a.call.service.Name, a.call.nextStep()).
			WithRan(a.ran)
	default:
		return outcomeUnknown(a.call, a.lastFailure.Failure)
	}
}

// outcomeUnknown returns the refusal of a call that may or may not have run.
func outcomeUnknown(c *call, cause any) *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonOutcomeUnknown,
		"whether %s ran the call is not known (%v); %s", c.service.Name, cause, c.nextStep()).
		WithRan(zinniamast.Unknown)
}

// nextStep describes what the caller can do about an unknown outcome.
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

// runClaimed runs a call under a claim on its key, or returns the outcome of an
// earlier request with the key.
func (h *Handler) runClaimed(ctx context.Context, c *call) (*result, error) {
	standing, err := h.config.Claims.Begin(ctx, c.claimsCall())
	if err != nil {
		return nil, err
	}
	if standing.Claim != nil {
		return h.runUnderClaim(c, standing.Claim)
	}
	record := standing.Record
	if record.IsOutcomeUnknown() && h.resolveByLookup(ctx, c) {
		standing, err = h.config.Claims.Begin(ctx, c.claimsCall())
		if err != nil {
			return nil, err
		}
		if standing.Claim != nil {
			return h.runUnderClaim(c, standing.Claim)
		}
		record = standing.Record
	}
	return h.earlierOutcome(c, &record)
}

// runUnderClaim runs the call and ends its claim with what the attempts prove.
func (h *Handler) runUnderClaim(c *call, claim *claims.Claim) (*result, error) {
	ctx, cancel := h.detachedContext(c)
	defer cancel()
	a := h.newAttempts(c)
	a.mayDispatch = claim.MayDispatch
	outcome, err := h.dispatch(ctx, c, a)
	if err == nil {
		claim.Answer(outcome.answer)
		return outcome, nil
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

// earlierOutcome returns the outcome of an earlier request with the key.
func (h *Handler) earlierOutcome(c *call, record *claims.Record) (*result, error) {
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
		return nil, outcomeUnknown(c, "an earlier request under the key").WithRetryAfter(lookupRetryAfter)
	default:
		return nil, claims.InProgress()
	}
}
