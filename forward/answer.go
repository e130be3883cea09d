package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/plain"
	"zinniamast/silence"
)

// maxBufferedBytes bounds how much of a plain answer is read before it is
// forwarded. Until then a broken answer can still be reported with a status.
// Answers of plain services are a few kilobytes.
const maxBufferedBytes = 64 << 10

// answer is the response to the caller.
type answer struct {
	writer http.ResponseWriter
	// begun reports whether the header and a part of the body were forwarded.
	begun bool
	// lastID is the ID of the last forwarded event, in a buffer that is reused, and
	// events counts the forwarded events.
	lastID []byte
	events int
	// longestPause is the longest pause between two writes of events, and lastWrite
	// is the time of the last write.
	longestPause time.Duration
	lastWrite    time.Time
	// flush flushes the writer. It is created once per answer so that forwarding an
	// event does not allocate.
	flush func() error
	// isFramed reports whether the replica that began the answer marks its end. unframed is the
	// caller's connection if the answer ends with it; nil if the caller's answer marks its end.
	isFramed bool
	unframed resettable

	// status is the status sent to the caller.
	status int
}

// bufferedAnswer is a replica's answer that is not a stream, or the start of a large one.
type bufferedAnswer struct {
	response *http.Response
	status   int
	header   http.Header
	body     []byte
}

// forwardAnswer waits for the replica's answer and forwards it to the caller.
func (h *Handler) forwardAnswer(t *takeover) *zinniamast.UpstreamError {
	c, s := t.call, t.current
	if s.ready != nil {
		<-s.ready
		if s.failure != nil {
			return s.failure
		}
	} else {
		if failure := h.dispatch(c, s); failure != nil {
			return failure
		}
		c.place.entry.Began()
		if s.stream == nil {
			h.recordStart(c, s)
			t.watch.Received()
		}
		if failure := h.awaitStart(c, s); failure != nil {
			return failure
		}
	}
	if s.stream != nil {
		return h.forwardStream(t)
	}
	return h.forwardPlain(t)
}

// forwardPlain forwards an answer that is not a stream. Its start has been read before
// the first byte goes to the caller.
func (h *Handler) forwardPlain(t *takeover) *zinniamast.UpstreamError {
	a, c, s := t.answer, t.call, t.current
	if t.watch.Stop() {
		return upstreamError(s.upstream, zinniamast.FailureTimeout, silence.ErrSilent)
	}
	if failure := s.statusFailure(); failure != nil && len(t.pending) > 0 {
		return failure
	}
	t.withdraw()
	if s.ready != nil {
		h.recordStart(c, s)
	}
	a.status = s.plain.status
	if s.plain.isWhole() {
		a.writePlain(c.request, s.plain)
		return nil
	}
	return h.forwardLarge(t)
}

// isWhole reports whether the answer is buffered with all of its body.
func (b *bufferedAnswer) isWhole() bool { return len(b.body) < maxBufferedBytes }

// writePlain writes a buffered answer to the caller.
func (a *answer) writePlain(request *http.Request, from *bufferedAnswer) {
	copyHeader(a.writer.Header(), from.header)
	length := int64(len(from.body))
	a.startFraming(request, from.response, length)
	a.setLength(length)
	a.writer.WriteHeader(from.status)
	_, _ = a.writer.Write(from.body)
	a.finish()
}

// forwardLarge writes the buffered start of a large answer and copies the rest as
// it arrives.
func (h *Handler) forwardLarge(t *takeover) *zinniamast.UpstreamError {
	a, s := t.answer, t.current
	copyHeader(a.writer.Header(), s.plain.header)
	a.startFraming(t.call.request, s.response, s.response.ContentLength)
	a.setLength(s.response.ContentLength)
	a.begun = true
	a.writer.WriteHeader(s.plain.status)
	if _, err := a.writer.Write(s.plain.body); err != nil {
		return upstreamError(s.upstream, zinniamast.FailureStopped, err)
	}
	if _, err := io.Copy(a.writer, s.response.Body); err != nil {
		return upstreamError(s.upstream, readFailure(err), err)
	}
	a.finish()
	return nil
}

