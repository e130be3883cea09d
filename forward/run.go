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
	// maxArrivals bounds the sends of one request that reach a replica, also
	// those that the replica turns away: a fourth replica of a full service
	// would turn it away too, and each costs the fleet's budget.
	maxArrivals = 3
	// maxDials bounds tries at replicas that take no connection at all.
	maxDials = 4
	// holdInterval is when a stream that left a silent replica is first tried again;
	// it doubles with each try, maxHoldDoublings times.
	holdInterval     = 100 * time.Millisecond
	maxHoldDoublings = 4
	// noReplicaRetryAfter is when a service without replicas may have one again:
	// replicas take some seconds to start, and entries lapse for about two.
	noReplicaRetryAfter = 2 * time.Second
	// fullRetryAfter is when replicas that turned a request away may have room:
	// a place becomes free with each answer, many times a second.
	fullRetryAfter = 300 * time.Millisecond
)

// run sends a request to replicas until one has answered.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, c *call) {
	h.config.Budget.Started(c.service)
	h.config.Demand.Entered(c.service, c.ask.PromptTokens)
	defer h.config.Demand.Left(c.service)
	a := &answer{
		writer: w,
	}
	for dials := 0; ; {
		upstream, refusal := h.choose(c)
		if refusal != nil {
			if refusal = h.hold(ctx, a, c, refusal); refusal == nil {
				continue
			}
			h.giveUp(ctx, a, c, refusal)
			return
		}
		if c.arrivals == 0 && dials == 0 {
			h.metrics.queued.Observe(time.Since(c.arrived).Seconds())
		}
		failure := h.attempt(ctx, a, c, upstream)
		if failure == nil {
			h.finished(a, c, upstream)
			return
		}
		c.failure = failure
		if failure.Failure == zinniamast.FailureDial {
			dials++
		}
		if refusal := h.judge(ctx, a, c, failure, dials); refusal != nil {
			if refusal = h.hold(ctx, a, c, refusal); refusal != nil {
				h.giveUp(ctx, a, c, refusal)
				return
			}
			dials = 0
		}
		h.metrics.again.WithLabelValues(string(failure.Failure)).Inc()
		h.config.Logger.Warn("sent again", "request", c.ask.ID, "service", c.service, "replica", upstream.Instance.ID,
			"failure", failure.Failure, "cause", failure.Cause, "sends", c.sends, "arrivals", c.arrivals, "after", string(a.last))
	}
}

// need is what a request asks of the router.
func (h *Handler) need(c *call, avoid []string) *zinniamast.Need {
	return &zinniamast.Need{
		Request:             c.ask.ID,
		Service:             c.service,
		Organisation:        c.organisationName(),
		Priority:            c.priority,
		PromptTokens:        c.ask.PromptTokens,
		Prefix:              c.prefix,
		Deadline:            c.deadline,
		FirstTokenTarget:    c.route.Target,
		BetweenTokensTarget: c.route.PauseTarget,
		Avoid:               avoid,
		Alone:               c.alone,
	}
}

// choose asks for the next replica.
func (h *Handler) choose(c *call) (*blackboard.Upstream, *zinniamast.Refusal) {
	choice, err := h.config.Router.Route(h.need(c, h.avoided(c)))
	if err != nil {
		return nil, zinniamast.AsRefusal(err)
	}
	upstream := h.config.Upstreams.Get(choice.Upstream)
	if upstream == nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica").After(noReplicaRetryAfter)
	}
	h.config.Demand.Sent(c.service, choice.Work)
	c.fetchFrom, c.cached = "", choice.CachedTokens
	if source := h.config.Upstreams.Get(choice.FetchFrom); source != nil {
		c.fetchFrom = source.Instance.Address
	}
	h.config.Logger.Info("sent", "request", c.ask.ID, "service", c.service, "organisation", c.organisationName(),
		"config", c.version, "priority", c.priority, "prompt_tokens", c.ask.PromptTokens, "replica", choice.Upstream,
		"failure_domain", upstream.Instance.FailureDomain, "running_here", upstream.Inflight(),
		"predicted_first", choice.FirstToken.Round(time.Millisecond), "cached", choice.CachedTokens, "fetch_from", choice.FetchFrom,
		"left", time.Until(c.deadline).Round(time.Millisecond))
	return upstream, nil
}

// avoided is where the request shall not go. A suspect also stays away from
// where replicas died under it: a second death there would tell nothing, and
// takes with it what else has just come back.
func (h *Handler) avoided(c *call) []string {
	if !c.alone {
		return c.avoid
	}
	var replicas []string
	for _, u := range h.config.Upstreams.Of(c.service) {
		if !u.Leaving() && !slices.Contains(c.avoid, u.Instance.ID) {
			replicas = append(replicas, u.Instance.ID)
		}
	}
	return append(slices.Clone(c.avoid), h.config.Quarantine.Apart(c.fingerprint, replicas)...)
}

