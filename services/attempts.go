package services

import (
	"context"
	"errors"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/claims"
)

// attempts holds the state of the successive attempts at one call.
type attempts struct {
	handler *Handler
	call    *call
	avoid   []string
	retries int
	// hedges counts the hedges sent; countedHedges counts those whose result is in
	// the metrics.
	hedges, countedHedges int
	// isSuspect means that the quarantine suspected the call at the last choice.
	isSuspect bool
	// ran is the strongest evidence of the failed attempts that the call ran:
	// DidRun, else Unknown, else NotRun.
	ran zinniamast.Ran
	// lastFailure is the failure of the last attempt that failed.
	lastFailure *zinniamast.UpstreamError
	// mayDispatch reports whether an attempt may be sent; it is called right before
	// each one.
	mayDispatch func() bool
}

func (h *Handler) newAttempts(c *call) *attempts {
	return &attempts{
		handler:     h,
		call:        c,
		ran:         zinniamast.NotRun,
		mayDispatch: func() bool { return true },
	}
}

// attempt makes one attempt. Its error is a *Refusal if no attempt was made and
// an *UpstreamError if the attempt failed.
func (a *attempts) attempt(ctx context.Context) (zinniamast.ServiceAnswer, error) {
	upstream, err := a.prepare(ctx)
	if err != nil {
		return zinniamast.ServiceAnswer{}, err
	}
	return a.send(ctx, upstream)
}

// prepare chooses the replica of the next attempt and checks that the attempt
// may still be sent.
func (a *attempts) prepare(ctx context.Context) (*blackboard.Upstream, error) {
	upstream, err := a.choose()
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil || !a.mayDispatch() {
		return nil, contextRefusal(ctx)
	}
	return upstream, nil
}

// choose selects the replica of the next attempt.
func (a *attempts) choose() (*blackboard.Upstream, error) {
	h, c := a.handler, a.call
	alone, err := h.config.Quarantine.Check(c.fingerprint)
	if err != nil {
		return nil, err
	}
	a.isSuspect = alone
	if alone {
		a.avoidForSuspect()
	}
	choice, err := h.config.Router.Route(&zinniamast.RouteRequest{
		Request:      c.id,
		Service:      c.service.Name,
		Organisation: c.organisation,
		Class:        string(c.class),
		Priority:     c.class.Priority(),
		Deadline:     c.deadline,
		Avoid:        a.avoid,
		Alone:        alone,
	})
	if err != nil {
		return nil, err
	}
	upstream := h.config.Board.Upstreams.Get(choice.Upstream)
	if upstream == nil || upstream.Service == nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonNoUpstream,
			"the replica chosen for %s has just gone", c.service.Name).WithRetryAfter(time.Second)
	}
	return upstream, nil
}

// avoidForSuspect avoids the replicas on which a suspect call should not run.
func (a *attempts) avoidForSuspect() {
	var replicas []string
	for _, upstream := range a.handler.config.Board.Upstreams.Of(a.call.service.Name) {
		if !upstream.Leaving() && !slices.Contains(a.avoid, upstream.Instance.ID) {
			replicas = append(replicas, upstream.Instance.ID)
		}
	}
	a.avoid = append(a.avoid, a.handler.config.Quarantine.ReplicasToAvoid(a.call.fingerprint, replicas)...)
}

