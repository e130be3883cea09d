package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/silence"
)

const (
	// maxArrivals bounds the sends of one request that reach a replica, including
	// those that the replica refuses. A fourth replica of a full service would
	// refuse the request too, and each send is charged to the retry budget shared by
	// all nodes.
	maxArrivals = 3
	// maxDials bounds the failed connection attempts of one request.
	maxDials = 4
	// resumeInterval is the wait before a stream that left a silent replica is sent
	// again. It doubles with each try, at most maxResumeDoublings times.
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
	a := &answer{
		writer: w,
	}
	for dials := 0; ; {
		upstream, refusal := h.choose(c)
		if refusal != nil {
			if refusal = h.awaitResume(ctx, a, c, refusal); refusal == nil {
				continue
			}
			h.giveUp(ctx, a, c, refusal)
			return
		}
		if c.arrivals == 0 && dials == 0 {
			h.metrics.timeToSend.Observe(time.Since(c.arrived).Seconds())
		}
		failure := h.attempt(ctx, a, c, upstream)
		if failure == nil {
			h.recordAnswer(a, c, upstream)
			return
		}
		c.failure = failure
		if failure.Failure == zinniamast.FailureDial {
			dials++
		}
		if refusal := h.checkRetry(ctx, a, c, failure, dials); refusal != nil {
			if refusal = h.awaitResume(ctx, a, c, refusal); refusal != nil {
				h.giveUp(ctx, a, c, refusal)
				return
			}
			dials = 0
		}
		h.metrics.retried.WithLabelValues(string(failure.Failure)).Inc()
		h.config.Logger.Warn("send failed, retrying request", "request", c.metadata.ID, "service", c.service, "replica", upstream.Instance.ID,
			"failure", failure.Failure, "cause", failure.Cause, "sends", c.sends, "arrivals", c.arrivals, "after", string(a.lastID))
	}
}

// routeRequest returns what the router takes into account when it chooses a replica.
func (h *Handler) routeRequest(c *call, avoid []string) *zinniamast.RouteRequest {
	return &zinniamast.RouteRequest{
		Request:             c.metadata.ID,
		Service:             c.service,
		Organisation:        c.organisationName(),
		Priority:            c.priority,
		PromptTokens:        c.metadata.PromptTokens,
		Prefix:              c.prefix,
		Deadline:            c.deadline,
		FirstTokenTarget:    c.route.Target,
		BetweenTokensTarget: c.route.PauseTarget,
		Avoid:               avoid,
		Alone:               c.isSuspect,
	}
}

// choose asks the router for the next replica.
func (h *Handler) choose(c *call) (*blackboard.Upstream, *zinniamast.Refusal) {
	choice, err := h.config.Router.Route(h.routeRequest(c, h.avoided(c)))
	if err != nil {
		return nil, zinniamast.AsRefusal(err)
	}
	upstream := h.config.Upstreams.Get(choice.Upstream)
	if upstream == nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica").WithRetryAfter(noReplicaRetryAfter)
	}
	h.config.Demand.AddWork(c.service, choice.Work)
	c.fetchFrom, c.cachedTokens = "", choice.CachedTokens
	if source := h.config.Upstreams.Get(choice.FetchFrom); source != nil {
		c.fetchFrom = source.Instance.Address
	}
	h.config.Logger.Info("sending request to replica", "request", c.metadata.ID, "service", c.service, "organisation", c.organisationName(),
		"config", c.configVersion, "priority", c.priority, "prompt_tokens", c.metadata.PromptTokens, "replica", choice.Upstream,
		"failure_domain", upstream.Instance.FailureDomain, "running_here", upstream.Inflight(),
		"predicted_first", choice.FirstToken.Round(time.Millisecond), "cached", choice.CachedTokens, "fetch_from", choice.FetchFrom,
		"left", time.Until(c.deadline).Round(time.Millisecond))
	return upstream, nil
}

// avoided returns the replicas that must not get the request. A suspect request
// also avoids the replicas that Quarantine.Apart returns, among them those where
// replicas crashed while running it. A second crash there would prove nothing, and
// would also end whatever has just recovered there.
func (h *Handler) avoided(c *call) []string {
	if !c.isSuspect {
		return c.avoid
	}
	var replicas []string
	for _, u := range h.config.Upstreams.Of(c.service) {
		if !u.Leaving() && !slices.Contains(c.avoid, u.Instance.ID) {
			replicas = append(replicas, u.Instance.ID)
		}
	}
	return append(slices.Clone(c.avoid), h.config.Quarantine.ReplicasToAvoid(c.fingerprint, replicas)...)
}