// attempt sends the request to one replica and passes its answer on; nil means
// that the caller has a whole answer.
func (h *Handler) attempt(ctx context.Context, a *answer, c *call, upstream *blackboard.Upstream) *zinniamast.UpstreamError {
	upstream.Enter()
	defer upstream.Exit()
	c.paid = false
	id := upstream.Instance.ID
	h.config.Quarantine.Running(id, c.fingerprint)
	defer h.config.Quarantine.Ended(id, c.fingerprint)
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
		h.config.Quarantine.Crashed(id)
	}
	return failure
}

func (h *Handler) observe(c *call, upstream string, kind zinniamast.ObservationKind, elapsed time.Duration, failure zinniamast.Failure, events int) {
	h.config.Router.Observe(zinniamast.Observation{
		Kind:         kind,
		Attempt:      c.ask.ID,
		Upstream:     upstream,
		Priority:     c.priority,
		Elapsed:      elapsed,
		PromptTokens: c.ask.PromptTokens,
		CachedTokens: cachedTokens(c, kind),
		Tokens:       events,
		Prefix:       c.prefix,
		Failure:      failure,

		BetweenTokensTarget: c.route.PauseTarget,
	})
}

// cachedTokens is what the router believed at the start; replicas do not tell.
func cachedTokens(c *call, kind zinniamast.ObservationKind) int {
	if kind == zinniamast.ObservedStart {
		return c.cached
	}
	return zinniamast.UnknownCached
}

