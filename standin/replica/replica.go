// Package replica is a stand-in for a replica of the platform: it answers whole
// requests and streams of events as a test scripts them, and keeps what it ran.
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
	// Received is when the request was read, and Behaviour how it is answered.
	Received  time.Time
	Behaviour Behaviour
	// Refused says that the replica turned it away and did not run it.
	Refused bool
	// Left is set once the caller's side closed the connection before the answer's end.
	Left chan struct{}
}

// Behaviour says how a request is answered; the zero value answers whole.
type Behaviour struct {
	// Status is the answer's; 200 if zero.
	Status int
	// NotRun answers that the request was not executed.
	NotRun bool
	// Elsewhere answers that another instance has the address.
	Elsewhere bool
	// Reset closes the connection once the request is read, without an answer.
	Reset bool
	// Hang answers nothing until the caller leaves.
	Hang bool
	// Unsigned leaves out the replica's mark, and Crossed names another request.
	Unsigned bool
	Crossed  bool
	// Delay is how long the replica is silent before it answers.
	Delay time.Duration
	// Events is how many events a stream has; zero answers whole.
	Events int
	// BreakAfter closes the connection after so many events, in the middle of
	// the next; zero never.
	BreakAfter int
	// Gap is the time between events.
	Gap time.Duration
	// PauseAfter is after how many events the stream pauses once, for as long as
	// Pause says; zero never.
	PauseAfter int
	Pause      time.Duration
	// CutBody announces more bytes than it sends.
	CutBody bool
}

// Faulty says whether a replica that behaves so answers other than for itself.
func (b Behaviour) Faulty() bool {
	return b.Unsigned || b.Crossed || b.Status >= http.StatusInternalServerError
}

// Breaks says whether a replica that behaves so ends answers before they are whole.
func (b Behaviour) Breaks() bool { return b.Reset || b.CutBody || b.BreakAfter > 0 }

// Replica is the stand-in.
type Replica struct {
	// ID is the instance that it answers for.
	ID string
	// StreamPrefix is below which requests are answered by StreamEvents events,
	// whatever the behaviour; empty for none. It is set before the first request.
	StreamPrefix string
	server       *httptest.Server

	mu        sync.Mutex
	behaviour Behaviour
	runs      []*Run
	report    string
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

// Behave changes how requests are answered from now on.
func (r *Replica) Behave(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
}

// Report sets what the replica says of its load; empty means that it knows no
// such question.
func (r *Replica) Report(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = body
}

// tellReport answers a question for the load.
func (r *Replica) tellReport(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	report := r.report
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

// Runs returns what reached the replica.
func (r *Replica) Runs() []*Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Run(nil), r.runs...)
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == "/report" {
		r.tellReport(w, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	run := &Run{
		ID:     request.Header.Get("Zinniamast-Request-Id"),
		Method: request.Method,
		Target: request.RequestURI,
		Header: request.Header.Clone(),
		Body:   string(body),
		Left:   make(chan struct{}),
	}
	r.mu.Lock()
	b := r.behaviour
	run.Received = time.Now()
	run.Behaviour = b
	run.Refused = b.NotRun || b.Elsewhere || run.Header.Get("Zinniamast-Expect-Instance") != r.ID
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-request.Context().Done():
			close(run.Left)
		case <-stop:
		}
	}()
	r.answer(w, request, run, b)
}

func (r *Replica) answer(w http.ResponseWriter, request *http.Request, run *Run, b Behaviour) {
	switch {
	case b.Reset:
		panic(http.ErrAbortHandler)
	case b.Hang:
		<-request.Context().Done()
		<-run.Left
		panic(http.ErrAbortHandler)
	case b.NotRun:
		w.Header().Set("Zinniamast-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case b.Elsewhere || request.Header.Get("Zinniamast-Expect-Instance") != r.ID:
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
	if !b.Unsigned {
		w.Header().Set("Zinniamast-Server-Stamp", "stamp-"+r.ID)
	}
	switch {
	case r.StreamPrefix != "" && strings.HasPrefix(request.URL.Path, r.StreamPrefix):
		r.stream(w, request, r.prefixed(b))
	case b.Events > 0:
		r.stream(w, request, b)
	default:
		r.whole(w, run, b)
	}
}

// The streams below StreamPrefix.
const (
	// StreamEvents is how many events they have.
	StreamEvents = 8
	streamGap    = 20 * time.Millisecond
	brokenAfter  = 3
)

// prefixed is how a stream below StreamPrefix is answered: where an answer is to
// be cut it breaks off.
func (r *Replica) prefixed(b Behaviour) Behaviour {
	b.Events = StreamEvents
	b.Gap = streamGap
	if b.CutBody {
		b.BreakAfter = brokenAfter
	}
	return b
}

func (r *Replica) whole(w http.ResponseWriter, run *Run, b Behaviour) {
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
		if b.BreakAfter > 0 && i > b.BreakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: half of", i)
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, Piece(r.StreamPrefix != "", request.Header.Get("Zinniamast-Request-Id"), i))
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
}

// Piece is the data of a stream's event; with the request's name where callers
// check whose event it is.
func Piece(named bool, request string, number int) string {
	piece := "piece-" + strconv.Itoa(number)
	if named {
		return piece + " of " + request
	}
	return piece
}