// attempt sends the request to one replica and forwards its answer. It returns nil
// if the caller has received a whole answer.
func (h *Handler) attempt(ctx context.Context, a *answer, c *call, upstream *blackboard.Upstream) *zinniamast.UpstreamError {
	upstream.BeginAttempt()
	defer upstream.EndAttempt()
	c.retryCharged = false
	id := upstream.Instance.ID
	h.config.Quarantine.AttemptStarted(id, c.fingerprint)
	defer h.config.Quarantine.AttemptEnded(id, c.fingerprint)
	started := time.Now()
	before := a.events
	h.observe(c, id, zinniamast.ObservedStart, 0, "", 0)
	failure := h.exchange(ctx, a, c, upstream, started)
	if failure == nil {
		h.observe(c, id, zinniamast.ObservedEnd, time.Since(started), "", a.events-before)
		return nil
	}
	if ctx.Err() != nil && failure.Failure != zinniamast.FailureDial {
		failure.Failure = zinniamast.FailureStopped
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			failure.Failure = zinniamast.FailureTimeout
		}
	}
	h.observe(c, id, zinniamast.ObservedEnd, time.Since(started), failure.Failure, a.events-before)
	if failure.Outcome().MayHaveCrashed {
		h.config.Quarantine.ReplicaCrashed(id)
	}
	return failure
}

// observe reports an event of a send to the router.
func (h *Handler) observe(c *call, upstream string, kind zinniamast.ObservationKind, elapsed time.Duration, failure zinniamast.Failure, events int) {
	h.config.Router.Observe(zinniamast.Observation{
		Kind:         kind,
		Attempt:      c.metadata.ID,
		Upstream:     upstream,
		Priority:     c.priority,
		Elapsed:      elapsed,
		PromptTokens: c.metadata.PromptTokens,
		CachedTokens: cachedTokens(c, kind),
		Tokens:       events,
		Prefix:       c.prefix,
		Failure:      failure,

		BetweenTokensTarget: c.route.PauseTarget,
	})
}

// cachedTokens returns the cached tokens that the router predicted, for the start
// of a send. Replicas do not report the actual number.
func cachedTokens(c *call, kind zinniamast.ObservationKind) int {
	if kind == zinniamast.ObservedStart {
		return c.cachedTokens
	}
	return zinniamast.UnknownCached
}

