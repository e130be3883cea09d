package egress

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// The headers of relayed requests and their answers.
const (
	// headerReplica is the ID of the replica that gets the request.
	headerReplica = "Relay-Replica"
	// headerPlace is the ID of the replica that gets the request if the peer has an unused place
	// there. It stands instead of headerReplica, so that an instance that does not know it sends
	// nothing. headerOffer names another replica at which a peer without one has a place.
	headerPlace = "Relay-Place"
	headerOffer = "Relay-Offer"
	// headerProbe asks the peer only to connect to the replica.
	headerProbe = "Relay-Probe"
	// headerTimeout is the time in milliseconds after which the request is useless.
	headerTimeout = "Relay-Timeout-Ms"
	// headerOutcome says whether the replica answered, and trailerEnd, after the answer,
	// whether that is whole.
	headerOutcome = "Relay-Outcome"
	// headerRequests is the number of earlier requests on the peer's connection to the replica.
	headerRequests = "Relay-Requests"
	// headerUnframed says that the replica's answer ends with its connection.
	headerUnframed = "Relay-Unframed"
	trailerEnd     = "Relay-End"
)

// The outcomes of a relayed request other than a zinniamast.Failure.
const (
	outcomeAnswered = "answered"
	// outcomeUnreachable means that the peer cannot reach the replica either, and outcomeUnfit
	// that it relays no request to the service: its link is down as well, or it is stopping.
	outcomeUnreachable = "unreachable"
	outcomeUnfit       = "unfit"
	// outcomeNoPlace means that the peer has no unused place at the replica.
	outcomeNoPlace = string(zinniamast.FailureNoPlace)
	// endWhole means that the answer ended as the replica ended it.
	endWhole = "whole"
)

const (
	// maxPeers and maxRelaySetup bound the search for a peer that takes a request. At most
	// maxNearPeers are of the replica's failure domain, which may be cut off as a whole.
	maxPeers      = 5
	maxNearPeers  = 2
	maxRelaySetup = 300 * time.Millisecond
	// minRest and maxRest bound the time without a search after one that found no peer. It
	// doubles with each.
	minRest = 200 * time.Millisecond
	maxRest = 4 * time.Second
	// minUnfit and maxUnfit bound how long a peer that did not take a request gets no
	// similar one. The time doubles with each.
	minUnfit = time.Second
	maxUnfit = 4 * time.Second
)

// relay sends a request to a replica through a peer. It returns false if no peer took the
// request; no byte of it has reached the replica then.
func (e *Egress) relay(ctx context.Context, upstream *blackboard.Upstream, request *http.Request) (response *http.Response, sent bool, err error) {
	start := time.Now()
	peers, rests := e.peers.choose(e.config.Peers(), upstream)
	if rests {
		return nil, false, nil
	}
	unreachable := upstream.Instance.Service
	for _, peer := range peers {
		var unfitFor string
		response, unfitFor, err = e.sendThrough(ctx, peer, upstream, request, headerReplica)
		if unfitFor == "" {
			e.metrics.count(err)
			e.peers.recordSuccess(peer, upstream)
			e.logRelayed(request, upstream, peer, time.Since(start), err)
			return response, true, err
		}
		e.peers.suspend(peer, unfitFor)
		if unfitFor == upstream.Instance.ID {
			unreachable = unfitFor
		}
		e.config.Logger.Debug("peer does not relay", "service", upstream.Instance.Service, "peer", peer.ID, "cause", err)
		if ctx.Err() != nil || time.Since(start) > maxRelaySetup {
			break
		}
	}
	e.metrics.relayed.WithLabelValues(relayNoPeer).Inc()
	e.peers.recordFailure(unreachable, start)
	return nil, false, nil
}

// logRelayed logs a relayed request and the error of its send. Requests without an ID are
// this instance's own, such as those for load reports, and come several times a second.
func (e *Egress) logRelayed(request *http.Request, upstream *blackboard.Upstream, peer Peer, took time.Duration, err error) {
	id := e.config.RequestID(request.Header)
	level := slog.LevelInfo
	if id == "" {
		level = slog.LevelDebug
	}
	e.config.Logger.Log(context.Background(), level, "request relayed", "request", id, "replica", upstream.Instance.ID, "peer", peer.ID,
		"took", took.Round(time.Millisecond), "cause", err)
}

