package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/silence"
)

// takeover lets another replica take over a request whose current replica is silent.
//
// The request stays at its silent replica until another one has begun to answer. Until
// then the other ones may still refuse the request, fail or be silent themselves, and
// the silent replica may be the only one that completes the answer.
//
// The methods and the counts of the call are used either by the silence watch, while the
// handler waits for data of the current replica, or by the handler, while the watch is
// suspended or stopped.
type takeover struct {
	handler *Handler
	// ctx is the context of the request.
	ctx    context.Context
	call   *call
	answer *answer
	// current is the send whose answer the handler waits for. pending are the sends to
	// other replicas that may take over, the oldest first.
	current *send
	pending []*send

	// mu guards watch, the silence watch of the current send.
	mu    sync.Mutex
	watch *silence.Watch
}

// errWithdrawn is the cancellation cause of a send that was to take over from a silent
// replica, after another replica has continued.
var errWithdrawn = errors.New("another replica continued")

// follow makes a send the current one and starts its silence watch.
func (t *takeover) follow(s *send) {
	timeouts := silenceTimeoutsOf(t.call)
	if delay, ok := t.handler.hedgeDelay(t.call); ok && !t.answer.begun {
		timeouts.first = min(timeouts.first, delay)
	}
	if timeouts.first > 0 && !s.hasBegun() {
		timeouts.first = max(timeouts.first-time.Since(s.started), time.Millisecond)
	}
	t.current = s
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watch = silence.New(silence.Config{
		First:    timeouts.first,
		Pause:    timeouts.pause,
		MayLeave: t.mayLeave,
		Cancel:   s.cancel,
	})
}

// mayLeave reports whether the request may leave its silent replica. It sends the request
// to a further replica if none of the pending sends has begun and all are silent as well.
func (t *takeover) mayLeave() bool {
	c := t.call
	defer func() {
		// A panic would end the process outside the handler's goroutine.
		if cause := recover(); cause != nil {
			t.handler.logPanic(c.metadata.ID, cause)
		}
	}()
	if t.ctx.Err() != nil {
		return false
	}
	t.dropFailed()
	if t.isOnlyLate() {
		t.hedge()
		t.current.isOvertaken = slices.ContainsFunc(t.pending, (*send).hasBegun)
		return t.current.isOvertaken
	}
	c.metSilence = true
	if slices.ContainsFunc(t.pending, (*send).hasBegun) {
		return true
	}
	if n := len(t.pending); n > 0 && time.Since(t.pending[n-1].started) < silenceTimeoutsOf(c).first {
		return false
	}
	if to, ok := t.choose(); ok {
		t.start(to)
		return false
	}
	// A failure that a replica answered before this send is returned at once.
	return t.current.followsAnswer
}

// isOnlyLate reports whether the replica has not begun to answer, but is not silent yet.
func (t *takeover) isOnlyLate() bool {
	_, mayHedge := t.handler.hedgeDelay(t.call)
	return mayHedge && !t.answer.begun && time.Since(t.current.started) < silenceTimeoutsOf(t.call).first
}

// hedge sends a request whose first event is late to a second replica, if that is predicted to
// meet the target there and no request waits for a place.
//
// Reports of a replica's load are older than a prompt takes, so that several nodes may send long
// prompts to the same replica at once. The second choice knows more.
func (t *takeover) hedge() {
	h, c := t.handler, t.call
	if len(t.pending) > 0 || c.sendsStarted > 1 || c.sends+1 >= c.route.MaxAttempts || h.config.Queue.IsShort(c.service) {
		return
	}
	if h.recheck(c) != nil || c.isSuspect {
		return
	}
	to, refusal := h.choose(c, t.avoided())
	left := c.route.Target - time.Since(c.arrived)
	if refusal == nil && to.choice.FirstToken <= left && h.config.Hedges.AllowHedge(c.service) {
		t.start(to)
	}
}

// choose returns a replica for a further send beside those in progress, and charges the
// retry budget for it. The replica must be predicted to send the first token before it
// would count as silent itself. The router is asked only if the budget has a retry left.
func (t *takeover) choose() (routed, bool) {
	h, c := t.handler, t.call
	inProgress := 1 + len(t.pending)
	if c.sends+inProgress >= c.route.MaxAttempts {
		return routed{}, false
	}
	if wait, ok := h.config.RetryBudget.RetryWait(c.service); !ok || wait > 0 {
		return routed{}, false
	}
	if (c.arrivals+inProgress >= maxArrivals || c.dials >= maxDials) && !t.forgetFailures() {
		return routed{}, false
	}
	if h.recheck(c) != nil {
		return routed{}, false
	}
	to, refusal := h.choose(c, t.avoided())
	if refusal != nil && t.forgetFailures() {
		to, refusal = h.choose(c, t.avoided())
	}
	if refusal != nil || to.choice.FirstToken > min(silenceTimeoutsOf(c).first, time.Until(c.deadline)) {
		return routed{}, false
	}
	return to, h.config.RetryBudget.AllowRetry(c.service)
}

// avoided returns the replicas that must not get a further send.
func (t *takeover) avoided() []string {
	avoided := append(slices.Clone(t.handler.avoided(t.call)), t.current.upstream.Instance.ID)
	for _, s := range t.pending {
		avoided = append(avoided, s.upstream.Instance.ID)
	}
	return avoided
}

