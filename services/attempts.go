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

// attempts is the run of attempts at one call.
type attempts struct {
	handler *Handler
	call    *call
	avoid   []string
	retries int
	// hedges counts second attempts beside slow ones, counted those whose end is counted.
	hedges, countedHedges int
	// isSuspect means that the last choice was made for a suspect.
	isSuspect bool
	// ran is the most that any attempt has proved.
	ran zinniamast.Ran
	// lastFailure is the last attempt's failure.
	lastFailure *zinniamast.UpstreamError
	// mayDispatch is asked right before each attempt.
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

// attempt makes one attempt. Its errors are *Refusal where no attempt was made
// and *UpstreamError where one failed.
func (a *attempts) attempt(ctx context.Context) (zinniamast.ServiceAnswer, error) {
	upstream, err := a.prepare(ctx)
	if err != nil {
		return zinniamast.ServiceAnswer{}, err
	}
	return a.send(ctx, upstream)
}

// prepare chooses the replica of an attempt that may still be sent.
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

// choose picks the replica of the next attempt.
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
	choice, err := h.config.Router.Route(&zinniamast.Need{
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
			"the replica chosen for %s has just gone", c.service.Name).After(time.Second)
	}
	return upstream, nil
}

// avoidForSuspect adds the replicas where a suspect should not run.
func (a *attempts) avoidForSuspect() {
	var replicas []string
	for _, upstream := range a.handler.config.Board.Upstreams.Of(a.call.service.Name) {
		if !upstream.Leaving() && !slices.Contains(a.avoid, upstream.Instance.ID) {
			replicas = append(replicas, upstream.Instance.ID)
		}
	}
	a.avoid = append(a.avoid, a.handler.config.Quarantine.Apart(a.call.fingerprint, replicas)...)
}

// send makes an attempt at a replica and tells everybody who learns from it.
func (a *attempts) send(ctx context.Context, upstream *blackboard.Upstream) (zinniamast.ServiceAnswer, error) {
	h, c := a.handler, a.call
	id := upstream.Instance.ID
	attempt := newID()
	upstream.Enter()
	defer upstream.Exit()
	h.config.Quarantine.Running(id, c.fingerprint)
	defer h.config.Quarantine.Ended(id, c.fingerprint)
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
	// Overtaken, not failed: whatever its end looks like, nothing speaks against the replica.
	overtaken := err != nil && context.Cause(ctx) == errSuperseded
	if err == nil {
		h.config.Retry.Succeeded(c.service.Name)
	}
	if c.isIdempotent && (err == nil || overtaken) {
		h.latency.record(c.service.Name, id, end.Elapsed, err == nil)
	}
	if overtaken {
		end.Failure = zinniamast.FailureStopped
	} else if failed := zinniamast.AsUpstreamError(err); failed != nil {
		end.Failure = failed.Failure
		if failed.Outcome().MayHaveCrashed && !upstream.Leaving() {
			h.config.Quarantine.Crashed(id)
		}
	}
	h.config.Router.Observe(end)
	return answer, err
}

// upstreamKey is the key that the service sees; empty if the caller gave none.
func (c *call) upstreamKey() string {
	if c.key == "" {
		return ""
	}
	return claims.UpstreamKey(c.organisation, c.key)
}

// recordFailure records a failed attempt.
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

// waitForRetry pays for one more attempt and waits, or refuses.
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
	ask := h.config.Retry.Retry
	if a.lastFailure.Failure == zinniamast.FailureDial {
		ask = h.config.Retry.GoOn
	}
	pause, err := ask(c.organisation, c.service.Name, a.retries, c.policy.RetryBudget)
	if err != nil {
		return zinniamast.AsRefusal(err).With(a.ran)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextRefusal(ctx).With(a.ran)
	}
}

// exhausted refuses after the last attempt.
func (a *attempts) exhausted() *zinniamast.Refusal {
	reason := zinniamast.ReasonUpstreamFailed
	if a.lastFailure.Failure == zinniamast.FailureCutShort {
		reason = zinniamast.ReasonAnswerCutShort
	}
	return zinniamast.Refuse(reason, "%d attempts at %s failed, the last with %s",
		a.retries+a.hedges, a.call.service.Name, a.lastFailure.Failure).With(a.ran).After(time.Second)
}

// contextRefusal refuses for the deadline, or because the caller has gone.
func contextRefusal(ctx context.Context) *zinniamast.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return zinniamast.Refuse(zinniamast.ReasonCancelled, "the request was given up")
	}
	return zinniamast.Refuse(zinniamast.ReasonPastDeadline, "the deadline passed before an answer came")
}
