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

// errSuperseded is why an attempt ends whose call another attempt has answered.
var errSuperseded = errors.New("services: another attempt answered first")

// attemptResult is how one of two attempts ended.
type attemptResult struct {
	answer zinniamast.ServiceAnswer
	err    error
	hedge  bool
}

// attemptWithHedge makes one attempt, and a second at another replica if the first is
// late; the first whole answer wins. Only calls marked idempotent come here:
// both attempts may run.
func (a *attempts) attemptWithHedge(ctx context.Context) (zinniamast.ServiceAnswer, error) {
	first, err := a.prepare(ctx)
	if err != nil {
		return zinniamast.ServiceAnswer{}, err
	}
	late := a.handler.latency.hedgeDelay(a.call.service.Name)
	// A suspect stays alone: its copy could take a second replica with it.
	if late == 0 || a.isSuspect || a.handler.config.Hedge == nil {
		return a.send(ctx, first)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errSuperseded)
	timer := time.NewTimer(late)
	defer timer.Stop()
	ends := make(chan attemptResult, 2)
	running := 0
	run := func(upstream *blackboard.Upstream, hedge bool) {
		running++
		go func() {
			answer, err := a.send(ctx, upstream)
			ends <- attemptResult{
				answer: answer,
				err:    err,
				hedge:  hedge,
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
		case e := <-ends:
			running--
			if e.err == nil || running == 0 {
				a.countHedgeResult(e)
				return e.answer, e.err
			}
			if failed := zinniamast.AsUpstreamError(e.err); failed != nil {
				a.recordFailure(failed)
			}
		}
	}
}

// chooseHedge chooses where a late call is sent again and pays for it, or returns nil.
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
	// Failure: every call of a service that is down is late, and a second copy
	// of each meets it when it tries to come back.
	if h.latency.isDown(c.service.Name) {
		h.metrics.countHedge(hedgeDown)
		return nil
	}
	before := a.avoid
	a.avoid = append(slices.Clone(before), first.Instance.ID)
	upstream, err := a.choose()
	avoided := a.avoid
	a.avoid = before
	if err != nil || a.isSuspect || upstream.Leaving() || slices.Contains(avoided, upstream.Instance.ID) {
		h.metrics.countHedge(hedgeNoReplica)
		return nil
	}
	if !h.config.Hedge(retry.HedgeAsk{
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

// countHedgeResult counts what a hedge was good for.
func (a *attempts) countHedgeResult(e attemptResult) {
	switch {
	case a.hedges == a.countedHedges:
		return
	case e.err != nil:
		a.handler.metrics.countHedge(hedgeFailed)
	case e.hedge:
		a.handler.metrics.countHedge(hedgeWon)
	default:
		a.handler.metrics.countHedge(hedgeLost)
	}
	a.countedHedges = a.hedges
}
