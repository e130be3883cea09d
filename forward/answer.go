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
	// heldBytes is how much of a plain answer is read before it is passed on:
	// until then a broken one can still be told with a status. Answers of plain
	// services are a few kilobytes.
	heldBytes = 64 << 10
	// streamBuffer holds the events of one read; an event is some 100 bytes.
	streamBuffer = 16 << 10
	// maxEvent bounds one event: a replica that never ends one would otherwise
	// fill this node's memory.
	maxEvent = 1 << 20
)

// answer is what goes to the caller.
type answer struct {
	writer http.ResponseWriter
	// began says that a part of a stream was passed on.
	began bool
	// last is the ID of the last event passed on, in a buffer that is used again,
	// and events counts all of them.
	last   []byte
	events int
	// longest is the longest pause between two writes of events, and wrote when the
	// last one was.
	longest time.Duration
	wrote   time.Time
	// flush sends what was written; it is made once, so that an event allocates nothing.
	flush func() error

	// status, header and body hold a plain answer.
	status int
	header http.Header
	body   []byte
}

// take judges an answer's head and passes the answer on.
func (h *Handler) take(a *answer, c *call, upstream *blackboard.Upstream, response *http.Response, w *silence.Watch, started time.Time) *zinniamast.UpstreamError {
	reply := h.config.Protocol.Reply(response)
	if reply.ID != "" && reply.ID != c.ask.ID {
		return fail(upstream, zinniamast.FailureCrossed, fmt.Errorf("forward: answer to request %q", reply.ID))
	}
	if reply.NotRun {
		if reply.Elsewhere && h.config.Upstreams.MarkLeaving(upstream.Instance.ID, time.Time{}) {
			h.config.Logger.Info("replica gone", "replica", upstream.Instance.ID, "sign", "another instance answers")
		}
		return fail(upstream, zinniamast.FailureRefused, fmt.Errorf("forward: status %d", response.StatusCode))
	}
	if !reply.Signed || response.Header.Get("Content-Encoding") != "" {
		return fail(upstream, zinniamast.FailureCrossed, fmt.Errorf("forward: an answer with status %d that is not the replica's", response.StatusCode))
	}
	if c.route.Kind == routes.Stream && response.StatusCode == http.StatusOK {
		return h.stream(a, c, upstream, response, w, started)
	}
	if a.began {
		// The replica that was to go on with a stream answered otherwise.
		return fail(upstream, zinniamast.FailureError, fmt.Errorf("forward: status %d instead of the rest of a stream", response.StatusCode))
	}
	return h.plain(a, c, upstream, response, w, started)
}

// plain takes a whole answer.
func (h *Handler) plain(a *answer, c *call, upstream *blackboard.Upstream, response *http.Response, w *silence.Watch, started time.Time) *zinniamast.UpstreamError {
	h.began(c, upstream, started)
	w.Heard()
	body, err := io.ReadAll(io.LimitReader(response.Body, heldBytes))
	if err != nil {
		return fail(upstream, zinniamast.FailureCutShort, err)
	}
	held := &answer{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}
	dropHopByHop(held.header)
	if response.StatusCode >= http.StatusInternalServerError && c.route.Kind == routes.Safe {
		c.held = held
		return fail(upstream, zinniamast.FailureError, fmt.Errorf("forward: status %d", response.StatusCode))
	}
	a.status = held.status
	if len(body) < heldBytes {
		held.deliver(a.writer)
		return nil
	}
	return h.passOn(a, held, upstream, response)
}

// deliver writes a whole answer.
func (a *answer) deliver(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// passOn writes a large answer as it comes.
func (h *Handler) passOn(a, held *answer, upstream *blackboard.Upstream, response *http.Response) *zinniamast.UpstreamError {
	copyHeader(a.writer.Header(), held.header)
	if response.ContentLength >= 0 {
		a.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	a.began = true
	a.writer.WriteHeader(held.status)
	if _, err := a.writer.Write(held.body); err != nil {
		return fail(upstream, zinniamast.FailureStopped, err)
	}
	if _, err := io.Copy(a.writer, response.Body); err != nil {
		return fail(upstream, zinniamast.FailureCutShort, err)
	}
	return nil
}

// copyHeader copies a replica's headers. Without a Content-Type of the
// replica's, net/http must not guess one.
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

// buffers are shared by streams, so that an event allocates nothing.
var buffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, streamBuffer)
		return &buffer
	},
}