// send makes an attempt at a replica and reports its start and end to the
// router, the quarantine, the retry policy and the latency tracker.
func (a *attempts) send(ctx context.Context, upstream *blackboard.Upstream) (zinniamast.ServiceAnswer, error) {
	h, c := a.handler, a.call
	id := upstream.Instance.ID
	attempt := newID()
	upstream.BeginAttempt()
	defer upstream.EndAttempt()
	h.config.Quarantine.AttemptStarted(id, c.fingerprint)
	isAnswered := false
	defer func() { h.config.Quarantine.AttemptEnded(id, c.fingerprint, isAnswered) }()
	h.config.Router.Observe(zinniamast.Observation{
		Kind:     zinniamast.ObservedStart,
		Attempt:  attempt,
		Upstream: id,
	})
	started := time.Now()
	answer, err := upstream.Service.Call(ctx, zinniamast.ServiceCall{
		Attempt: attempt,
		Key:     c.upstreamKey(),
		Method:  c.method,
		Path:    c.path,
		Header:  c.header,
		Body:    c.body,
	})
	end := zinniamast.Observation{
		Kind:     zinniamast.ObservedEnd,
		Attempt:  attempt,
		Upstream: id,
		Elapsed:  time.Since(started),
	}
	isAnswered = err == nil
	// A superseded attempt was cancelled because another one answered first, so its
	// error does not count against the replica.
	superseded := err != nil && context.Cause(ctx) == errSuperseded
	if err == nil {
		h.config.Retry.Succeeded(c.service.Name)
	}
	if c.isIdempotent && (err == nil || superseded) {
		h.latency.record(c.service.Name, id, end.Elapsed, err == nil)
	}
	if superseded {
		end.Failure = zinniamast.FailureStopped
	} else if failed := zinniamast.AsUpstreamError(err); failed != nil {
		end.Failure = failed.Failure
		if failed.Outcome().MayHaveCrashed && !upstream.Leaving() {
			h.config.Quarantine.ReplicaCrashed(id)
		}
	}
	h.config.Router.Observe(end)
	return answer, err
}

// upstreamKey returns the key that the service receives; it is empty if the
// caller sent none.
func (c *call) upstreamKey() string {
	if c.key == "" {
		return ""
	}
	return claims.UpstreamKey(c.organisation, c.key)
}

// recordFailure records and logs a failed attempt and avoids its replica.
func (a *attempts) recordFailure(failed *zinniamast.UpstreamError) {
	a.lastFailure = failed
	a.avoid = append(a.avoid, failed.Upstream)
	if failed.Leaving {
		a.handler.config.Board.Upstreams.MarkLeaving(failed.Upstream, time.Time{})
	}
	ran := failed.Outcome().Ran
	if ran == zinniamast.DidRun || a.ran == zinniamast.NotRun {
		a.ran = ran
	}
	a.handler.config.Logger.Info("service attempt failed", "request", a.call.id,
		"upstream", failed.Upstream, "failure", failed.Failure, "ran", ran, "cause", failed.Cause)
}

// waitForRetry takes a retry from the budget and waits for the backoff. Its
// error is a *Refusal if the attempts or the budget are used up or the call ends.
func (a *attempts) waitForRetry(ctx context.Context) error {
	h, c := a.handler, a.call
	a.retries++
	if a.retries+a.hedges >= c.policy.MaxAttempts {
		return a.exhausted()
	}
	h.metrics.countRetry(a.lastFailure.Failure)
	if a.lastFailure.Leaving {
		return nil
	}
	allow := h.config.Retry.Retry
	if a.lastFailure.Failure == zinniamast.FailureDial {
		allow = h.config.Retry.Failover
	}
	backoff, err := allow(c.organisation, c.service.Name, a.retries, c.policy.RetryBudget)
	if err != nil {
		return zinniamast.AsRefusal(err).WithRan(a.ran)
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextRefusal(ctx).WithRan(a.ran)
	}
}

// exhausted returns the refusal after the last allowed attempt.
func (a *attempts) exhausted() *zinniamast.Refusal {
	reason := zinniamast.ReasonUpstreamFailed
	if a.lastFailure.Failure == zinniamast.FailureCutShort {
		reason = zinniamast.ReasonAnswerCutShort
	}
	return zinniamast.Refuse(reason, "%d attempts at %s failed, the last with %s",
		a.retries+a.hedges, a.call.service.Name, a.lastFailure.Failure).WithRan(a.ran).WithRetryAfter(time.Second)
}

// contextRefusal returns the refusal of a call whose deadline has passed or
// whose caller has cancelled it.
func contextRefusal(ctx context.Context) *zinniamast.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return zinniamast.Refuse(zinniamast.ReasonCancelled, "the request was given up")
	}
	return zinniamast.Refuse(zinniamast.ReasonPastDeadline, "the deadline passed before an answer came")
}
