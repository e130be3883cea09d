package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
	"zinniamast/plain"
	"zinniamast/quarantine"
	"zinniamast/routes"
)

// send is one send of a request to a replica.
type send struct {
	upstream *blackboard.Upstream
	// detour is the way through another node; empty if this node sends the request itself.
	detour zinniamast.Detour
	// attempt identifies the send to the router.
	attempt string
	started time.Time
	// ctx is the context of the send, which cancel ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// after is the ID of the last event that the caller had received, and resumes reports
	// whether it had received any.
	after   string
	resumes bool
	// fetchFrom is the address from which the replica fetches the prompt's prefix, and
	// cachedTokens is how much of the prompt it then has in its KV cache.
	fetchFrom    string
	cachedTokens int

	// began is when the first piece of the answer arrived; zero before that.
	began time.Time
	// hasPause reports whether the mean pause of the stream has been counted.
	hasPause bool
	// isWriting reports whether the quarantine knows that the replica has been writing the
	// answer for a while.
	isWriting bool
	// silent reports whether the router has learned that the replica is silent, and
	// followsAnswer whether another replica had answered with a failure before the send.
	silent        bool
	followsAnswer bool

	// connection describes the connection that the send used.
	connection zinniamast.Connection
	// isOvertaken reports whether another replica has begun to answer while this one was late.
	isOvertaken bool
	// isRejected reports whether the replica had no place for the request.
	isRejected bool

	response *http.Response
	// stream reads a stream, and firstEvents is the data that its first read returned.
	// plain is an answer that is not a stream, or the start of a large one.
	stream      *eventReader
	firstEvents []byte
	plain       *bufferedAnswer
	// run tells the quarantine of prompt parts how far the answer is.
	run zinniamast.PartRun
	// ready is closed after a send in the background has failed or begun to answer, and
	// failure is then its failure; nil if it has begun. The handler itself waits for
	// the other sends, which have neither.
	ready   chan struct{}
	failure *zinniamast.UpstreamError
}

// routed is a replica that the router chose, with its predictions.
type routed struct {
	upstream *blackboard.Upstream
	choice   zinniamast.Choice
	// detour is the way through another node; empty if this node sends the request itself.
	detour zinniamast.Detour
}

// choose asks the router for the next replica, among those to which a rollout lets the
// request go.
func (h *Handler) choose(c *call, avoid []string) (routed, *zinniamast.Refusal) {
	selection := h.config.Rollouts.Select(canary.Query{
		Service: c.service,
		Request: c.metadata.ID,
		IsRetry: c.sendsStarted > 0 || c.isSuspect,
		Resumes: c.resumes,
		Version: c.version,
	})
	c.selection = selection
	to, refusal := h.chooseSelected(c, avoid)
	if refusal != nil && selection.Trial != "" {
		c.selection = selection.WithoutTrial()
		to, refusal = h.chooseSelected(c, avoid)
	}
	return to, refusal
}

// chooseSelected asks the router for the next replica among the selected ones.
func (h *Handler) chooseSelected(c *call, avoid []string) (routed, *zinniamast.Refusal) {
	available := h.config.Throttle.Limited(c.service)
	c.place.isLacking = c.lacksPlace(available)
	avoid = c.place.withoutRejecting(avoid)
	if to, ok := h.chooseFreed(c, slices.Concat(avoid, available.Blocked)); ok {
		return to, nil
	}
	avoid = slices.Concat(avoid, available.Blocked)
	withoutSpare := slices.Concat(avoid, available.Spare)
	if c.place.mayWait {
		avoid = slices.Concat(avoid, available.Full)
	}
	to, ok, mayTry := h.chooseOwn(c, avoid)
	if ok {
		return to, nil
	}
	if !mayTry {
		c.place.isLacking = true
		return routed{}, zinniamast.Refuse(zinniamast.ReasonNoCapacity, "no replica has a place").WithRetryAfter(fullRetryAfter)
	}
	if to, ok := h.chooseDue(c, withoutSpare, available.Due); ok {
		return to, nil
	}
	choice, err := h.config.Router.Route(h.routeRequest(c, withoutSpare))
	if err != nil && len(available.Spare) > 0 {
		choice, err = h.config.Router.Route(h.routeRequest(c, avoid))
	}
	if err != nil {
		if refusal := h.versionRefusal(c); refusal != nil {
			return routed{}, refusal
		}
	}
	if err != nil && len(available.Blocked) > 0 {
		return routed{}, zinniamast.Refuse(zinniamast.ReasonNoCapacity, "the replicas limit their requests").
			WithRetryAfter(max(fullRetryAfter, available.RetryAfter))
	}
	if err != nil {
		return routed{}, zinniamast.AsRefusal(err)
	}
	upstream := h.config.Upstreams.Get(choice.Upstream)
	if upstream == nil {
		return routed{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "no replica").WithRetryAfter(noReplicaRetryAfter)
	}
	return routed{
		upstream: upstream,
		choice:   choice,
	}, nil
}

