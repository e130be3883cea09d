package plain_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/plain"
	"zinniamast/standin/service"
)

func booking() zinniamast.ServiceCall {
	return zinniamast.ServiceCall{
		Attempt: "a-1",
		Key:     "k-1",
		Method:  http.MethodPost,
		Path:    "/reservations",
		Body:    []byte(`{"cage":"B-12"}`),
	}
}

// Guards against reporting "not run" for a booking that ran, after which the caller
// may send it again. Each kind of failure is injected once into the stand-in service,
// whose ledger records what ran.
func TestEachFailureIsClassified(t *testing.T) {
	cases := []struct {
		fault   service.Kind
		failure zinniamast.Failure
		runs    int
	}{
		{fault: service.Refuse, failure: zinniamast.FailureRefused, runs: 0},
		{fault: service.Leave, failure: zinniamast.FailureRefused, runs: 0},
		{fault: service.Hang, failure: zinniamast.FailureTimeout, runs: 0},
		{fault: service.ResetBefore, failure: zinniamast.FailureReset, runs: 0},
		{fault: service.ResetAfter, failure: zinniamast.FailureReset, runs: 1},
		{fault: service.CutShort, failure: zinniamast.FailureCutShort, runs: 1},
		{fault: service.Cross, failure: zinniamast.FailureWrongAttempt, runs: 1},
		{fault: service.Fail, failure: zinniamast.FailureError, runs: 1},
		{fault: service.Crash, failure: zinniamast.FailureReset, runs: 0},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			is := is.New(t)
			replica := service.New(service.Config{})
			server := httptest.NewServer(replica)
			defer server.Close()
			client := plain.New(plain.Config{Upstream: "u", Address: server.URL})
			defer client.Close()
			replica.SetFaults(service.Fault{Kind: c.fault})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := client.Call(ctx, booking())
			failed := zinniamast.AsUpstreamError(err)
			is.True(failed != nil)                             // every fault is an upstream error
			is.Equal(failed.Failure, c.failure)                // the failure is classified
			is.Equal(failed.Leaving, c.fault == service.Leave) // leaving is distinguished from busy
			is.Equal(replica.Ledger().Counts().Runs, c.runs)   // the stand-in ran it as the case expects
			if failed.Outcome().Ran == zinniamast.NotRun {
				is.Equal(c.runs, 0) // "not run" is never reported for a request that ran
			}
		})
	}
}

// Guards against reporting an attempt as possibly run although no byte was sent: when
// the replica is down, and when the deadline has passed before the request is sent.
func TestNothingSentIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	client := plain.New(plain.Config{Upstream: "u", Address: "http://" + address})
	_, err = client.Call(t.Context(), booking())
	is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureDial)

	replica := service.New(service.Config{})
	server := httptest.NewServer(replica)
	defer server.Close()
	client = plain.New(plain.Config{Upstream: "u", Address: server.URL})
	_, err = client.Call(t.Context(), booking())
	is.NoErr(err)
	late, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	_, err = client.Call(late, booking())
	is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureDial)
	is.Equal(replica.Ledger().Counts().Runs, 1)
}

// Guards against a second run when a service runs a booking on a reused connection
// and closes it before answering: net/http would silently send a request that has an
// idempotency key again on a new connection. TestNetHTTPReplaysWithoutTheGuard shows
// this behaviour.
func TestNoSilentReplayOnAReusedConnection(t *testing.T) {
	for _, body := range []string{"", `{"cage":"B-12"}`} {
		is := is.New(t)
		var runs atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if r.Method == http.MethodGet {
				return
			}
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}))
		client := plain.New(plain.Config{Upstream: "u", Address: server.URL})
		warm := zinniamast.ServiceCall{Method: http.MethodGet, Path: "/"}
		_, err := client.Call(t.Context(), warm)
		is.NoErr(err)
		call := booking()
		call.Body = []byte(body)
		_, err = client.Call(t.Context(), call)
		is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureReset)
		is.Equal(runs.Load(), int32(1)) // sent once
		client.Close()
		server.Close()
	}
}

// Shows that net/http without sendGuard sends the request twice. If this test fails
// because it is sent once, sendGuard is no longer needed.
func TestNetHTTPReplaysWithoutTheGuard(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	warm, err := http.NewRequest(http.MethodGet, server.URL, nil)
	is.NoErr(err)
	answer, err := transport.RoundTrip(warm)
	is.NoErr(err)
	io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL, nil)
	is.NoErr(err)
	request.Header.Set(plain.HeaderKey, "k-1")
	_, err = transport.RoundTrip(request)
	is.True(err != nil)
	is.Equal(runs.Load(), int32(2)) // net/http sent it twice
}

// Guards against following a redirect: a 307 would send the booking a second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	var hits atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := plain.New(plain.Config{Upstream: "u", Address: server.URL})
	answer, err := client.Call(t.Context(), booking())
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusTemporaryRedirect)
	is.Equal(hits.Load(), int32(1))
}

// Guards against trusting answers that only a faulty or hostile service sends: a
// not-taken header without the ID of the attempt does not prove that nothing ran.
func TestBrokenAnswers(t *testing.T) {
	cases := []struct {
		name    string
		raw     string
		failure zinniamast.Failure
	}{
		{name: "not taken, no identity", raw: "HTTP/1.1 503 S\r\nZinniamast-Not-Taken: busy\r\nContent-Length: 0\r\n\r\n", failure: zinniamast.FailureError},
		{name: "not taken, crossed", raw: "HTTP/1.1 503 S\r\nZinniamast-Not-Taken: busy\r\nZinniamast-Attempt: b\r\nContent-Length: 0\r\n\r\n", failure: zinniamast.FailureWrongAttempt},
		{name: "missing last chunk", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", failure: zinniamast.FailureCutShort},
		{name: "headers cut short", raw: "HTTP/1.1 200 OK\r\nContent-", failure: zinniamast.FailureReset},
		{name: "no HTTP", raw: "\x00\x01\x02\r\n\r\n", failure: zinniamast.FailureReset},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go answerRaw(listener, c.raw)
			client := plain.New(plain.Config{Upstream: "u", Address: "http://" + listener.Addr().String()})
			_, err = client.Call(t.Context(), booking())
			is.True(errors.As(err, new(*zinniamast.UpstreamError)))
			is.Equal(zinniamast.AsUpstreamError(err).Failure, c.failure)
		})
	}
}

// answerRaw writes raw to the first connection and closes it for writing.
func answerRaw(listener net.Listener, raw string) {
	c, err := listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	buffer := make([]byte, 4096)
	c.Read(buffer)
	c.Write([]byte(raw))
	c.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, c)
}

// Guards against a failure whose cause does not tell that its connection was open before the request.
func TestFailureOnReusedConnectionNamesIt(t *testing.T) {
	check := is.New(t)
	replica := service.New(service.Config{})
	server := httptest.NewServer(replica)
	defer server.Close()
	client := plain.New(plain.Config{
		Upstream: "u",
		Address:  server.URL,
	})
	defer client.Close()
	_, err := client.Call(t.Context(), booking())
	check.NoErr(err)
	replica.SetFaults(service.Fault{
		Kind: service.Hang,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = client.Call(ctx, booking())
	check.True(strings.Contains(err.Error(), "on a connection idle for"))
	check.True(errors.Is(err, context.DeadlineExceeded))
}
