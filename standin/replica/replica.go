// Package replica is a stand-in for a replica of the platform. It answers requests
// with whole answers or event streams, as a test scripts them, and records the
// requests that it receives.
package replica

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one request that reached the replica.
type Run struct {
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
	// Received is the time at which the request was read, and Behaviour determines
	// how it is answered.
	Received  time.Time
	Behaviour Behaviour
	// Refused reports that the replica refused the request and did not run it, and RestFor
	// the rest that it asked for then.
	Refused bool
	RestFor time.Duration
	// IsLeaving reports whether the answer said that the replica leaves.
	IsLeaving bool
	// Disconnected is closed once the caller's side closes the connection before the end
	// of the answer.
	Disconnected chan struct{}
}

// HasPart reports whether the request's prompt has a part.
func (r *Run) HasPart(part string) bool {
	return strings.Contains(r.Header.Get("Zinniamast-Prompt-Prefix"), part+":")
}

// Behaviour determines how a request is answered; the zero value sends a whole
// answer.
type Behaviour struct {
	// Status is the status of the answer; zero means 200. Requests below StreamPrefix are
	// answered with 200 all the same, and the Behaviour of their runs says so.
	Status int
	// NotRun answers that the request was not executed.
	NotRun bool
	// Misdirected answers that the address belongs to another instance.
	Misdirected bool
	// Reset closes the connection without an answer after the request is read.
	Reset bool
	// Hang sends no answer until the caller disconnects.
	Hang bool
	// OmitStamp omits the replica's server stamp, and Crossed answers with the ID of
	// another request.
	OmitStamp bool
	Crossed   bool
	// Delay is the time before the replica answers.
	Delay time.Duration
	// Events is the number of events of a stream; zero sends a whole answer.
	Events int
	// BreakAfter closes the connection after this many events, in the middle of
	// the next one; zero means never.
	BreakAfter int
	// BreakNew limits BreakAfter to streams that are sent from their start.
	BreakNew bool
	// Gap is the time between events.
	Gap time.Duration
	// EventPadding is how many more bytes the first event has, and OpenEvent how many bytes the
	// replica sends of one more event after the last, which it never ends.
	EventPadding int
	OpenEvent    int
	// PauseAfter is the number of events after which the stream pauses once, for
	// the duration Pause; zero means never.
	PauseAfter int
	Pause      time.Duration
	// CutBody announces a longer body than the replica sends.
	CutBody bool
	// Unframed answers with neither a length nor chunks, so that the answer ends with its
	// connection. ResetEnd then ends the connection with a reset.
	Unframed bool
	ResetEnd bool
	// RawStatus is the status in the first line of an unframed answer; empty means that of
	// Status.
	RawStatus string
	// RawVersion is the version in that line; empty means HTTP/1.1.
	RawVersion string
	// RawField is a line that is added to the head of an unframed answer as it is, InterimField
	// one in the head of an interim answer before it, and TrailerField one in a trailer, for which
	// the answer has chunks; empty adds none.
	RawField     string
	InterimField string
	TrailerField string
	// Early answers before the body of the request is read, of which nothing is read then.
	Early bool
	// Endless lets an unframed answer go on with bytes that end no event until the caller
	// closes the connection.
	Endless bool
}

// Faulty reports whether an answer lacks the replica's stamp, carries the ID of
// another request or has a server error status.
func (b Behaviour) Faulty() bool {
	return b.OmitStamp || b.Crossed || b.Status >= http.StatusInternalServerError
}

// Breaks reports whether answers end before they are complete.
func (b Behaviour) Breaks() bool {
	return b.Reset || b.CutBody || b.BreakAfter > 0 || b.ResetEnd
}

// Replica is the stand-in.
type Replica struct {
	// ID is the ID of the instance that it simulates.
	ID string
	// StreamPrefix is the path prefix of requests that are answered with a stream
	// of StreamEvents events, regardless of Events and Gap of the behaviour; empty
	// means none. It is set before the first request.
	StreamPrefix string
	// CrashingPart is a part of a prompt with which a request crashes the replica, and Crash
	// what crashes it. They are set before the first request.
	CrashingPart string
	Crash        func()
	server       *httptest.Server

	mu        sync.Mutex
	behaviour Behaviour
	runs      []*Run
	report    string
	rateLimit float64
	condition Condition
	// running counts the requests in progress, rejections holds the times of the rejections in
	// the last second, and failures counts those under which the replica failed.
	running     int
	rejections  []time.Time
	failures    int
	failedUntil time.Time
}

// New starts a replica on a free port.
func New(id string) *Replica {
	r := &Replica{
		ID: id,
	}
	r.server = httptest.NewServer(r)
	return r
}

// Close stops the replica.
func (r *Replica) Close() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// Address returns host:port.
func (r *Replica) Address() string { return strings.TrimPrefix(r.server.URL, "http://") }

// SetBehaviour sets how requests are answered from now on.
func (r *Replica) SetBehaviour(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
}

// SetReport sets the load report of the replica; if it is empty, the replica answers
// 404.
func (r *Replica) SetReport(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = body
}

// SetRateLimit sets the requests per second that the replica names in its answers; zero
// names none.
func (r *Replica) SetRateLimit(limit float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateLimit = limit
}