// sendThrough sends a request through one peer, with the replica in the given header. If the peer
// did not take it, unfitFor is the service or the replica that the peer cannot reach, or at which
// it has no unused place.
func (e *Egress) sendThrough(ctx context.Context, peer Peer, upstream *blackboard.Upstream, request *http.Request, header string) (_ *http.Response, unfitFor string, err error) {
	service := upstream.Instance.Service
	relayed, err := relayedRequest(ctx, peer, upstream, request, header)
	if err != nil {
		return nil, service, err
	}
	response, err := e.config.Client.Send(ctx, relayed)
	if err != nil {
		failure := zinniamast.AsUpstreamError(err)
		if failure.Failure == zinniamast.FailureDial {
			return nil, service, err
		}
		return nil, "", peerFailure(upstream, failure)
	}
	outcome := response.Header.Get(headerOutcome)
	switch outcome {
	case outcomeAnswered:
		recordConnection(ctx, response.Header)
		response.Header.Del(headerOutcome)
		response.Header.Del(headerRequests)
		if response.Header.Get(headerUnframed) != "" {
			response.TransferEncoding = nil // as the replica's own answer
			response.Header.Del(headerUnframed)
		}
		if hasBody(request.Method, response.StatusCode) {
			response.Body = &relayedBody{
				response: response,
				body:     response.Body,
			}
		}
		return response, "", nil
	case outcomeUnreachable:
		unfitFor = upstream.Instance.ID
	case outcomeNoPlace:
		unfitFor = service
		if e.detours.recordOffer(service, peer, response.Header.Get(headerOffer)) {
			unfitFor = upstream.Instance.ID
		}
	case outcomeUnfit:
		unfitFor = service
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	_ = response.Body.Close()
	failure := zinniamast.Failure(outcome)
	if _, ok := zinniamast.FailureOutcomes[failure]; !ok {
		failure = zinniamast.FailureRelay
	}
	return nil, unfitFor, &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: upstream.Instance.ID,
		Cause:    fmt.Errorf("egress: through %s: %s", peer.ID, message),
	}
}

// recordConnection records the peer's connection to the replica. One of which the peer says nothing
// may have carried other requests.
func recordConnection(ctx context.Context, header http.Header) {
	requests, err := strconv.Atoi(header.Get(headerRequests))
	if err != nil {
		requests = 1
	}
	zinniamast.RecordConnection(ctx, zinniamast.Connection{
		Requests: requests,
	})
}

// maxMessageBytes bounds the text that a peer sends with a failure.
const maxMessageBytes = 1 << 10

