package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/standin/replica"
)

// The framings of an answer, which differ in what marks the end of its body.
const (
	framedByLength = "length"
	framedByChunks = "chunks"
	unframed       = "unframed"
)

// answerBytes returns the bytes of a replica's answer, and its body.
func answerBytes(id, framing string, isStream bool) (whole, body string) {
	body = "the answer"
	if isStream {
		body = events(2)
	}
	head := "HTTP/1.1 200 OK\r\nZinniamast-Request-Id: " + id + "\r\nZinniamast-Server-Stamp: s\r\n"
	switch framing {
	case framedByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), body
	case framedByChunks:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body), body
	}
	return head + "\r\n" + body, body
}

// Guards against an answer that stops in its head or its body and reaches the caller marked as complete.
func TestAnswerCutAtAnyByteIsNotMarkedComplete(t *testing.T) {
	for _, path := range []string{pathSafe, pathUnsafe, pathStream, pathResumable} {
		for _, framing := range []string{framedByLength, framedByChunks, unframed} {
			t.Run(path+" "+framing, func(t *testing.T) {
				isStream := path == pathStream || path == pathResumable
				whole, body := answerBytes("c-000", framing, isStream)
				for length := range len(whole) + 1 {
					f := newFixture(t, 0)
					f.retriesSpent.Store(true)
					startWireReplica(t, f, func(id string, _ int, _ string) (string, bool) {
						bytes, _ := answerBytes(id, framing, isStream)
						return bytes[:length], true
					})
					got := f.send(path, fmt.Sprintf("c-%03d", length))
					isMarked := got.status == http.StatusOK && !got.broken && !got.isUnframed
					if isMarked != (length == len(whole) && framing != unframed) {
						t.Errorf("%d of %d bytes: %+v", length, len(whole), got)
					}
					if length == len(whole) && (got.broken || got.body != body) {
						t.Errorf("whole answer: %+v", got)
					}
					f.server.Close()
				}
			})
		}
	}
}

// Guards against a large answer that ends with its connection and reaches the caller marked as complete.
func TestLargeUnframedAnswerIsNotMarkedComplete(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 0)
	body := strings.Repeat("x", 200<<10)
	startWireReplica(t, f, func(id string, _ int, _ string) (string, bool) {
		return "HTTP/1.1 200 OK\r\nZinniamast-Request-Id: " + id + "\r\nZinniamast-Server-Stamp: s\r\n\r\n" + body, true
	})
	got := f.send(pathUnsafe, "r-1")
	is.Equal(got.status, http.StatusOK)
	is.True(got.isUnframed && !got.broken)
	is.Equal(len(got.body), len(body))
}

// Guards against an unframed answer that looks complete when this process is killed in the middle of it.
func TestUnframedAnswerIsResetBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	f.setBehaviour(replica.Behaviour{
		Events:   4,
		Gap:      200 * time.Millisecond,
		Unframed: true,
	})
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(f.request(http.MethodPost, pathResumable, "").Write(conn))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	// The kernel closes the connections of a killed process in the same way.
	is.NoErr((*f.callerConn.Load()).Close())
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
}

// Guards against a framed answer whose resumed part ends between two events with the connection of a replica.
func TestResumedStreamIsNotCompleteAtAnUnframedEnd(t *testing.T) {
	is, resumed := is.New(t), 0
	for range 6 {
		f := newFixture(t, 2)
		f.replicas[0].SetBehaviour(replica.Behaviour{
			Events:     6,
			BreakAfter: 3,
		})
		f.replicas[1].SetBehaviour(replica.Behaviour{
			Events:   4,
			Unframed: true,
		})
		got := f.do(f.request(http.MethodPost, pathResumable, ""))
		is.Equal(got.status, http.StatusOK)
		is.True(got.broken || got.isUnframed)
		for _, run := range f.replicas[1].Runs() {
			if run.Header.Get("Last-Event-Id") != "" {
				resumed++
			}
		}
	}
	is.True(resumed > 0)
}

// Guards against a stream to an HTTP/1.0 caller that looks complete when it is broken off: its end is that of the connection.
func TestBrokenStreamToHTTP10CallerIsReset(t *testing.T) {
	is := is.New(t)
	for _, breakAfter := range []int{0, 3} {
		f := newFixture(t, 1)
		f.setBehaviour(replica.Behaviour{
			Events:     6,
			BreakAfter: breakAfter,
		})
		conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nZinniamast-Request-Id: r-1\r\nZinniamast-Deadline-Ms: 1500\r\nApi-Key: %s\r\n\r\n", pathStream, host, key)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		body, err := io.ReadAll(response.Body)
		is.Equal(err != nil, breakAfter > 0)
		if err == nil {
			is.Equal(string(body), events(6))
		}
	}
}
