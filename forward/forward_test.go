package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/plain"
	"zinniamast/standin/replica"
)

// Guards against a change of a forwarded request or answer, except for the headers
// that the system sets. A caller must not choose its organisation, its replica or
// how its KV cache is kept.
func TestForwardsUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	request := f.request(http.MethodPost, pathUnsafe+"%2Fy?q=%20z", "the body")
	for _, name := range []string{"Zinniamast-Tenant", "Zinniamast-Kv-Hold", "Kv-From", "Zinniamast-Pin-Ms", "Zinniamast-Kv-Backup", "Zinniamast-Request-Priority"} {
		request.Header.Set(name, "forged")
	}
	request.Header.Set("X-Own", "kept")
	request.Header.Set("Connection", "X-Dropped")
	request.Header.Set("X-Dropped", "1")
	answer := f.do(request)
	f.is.Equal(answer.status, http.StatusOK)
	f.is.Equal(answer.body, "i-a ran r-1")
	f.is.Equal(answer.header.Get("Zinniamast-Server-Stamp"), "stamp-i-a")
	run := f.replicas[0].Runs()[0]
	f.is.Equal(run.Method, http.MethodPost)
	f.is.Equal(run.Target, pathUnsafe+"%2Fy?q=%20z")
	f.is.Equal(run.Body, "the body")
	f.is.Equal(run.Header.Get("Zinniamast-Tenant"), "acme")
	f.is.Equal(run.Header.Get("Zinniamast-Expect-Instance"), "i-a")
	f.is.Equal(run.Header.Get("Zinniamast-Request-Priority"), "0")
	f.is.Equal(run.Header.Get("X-Own"), "kept")
	for _, name := range []string{"Api-Key", "Zinniamast-Kv-Hold", "Kv-From", "Zinniamast-Pin-Ms", "Zinniamast-Kv-Backup", "X-Dropped"} {
		f.is.Equal(run.Header.Get(name), "")
	}
	remaining, err := strconv.Atoi(run.Header.Get("Zinniamast-Deadline-Ms"))
	f.is.NoErr(err)
	f.is.True(remaining > 1000 && remaining <= 1500)
	f.is.Equal(f.started.Load(), int64(1))
}

// Guards against forwarding a request that the configuration does not allow. The
// caller gets the right status and the request reaches no replica.
func TestRejectsDisallowedRequests(t *testing.T) {
	f := newFixture(t, 1)
	cases := []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{name: "no route", change: func(r *http.Request) { r.URL.Path = "/none/x" }, status: http.StatusNotFound},
		{name: "another host", change: func(r *http.Request) { r.Host = "other.example" }, status: http.StatusNotFound},
		{name: "unknown key", change: func(r *http.Request) { r.Header.Set("Api-Key", "stolen") }, status: http.StatusUnauthorized},
		{name: "no key", change: func(r *http.Request) { r.Header.Del("Api-Key") }, status: http.StatusUnauthorized},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := f.request(http.MethodPost, pathUnsafe, "x")
			c.change(request)
			is.New(t).Equal(f.do(request).status, c.status)
		})
	}
	f.is.Equal(f.do(f.request(http.MethodPost, pathUnsafe, strings.Repeat("x", 2<<10))).status, http.StatusRequestEntityTooLarge)
	f.is.Equal(f.runCount(), 0)
}

// Guards against running an unsafe request twice. After the replica has read the
// request it resets the connection, cuts its answer or sends an answer that is not
// its own. The caller must not be told that the request has not run, and no second
// replica may run it.
func TestUnsafeRunsOnce(t *testing.T) {
	for name, behaviour := range map[string]replica.Behaviour{
		"reset":    {Reset: true},
		"cut":      {CutBody: true},
		"crossed":  {Crossed: true},
		"unsigned": {OmitStamp: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3)
			f.setBehaviour(behaviour)
			answer := f.do(f.request(http.MethodPost, pathUnsafe, "x"))
			f.is.Equal(answer.status, http.StatusBadGateway)
			f.is.Equal(f.runCount(), 1)
		})
	}
}