// chooseDue chooses the replica that is due for a request, if this is the request's first
// send and its first token is predicted to meet the target there.
func (h *Handler) chooseDue(c *call, avoid []string, due string) (routed, bool) {
	upstream := h.config.Upstreams.Get(due)
	if upstream == nil || c.sendsStarted > 0 || c.isSuspect {
		return routed{}, false
	}
	others := slices.Clone(avoid)
	for _, u := range h.config.Upstreams.Of(c.service) {
		if u != upstream {
			others = append(others, u.Instance.ID)
		}
	}
	choice, err := h.config.Router.Route(h.routeRequest(c, others))
	return routed{
		upstream: upstream,
		choice:   choice,
	}, err == nil && choice.FirstToken <= c.route.Target
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
		Resumes:             c.resumes,
		Version:             c.version,
		AvoidVersions:       c.selection.AvoidVersions,
		Only:                c.selection.Only,
	}
}

// newSend starts the accounts of a send to the replica that the router chose. It returns nil if
// the replica may not get the request, as others were sent since it was chosen.
func (h *Handler) newSend(ctx context.Context, c *call, a *answer, to routed) *send {
	upstream, choice := to.upstream, to.choice
	if to.detour.Node == "" && !h.config.Throttle.Begin(upstream) {
		return nil
	}
	c.place.sent()
	s := &send{
		upstream:     upstream,
		detour:       to.detour,
		attempt:      c.metadata.ID,
		started:      time.Now(),
		after:        string(a.lastID),
		resumes:      a.begun,
		cachedTokens: choice.CachedTokens,

		followsAnswer: c.failedAnswer != nil,
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	if c.sendsStarted > 0 {
		// The sends of one request may overlap.
		s.attempt += "/" + strconv.Itoa(c.sendsStarted)
	}
	c.sendsStarted++
	c.owesRetry = false
	if source := h.config.Upstreams.Get(choice.FetchFrom); source != nil {
		s.fetchFrom = source.Instance.Address
	}
	h.config.Demand.AddWork(c.service, choice.Work)
	h.config.Logger.Info("sending request to replica", "request", c.metadata.ID, "service", c.service, "organisation", c.organisationName(),
		"config", c.configVersion, "fingerprint", quarantine.Fingerprint(c.fingerprint), "suspect", c.isSuspect, "priority", c.priority, "prompt_tokens", c.metadata.PromptTokens, "prompt_parts", c.loggedParts(), "replica", choice.Upstream,
		"failure_domain", upstream.Instance.FailureDomain, "version", upstream.Instance.Version, "resumes", c.metadata.Resumes, "after", s.lastEvent(c), "running_here", upstream.Inflight()-1, "through", s.detour.Node,
		"predicted_first", choice.FirstToken.Round(time.Millisecond), "cached", choice.CachedTokens, "fetch_from", choice.FetchFrom,
		"left", time.Until(c.deadline).Round(time.Millisecond))
	h.config.Quarantine.AttemptStarted(upstream.Instance.ID, c.fingerprint)
	s.run = h.config.Parts.Started(upstream.Instance.ID, c.parts, func() { s.cancel(errHeldBack) })
	h.observe(c, s, zinniamast.ObservedStart, 0, "", 0)
	return s
}

// endSend settles the accounts of a send: failure is nil if it answered the request, and
// events is the number of events that the caller received from it. The context is the
// request's.
func (h *Handler) endSend(ctx context.Context, c *call, s *send, failure *zinniamast.UpstreamError, events int) {
	if s.response != nil {
		_ = s.response.Body.Close() // The answer is complete or of no more use.
	}
	s.cancel(nil)
	s.stream.free()
	c.countSend(failure)
	id := s.upstream.Instance.ID
	defer h.endPlace(ctx, c, s, failure)
	defer func() { h.observeVersionEnd(c, s, failure, events) }()
	isAnswered := failure == nil && s.response.StatusCode < http.StatusInternalServerError
	defer h.config.Quarantine.AttemptEnded(id, c.fingerprint, isAnswered)
	defer s.run.Ended(isAnswered)
	if failure == nil {
		h.observe(c, s, zinniamast.ObservedEnd, time.Since(s.started), "", events)
		return
	}
	if ctx.Err() != nil && !failure.WasUnsent() {
		failure.Failure = zinniamast.FailureStopped
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			failure.Failure = zinniamast.FailureTimeout
		}
	}
	if errors.Is(context.Cause(s.ctx), errHeldBack) && failure.Outcome().MayHaveCrashed {
		failure.Failure = zinniamast.FailureStopped
	}
	observed := failure.Failure
	if s.silent && observed == zinniamast.FailureTimeout {
		observed = zinniamast.FailureStopped // The router has counted the silence.
	}
	h.observe(c, s, zinniamast.ObservedEnd, time.Since(s.started), observed, events)
	if failure.Outcome().MayHaveCrashed {
		h.config.Logger.Info("replica broke off", "request", c.metadata.ID, "replica", id, "failure", failure.Failure,
			"fingerprint", quarantine.Fingerprint(c.fingerprint), "prompt_parts", c.loggedParts(), "has_begun", !s.began.IsZero(), "wrote_for", s.wroteFor())
		h.config.Quarantine.ReplicaCrashed(id)
		h.config.Parts.ReplicaCrashed(id)
	}
}

