package stage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that a replica has begun to run, or has refused.
type Run struct {
	At       time.Time
	Replica  string
	ID       string
	Path     string
	Tenant   string
	Body     string
	Deadline string
	// IsRefused reports whether the replica has said that it does not run the request.
	IsRefused bool
	// EndedAt is when the run ended; zero while it lasts.
	EndedAt time.Time
}

// Replica is a replica of a service. It writes its entry to the platform's store.
type Replica struct {
	ID      string
	Service string
	Zone    string

	stage *Stage
	// answer writes the answer to a request that runs; nil sends a short whole answer. It returns
	// false to let the replica crash.
	answer func(w http.ResponseWriter, r *http.Request, run *Run) bool

	mu       sync.Mutex
	address  string
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	runs     []*Run
	born     int64
	stop     chan struct{}
}

// heartbeat is how often a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// AddReplica starts a replica of a service.
func (s *Stage) AddReplica(id, service, zone string, answer func(http.ResponseWriter, *http.Request, *Run) bool) *Replica {
	r := &Replica{
		ID:      id,
		Service: service,
		Zone:    zone,
		stage:   s,
		answer:  answer,
		address: "127.0.0.1:0",
	}
	r.Boot()
	s.replicas = append(s.replicas, r)
	return r
}

// Boot starts the replica, at the address that it had.
func (r *Replica) Boot() {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	r.address = listener.Addr().String()
	r.born = time.Now().UnixMilli()
	r.listener = listener
	r.conns = map[net.Conn]bool{}
	r.stop = make(chan struct{})
	server := &http.Server{
		Handler:   r,
		ConnState: r.track,
	}
	r.server = server
	stop := r.stop
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				r.beat()
			case <-stop:
				return
			}
		}
	}()
}

func (r *Replica) track(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(r.conns, conn)
		return
	}
	r.conns[conn] = true
}

// beat writes the replica's entry.
func (r *Replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage.Store.PutJSON("servers", r.ID, map[string]any{
		"service":         r.Service,
		"address":         r.address,
		"zone":            r.Zone,
		"version":         "v1",
		"slots":           16,
		"state":           "ready",
		"coldRemainingMs": 0,
		"sequence":        0,
		"born":            r.born,
	})
}

// Crash ends the replica as a kill does: nothing is answered any more, and its channels are reset.
// Its entry stays until three heartbeats are missing.
func (r *Replica) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stop:
		return
	default:
	}
	close(r.stop)
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close stops the replica.
func (r *Replica) Close() { r.Crash() }

// Runs returns the requests that reached the replica.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Runs returns the requests that reached any replica.
func (s *Stage) Runs() []Run {
	var all []Run
	for _, r := range s.replicas {
		all = append(all, r.Runs()...)
	}
	return all
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	isOther := request.Header.Get("Zinniamast-Expect-Instance") != "" && request.Header.Get("Zinniamast-Expect-Instance") != r.ID
	id := request.Header.Get("Zinniamast-Request-Id")
	if !isOther && request.Method == http.MethodGet && request.URL.Path == "/report" {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":800000,"handles":0,"born":%d}`, r.born)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	run := &Run{
		At:        time.Now(),
		Replica:   r.ID,
		ID:        id,
		Path:      request.RequestURI,
		Tenant:    request.Header.Get("Zinniamast-Tenant"),
		Body:      string(body),
		Deadline:  request.Header.Get("Zinniamast-Deadline-Ms"),
		IsRefused: isOther || id == "",
	}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	w.Header().Set("Zinniamast-Request-Id", id)
	switch {
	case isOther:
		w.Header().Set("Zinniamast-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Zinniamast-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer func() {
		r.mu.Lock()
		run.EndedAt = time.Now()
		r.mu.Unlock()
	}()
	w.Header().Set("Zinniamast-Server-Stamp", "stamp."+r.ID+"."+id)
	if r.answer == nil {
		WriteText(w, "run by "+r.ID)
		return
	}
	if !r.answer(w, request, run) {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
}

// WriteText writes a whole answer.
func WriteText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// Answer is what a requester has received.
type Answer struct {
	// Status is zero if there was no whole answer; Err says why.
	Status int
	Stamp  string
	Body   string
	Err    error
	Took   time.Duration
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no whole answer after %v (status %d): %v", a.Took.Round(time.Millisecond), a.Status, a.Err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes, after %v", a.Status, a.Stamp, len(a.Body), a.Took.Round(time.Millisecond))
}

// Ask sends one request on a channel of its own.
func Ask(address, method, path string, header map[string]string, body string, timeout time.Duration) Answer {
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	started := time.Now()
	answer := Answer{}
	request, err := http.NewRequest(method, "http://"+address+path, newBody(body))
	if err != nil {
		answer.Err = err
		return answer
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	client := http.Client{
		Transport: transport,
		Timeout:   timeout,
	}
	response, err := client.Do(request)
	if err != nil {
		answer.Err, answer.Took = err, time.Since(started)
		return answer
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	answer.Status, answer.Stamp = response.StatusCode, response.Header.Get("Zinniamast-Server-Stamp")
	answer.Body, answer.Err, answer.Took = string(text), err, time.Since(started)
	return answer
}

// newBody returns the body of a request; nil if it is empty.
func newBody(text string) io.Reader {
	if text == "" {
		return nil
	}
	return &textReader{
		rest: text,
	}
}

// textReader reads a text once, so that net/http does not repeat the request by itself.
type textReader struct{ rest string }

// Read implements io.Reader.
func (t *textReader) Read(p []byte) (int, error) {
	if t.rest == "" {
		return 0, io.EOF
	}
	n := copy(p, t.rest)
	t.rest = t.rest[n:]
	return n, nil
}
