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

// errOvertaken is why an attempt ends whose call another attempt has answered.
var errOvertaken = errors.New("services: another attempt answered first")

// ending is how one of two attempts ended.
type ending struct {
	answer zinniamast.ServiceAnswer
	err    error
	hedge  bool
}

// hedged makes one attempt, and a second at another replica if the first is
// late; the first whole answer wins. Only calls marked idempotent come here:
// both attempts may run.
func (a *attempts) hedged(ctx context.Context) (zinniamast.ServiceAnswer, error) {
	first, err := a.prepare(ctx)
	if err != nil {
		return zinniamast.ServiceAnswer{}, err
	}
	late := a.handler.pace.lateAfter(a.call.service.Name)
	// A suspect stays alone: its copy could take a second replica with it.
	if late == 0 || a.alone || a.handler.config.Hedge == nil {
		return a.send(ctx, first)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errOvertaken)
	timer := time.NewTimer(late)
	defer timer.Stop()
	ends := make(chan ending, 2)
	running := 0
	run := func(upstream *blackboard.Upstream, hedge bool) {
		running++
		go func() {
			answer, err := a.send(ctx, upstream)
			ends <- ending{
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
			if second := a.second(ctx, first); second != nil {
				run(second, true)
			}
		case e := <-ends:
			running--
			if e.err == nil || running == 0 {
				a.countEnd(e)
				return e.answer, e.err
			}
			if failed := zinniamast.AsUpstreamError(e.err); failed != nil {
				a.note(failed)
			}
		}
	}
}

// second chooses where a late call is sent again and pays for it, or returns nil.
func (a *attempts) second(ctx context.Context, first *blackboard.Upstream) *blackboard.Upstream {
	h, c := a.handler, a.call
	h.pace.silence(c.service.Name)
	if ctx.Err() != nil {
		return nil
	}
	if a.retries+a.hedges+1 >= c.policy.MaxAttempts {
		h.metrics.hedged(hedgeAttempts)
		return nil
	}
	// Failure: every call of a service that is down is late, and a second copy
	// of each meets it when it tries to come back.
	if h.pace.down(c.service.Name) {
		h.metrics.hedged(hedgeDown)
		return nil
	}
	before := a.avoid
	a.avoid = append(slices.Clone(before), first.Instance.ID)
	upstream, err := a.choose()
	avoided := a.avoid
	a.avoid = before
	if err != nil || a.alone || upstream.Leaving() || slices.Contains(avoided, upstream.Instance.ID) {
		h.metrics.hedged(hedgeNoReplica)
		return nil
	}
	if !h.config.Hedge(retry.HedgeRequest{
		Organisation: c.organisation,
		Service:      c.service.Name,
		Idempotent:   c.idempotent,
		Ratio:        c.policy.RetryBudget,
	}) {
		h.metrics.hedged(hedgeBudget)
		return nil
	}
	a.hedges++
	h.metrics.hedged(hedgeSent)
	h.config.Logger.Debug("service call hedged", "request", c.id, "late", first.Instance.ID,
		"second", upstream.Instance.ID)
	return upstream
}

// countEnd counts what a hedge was good for.
func (a *attempts) countEnd(e ending) {
	switch {
	case a.hedges == a.counted:
		return
	case e.err != nil:
		a.handler.metrics.hedged(hedgeFailed)
	case e.hedge:
		a.handler.metrics.hedged(hedgeWon)
	default:
		a.handler.metrics.hedged(hedgeLost)
	}
	a.counted = a.hedges
}
