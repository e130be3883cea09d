package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/routes"
)

const (
	// maxArrivals bounds the sends of one request that reach a replica, including
	// those that the replica refuses. A fourth replica of a full service would
	// refuse the request too, and each send is charged to the retry budget shared by
	// all nodes.
	maxArrivals = 3
	// maxDials bounds the failed connection attempts of one request.
	maxDials = 4
	// resumeInterval is the wait before a begun stream asks replicas again that have
	// failed or refused it. It doubles with each try, at most maxResumeDoublings times.
	resumeInterval     = 100 * time.Millisecond
	maxResumeDoublings = 4
	// noReplicaRetryAfter is the retry delay for a service without replicas. Replicas
	// take some seconds to start, and registry entries lapse for about two seconds.
	noReplicaRetryAfter = 2 * time.Second
	// fullRetryAfter is the retry delay after replicas refused a request because they
	// are full. Each answer frees a slot, many times a second.
	fullRetryAfter = 300 * time.Millisecond
)

// run sends a request to one replica after another until one has answered or no
// further send is possible.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, c *call) {
	h.config.RetryBudget.Started(c.service)
	h.config.Demand.RequestStarted(c.service, c.metadata.PromptTokens)
	defer h.config.Demand.RequestEnded(c.service)
	h.enterQueue(c)
	defer c.place.entry.Ended()
	defer c.place.entry.Leave()
	a := &answer{
		writer: w,
	}
	t := &takeover{
		handler: h,
		ctx:     ctx,
		call:    c,
		answer:  a,
	}
	var s *send
	var failure *zinniamast.UpstreamError
	for {
		var to routed
		if s == nil {
			var refusal *zinniamast.Refusal
			if to, refusal = h.nextReplica(ctx, a, c); refusal != nil {
				h.giveUp(ctx, a, c, refusal)
				return
			}
		}
		if failure != nil {
			h.recordRetry(ctx, a, c, failure)
			failure = nil
		}
		if s == nil {
			if c.sendsStarted == 0 {
				h.metrics.timeToSend.Observe(time.Since(c.arrived).Seconds())
			}
			if s = h.newSend(ctx, c, a, to); s == nil {
				continue
			}
		}
		if failure = h.attempt(t, s); failure == nil {
			h.recordAnswer(a, c, s.upstream)
			return
		}
		if s = t.next(); s != nil {
			continue
		}
		refusal := h.checkRetry(ctx, a, c, failure)
		if refusal != nil {
			refusal = h.awaitReplicas(ctx, a, c, refusal)
		}
		if refusal != nil {
			h.giveUp(ctx, a, c, refusal)
			return
		}
	}
}

// recordRetry counts and logs that a request goes on at another replica after a failure.
func (h *Handler) recordRetry(ctx context.Context, a *answer, c *call, failure *zinniamast.UpstreamError) {
	if ctx.Err() != nil || failure.Failure == zinniamast.FailureNoPlace {
		return
	}
	h.metrics.retried.WithLabelValues(string(failure.Failure)).Inc()
	h.config.Logger.Warn("send failed, retrying request", "request", c.metadata.ID, "service", c.service, "replica", failure.Upstream,
		"failure", failure.Failure, "cause", failure.Cause, "sends", c.sends, "arrivals", c.arrivals, "after", string(a.lastID))
}

// attempt forwards the answer of a send to the caller, watched for silence of the
// replica. It returns nil if the caller has received a whole answer, and otherwise the
// failure of the send; other sends of the request may be pending then.
func (h *Handler) attempt(t *takeover, s *send) (failure *zinniamast.UpstreamError) {
	before := t.answer.events
	t.follow(s)
	failure = upstreamError(s.upstream, zinniamast.FailureStopped, errPanicked)
	defer func() {
		left := t.watch.Stop()
		switch {
		case failure == nil || failure.Cause == errPanicked:
			t.withdraw()
		case left && s.isOvertaken:
			failure.Failure = zinniamast.FailureStopped
		case left && !failure.WasUnsent():
			failure.Failure = zinniamast.FailureTimeout
		}
		if left && slices.ContainsFunc(t.pending, (*send).hasBegun) {
			h.metrics.takeovers.WithLabelValues(takeoverDone).Inc()
		}
		h.endSend(t.ctx, t.call, s, failure, t.answer.events-before)
		if failure != nil {
			t.recordFailure(s, failure)
		}
	}()
	failure = h.forwardAnswer(t)
	return failure
}