// forgetFailures lets a begun stream ask replicas again that have failed or refused it,
// as they may be full or unreachable only for a moment. It returns false if that is not
// due yet. The interval grows.
func (t *takeover) forgetFailures() bool {
	c := t.call
	if !t.answer.begun || time.Now().Before(c.resumeAt) {
		return false
	}
	c.avoid, c.dials = nil, 0
	c.resumeAt = time.Now().Add(resumeInterval << c.resumeWaits)
	c.resumeWaits = min(c.resumeWaits+1, maxResumeDoublings)
	return true
}

// start sends the request to a further replica. The watch checks again as soon as that
// replica begins to answer or fails.
func (t *takeover) start(to routed) {
	h, c := t.handler, t.call
	s := h.newSend(t.ctx, c, t.answer, to)
	if s == nil {
		return
	}
	isLate := t.isOnlyLate()
	message := "replica is silent, request sent to another"
	if isLate {
		message = "replica is late, request sent to another"
		h.metrics.hedged.Inc()
	}
	if !t.current.silent && !isLate {
		t.current.silent = true
		h.observe(c, t.current, zinniamast.ObservedSilent, time.Since(t.current.started), zinniamast.FailureTimeout, 0)
	}
	s.ready = make(chan struct{})
	t.pending = append(t.pending, s)
	h.config.Logger.Warn(message, "request", c.metadata.ID, "service", c.service,
		"replica", t.current.upstream.Instance.ID, "next_replica", s.upstream.Instance.ID, "predicted_first", to.choice.FirstToken.Round(time.Millisecond),
		"sends", c.sends, "arrivals", c.arrivals, "after", s.after, "left", c.remaining())
	go func() {
		s.failure = h.begin(c, s)
		close(s.ready)
		t.recheck()
	}()
}

// begin sends the request and waits until the replica has begun to answer. A panic,
// which would end the process outside the handler's goroutine, becomes a failure.
func (h *Handler) begin(c *call, s *send) (failure *zinniamast.UpstreamError) {
	defer func() {
		if cause := recover(); cause != nil {
			h.logPanic(c.metadata.ID, cause)
			failure = upstreamError(s.upstream, zinniamast.FailureStopped, fmt.Errorf("forward: panic: %v", cause))
		}
	}()
	if failure := h.dispatch(c, s); failure != nil {
		return failure
	}
	return h.awaitStart(c, s)
}

// recheck makes the watch check at once whether the request may leave.
func (t *takeover) recheck() {
	t.mu.Lock()
	watch := t.watch
	t.mu.Unlock()
	watch.Recheck()
}

// dropFailed removes the pending sends that have failed and settles their accounts.
func (t *takeover) dropFailed() {
	t.pending = slices.DeleteFunc(t.pending, func(s *send) bool {
		if !s.isReady() || s.failure == nil {
			return false
		}
		h, c := t.handler, t.call
		h.endSend(t.ctx, c, s, s.failure, 0)
		t.recordFailure(s, s.failure)
		if next := time.Now().Add(resumeInterval << c.resumeWaits); next.After(c.resumeAt) {
			c.resumeAt = next
		}
		h.metrics.takeovers.WithLabelValues(takeoverFailed).Inc()
		h.config.Logger.Warn("send failed, silent replica keeps request", "request", c.metadata.ID, "service", c.service,
			"replica", s.upstream.Instance.ID, "silent_replica", t.current.upstream.Instance.ID,
			"failure", s.failure.Failure, "cause", s.failure.Cause, "sends", c.sends, "arrivals", c.arrivals,
			"after", s.after, "left", c.remaining())
		return true
	})
}

// withdraw ends the pending sends, as the current replica has continued. They may have
// run, so they count as sends of the request.
func (t *takeover) withdraw() {
	if len(t.pending) == 0 {
		return
	}
	t.dropFailed()
	h, c := t.handler, t.call
	for _, s := range t.pending {
		s.cancel(errWithdrawn)
	}
	for _, s := range t.pending {
		<-s.ready
		failure := s.failure
		if failure == nil || failure.Failure != zinniamast.FailureDial && failure.Failure != zinniamast.FailureRefused {
			failure = upstreamError(s.upstream, zinniamast.FailureStopped, errWithdrawn)
		}
		h.endSend(t.ctx, c, s, failure, 0)
		h.metrics.takeovers.WithLabelValues(takeoverWithdrawn).Inc()
		h.config.Logger.Info("silent replica continued", "request", c.metadata.ID, "service", c.service,
			"replica", t.current.upstream.Instance.ID, "withdrawn_from", s.upstream.Instance.ID, "sends", c.sends,
			"after", s.after, "left", c.remaining())
	}
	t.pending = nil
}

// next removes and returns the pending send that follows the current one: one that has
// begun to answer, or else the oldest; nil if none is pending.
func (t *takeover) next() *send {
	if len(t.pending) == 0 {
		return nil
	}
	i := max(0, slices.IndexFunc(t.pending, (*send).hasBegun))
	s := t.pending[i]
	t.pending = slices.Delete(t.pending, i, i+1)
	return s
}

// isAsked reports whether a replica has a send of the request in progress.
func (t *takeover) isAsked(id string) bool {
	isAt := func(s *send) bool { return s.upstream.Instance.ID == id }
	return isAt(t.current) || slices.ContainsFunc(t.pending, isAt)
}

// isReady reports whether a pending send has failed or begun to answer.
func (s *send) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// hasBegun reports whether a pending send has begun to answer.
func (s *send) hasBegun() bool { return s.ready != nil && s.isReady() && s.failure == nil }

// The outcomes of sends that were to take over from a silent replica, as metric labels.
const (
	takeoverDone      = "done"
	takeoverFailed    = "failed"
	takeoverWithdrawn = "withdrawn"
)