// copyHeader copies a replica's headers except Content-Length. If the replica
// sent no Content-Type, the nil value keeps net/http from detecting one.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if name != "Content-Length" {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// forwardStream forwards events as they arrive. It forwards whole events only,
// because a replica may stop in the middle of an event and the replica that
// resumes the stream sends that event again from its start.
func (h *Handler) forwardStream(t *takeover) *zinniamast.UpstreamError {
	a, c, s := t.answer, t.call, t.current
	eventsBefore := a.events
	for events := s.firstEvents; len(events) > 0; events = s.stream.next() {
		// A caller that reads slowly blocks the write. Nothing is read from the
		// replica meanwhile, so the silence watch is suspended.
		if t.watch.Suspend() {
			return upstreamError(s.upstream, zinniamast.FailureTimeout, silence.ErrSilent)
		}
		t.withdraw()
		if !c.startRecorded {
			h.recordStart(c, s)
		}
		s.silent, c.metSilence, c.resumeWaits = false, false, 0
		h.recordWriting(c, s)
		if !a.begun {
			h.recordOrigin(c, s.upstream)
		}
		if err := a.writeEvents(c.request, events, s.response); err != nil {
			return upstreamError(s.upstream, zinniamast.FailureStopped, err)
		}
		h.observeVersionPause(c, s, a.events-eventsBefore)
		t.watch.Received()
	}
	switch {
	case !a.begun || !s.stream.isWhole():
		return s.streamFailure()
	case a.isFramed && plain.EndsWithConnection(s.response) && a.events > eventsBefore:
		return upstreamError(s.upstream, zinniamast.FailureStopped, errUnconfirmedEnd)
	}
	a.finish()
	return nil
}

// errUnconfirmedEnd is the cause of the failure of a send that resumed a stream, if the replica may
// have stopped between two events. The caller's answer says at its end that it is complete, as it began
// at a replica that marks the end. A further send confirms it if it brings no event.
var errUnconfirmedEnd = errors.New("forward: the stream ended with the replica's connection")

// writeEvents writes whole events to the caller, preceded by the header if nothing
// was written yet, and records the ID of the last event.
func (a *answer) writeEvents(request *http.Request, data []byte, response *http.Response) error {
	if !a.begun {
		dropHopByHop(response.Header)
		copyHeader(a.writer.Header(), response.Header)
		a.startFraming(request, response, -1)
		a.writer.WriteHeader(response.StatusCode)
		a.status = response.StatusCode
		a.flush = http.NewResponseController(a.writer).Flush
		a.begun = true
	}
	now := time.Now()
	if !a.lastWrite.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastWrite))
	}
	a.lastWrite = now
	if _, err := a.writer.Write(data); err != nil {
		return err
	}
	a.events += bytes.Count(data, eventEnd)
	if id := lastID(data); len(id) > 0 {
		a.lastID = append(a.lastID[:0], id...)
	}
	return a.flush()
}

// recordStart reports the first byte of a replica's answer to the router. On the
// first call for a request it also records the time to the first byte and counts
// the request for the usage report of its organisation.
func (h *Handler) recordStart(c *call, s *send) {
	h.observe(c, s, zinniamast.ObservedFirstToken, time.Since(s.started), "", 0)
	if c.startRecorded {
		return
	}
	c.startRecorded = true
	c.timeToFirst = time.Since(c.arrived)
	h.metrics.timeToFirst.Observe(c.timeToFirst.Seconds())
	if c.organisation != nil {
		h.config.Meter.CountStarted(c.organisation.Name)
	}
}

// recordAnswer counts and logs a request that a replica has answered.
func (h *Handler) recordAnswer(a *answer, c *call, upstream *blackboard.Upstream) {
	if c.resumes {
		h.config.Origins.Ended(c.stream())
	}
	h.metrics.answered.WithLabelValues(statusClass(a.status)).Inc()
	if a.events > 0 {
		h.metrics.longestPause.Observe(a.longestPause.Seconds())
	}
	h.config.Logger.Info("request answered", "request", c.metadata.ID, "service", c.service, "replica", upstream.Instance.ID,
		"status", a.status, "sends", c.sends, "arrivals", c.arrivals, "last_event", string(a.lastID),
		"first", c.timeToFirst.Round(time.Millisecond), "pause", a.longestPause.Round(time.Millisecond),
		"elapsed", time.Since(c.arrived).Round(time.Millisecond))
}

// recordFailedAnswer counts and logs a request whose caller received the kept
// failure of a replica.
func (h *Handler) recordFailedAnswer(c *call) {
	h.metrics.answered.WithLabelValues(statusClass(c.failedAnswer.status)).Inc()
	h.config.Logger.Info("request answered", "request", c.metadata.ID, "service", c.service,
		"status", c.failedAnswer.status, "sends", c.sends, "arrivals", c.arrivals,
		"elapsed", time.Since(c.arrived).Round(time.Millisecond))
}

// statusClass returns the class of an HTTP status as a metric label, for example 2xx.
func statusClass(status int) string { return strconv.Itoa(status/100) + "xx" }