// recordBegan records that the first piece of the answer has arrived.
func (h *Handler) recordBegan(c *call, s *send) {
	s.began = time.Now()
	s.run.Wrote()
	h.observeVersionBegan(c, s)
}

// wroteFor returns the time since the first piece of the answer, for the log; zero if there
// was none.
func (s *send) wroteFor() time.Duration {
	if s.began.IsZero() {
		return 0
	}
	return time.Since(s.began).Round(time.Millisecond)
}

// lastEvent returns the ID of the event after which the send resumes the stream, for the log.
func (s *send) lastEvent(c *call) string {
	if s.after == "" {
		return c.metadata.LastEventID
	}
	return s.after
}

// observe reports an event of a send to the router.
func (h *Handler) observe(c *call, s *send, kind zinniamast.ObservationKind, elapsed time.Duration, failure zinniamast.Failure, events int) {
	cachedTokens := zinniamast.UnknownCached
	if kind == zinniamast.ObservedStart {
		// This is the router's prediction. Replicas do not report the actual number.
		cachedTokens = s.cachedTokens
	}
	h.config.Router.Observe(zinniamast.Observation{
		Kind:         kind,
		Attempt:      s.attempt,
		Upstream:     s.upstream.Instance.ID,
		Priority:     c.priority,
		Elapsed:      elapsed,
		PromptTokens: c.metadata.PromptTokens,
		CachedTokens: cachedTokens,
		Tokens:       events,
		Prefix:       c.prefix,
		Failure:      failure,

		BetweenTokensTarget: c.route.PauseTarget,
	})
}

// dispatch sends the request, waits for the head of the answer and checks it.
func (h *Handler) dispatch(c *call, s *send) *zinniamast.UpstreamError {
	request, err := h.newRequest(c, s)
	if err != nil {
		return upstreamError(s.upstream, zinniamast.FailureInvalid, err)
	}
	ctx := zinniamast.WithConnection(s.ctx, &s.connection)
	if c.route.Repeatable() {
		ctx = zinniamast.WithRepeatable(ctx)
	}
	s.response, err = h.sendTo(ctx, s, request)
	if err != nil {
		return zinniamast.AsUpstreamError(err)
	}
	return h.checkHead(c, s)
}

// checkHead checks the status and the headers of a replica's answer.
func (h *Handler) checkHead(c *call, s *send) *zinniamast.UpstreamError {
	response := s.response
	reply := h.config.Protocol.ReadResponse(response)
	if reply.ID != "" && reply.ID != c.metadata.ID {
		return upstreamError(s.upstream, zinniamast.FailureWrongAttempt, fmt.Errorf("forward: answer belongs to request %q", reply.ID))
	}
	if reply.NotRun {
		h.logRefusal(c, s, reply)
	}
	if reply.NotRun && reply.ID == "" && s.connection.Requests > 0 && !c.route.Repeatable() {
		// It may be a second answer to an earlier request on the connection.
		return upstreamError(s.upstream, zinniamast.FailureWrongAttempt, fmt.Errorf("forward: refusal with status %d names no request", response.StatusCode))
	}
	if reply.Signed || reply.NotRun && !reply.WrongInstance {
		h.recordFeedback(s, reply.Feedback)
	}
	if reply.NotRun {
		s.isRejected = reply.Feedback.Rejected
		if reply.WrongInstance && h.config.Upstreams.MarkLeaving(s.upstream.Instance.ID, time.Time{}) {
			h.config.Logger.Info("replica marked as leaving", "replica", s.upstream.Instance.ID, "sign", "another instance answers")
		}
		return upstreamError(s.upstream, zinniamast.FailureRefused, fmt.Errorf("forward: replica refused the request with status %d", response.StatusCode))
	}
	if !reply.Signed || response.Header.Get("Content-Encoding") != "" {
		return upstreamError(s.upstream, zinniamast.FailureWrongAttempt, fmt.Errorf("forward: answer with status %d lacks the replica's signature or has a content encoding", response.StatusCode))
	}
	if promisesNotRun(response.StatusCode) && !c.route.Repeatable() {
		return upstreamError(s.upstream, zinniamast.FailureError, fmt.Errorf("forward: replica failed with status %d and does not say that nothing ran", response.StatusCode))
	}
	if c.route.Kind == routes.Stream && response.StatusCode == http.StatusOK {
		s.stream = newEventReader(response.Body, &h.events)
		return nil
	}
	if s.resumes {
		// The replica that was to resume the stream sent another kind of answer.
		return upstreamError(s.upstream, zinniamast.FailureError, fmt.Errorf("forward: replica answered with status %d instead of resuming the stream", response.StatusCode))
	}
	return nil
}