// Guards against not retrying an unsafe request that its replica reports as not run.
// If all replicas report that, the caller gets 503 and a Retry-After header.
func TestRetriesRequestNotRun(t *testing.T) {
	f := newFixture(t, 2)
	f.replicas[0].SetBehaviour(replica.Behaviour{
		NotRun: true,
	})
	for range 4 {
		f.is.Equal(f.do(f.request(http.MethodPost, pathUnsafe, "x")).status, http.StatusOK)
	}
	f.setBehaviour(replica.Behaviour{
		NotRun: true,
	})
	answer := f.do(f.request(http.MethodPost, pathUnsafe, "x"))
	f.is.Equal(answer.status, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
	f.is.NoErr(err)
	f.is.True(wait > 0 && wait < 5)
}

// Guards against an answer after the deadline. An unsafe request hangs at its
// replica. At the deadline the caller gets a status that does not promise that the
// request has not run, and the replica's request is cancelled.
func TestAnswersAtTheTimeout(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(replica.Behaviour{
		Hang: true,
	})
	request := f.request(http.MethodPost, pathUnsafe, "x")
	request.Header.Set("Zinniamast-Deadline-Ms", "400")
	started := time.Now()
	f.is.Equal(f.do(request).status, http.StatusGatewayTimeout)
	took := time.Since(started)
	f.is.True(took >= 400*time.Millisecond && took < 900*time.Millisecond)
	waitClosed(t, f.replicas[0].Runs()[0].Disconnected)
}

// Guards against a replica that continues to work for a disconnected caller. Its
// request must be cancelled within half a second.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(replica.Behaviour{
		Hang: true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	f.is.True(f.do(f.request(http.MethodPost, pathResumable, "x").WithContext(ctx)).broken)
	waitClosed(t, f.replicas[0].Runs()[0].Disconnected)
	f.is.Equal(f.runCount(), 1)
}

// waitClosed fails the test if the channel is not closed within half a second.
func waitClosed(t *testing.T, closed chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("replica still runs the request after 500ms")
	}
}

// Guards against returning a replica's server error for a safe request that another
// replica can answer. If every replica fails, the caller gets one of their failed
// answers unchanged.
func TestSafeRequestIsRetried(t *testing.T) {
	f := newFixture(t, 2)
	f.replicas[0].SetBehaviour(replica.Behaviour{
		Status: http.StatusInternalServerError,
	})
	for range 4 {
		f.is.Equal(f.do(f.request(http.MethodGet, pathSafe, "")).status, http.StatusOK)
	}
	f.setBehaviour(replica.Behaviour{
		Status: http.StatusInternalServerError,
	})
	before := f.runCount()
	answer := f.do(f.request(http.MethodGet, pathSafe, ""))
	f.is.Equal(answer.status, http.StatusInternalServerError)
	f.is.True(strings.HasPrefix(answer.header.Get("Zinniamast-Server-Stamp"), "stamp-"))
	f.is.Equal(f.runCount()-before, 2) // the route's attempts
}

// events returns the body of a whole stream of n events.
func events(n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return text.String()
}

// Guards against lost, repeated or partial events when a replica fails in the middle
// of an event. The caller of a resumable stream gets every event once, in order and
// whole, in a single answer that keeps the first replica's headers.
func TestStreamResumes(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(replica.Behaviour{
		Events:     9,
		BreakAfter: 5,
		Gap:        5 * time.Millisecond,
	})
	go func() {
		for f.runCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.setBehaviour(replica.Behaviour{
			Events: 9,
		})
	}()
	answer := f.do(f.request(http.MethodPost, pathResumable, "x"))
	f.is.Equal(answer.body, events(9))
	f.is.True(!answer.broken)
	f.is.Equal(f.runCount(), 2)
	for _, r := range f.replicas {
		for _, run := range r.Runs() {
			if after := run.Header.Get("Last-Event-Id"); after != "" {
				f.is.Equal(after, "5")
			}
		}
	}
}

// Guards against an incomplete answer that looks complete. A replica breaks off a
// stream that must not be resumed: the caller's connection breaks too, and the
// request is not sent again.
func TestUnresumableStreamIsBrokenOff(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(replica.Behaviour{
		Events:     9,
		BreakAfter: 5,
	})
	answer := f.do(f.request(http.MethodPost, pathStream, "x"))
	f.is.True(answer.broken)
	f.is.Equal(answer.body, events(5))
	f.is.Equal(f.runCount(), 1)
}

// Guards against sending more requests to an address that another instance has taken
// over. That instance refuses the request and runs nothing, the request goes to
// another replica, and the former replica is marked as leaving.
func TestAddressTakenOver(t *testing.T) {
	f := newFixture(t, 2)
	f.replicas[0].SetBehaviour(replica.Behaviour{
		Misdirected: true,
	})
	// The router chooses randomly between equal replicas; 64 requests reach both.
	for range 64 {
		f.is.Equal(f.do(f.request(http.MethodPost, pathUnsafe, "x")).status, http.StatusOK)
	}
	f.is.True(len(f.replicas[0].Runs()) <= 1)
	f.is.True(f.upstreams.Get("i-a").Leaving())
}