// serveReport answers a request for the load report.
func (r *Replica) serveReport(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	report := r.report
	r.nameCondition(w.Header())
	r.mu.Unlock()
	switch {
	case request.Header.Get("Zinniamast-Expect-Instance") != r.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case report == "":
		w.WriteHeader(http.StatusNotFound)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, report)
	}
}

// Runs returns the requests that the replica received.
func (r *Replica) Runs() []*Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Run(nil), r.runs...)
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == "/report" {
		r.serveReport(w, request)
		return
	}
	var body []byte
	if !r.isEarly() {
		var err error
		if body, err = io.ReadAll(request.Body); err != nil {
			return
		}
	}
	run := &Run{
		ID:           request.Header.Get("Zinniamast-Request-Id"),
		Method:       request.Method,
		Target:       request.RequestURI,
		Header:       request.Header.Clone(),
		Body:         string(body),
		Disconnected: make(chan struct{}),
	}
	isStream := r.isStream(request)
	r.mu.Lock()
	b := r.behaviour
	if isStream {
		b.Status = 0
	}
	run.Received = time.Now()
	run.Behaviour = b
	run.Refused = b.NotRun || b.Misdirected || run.Header.Get("Zinniamast-Expect-Instance") != r.ID
	run.IsLeaving = r.condition.IsLeaving
	r.nameCondition(w.Header())
	r.takeSlot(run, w.Header())
	b = run.Behaviour
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	defer r.freeSlot()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-request.Context().Done():
			close(run.Disconnected)
		case <-stop:
		}
	}()
	if r.CrashingPart != "" && run.HasPart(r.CrashingPart) {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	r.answer(w, request, run, b)
}

func (r *Replica) isEarly() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.behaviour.Early
}

// isStream reports whether a request is below StreamPrefix.
func (r *Replica) isStream(request *http.Request) bool {
	return r.StreamPrefix != "" && strings.HasPrefix(request.URL.Path, r.StreamPrefix)
}

func (r *Replica) answer(w http.ResponseWriter, request *http.Request, run *Run, b Behaviour) {
	switch {
	case b.Reset:
		panic(http.ErrAbortHandler)
	case b.Hang:
		<-request.Context().Done()
		<-run.Disconnected
		panic(http.ErrAbortHandler)
	case b.NotRun:
		w.Header().Set("Zinniamast-Request-Id", run.ID)
		w.Header().Set("Zinniamast-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case b.Misdirected || request.Header.Get("Zinniamast-Expect-Instance") != r.ID:
		w.Header().Set("Zinniamast-Request-Id", run.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case <-time.After(b.Delay):
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
	id := run.ID
	if b.Crossed {
		id = "another"
	}
	w.Header().Set("Zinniamast-Request-Id", id)
	if !b.OmitStamp {
		w.Header().Set("Zinniamast-Server-Stamp", "stamp-"+r.ID)
	}
	isStream := r.isStream(request)
	switch {
	case b.Unframed && isStream:
		r.writeUnframed(w, request, run, r.streamBehaviour(b))
	case b.Unframed:
		r.writeUnframed(w, request, run, b)
	case isStream:
		r.stream(w, request, r.streamBehaviour(b))
	case b.Events > 0:
		r.stream(w, request, b)
	default:
		r.writeWhole(w, run, b)
	}
}

// The properties of streams below StreamPrefix.
const (
	// StreamEvents is the number of their events.
	StreamEvents     = 8
	streamGap        = 20 * time.Millisecond
	breakAfterEvents = 3
)

// streamBehaviour returns the behaviour of a stream below StreamPrefix: CutBody
// breaks off the stream after breakAfterEvents events.
func (r *Replica) streamBehaviour(b Behaviour) Behaviour {
	b.Events = StreamEvents
	b.Gap = streamGap
	if b.CutBody {
		b.BreakAfter = breakAfterEvents
	}
	return b
}

func (r *Replica) writeWhole(w http.ResponseWriter, run *Run, b Behaviour) {
	status := http.StatusOK
	if b.Status != 0 {
		status = b.Status
	}
	text := r.ID + " ran " + run.ID
	if b.CutBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+10))
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
	if b.CutBody {
		panic(http.ErrAbortHandler)
	}
}

func (r *Replica) stream(w http.ResponseWriter, request *http.Request, b Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= b.Events; i++ {
		if b.BreakAfter > 0 && i > b.BreakAfter && (after == 0 || !b.BreakNew) {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: half of", i)
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		padding := ""
		if i == 1 {
			padding = strings.Repeat("x", b.EventPadding)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s%s\n\n", i, EventData(r.StreamPrefix != "", request.Header.Get("Zinniamast-Request-Id"), i), padding)
		flusher.Flush()
		gap := b.Gap
		if i == b.PauseAfter {
			gap = b.Pause
		}
		select {
		case <-time.After(gap):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	if b.OpenEvent > 0 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s", b.Events+1, strings.Repeat("x", b.OpenEvent))
		flusher.Flush()
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// EventData returns the data of an event of a stream. If named is set, it includes the
// request ID, so that callers can check which request the event belongs to.
func EventData(named bool, request string, number int) string {
	piece := "piece-" + strconv.Itoa(number)
	if named {
		return piece + " of " + request
	}
	return piece
}