// logRefusal logs what shows to which request a replica's refusal belongs.
func (h *Handler) logRefusal(c *call, s *send, reply Reply) {
	h.config.Logger.Info("replica refused request", "request", c.metadata.ID, "replica", s.upstream.Instance.ID, "status", s.response.StatusCode,
		"names_request", reply.ID != "", "attempt", s.attempt, "through", s.detour.Node, "after", time.Since(s.started).Round(time.Microsecond),
		"connection_requests", s.connection.Requests, "connection_idle", s.connection.Idle.Round(time.Microsecond))
}

// awaitStart waits until the replica has begun to answer: with the first whole event of a
// stream, or else with the whole answer or its first maxBufferedBytes.
func (h *Handler) awaitStart(c *call, s *send) *zinniamast.UpstreamError {
	if s.stream != nil {
		s.firstEvents = s.stream.next()
		if len(s.firstEvents) > 0 || s.stream.isWhole() && s.resumes {
			h.recordBegan(c, s)
			return nil
		}
		return s.streamFailure()
	}
	body, err := io.ReadAll(io.LimitReader(s.response.Body, maxBufferedBytes))
	if err != nil {
		return upstreamError(s.upstream, readFailure(err), err)
	}
	h.recordBegan(c, s)
	s.plain = &bufferedAnswer{
		response: s.response,
		status:   s.response.StatusCode,
		header:   s.response.Header,
		body:     body,
	}
	dropHopByHop(s.plain.header)
	if c.route.Kind == routes.Safe || s.ready != nil {
		return s.statusFailure()
	}
	return nil
}

// statusFailure returns the failure of an answer with a server error; nil if it has none.
func (s *send) statusFailure() *zinniamast.UpstreamError {
	if s.plain.status < http.StatusInternalServerError {
		return nil
	}
	return upstreamError(s.upstream, zinniamast.FailureError, fmt.Errorf("forward: replica failed with status %d", s.plain.status))
}

// streamFailure returns the failure of a stream that ended before it was complete.
func (s *send) streamFailure() *zinniamast.UpstreamError {
	return upstreamError(s.upstream, readFailure(s.stream.err), fmt.Errorf("forward: stream ended after %d bytes of an incomplete event: %w", s.stream.filled-s.stream.taken, s.stream.err))
}

// readFailure returns the failure of an answer that ended early with an error.
func readFailure(err error) zinniamast.Failure {
	switch {
	case errors.Is(err, zinniamast.ErrRelayLost):
		return zinniamast.FailureRelay
	case errors.Is(err, zinniamast.ErrMalformed):
		return zinniamast.FailureError
	case errors.Is(err, zinniamast.ErrPathLost):
		return zinniamast.FailurePath
	case errors.Is(err, errEventTooLarge):
		return zinniamast.FailureError
	}
	return zinniamast.FailureCutShort
}

// newRequest builds the request for a replica: the caller's method, path and body
// unchanged, with the time until the caller's deadline.
func (h *Handler) newRequest(c *call, s *send) (*http.Request, error) {
	target, err := plain.Target(s.upstream.Instance.Address, c.request.RequestURI)
	if err != nil {
		return nil, err
	}
	header := c.request.Header.Clone()
	dropHopByHop(header)
	header.Del("Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		header["User-Agent"] = []string{""}
	}
	h.config.Protocol.WriteRequest(header, Delivery{
		Instance:     s.upstream.Instance.ID,
		Organisation: c.organisationName(),
		Remaining:    time.Until(c.deadline),
		Priority:     c.priority,
		FetchFrom:    s.fetchFrom,
		LastEventID:  s.after,
	})
	request := &http.Request{
		Method:     c.request.Method,
		URL:        target,
		Host:       c.request.Host,
		Header:     header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	setBody(request, c.body)
	return request, nil
}

// setBody sets the body of a request and its length, and lets net/http read the
// body again for a repeated send.
func setBody(request *http.Request, body []byte) {
	if len(body) == 0 {
		request.Body = http.NoBody
		return
	}
	request.ContentLength = int64(len(body))
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
}

// upstreamError returns the error of a failed send to an upstream.
func upstreamError(upstream *blackboard.Upstream, failure zinniamast.Failure, cause error) *zinniamast.UpstreamError {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: upstream.Instance.ID,
		Cause:    cause,
	}
}