// relayedRequest returns a copy of a request that is sent to a peer.
func relayedRequest(ctx context.Context, peer Peer, upstream *blackboard.Upstream, request *http.Request, header string) (*http.Request, error) {
	relayed := request.Clone(ctx)
	if request.GetBody != nil {
		body, err := request.GetBody()
		if err != nil {
			return nil, err
		}
		relayed.Body = body
	}
	relayed.URL.Host = peer.Address
	relayed.Header.Set(header, upstream.Instance.ID)
	relayed.Header.Del(headerTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		relayed.Header.Set(headerTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	return relayed, nil
}

// peerFailure returns the error of a request whose peer took it and did not answer.
func peerFailure(upstream *blackboard.Upstream, failure *zinniamast.UpstreamError) *zinniamast.UpstreamError {
	kind := failure.Failure
	if kind != zinniamast.FailureTimeout && kind != zinniamast.FailureStopped {
		kind = zinniamast.FailureRelay
	}
	return &zinniamast.UpstreamError{
		Failure:  kind,
		Upstream: upstream.Instance.ID,
		Cause:    failure.Cause,
	}
}

// hasBody reports whether an answer may have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// relayedBody is the body of a relayed answer. It is whole only if the peer says so: the
// end of the peer's own answer would otherwise hide that the replica broke off.
type relayedBody struct {
	response *http.Response
	body     io.ReadCloser
}

// Close implements io.Closer.
func (b *relayedBody) Close() error { return b.body.Close() }

// Read implements io.Reader.
func (b *relayedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == nil {
		return n, nil
	}
	switch end := b.response.Trailer.Get(trailerEnd); {
	case err == io.EOF && end == endWhole:
		return n, io.EOF
	case err == io.EOF && end == string(zinniamast.FailureCutShort):
		return n, io.ErrUnexpectedEOF
	case err == io.EOF && end == string(zinniamast.FailurePath):
		return n, zinniamast.ErrPathLost
	case err == io.EOF && end == string(zinniamast.FailureError):
		return n, zinniamast.ErrMalformed
	}
	return n, fmt.Errorf("%w: %w", zinniamast.ErrRelayLost, err)
}

// peerChoice chooses the peers that requests are relayed through.
type peerChoice struct {
	mu sync.Mutex
	// unfit holds the peers that did not take a request.
	unfit map[unfitKey]rest
	// rests holds the services and replicas for which no peer was found. If all instances
	// lose a service, each would otherwise ask all others with each of its requests.
	rests map[string]rest
}

// rest is a time without a search, or without requests to a peer.
type rest struct {
	began  time.Time
	until  time.Time
	length time.Duration
}

// unfitKey is a peer and the service or the replica that it cannot reach.
type unfitKey struct {
	peer   string
	target string
}

// choose returns the peers to ask for a request to a replica, the first one first, or that the
// search rests. Peers in the replica's failure domain are preferred: no byte crosses between
// failure domains twice.
func (c *peerChoice) choose(peers []Peer, upstream *blackboard.Upstream) (chosen []Peer, rests bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := []string{upstream.Instance.Service, upstream.Instance.ID}
	if slices.ContainsFunc(targets, func(target string) bool { return now.Before(c.rests[target].until) }) {
		return nil, true
	}
	for _, target := range targets {
		if r, ok := c.rests[target]; ok {
			// One request searches after a rest, and the others do not wait for it.
			r.until = now.Add(maxRelaySetup)
			c.rests[target] = r
		}
	}
	var fit []Peer
	for _, peer := range peers {
		if !c.isUnfit(peer, upstream.Instance.Service, now) && !c.isUnfit(peer, upstream.Instance.ID, now) {
			fit = append(fit, peer)
		}
	}
	rand.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	near := 0
	isNear := func(peer Peer) bool { return peer.FailureDomain == upstream.Instance.FailureDomain }
	for i := 0; i < len(fit) && near < maxNearPeers; i++ {
		if isNear(fit[i]) {
			fit[near], fit[i] = fit[i], fit[near]
			near++
		}
	}
	return fit[:min(len(fit), maxPeers)], false
}

// isUnfit reports whether a peer cannot reach a service or a replica. The caller holds the
// lock.
func (c *peerChoice) isUnfit(peer Peer, target string, now time.Time) bool {
	key := unfitKey{
		peer:   peer.ID,
		target: target,
	}
	return now.Before(c.unfit[key].until)
}

// recordFailure records that a search found no peer that reaches a service or a replica.
func (c *peerChoice) recordFailure(target string, searchBegan time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if searchBegan.Before(c.rests[target].began) {
		return
	}
	if c.rests == nil {
		c.rests = map[string]rest{}
	}
	c.rests[target] = c.rests[target].next(minRest, maxRest)
}

// next returns the rest after this one, which is twice as long within bounds.
func (r rest) next(shortest, longest time.Duration) rest {
	length := min(max(2*r.length, shortest), longest)
	return rest{
		began:  time.Now(),
		until:  time.Now().Add(length),
		length: length,
	}
}

// recordSuccess records that a peer took a request to a replica.
func (c *peerChoice) recordSuccess(peer Peer, upstream *blackboard.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, target := range []string{upstream.Instance.Service, upstream.Instance.ID} {
		delete(c.rests, target)
		delete(c.unfit, unfitKey{
			peer:   peer.ID,
			target: target,
		})
	}
}

// suspend excludes a peer from relaying to a service or a replica for a while.
func (c *peerChoice) suspend(peer Peer, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unfit == nil {
		c.unfit = map[unfitKey]rest{}
	}
	key := unfitKey{
		peer:   peer.ID,
		target: target,
	}
	c.unfit[key] = c.unfit[key].next(minUnfit, maxUnfit)
}