// exchange sends the request once and forwards the answer, watched for silence of
// the replica.
func (h *Handler) exchange(ctx context.Context, a *answer, c *call, upstream *blackboard.Upstream, started time.Time) *zinniamast.UpstreamError {
	request, err := h.newRequest(c, upstream, string(a.lastID))
	if err != nil {
		return upstreamError(upstream, zinniamast.FailureInvalid, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeouts := silenceTimeoutsOf(c)
	watch := silence.New(silence.Config{
		First:    timeouts.first,
		Pause:    timeouts.pause,
		MayLeave: func() bool { return h.mayLeave(c, upstream.Instance.ID) },
		Cancel:   cancel,
	})
	defer watch.Stop()
	response, err := upstream.Replica.Send(ctx, request)
	if err != nil {
		failure := zinniamast.AsUpstreamError(err)
		if watch.Stop() && failure.Failure != zinniamast.FailureDial {
			c.markSilent(failure)
		}
		c.countSend(failure)
		return failure
	}
	defer response.Body.Close()
	failure := h.forwardAnswer(a, c, upstream, response, watch, started)
	if watch.Stop() && failure != nil {
		c.markSilent(failure)
	}
	c.countSend(failure)
	return failure
}

// markSilent records that this node ended a send because its replica was silent.
func (c *call) markSilent(failure *zinniamast.UpstreamError) {
	failure.Failure = zinniamast.FailureTimeout
	c.leftSilentReplica = true
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
	if failure.Failure != zinniamast.FailureDial {
		c.arrivals++
	}
	outcome := failure.Outcome()
	if outcome.Ran == zinniamast.NotRun {
		return
	}
	c.sends++
	if c.ran != zinniamast.DidRun {
		c.ran = outcome.Ran
	}
}

// newRequest builds the request for a replica: the caller's method, path and body
// unchanged, with the time until the caller's deadline.
func (h *Handler) newRequest(c *call, upstream *blackboard.Upstream, after string) (*http.Request, error) {
	if !strings.HasPrefix(c.request.RequestURI, "/") {
		return nil, fmt.Errorf("forward: request target %q is not a path", c.request.RequestURI)
	}
	header := c.request.Header.Clone()
	dropHopByHop(header)
	header.Del("Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		header["User-Agent"] = []string{""}
	}
	h.config.Protocol.WriteRequest(header, Delivery{
		Instance:     upstream.Instance.ID,
		Organisation: c.organisationName(),
		Remaining:    time.Until(c.deadline),
		Priority:     c.priority,
		FetchFrom:    c.fetchFrom,
		LastEventID:  after,
	})
	request := &http.Request{
		Method: c.request.Method,
		// Opaque is written to the request line unchanged.
		URL: &url.URL{
			Scheme: "http",
			Host:   upstream.Instance.Address,
			Opaque: c.request.RequestURI,
		},
		Host:       c.request.Host,
		Header:     header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	setBody(request, c.body)
	return request, nil
}

// organisationName returns the name of the caller's organisation; empty if the
// request is anonymous.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// checkRetry decides whether a request is sent again after a failed send. It returns
// a refusal if not, and nil if so.
func (h *Handler) checkRetry(ctx context.Context, a *answer, c *call, failure *zinniamast.UpstreamError, dials int) *zinniamast.Refusal {
	c.addAvoided(failure.Upstream)
	if ctx.Err() != nil {
		return h.endedRefusal(ctx, c)
	}
	if dials >= maxDials {
		return zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica takes connections").WithRan(c.ran).WithRetryAfter(noReplicaRetryAfter)
	}
	if failure.Failure == zinniamast.FailureDial {
		h.avoidOtherDomains(c)
		return nil
	}
	ran := failure.Outcome().Ran
	if ran != zinniamast.NotRun && !c.route.Repeatable() {
		return h.failedRefusal(c)
	}
	if ran != zinniamast.NotRun && c.sends >= c.route.MaxAttempts || c.arrivals >= maxArrivals {
		return h.failedRefusal(c)
	}
	return h.chargeRetry(c)
}

// chargeRetry charges the retry budget for the next send of a request, unless that
// send was charged already. It returns a refusal if the budget is used up.
func (h *Handler) chargeRetry(c *call) *zinniamast.Refusal {
	if !c.retryCharged && !h.config.RetryBudget.AllowRetry(c.service) {
		return zinniamast.Refuse(zinniamast.ReasonRetryBudget, "the service's retries are used up").WithRan(c.ran).WithRetryAfter(fullRetryAfter)
	}
	c.retryCharged = true
	return nil
}

// awaitResume waits until a begun stream that left a silent replica may be sent
// again, with a growing interval between tries. The other replicas may be full only
// for a moment. It returns nil, or a refusal if the stream cannot be resumed.
func (h *Handler) awaitResume(ctx context.Context, a *answer, c *call, refusal *zinniamast.Refusal) *zinniamast.Refusal {
	if !a.begun || !c.leftSilentReplica || c.sends >= c.route.MaxAttempts {
		return refusal
	}
	c.avoid = nil
	for {
		select {
		case <-time.After(resumeInterval << c.resumeWaits):
		case <-ctx.Done():
			return h.endedRefusal(ctx, c)
		}
		c.resumeWaits = min(c.resumeWaits+1, maxResumeDoublings)
		if h.chargeRetry(c) == nil {
			return nil
		}
	}
}

// avoidOtherDomains restricts a request to this node's failure domain after a failed
// connection attempt, if the domain has another replica.
//
// If the failure domain is cut off, each replica outside it costs the request a
// whole connect timeout, and after four of them the request is refused although the
// replicas in the domain are healthy.
func (h *Handler) avoidOtherDomains(c *call) {
	all := h.config.Upstreams.Of(c.service)
	hasReplica := false
	for _, u := range all {
		if u.Instance.FailureDomain == h.config.FailureDomain && !u.Leaving() && !slices.Contains(c.avoid, u.Instance.ID) {
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
	if c.failedAnswer != nil && (ctx.Err() == nil || isNodeStop(ctx)) {
		c.failedAnswer.writeTo(a.writer)
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

// upstreamError returns the error of a failed send to an upstream.
func upstreamError(upstream *blackboard.Upstream, failure zinniamast.Failure, cause error) *zinniamast.UpstreamError {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: upstream.Instance.ID,
		Cause:    cause,
	}
}