// exchange is one send and its answer.
func (h *Handler) exchange(ctx context.Context, a *answer, c *call, upstream *blackboard.Upstream, started time.Time) *zinniamast.UpstreamError {
	request, err := h.request(c, upstream, string(a.last))
	if err != nil {
		return fail(upstream, zinniamast.FailureInvalid, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wait := patience(c)
	watch := silence.New(silence.Config{
		First:  wait.first,
		Pause:  wait.pause,
		Leave:  func() bool { return h.mayLeave(c, upstream.Instance.ID) },
		Cancel: cancel,
	})
	defer watch.Stop()
	response, err := upstream.Replica.Send(ctx, request)
	if err != nil {
		failure := zinniamast.AsUpstreamError(err)
		if watch.Stop() && failure.Failure != zinniamast.FailureDial {
			c.leave(failure)
		}
		c.count(failure)
		return failure
	}
	defer response.Body.Close()
	failure := h.take(a, c, upstream, response, watch, started)
	if watch.Stop() && failure != nil {
		c.leave(failure)
	}
	c.count(failure)
	return failure
}

// leave notes that this node has ended a send for its replica's silence.
func (c *call) leave(failure *zinniamast.UpstreamError) {
	failure.Failure = zinniamast.FailureTimeout
	c.moving = true
}

// cause tells how the last send ended, for the log; nil if there was none.
func (c *call) cause() error {
	if c.failure == nil {
		return nil
	}
	return c.failure
}

// remaining is what is left of the caller's time, for the log.
func (c *call) remaining() time.Duration { return time.Until(c.deadline).Round(time.Millisecond) }

// count notes what a send did.
func (c *call) count(failure *zinniamast.UpstreamError) {
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

// request builds what a replica gets: the caller's method, path and body
// unchanged, with what is left of the caller's time.
func (h *Handler) request(c *call, upstream *blackboard.Upstream, after string) (*http.Request, error) {
	if !strings.HasPrefix(c.request.RequestURI, "/") {
		return nil, fmt.Errorf("forward: the request's target %q is no path", c.request.RequestURI)
	}
	header := c.request.Header.Clone()
	dropHopByHop(header)
	header.Del("Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	h.config.Protocol.Deliver(header, Delivery{
		Instance:     upstream.Instance.ID,
		Organisation: c.organisationName(),
		Left:         time.Until(c.deadline),
		Priority:     c.priority,
		FetchFrom:    c.fetchFrom,
		After:        after,
	})
	request := &http.Request{
		Method: c.request.Method,
		// Opaque goes onto the request line as it is.
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

func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// judge decides whether a request goes on after a failed send; a refusal says
// that it does not.
func (h *Handler) judge(ctx context.Context, a *answer, c *call, failure *zinniamast.UpstreamError, dials int) *zinniamast.Refusal {
	c.avoids(failure.Upstream)
	if ctx.Err() != nil {
		return h.ended(ctx, c)
	}
	if dials >= maxDials {
		return zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica takes connections").With(c.ran).After(noReplicaRetryAfter)
	}
	if failure.Failure == zinniamast.FailureDial {
		h.stayHome(c)
		return nil
	}
	ran := failure.Outcome().Ran
	if ran != zinniamast.NotRun && !c.route.Repeatable() {
		return h.failed(c)
	}
	if ran != zinniamast.NotRun && c.sends >= c.route.MaxAttempts || c.arrivals >= maxArrivals {
		return h.failed(c)
	}
	return h.pay(c)
}

// pay charges the budget for a request's next send, once.
func (h *Handler) pay(c *call) *zinniamast.Refusal {
	if !c.paid && !h.config.Budget.Again(c.service) {
		return zinniamast.Refuse(zinniamast.ReasonRetryBudget, "the service's retries are used up").With(c.ran).After(fullRetryAfter)
	}
	c.paid = true
	return nil
}

// hold keeps a begun stream that left a silent replica until it may be sent
// again, ever more rarely: the other replicas may be full for a moment. It
// returns why the stream cannot go on, or nil.
func (h *Handler) hold(ctx context.Context, a *answer, c *call, refusal *zinniamast.Refusal) *zinniamast.Refusal {
	if !a.began || !c.moving || c.sends >= c.route.MaxAttempts {
		return refusal
	}
	c.avoid = nil
	for {
		select {
		case <-time.After(holdInterval << c.holds):
		case <-ctx.Done():
			return h.ended(ctx, c)
		}
		c.holds = min(c.holds+1, maxHoldDoublings)
		if h.pay(c) == nil {
			return nil
		}
	}
}

// stayHome keeps a request to this failure domain after a connection could not
// be made, where the domain has another replica.
//
// Failure: the failure domain is cut off. Each replica outside costs a request
// the whole time of a connect, one after the other, and it is refused after four
// of them although the replicas beside this node are well.
func (h *Handler) stayHome(c *call) {
	all := h.config.Upstreams.Of(c.service)
	home := false
	for _, u := range all {
		if u.Instance.FailureDomain == h.config.FailureDomain && !u.Leaving() && !slices.Contains(c.avoid, u.Instance.ID) {
			home = true
		}
	}
	if !home {
		return
	}
	for _, u := range all {
		if u.Instance.FailureDomain != h.config.FailureDomain {
			c.avoids(u.Instance.ID)
		}
	}
}

// failed is the refusal of a request that no further replica is asked for.
func (h *Handler) failed(c *call) *zinniamast.Refusal {
	if c.ran == zinniamast.NotRun {
		return zinniamast.Refuse(zinniamast.ReasonNoCapacity, "the replicas are full").After(fullRetryAfter)
	}
	return zinniamast.Refuse(zinniamast.ReasonUpstreamFailed, "the replica failed").With(c.ran)
}

// ErrStopping is the cause with which a node that has no more time to stop ends
// what it still runs.
var ErrStopping = errors.New("forward: the node stops")

// stopped says whether a request was ended by the stop of its node.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// ended is the refusal of a request whose time is up, whose caller has left or
// whose node has no more time to stop.
func (h *Handler) ended(ctx context.Context, c *call) *zinniamast.Refusal {
	if stopped(ctx) {
		return zinniamast.Refuse(zinniamast.ReasonStopping, "this node stops").With(c.ran).After(stoppingRetryAfter)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if c.ran == zinniamast.NotRun {
			return zinniamast.Refuse(zinniamast.ReasonDeadlineUnmet, "no replica took the request in time")
		}
		return zinniamast.Refuse(zinniamast.ReasonPastDeadline, "the deadline has passed").With(c.ran)
	}
	return zinniamast.Refuse(zinniamast.ReasonCancelled, "the caller has left").With(c.ran)
}

// giveUp ends a request without a whole answer. Once an answer has begun only
// a broken connection tells the caller that it is not whole.
func (h *Handler) giveUp(ctx context.Context, a *answer, c *call, refusal *zinniamast.Refusal) {
	if a.began {
		h.metrics.refused.WithLabelValues(string(zinniamast.ReasonAnswerCutShort)).Inc()
		h.metrics.broken.WithLabelValues(string(refusal.Reason)).Inc()
		h.config.Logger.Warn("broken off", "request", c.ask.ID, "service", c.service, "reason", refusal.Reason,
			"last_event", string(a.last), "sends", c.sends, "avoid", c.avoid, "cause", c.cause(),
			"elapsed", time.Since(c.arrived).Round(time.Millisecond), "left", c.remaining())
		panic(http.ErrAbortHandler)
	}
	if c.held != nil && (ctx.Err() == nil || stopped(ctx)) {
		c.held.deliver(a.writer)
		h.finishedHeld(c)
		return
	}
	refusal.Ran = c.ran
	if refusal.Reason == zinniamast.ReasonCancelled {
		h.metrics.broken.WithLabelValues(string(refusal.Reason)).Inc()
		h.config.Logger.Info("caller left", "request", c.ask.ID, "service", c.service,
			"sends", c.sends, "elapsed", time.Since(c.arrived).Round(time.Millisecond), "left", c.remaining())
		panic(http.ErrAbortHandler)
	}
	h.refuse(a.writer, c, refusal)
}

func fail(upstream *blackboard.Upstream, failure zinniamast.Failure, cause error) *zinniamast.UpstreamError {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: upstream.Instance.ID,
		Cause:    cause,
	}
}
