package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/plain"
	"zinniamast/platform"
)

// wireReplica is a replica that writes the bytes of its answers itself, so that a test sets their
// order on each connection.
type wireReplica struct {
	listener net.Listener
	// answer returns the bytes that answer a request. sends counts the sends of its ID so far, and
	// earlier is the last request on the connection; empty for the first one.
	answer func(id string, sends int, earlier string) (bytes string, closes bool)

	mu    sync.Mutex
	sends map[string]int
	runs  map[string]int
}

// startWireReplica starts a replica of the service at the given fixture.
func startWireReplica(t *testing.T, f *fixture, answer func(id string, sends int, earlier string) (string, bool)) *wireReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	t.Cleanup(func() { listener.Close() })
	r := &wireReplica{
		listener: listener,
		answer:   answer,
		sends:    map[string]int{},
		runs:     map[string]int{},
	}
	go r.accept()
	f.upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:            "i-wire",
			Service:       "svc",
			FailureDomain: "here",
			Address:       listener.Addr().String(),
			Started:       time.UnixMilli(1),
		},
		Replica: plain.New(plain.Config{
			Upstream:  "i-wire",
			Address:   "http://" + listener.Addr().String(),
			RequestID: platform.Headers{}.RequestID,
		}),
		Slots: 8,
	})
	return r
}

func (r *wireReplica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *wireReplica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for earlier := ""; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Zinniamast-Request-Id")
		r.mu.Lock()
		sends := r.sends[id]
		r.sends[id]++
		r.mu.Unlock()
		bytes, closes := r.answer(id, sends, earlier)
		if _, err := io.WriteString(conn, bytes); err != nil || closes {
			return
		}
		earlier = id
	}
}

// ran records that a request runs, and returns the whole answer to it.
func (r *wireReplica) ran(id, field string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nZinniamast-Request-Id: %s\r\nZinniamast-Server-Stamp: s\r\n%sContent-Length: 2\r\n\r\nok", id, field)
}

// runCount returns how often a request has begun to run.
func (r *wireReplica) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// refusal returns an answer that says that a request was not run; it names none if the ID is empty.
func refusal(id string) string {
	field := ""
	if id != "" {
		field = "Zinniamast-Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + field + "Zinniamast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// send sends a request with an ID of its own to the fixture.
func (f *fixture) send(path, id string) reply {
	request := f.request(http.MethodPost, path, "body")
	request.Header.Set("Zinniamast-Request-Id", id)
	return f.do(request)
}

// Guards against a refused request that runs because the second copy of a refusal is taken for the answer to the request's next send.
func TestCopyOfRefusalIsNotTheAnswerToTheNextSend(t *testing.T) {
	for _, path := range []string{pathUnsafe, pathStream} {
		f := newFixture(t, 0)
		refused, release := make(chan struct{}), make(chan struct{})
		var r *wireReplica
		r = startWireReplica(t, f, func(id string, sends int, earlier string) (string, bool) {
			switch {
			case id == "r-long":
				<-release
				return r.ran(id, "Connection: close\r\n"), true
			case sends == 0:
				close(refused)
				return refusal(id), false
			case earlier == id:
				return refusal(id) + r.ran(id, ""), false
			}
			return r.ran(id, ""), false
		})
		done := make(chan reply)
		go func() { done <- f.send(pathUnsafe, "r-long") }()
		for r.sendCount("r-long") == 0 {
			time.Sleep(time.Millisecond)
		}
		go func() {
			<-refused
			time.Sleep(10 * time.Millisecond) // the request waits for a place
			close(release)
		}()
		got := f.send(path, "r-1")
		<-done
		f.is.True(r.sendCount("r-1") >= 2) // sent again after the refusal
		f.is.Equal(r.runCount("r-1"), 1)
		f.is.True(got.status != http.StatusServiceUnavailable)
	}
}

// sendCount returns how often a request has arrived.
func (r *wireReplica) sendCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sends[id]
}

// Guards against a refused request that runs because a refusal that names no request is taken for its answer on a connection that other requests had used.
func TestRefusalThatNamesNoRequestIsNoPromise(t *testing.T) {
	for _, path := range []string{pathUnsafe, pathStream} {
		f := newFixture(t, 0)
		var r *wireReplica
		r = startWireReplica(t, f, func(id string, _ int, earlier string) (string, bool) {
			if earlier != "" {
				return refusal("") + r.ran(id, ""), false
			}
			return r.ran(id, ""), false
		})
		f.is.Equal(f.send(pathUnsafe, "r-1").status, http.StatusOK)
		got := f.send(path, "r-2")
		f.is.Equal(r.runCount("r-2"), 1)
		f.is.Equal(got.status, http.StatusBadGateway)
	}
}

// Guards against a replica's own failure with a status that promises that the request has not run, when it has.
func TestStatusOfAReplicaIsNoPromiseOfItsOwn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{pathUnsafe, pathStream} {
			check := is.New(t)
			f := newFixture(t, 0)
			var r *wireReplica
			r = startWireReplica(t, f, func(id string, _ int, _ string) (string, bool) {
				r.ran(id, "")
				return fmt.Sprintf("HTTP/1.1 %d X\r\nZinniamast-Request-Id: %s\r\nZinniamast-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n", status, id), false
			})
			got := f.send(path, "r-1")
			check.Equal(r.runCount("r-1"), 1)
			check.Equal(got.status, http.StatusBadGateway)
		}
	}
}