// Guards against running a request of an organisation that has used up its allowance,
// or a request to a stopping node. The caller gets at once a status which promises
// that the request has not run, and the time after which it may retry.
func TestRefusalsBeforeRunning(t *testing.T) {
	f := newFixture(t, 1)
	f.refusalWait.Store(int64(700 * time.Millisecond))
	answer := f.do(f.request(http.MethodPost, pathUnsafe, "x"))
	f.is.Equal(answer.status, http.StatusTooManyRequests)
	f.is.Equal(answer.header.Get("Retry-After"), "0.700")
	f.refusalWait.Store(0)
	f.closing.Store(true)
	answer = f.do(f.request(http.MethodPost, pathUnsafe, "x"))
	f.is.Equal(answer.status, http.StatusServiceUnavailable)
	f.is.True(answer.closes)
	f.is.Equal(f.runCount(), 0)
}

// Guards against refusing a request after four connect timeouts to replicas in other
// failure domains while this node's domain is cut off. After the first timeout the
// request goes to a replica in the node's own domain.
func TestIsolatedDomainUsesItsOwnReplicas(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 6 {
		id := "i-far-" + strconv.Itoa(i)
		f.upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            id,
				Service:       "svc",
				FailureDomain: "far",
				// The address is reserved for documentation: the connect times out or
				// is refused at once.
				Address: "192.0.2.1:9",
				Started: time.UnixMilli(1),
			},
			Replica: plain.New(plain.Config{
				Upstream:    id,
				Address:     "http://192.0.2.1:9",
				DialTimeout: 100 * time.Millisecond,
			}),
			// The idle replicas in the other domain rank before the busy near one.
			Slots: 1000,
		})
	}
	for range 8 {
		f.upstreams.Get("i-a").BeginAttempt() // makes the router prefer the other replicas
	}
	answer := f.do(f.request(http.MethodPost, pathUnsafe, "x"))
	f.is.Equal(answer.status, http.StatusOK)
	f.is.Equal(answer.header.Get("Zinniamast-Server-Stamp"), "stamp-i-a")
}

// sendRaw sends text on a new connection and returns what arrives within 300 ms.
func (f *fixture) sendRaw(text string) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	f.is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	f.is.NoErr(err)
	f.is.NoErr(conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
	answer, _ := io.ReadAll(conn) // ends at the read deadline if the connection stays open
	return string(answer)
}

// Guards against request smuggling. A caller sends requests that can be parsed in two
// ways: with two lengths, with both a length and chunks, with a request in the body
// of another one, or without a path. No smuggled request may reach a replica, and
// malformed requests are answered with 400.
func TestMalformedRequests(t *testing.T) {
	const head = "Host: models.example\r\nZinniamast-Request-Id: r-1\r\nApi-Key: " + key + "\r\n"
	const hidden = "POST /pay/hidden HTTP/1.1\r\n" + head + "\r\n"
	cases := map[string]struct {
		text   string
		status string
		runs   int
	}{
		"two lengths":        {text: "POST /pay/x HTTP/1.1\r\n" + head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy", status: "HTTP/1.1 400"},
		"length and chunks":  {text: "POST /pay/x HTTP/1.1\r\n" + head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, status: "HTTP/1.1 200", runs: 1},
		"hidden in the body": {text: "POST /pay/x HTTP/1.1\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden, status: "HTTP/1.1 200", runs: 1},
		"no path":            {text: "POST pay HTTP/1.1\r\n" + head + "\r\n", status: "HTTP/1.1 400"},
		"odd header":         {text: "POST /pay/x HTTP/1.1\r\n" + head + "X: a\x00b\r\n\r\n", status: "HTTP/1.1 400"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			answer := f.sendRaw(c.text)
			f.is.True(strings.HasPrefix(answer, c.status))
			f.is.Equal(f.runCount(), c.runs)
			for _, run := range f.replicas[0].Runs() {
				f.is.Equal(run.Target, "/pay/x")
			}
		})
	}
}

// Guards against waiting for a caller that stops in the middle of its body. At the
// deadline the request is refused without having run, and the connection is closed.
func TestSlowBody(t *testing.T) {
	f := newFixture(t, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	f.is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /pay/x HTTP/1.1\r\nHost: models.example\r\nZinniamast-Request-Id: r-1\r\nApi-Key: "+key+
		"\r\nZinniamast-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nhalf")
	f.is.NoErr(err)
	started := time.Now()
	answer, err := io.ReadAll(conn) // until the connection is closed
	f.is.NoErr(err)
	f.is.True(strings.HasPrefix(string(answer), "HTTP/1.1 400"))
	f.is.True(time.Since(started) < time.Second)
	f.is.Equal(f.runCount(), 0)
}

// Guards against a request that crashes each replica that runs it and that its
// caller keeps sending. After two crashes it is quarantined, while other requests are
// served.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	f := newFixture(t, 4)
	f.setBehaviour(replica.Behaviour{
		Reset: true,
	})
	for range 8 {
		f.do(f.request(http.MethodPost, pathUnsafe, "poison"))
	}
	f.is.True(f.runCount() <= 3)
	f.setBehaviour(replica.Behaviour{})
	f.is.Equal(f.do(f.request(http.MethodPost, pathUnsafe, "another")).status, http.StatusOK)
}

