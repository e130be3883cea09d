package services

import (
	"context"
	"errors"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/retry"
)

// errSuperseded is the cancellation cause of an attempt whose call was answered
// by another attempt.
var errSuperseded = errors.New("services: another attempt answered first")

// attemptResult is the result of one of two parallel attempts.
type attemptResult struct {
	answer  zinniamast.ServiceAnswer
	err     error
	isHedge bool
}

// attemptWithHedge makes one attempt, and a second one at another replica if the
// first has not ended after the hedge delay. The first whole answer is returned.
// Both attempts may run, so it is used only for calls marked idempotent.
func (a *attempts) attemptWithHedge(ctx context.Context) (zinniamast.ServiceAnswer, error) {
	first, err := a.prepare(ctx)
	if err != nil {
		return zinniamast.ServiceAnswer{}, err
	}
	delay := a.handler.latency.hedgeDelay(a.call.service.Name)
	// A suspect call is not hedged: its copy could crash a second replica.
	if delay == 0 || a.isSuspect || a.handler.config.AllowHedge == nil {
		return a.send(ctx, first)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errSuperseded)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	results := make(chan attemptResult, 2)
	running := 0
	run := func(upstream *blackboard.Upstream, isHedge bool) {
		running++
		go func() {
			answer, err := a.send(ctx, upstream)
			results <- attemptResult{
				answer:  answer,
				err:     err,
				isHedge: isHedge,
			}
		}()
	}
	run(first, false)
	for {
		select {
		case <-timer.C:
			if second := a.chooseHedge(ctx, first); second != nil {
				run(second, true)
			}
		case result := <-results:
			running--
			if result.err == nil || running == 0 {
				a.countHedgeResult(result)
				return result.answer, result.err
			}
			if failed := zinniamast.AsUpstreamError(result.err); failed != nil {
				a.recordFailure(failed)
			}
		}
	}
}

// chooseHedge selects the replica of a hedge and takes the hedge from the
// budget. It returns nil if the call is not to be hedged.
func (a *attempts) chooseHedge(ctx context.Context, first *blackboard.Upstream) *blackboard.Upstream {
	h, c := a.handler, a.call
	h.latency.recordUnanswered(c.service.Name)
	if ctx.Err() != nil {
		return nil
	}
	if a.retries+a.hedges+1 >= c.policy.MaxAttempts {
		h.metrics.countHedge(hedgeAttempts)
		return nil
	}
	// If a service is down, every call of it is late, and a second copy of each
	// call would double its load while it tries to recover.
	if h.latency.isDown(c.service.Name) {
		h.metrics.countHedge(hedgeDown)
		return nil
	}
	previous := a.avoid
	a.avoid = append(slices.Clone(previous), first.Instance.ID)
	upstream, err := a.choose()
	avoided := a.avoid
	a.avoid = previous
	if err != nil || a.isSuspect || upstream.Leaving() || slices.Contains(avoided, upstream.Instance.ID) {
		h.metrics.countHedge(hedgeNoReplica)
		return nil
	}
	if !h.config.AllowHedge(retry.HedgeRequest{
		Organisation: c.organisation,
		Service:      c.service.Name,
		Idempotent:   c.isIdempotent,
		Ratio:        c.policy.RetryBudget,
	}) {
		h.metrics.countHedge(hedgeBudget)
		return nil
	}
	a.hedges++
	h.metrics.countHedge(hedgeSent)
	h.config.Logger.Debug("service call hedged", "request", c.id, "late", first.Instance.ID,
		"second", upstream.Instance.ID)
	return upstream
}

// countHedgeResult counts whether the call's hedge won, lost or failed.
func (a *attempts) countHedgeResult(result attemptResult) {
	switch {
	case a.hedges == a.countedHedges:
		return
	case result.err != nil:
		a.handler.metrics.countHedge(hedgeFailed)
	case result.isHedge:
		a.handler.metrics.countHedge(hedgeWon)
	default:
		a.handler.metrics.countHedge(hedgeLost)
	}
	a.countedHedges = a.hedges
}