// errPanicked is the cause of the failure of a send while whose answer was forwarded the
// handler panicked.
var errPanicked = errors.New("forward: the handler panicked")

// recordFailure records how a send of the request failed. Further sends avoid its
// replica.
func (t *takeover) recordFailure(s *send, failure *zinniamast.UpstreamError) {
	c := t.call
	c.failure = failure
	if failure.Failure == zinniamast.FailureNoPlace {
		return // the replica may have a place for the request on another way
	}
	c.addAvoided(failure.Upstream)
	switch failure.Failure {
	case zinniamast.FailureDial:
		c.dials++
		t.avoidOtherDomains()
	case zinniamast.FailureRefused:
		if s.isRejected {
			c.place.recordRejection(failure.Upstream)
		}
	case zinniamast.FailureError:
		if s.plain != nil && s.plain.isWhole() {
			c.failedAnswer = s.plain
		}
	}
}

// lastError returns the failure of the last send for the log; nil if no send has
// failed.
func (c *call) lastError() error {
	if c.failure == nil {
		return nil
	}
	return c.failure
}

// remaining returns the time until the deadline, for the log.
func (c *call) remaining() time.Duration { return time.Until(c.deadline).Round(time.Millisecond) }

// countSend updates the counts of the request after a send.
func (c *call) countSend(failure *zinniamast.UpstreamError) {
	if failure == nil {
		c.arrivals++
		c.sends++
		c.ran = zinniamast.DidRun
		return
	}
	// A send to a replica that has become unreachable does not use up an attempt.
	wasReachable := !failure.WasUnsent() && failure.Failure != zinniamast.FailurePath
	if wasReachable {
		c.arrivals++
	}
	outcome := failure.Outcome()
	if outcome.Ran == zinniamast.NotRun {
		return
	}
	if wasReachable {
		c.sends++
	}
	if c.ran != zinniamast.DidRun {
		c.ran = outcome.Ran
	}
}

// organisationName returns the name of the caller's organisation; empty if the
// request is anonymous.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// checkRetry decides whether a request may be sent again after a failed send. It returns
// a refusal if not, and nil if so.
func (h *Handler) checkRetry(ctx context.Context, a *answer, c *call, failure *zinniamast.UpstreamError) *zinniamast.Refusal {
	if ctx.Err() != nil {
		return h.endedRefusal(ctx, c)
	}
	if c.dials >= maxDials {
		c.owesRetry = true
		return zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica takes connections").WithRan(c.ran).WithRetryAfter(noReplicaRetryAfter)
	}
	if failure.WasUnsent() {
		return nil
	}
	c.owesRetry = true
	ran := failure.Outcome().Ran
	if ran != zinniamast.NotRun && !c.route.Repeatable() {
		return h.failedRefusal(c)
	}
	if a.begun && c.route.Kind != routes.Stream {
		// The caller already has a part of this answer, and only a stream can be resumed.
		return h.failedRefusal(c)
	}
	if c.arrivals >= maxArrivals && failure.Failure == zinniamast.FailureRefused && c.mayQueue(a) {
		c.place.mustWait = true
		return nil
	}
	if ran != zinniamast.NotRun && c.sends >= c.route.MaxAttempts || c.arrivals >= maxArrivals {
		return h.failedRefusal(c)
	}
	return nil
}

