package egress

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/plain"
)

const (
	// heardLately is how long a path counts as up after data has arrived over it while the
	// link to the service is down.
	heardLately = time.Second
	// maxRequestBytes bounds the body of a relayed request. The peer has applied the
	// configured bound.
	maxRequestBytes = 64 << 20
	// bodyTimeout bounds reading that body.
	bodyTimeout = 2 * time.Second
	// copyBufferBytes is the size of the pieces in which an answer is passed on.
	copyBufferBytes = 16 << 10
)

// ServeHTTP implements http.Handler: it sends a peer's request to a replica over this
// instance's own link, once, and passes the answer on as it comes.
func (e *Egress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inPlace := r.Header.Get(headerPlace)
	upstream := e.config.Upstreams.Get(cmp.Or(inPlace, r.Header.Get(headerReplica)))
	if e.config.Closing() {
		writeOutcome(w, outcomeUnfit, "this instance is stopping")
		return
	}
	if upstream == nil || upstream.Leaving() {
		writeOutcome(w, outcomeUnreachable, "the replica is unknown or leaving")
		return
	}
	replica, ok := upstream.Replica.(*Replica)
	l := e.link(upstream.Instance.Service)
	if ok && r.Header.Get(headerProbe) != "" {
		writeOutcome(w, replica.probeForPeer(r.Context(), l, upstream), "")
		return
	}
	if !ok || l.checkDown() && replica.silentFor() > heardLately {
		writeOutcome(w, outcomeUnfit, "the link to the service is down here as well")
		return
	}
	if !e.config.MayRelay(upstream) {
		writeOutcome(w, outcomeUnreachable, "the replica wants no request from this instance")
		return
	}
	if replica.hasFailed() {
		replica.startProbe(l, upstream)
		writeOutcome(w, outcomeUnreachable, "the path to the replica is down here as well")
		return
	}
	onAnswer := func(response *http.Response) { e.config.OnRelayed(upstream, response) }
	if inPlace != "" {
		place := e.takePlace(w, upstream)
		if place == nil {
			return
		}
		defer e.releasePlace(place)
		onAnswer = place.OnAnswer
	}
	release, ok := e.reserveBody(r)
	if !ok {
		writeOutcome(w, outcomeUnfit, "the bodies in memory leave no place for another")
		return
	}
	defer release()
	ctx, cancel := relayContext(r)
	defer cancel()
	request, err := e.receivedRequest(w, r, upstream)
	if err != nil {
		writeOutcome(w, outcomeUnreachable, err.Error())
		return
	}
	var connection zinniamast.Connection
	response, err := replica.sendDirect(zinniamast.WithConnection(ctx, &connection), l, upstream, request)
	if isDialFailure(err) {
		writeOutcome(w, outcomeUnreachable, err.Error())
		return
	}
	if err != nil {
		writeOutcome(w, string(zinniamast.AsUpstreamError(err).Failure), err.Error())
		return
	}
	defer response.Body.Close()
	e.metrics.relayedForPeers.Inc()
	onAnswer(response)
	passOn(ctx, w, response, connection)
}

// reserveBody reserves memory for the body of a relayed request. Peers send bodies with their length.
func (e *Egress) reserveBody(r *http.Request) (release func(), ok bool) {
	if r.ContentLength == 0 {
		return func() {}, true
	}
	if r.ContentLength < 0 || r.ContentLength > maxRequestBytes {
		return nil, false
	}
	return e.config.ReserveBody(r.ContentLength)
}

// relayContext returns the context of a relayed request.
func relayContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeoutMs {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// maxTimeoutMs bounds a timeout to one day, so that it cannot overflow.
const maxTimeoutMs = 24 * 3600 * 1000

// receivedRequest returns the request for a replica: the relayed one without the headers of
// the relay.
func (e *Egress) receivedRequest(w http.ResponseWriter, r *http.Request, upstream *blackboard.Upstream) (*http.Request, error) {
	target, err := plain.Target(upstream.Instance.Address, r.RequestURI)
	if err != nil {
		return nil, err
	}
	connection := http.NewResponseController(w)
	if err := connection.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	if err := connection.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	header := r.Header.Clone()
	for _, name := range []string{headerReplica, headerPlace, headerTimeout, "Connection", "Content-Length"} {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          http.NoBody,
		ContentLength: int64(len(body)),
	}
	if len(body) > 0 {
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	return request, nil
}

// writeOutcome answers a request that has no answer of a replica.
func writeOutcome(w http.ResponseWriter, outcome, message string) {
	w.Header().Set(headerOutcome, outcome)
	w.WriteHeader(http.StatusBadGateway)
	_, _ = io.WriteString(w, message)
}

// passOn writes a replica's answer to a peer as it comes, and how it ended as the trailer. The
// context is that of the send.
func passOn(ctx context.Context, w http.ResponseWriter, response *http.Response, connection zinniamast.Connection) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range []string{"Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding"} {
		header.Del(name)
	}
	if _, ok := response.Header["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting one.
		header["Content-Type"] = nil
	}
	header.Set(headerOutcome, outcomeAnswered)
	header.Set(headerRequests, strconv.Itoa(connection.Requests))
	if plain.EndsWithConnection(response) {
		header.Set(headerUnframed, "1")
	}
	header.Set("Trailer", trailerEnd)
	w.WriteHeader(response.StatusCode)
	header.Set(trailerEnd, endOf(ctx, copyFlushing(w, response.Body)))
}

// endOf returns how an answer ended, from the error of its body. This instance has ended it itself,
// for example as it stops, if the context has ended.
func endOf(ctx context.Context, err error) string {
	switch {
	case err == nil:
		return endWhole
	case errors.Is(err, zinniamast.ErrMalformed):
		return string(zinniamast.FailureError)
	case ctx.Err() != nil:
		return string(zinniamast.FailureRelay)
	case errors.Is(err, zinniamast.ErrPathLost):
		return string(zinniamast.FailurePath)
	}
	return string(zinniamast.FailureCutShort)
}

// copyFlushing copies a body to the peer piece by piece. It returns the error of the body;
// a peer that has left ends the copy without one.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	flush := http.NewResponseController(w).Flush
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return nil
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if n > 0 && flush() != nil {
			return nil
		}
	}
}
