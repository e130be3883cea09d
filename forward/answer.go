package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/routes"
	"zinniamast/silence"
)

const (
	// maxBufferedBytes bounds how much of a plain answer is read before it is
	// forwarded. Until then a broken answer can still be reported with a status.
	// Answers of plain services are a few kilobytes.
	maxBufferedBytes = 64 << 10
	// streamBufferBytes is the size of the buffer for the events of one read. An
	// event is about 100 bytes.
	streamBufferBytes = 16 << 10
	// maxEventBytes bounds one event. A replica that never ends an event would
	// otherwise fill this node's memory.
	maxEventBytes = 1 << 20
)

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

	// status is the status sent to the caller; header and body belong to a buffered
	// plain answer.
	status int
	header http.Header
	body   []byte
}

// forwardAnswer checks the status and the headers of a replica's answer and
// forwards the answer to the caller.
func (h *Handler) forwardAnswer(a *answer, c *call, upstream *blackboard.Upstream, response *http.Response, watch *silence.Watch, started time.Time) *zinniamast.UpstreamError {
	reply := h.config.Protocol.ReadResponse(response)
	if reply.ID != "" && reply.ID != c.metadata.ID {
		return upstreamError(upstream, zinniamast.FailureWrongAttempt, fmt.Errorf("forward: answer belongs to request %q", reply.ID))
	}
	if reply.NotRun {
		if reply.WrongInstance && h.config.Upstreams.MarkLeaving(upstream.Instance.ID, time.Time{}) {
			h.config.Logger.Info("replica marked as leaving", "replica", upstream.Instance.ID, "sign", "another instance answers")
		}
		return upstreamError(upstream, zinniamast.FailureRefused, fmt.Errorf("forward: replica refused the request with status %d", response.StatusCode))
	}
	if !reply.Signed || response.Header.Get("Content-Encoding") != "" {
		return upstreamError(upstream, zinniamast.FailureWrongAttempt, fmt.Errorf("forward: answer with status %d lacks the replica's signature or has a content encoding", response.StatusCode))
	}
	if c.route.Kind == routes.Stream && response.StatusCode == http.StatusOK {
		return h.forwardStream(a, c, upstream, response, watch, started)
	}
	if a.begun {
		// The replica that was to resume the stream sent another kind of answer.
		return upstreamError(upstream, zinniamast.FailureError, fmt.Errorf("forward: replica answered with status %d instead of resuming the stream", response.StatusCode))
	}
	return h.forwardPlain(a, c, upstream, response, watch, started)
}

// forwardPlain forwards an answer that is not a stream. An answer of less than
// maxBufferedBytes is read whole before the first byte goes to the caller. A
// server error on a safe route is kept and the request may be retried.
func (h *Handler) forwardPlain(a *answer, c *call, upstream *blackboard.Upstream, response *http.Response, watch *silence.Watch, started time.Time) *zinniamast.UpstreamError {
	h.recordStart(c, upstream, started)
	watch.Received()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return upstreamError(upstream, zinniamast.FailureCutShort, err)
	}
	buffered := &answer{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}
	dropHopByHop(buffered.header)
	if response.StatusCode >= http.StatusInternalServerError && c.route.Kind == routes.Safe {
		c.failedAnswer = buffered
		return upstreamError(upstream, zinniamast.FailureError, fmt.Errorf("forward: replica failed with status %d", response.StatusCode))
	}
	a.status = buffered.status
	if len(body) < maxBufferedBytes {
		buffered.writeTo(a.writer)
		return nil
	}
	return h.forwardLarge(a, buffered, upstream, response)
}

// writeTo writes a buffered answer.
func (a *answer) writeTo(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// forwardLarge writes the buffered start of a large answer and copies the rest as
// it arrives.
func (h *Handler) forwardLarge(a, buffered *answer, upstream *blackboard.Upstream, response *http.Response) *zinniamast.UpstreamError {
	copyHeader(a.writer.Header(), buffered.header)
	if response.ContentLength >= 0 {
		a.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	a.begun = true
	a.writer.WriteHeader(buffered.status)
	if _, err := a.writer.Write(buffered.body); err != nil {
		return upstreamError(upstream, zinniamast.FailureStopped, err)
	}
	if _, err := io.Copy(a.writer, response.Body); err != nil {
		return upstreamError(upstream, zinniamast.FailureCutShort, err)
	}
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

// streamBuffers pools read buffers so that forwarding a stream does not allocate
// a new one.
var streamBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, streamBufferBytes)
		return &buffer
	},
}

// forwardStream forwards events as they arrive. It forwards whole events only,
// because a replica may stop in the middle of an event and the replica that
// resumes the stream sends that event again from its start.
func (h *Handler) forwardStream(a *answer, c *call, upstream *blackboard.Upstream, response *http.Response, watch *silence.Watch, started time.Time) *zinniamast.UpstreamError {
	pooled, _ := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(pooled)
	buffer := *pooled
	filled := 0
	for {
		if filled >= maxEventBytes {
			return upstreamError(upstream, zinniamast.FailureCutShort, fmt.Errorf("forward: event is larger than %d bytes", maxEventBytes))
		}
		if filled == len(buffer) {
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
		n, err := response.Body.Read(buffer[filled:])
		filled += n
		whole := wholeEventsLength(buffer[:filled])
		if whole > 0 {
			if !c.startRecorded {
				h.recordStart(c, upstream, started)
			}
			c.leftSilentReplica, c.resumeWaits = false, 0
			// A caller that reads slowly blocks the write. Nothing is read from the
			// replica meanwhile, so the silence watch is suspended.
			watch.Suspend()
			if writeErr := a.writeEvents(buffer[:whole], response); writeErr != nil {
				return upstreamError(upstream, zinniamast.FailureStopped, writeErr)
			}
			watch.Received()
			filled = copy(buffer, buffer[whole:filled])
		}
		if err == io.EOF && filled == 0 && a.begun {
			return nil
		}
		if err != nil {
			return upstreamError(upstream, zinniamast.FailureCutShort, fmt.Errorf("forward: stream ended after %d bytes of an incomplete event: %w", filled, err))
		}
	}
}

// eventEnd terminates each event of a stream.
var eventEnd = []byte("\n\n")

// wholeEventsLength returns the length in bytes of the whole events at the start
// of the data.
func wholeEventsLength(data []byte) int {
	at := bytes.LastIndex(data, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// writeEvents writes whole events to the caller, preceded by the header if nothing
// was written yet, and records the ID of the last event.
func (a *answer) writeEvents(data []byte, response *http.Response) error {
	if !a.begun {
		dropHopByHop(response.Header)
		copyHeader(a.writer.Header(), response.Header)
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

// idField starts the line of an event that contains its ID.
var idField = []byte("id:")

// lastID returns the ID of the last event that has one.
func lastID(data []byte) []byte {
	at := bytes.LastIndex(data, idField)
	for at > 0 && data[at-1] != '\n' {
		at = bytes.LastIndex(data[:at], idField)
	}
	if at < 0 {
		return nil
	}
	line := data[at+len(idField):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return bytes.TrimSpace(line)
}

// recordStart reports the first byte of a replica's answer to the router. On the
// first call for a request it also records the time to the first byte and counts
// the request for the usage report of its organisation.
func (h *Handler) recordStart(c *call, upstream *blackboard.Upstream, started time.Time) {
	h.observe(c, upstream.Instance.ID, zinniamast.ObservedFirstToken, time.Since(started), "", 0)
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