// stream passes events on as they come, whole ones only: a replica may stop in
// the middle of one, and the next replica begins with the whole event.
func (h *Handler) stream(a *answer, c *call, upstream *blackboard.Upstream, response *http.Response, w *silence.Watch, started time.Time) *zinniamast.UpstreamError {
	pooled, _ := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	buffer := *pooled
	filled := 0
	for {
		if filled >= maxEvent {
			return fail(upstream, zinniamast.FailureCutShort, fmt.Errorf("forward: an event above %d bytes", maxEvent))
		}
		if filled == len(buffer) {
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
		n, err := response.Body.Read(buffer[filled:])
		filled += n
		whole := wholeEvents(buffer[:filled])
		if whole > 0 {
			if !c.began {
				h.began(c, upstream, started)
			}
			c.moving, c.holds = false, 0
			// A caller that reads slowly holds the write up, and the replica with it.
			w.Rest()
			if failed := a.pass(buffer[:whole], response); failed != nil {
				return fail(upstream, zinniamast.FailureStopped, failed)
			}
			w.Heard()
			filled = copy(buffer, buffer[whole:filled])
		}
		if err == io.EOF && filled == 0 && a.began {
			return nil
		}
		if err != nil {
			return fail(upstream, zinniamast.FailureCutShort, fmt.Errorf("forward: stream ended with %d bytes of an event: %w", filled, err))
		}
	}
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// wholeEvents returns the length of the leading whole events.
func wholeEvents(data []byte) int {
	at := bytes.LastIndex(data, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// pass writes whole events and remembers the last one's ID.
func (a *answer) pass(data []byte, response *http.Response) error {
	if !a.began {
		dropHopByHop(response.Header)
		copyHeader(a.writer.Header(), response.Header)
		a.writer.WriteHeader(response.StatusCode)
		a.status = response.StatusCode
		a.flush = http.NewResponseController(a.writer).Flush
		a.began = true
	}
	now := time.Now()
	if !a.wrote.IsZero() {
		a.longest = max(a.longest, now.Sub(a.wrote))
	}
	a.wrote = now
	if _, err := a.writer.Write(data); err != nil {
		return err
	}
	a.events += bytes.Count(data, eventEnd)
	if id := lastID(data); len(id) > 0 {
		a.last = append(a.last[:0], id...)
	}
	return a.flush()
}

// idField begins the line of an event that holds its ID.
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

// began notes that a replica has begun to answer.
func (h *Handler) began(c *call, upstream *blackboard.Upstream, started time.Time) {
	h.observe(c, upstream.Instance.ID, zinniamast.ObservedFirstToken, time.Since(started), "", 0)
	if c.began {
		return
	}
	c.began = true
	c.first = time.Since(c.arrived)
	h.metrics.first.Observe(c.first.Seconds())
	if c.organisation != nil {
		h.config.Meter.Began(c.organisation.Name)
	}
}

// finished notes a request that a replica has answered.
func (h *Handler) finished(a *answer, c *call, upstream *blackboard.Upstream) {
	h.metrics.answered.WithLabelValues(statusClass(a.status)).Inc()
	if a.events > 0 {
		h.metrics.pause.Observe(a.longest.Seconds())
	}
	h.config.Logger.Info("answered", "request", c.ask.ID, "service", c.service, "replica", upstream.Instance.ID,
		"status", a.status, "sends", c.sends, "arrivals", c.arrivals, "last_event", string(a.last),
		"first", c.first.Round(time.Millisecond), "pause", a.longest.Round(time.Millisecond),
		"elapsed", time.Since(c.arrived).Round(time.Millisecond))
}

// finishedHeld notes a request that is answered by a replica's own failure.
func (h *Handler) finishedHeld(c *call) {
	h.metrics.answered.WithLabelValues(statusClass(c.held.status)).Inc()
	h.config.Logger.Info("answered", "request", c.ask.ID, "service", c.service,
		"status", c.held.status, "sends", c.sends, "arrivals", c.arrivals,
		"elapsed", time.Since(c.arrived).Round(time.Millisecond))
}

func statusClass(status int) string { return strconv.Itoa(status/100) + "xx" }

// setBody gives a request its body whole, with its length.
func setBody(request *http.Request, body []byte) {
	if len(body) == 0 {
		request.Body = http.NoBody
		return
	}
	request.ContentLength = int64(len(body))
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
}