// avoidOtherDomains restricts a request to this node's failure domain after a failed
// connection attempt, if the domain has another replica that has not been asked.
//
// If the failure domain is cut off, each replica outside it costs the request a
// whole connect timeout, and after four of them the request is refused although the
// replicas in the domain are healthy.
func (t *takeover) avoidOtherDomains() {
	h, c := t.handler, t.call
	all := h.config.Upstreams.Of(c.service)
	hasReplica := false
	for _, u := range all {
		id := u.Instance.ID
		if u.Instance.FailureDomain == h.config.FailureDomain && !u.Leaving() && !slices.Contains(c.avoid, id) && !t.isAsked(id) {
			hasReplica = true
		}
	}
	if !hasReplica {
		return
	}
	for _, u := range all {
		if u.Instance.FailureDomain != h.config.FailureDomain {
			c.addAvoided(u.Instance.ID)
		}
	}
}

// failedRefusal returns the refusal of a request that has failed and is not sent to
// a further replica.
func (h *Handler) failedRefusal(c *call) *zinniamast.Refusal {
	if c.ran == zinniamast.NotRun {
		return zinniamast.Refuse(zinniamast.ReasonNoCapacity, "the replicas are full").WithRetryAfter(fullRetryAfter)
	}
	return zinniamast.Refuse(zinniamast.ReasonUpstreamFailed, "the replica failed").WithRan(c.ran)
}

// ErrStopping is the cancellation cause of requests that still run when a stopping
// node reaches its stop timeout.
var ErrStopping = errors.New("forward: the node stops")

// isNodeStop reports whether the request was cancelled because its node stops.
func isNodeStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// endedRefusal returns the refusal of a request whose deadline has passed, whose
// caller has disconnected or whose node has reached its stop timeout.
func (h *Handler) endedRefusal(ctx context.Context, c *call) *zinniamast.Refusal {
	if isNodeStop(ctx) {
		return zinniamast.Refuse(zinniamast.ReasonStopping, "this node stops").WithRan(c.ran).WithRetryAfter(stoppingRetryAfter)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if c.ran == zinniamast.NotRun {
			return zinniamast.Refuse(zinniamast.ReasonDeadlineUnmet, "no replica took the request in time")
		}
		return zinniamast.Refuse(zinniamast.ReasonPastDeadline, "the deadline has passed").WithRan(c.ran)
	}
	return zinniamast.Refuse(zinniamast.ReasonCancelled, "the caller has left").WithRan(c.ran)
}

// giveUp ends a request without a whole answer. Once an answer has begun, only
// closing the connection shows the caller that the answer is incomplete.
func (h *Handler) giveUp(ctx context.Context, a *answer, c *call, refusal *zinniamast.Refusal) {
	if a.begun {
		h.metrics.refused.WithLabelValues(string(zinniamast.ReasonAnswerCutShort)).Inc()
		h.metrics.brokenOff.WithLabelValues(string(refusal.Reason)).Inc()
		h.config.Logger.Warn("answer cut short, closing connection", "request", c.metadata.ID, "service", c.service, "reason", refusal.Reason,
			"last_event", string(a.lastID), "sends", c.sends, "avoid", c.avoid, "cause", c.lastError(),
			"elapsed", time.Since(c.arrived).Round(time.Millisecond), "left", c.remaining())
		panic(http.ErrAbortHandler)
	}
	if c.failedAnswer != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
		a.writePlain(c.request, c.failedAnswer)
		h.recordFailedAnswer(c)
		return
	}
	refusal.Ran = c.ran
	if refusal.Reason == zinniamast.ReasonCancelled {
		h.metrics.brokenOff.WithLabelValues(string(refusal.Reason)).Inc()
		h.config.Logger.Info("caller disconnected", "request", c.metadata.ID, "service", c.service,
			"sends", c.sends, "elapsed", time.Since(c.arrived).Round(time.Millisecond), "left", c.remaining())
		panic(http.ErrAbortHandler)
	}
	h.refuse(a.writer, c, refusal)
}