// scriptedReplica is a replica that streams one event per read without allocating.
type scriptedReplica struct {
	remaining int
	header    http.Header
}

var oneEvent = []byte("id: 7\ndata: some sixty bytes of text that stand for six tokens of an answer\n\n")

// Send starts a stream of 1000 events.
func (s *scriptedReplica) Send(context.Context, *http.Request) (*http.Response, error) {
	s.remaining = 1000
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     s.header.Clone(),
		Body:       io.NopCloser(s),
	}, nil
}

func (s *scriptedReplica) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	s.remaining--
	return copy(p, oneEvent), nil
}

func (s *scriptedReplica) Close() {}

// discardWriter is a caller that discards its answer.
type discardWriter struct {
	header http.Header
}

func (s *discardWriter) Header() http.Header         { return s.header }
func (s *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (s *discardWriter) WriteHeader(int)             {}
func (s *discardWriter) FlushError() error           { return nil }

// BenchmarkStream forwards a stream of 1,000 events. An event takes 0.42 us and no
// allocation; the 60 allocations per stream belong to the request. The buffer of the
// last event ID and the response controller are reused so that a batch of events
// does not allocate them.
func BenchmarkStream(b *testing.B) {
	f := newFixture(b, 0)
	f.upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      "i-1",
			Service: "svc",
			Started: time.UnixMilli(1),
		},
		Replica: &scriptedReplica{
			header: http.Header{
				"Zinniamast-Server-Stamp": {"s"},
			},
		},
		Slots: 8,
	})
	request := f.request(http.MethodPost, pathResumable, "x")
	request.RequestURI = pathResumable
	b.ReportAllocs()
	for b.Loop() {
		request.Body = io.NopCloser(strings.NewReader("x"))
		f.handler.ServeHTTP(&discardWriter{
			header: http.Header{},
		}, request)
	}
}

// Guards against a wrong address for fetching a prompt's prefix. The chosen replica
// gets the address of the replica that the router names to fetch from. A header set
// by the caller is dropped, and a replica that is not known gives an empty address.
func TestSendsFetchAddress(t *testing.T) {
	for name, want := range map[string]func(f *fixture) string{
		"i-b":  func(f *fixture) string { return f.replicas[1].Address() },
		"gone": func(*fixture) string { return "" },
		"":     func(*fixture) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.fetchFrom = name
			request := f.request(http.MethodGet, pathSafe, "")
			request.Header.Set("Kv-Fetch", "10.0.0.1:1")
			f.is.Equal(f.do(request).status, http.StatusOK)
			for _, r := range f.replicas {
				for _, run := range r.Runs() {
					f.is.Equal(run.Header.Get("Kv-Fetch"), want(f))
				}
			}
		})
	}
}

// Guards against log lines of a refused request or a cut stream that do not contain
// how the last send failed, for example that the replica reset the connection.
func TestRefusalLogsLastFailure(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(replica.Behaviour{
		Reset: true,
	})
	f.is.Equal(f.do(f.request(http.MethodPost, pathUnsafe, "x")).status, http.StatusBadGateway)
	refused := f.log.linesWith("msg=\"request refused\"")
	f.is.Equal(len(refused), 1)
	f.is.True(strings.Contains(refused[0], "upstream i-a: reset"))
	f.setBehaviour(replica.Behaviour{
		Events:     4,
		BreakAfter: 2,
	})
	f.is.True(f.do(f.request(http.MethodPost, pathStream, "x")).broken)
	broken := f.log.linesWith("answer cut short, closing connection")
	f.is.Equal(len(broken), 1)
	f.is.True(strings.Contains(broken[0], "upstream i-a: cut_short"))
}
