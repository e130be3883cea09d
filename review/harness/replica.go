package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// queueLength is how many requests a replica queues beyond its slots.
const queueLength = 2

// Answer is a replica's answer to a request that it has run.
type Answer struct {
	Status int
	Body   string
	// Work is how long the request runs.
	Work time.Duration
}

// Replica is a replica of a service, as the platform's pages describe it. It refuses what its
// slots and its queue do not hold with 503 and Zinniamast-Not-Executed, and it repeats the ID of
// each request in each of its answers.
type Replica struct {
	ID      string
	Service string
	Slots   int
	Born    time.Time
	// Run returns the answer to a request.
	Run func(r *http.Request) Answer
	// RepeatShare is the part of all its answers that a faulty replica sends at most a second
	// time, at the point where the next answer on the channel is expected. Only refusals are
	// sent twice.
	RepeatShare float64
	Record      *Record

	listener net.Listener
	slots    chan struct{}

	mu     sync.Mutex
	queued int
	runs   map[string]int
	// answers counts all answers, and repeated those that are sent twice.
	answers, repeated int
	conns             map[net.Conn]bool
	closed            bool
	// isLeaving reports whether the replica has said that it leaves, and sequence counts what it
	// has said.
	isLeaving bool
	sequence  int
	// ended is closed with the replica.
	ended chan struct{}
}

// Listen starts the replica on a free port.
func (r *Replica) Listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener = listener
	r.slots = make(chan struct{}, r.Slots)
	r.runs = map[string]int{}
	r.conns = map[net.Conn]bool{}
	r.ended = make(chan struct{})
	r.Born = time.Now()
	go r.accept()
	return nil
}

// Address returns host:port.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Close stops the replica.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.ended)
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// Crash ends the replica as a crash of its process does: all its channels are reset.
func (r *Replica) Crash() {
	r.mu.Lock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	r.mu.Unlock()
	r.Close()
}

// Runs returns how often each request has begun to run here, by its ID.
func (r *Replica) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string]int{}
	for id, count := range r.runs {
		runs[id] = count
	}
	return runs
}

func (r *Replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		closed := r.closed
		r.mu.Unlock()
		if closed {
			_ = conn.Close()
			return
		}
		go r.serve(conn)
	}
}

// serve answers the requests of one channel, one at a time.
func (r *Replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		id := request.Header.Get("Zinniamast-Request-Id")
		if late != "" {
			r.Record.Add("replica %s, channel %s: the late second answer goes out as request %s arrives", r.ID, conn.RemoteAddr(), id)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := r.answer(request, id, conn)
		if r.repeats(answer) {
			late = answer
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// repeats reports whether an answer is sent a second time.
func (r *Replica) repeats(answer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if !strings.Contains(answer, notExecuted) || float64(r.repeated+1) > r.RepeatShare*float64(r.answers) {
		return false
	}
	r.repeated++
	return true
}

// notExecuted is the field of an answer that says that the request was not run.
const notExecuted = "Zinniamast-Not-Executed: 1"

// answer runs a request, or refuses it, and returns the bytes of the answer.
func (r *Replica) answer(request *http.Request, id string, conn net.Conn) string {
	switch {
	case request.URL.Path == "/healthz":
		return head(http.StatusOK, id, "Zinniamast-Instance-Id: "+r.ID) + "Content-Length: 0\r\n\r\n"
	case request.Header.Get("Zinniamast-Expect-Instance") != r.ID:
		return head(http.StatusMisdirectedRequest, id, "Zinniamast-Instance-Id: "+r.ID) + "Content-Length: 0\r\n\r\n"
	case request.URL.Path == "/report":
		return head(http.StatusNotFound, id, "") + "Content-Length: 0\r\n\r\n"
	case !r.takeSlot():
		r.Record.Add("replica %s, channel %s: refuses request %s", r.ID, conn.RemoteAddr(), id)
		return head(http.StatusServiceUnavailable, id, notExecuted) + "Content-Length: 0\r\n\r\n"
	}
	defer func() { <-r.slots }()
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.Record.Add("replica %s, channel %s: runs request %s", r.ID, conn.RemoteAddr(), id)
	a := r.Run(request)
	time.Sleep(a.Work)
	r.Record.Add("replica %s, channel %s: answers request %s with %d, %d bytes", r.ID, conn.RemoteAddr(), id, a.Status, len(a.Body))
	return head(a.Status, id, "Zinniamast-Server-Stamp: stamp."+r.ID+"."+id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(a.Body), a.Body)
}

// takeSlot waits for a slot, unless too many requests wait already.
func (r *Replica) takeSlot() bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	if r.queued >= queueLength {
		r.mu.Unlock()
		return false
	}
	r.queued++
	r.mu.Unlock()
	r.slots <- struct{}{}
	r.mu.Lock()
	r.queued--
	r.mu.Unlock()
	return true
}

// head returns the head of an answer without the field that ends it.
func head(status int, id, field string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&text, "Zinniamast-Request-Id: %s\r\n", id)
	}
	if field != "" {
		fmt.Fprintf(&text, "%s\r\n", field)
	}
	return text.String()
}
