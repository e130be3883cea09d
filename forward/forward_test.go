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

// A caller gets its replica's answer as it is, and the replica gets the
// caller's request as it is, but for what the system sets: a caller must not
// choose its organisation, its replica or its place in memory.
func TestPassesOnUnchanged(t *testing.T) {
	b := newBed(t, 1)
	request := b.request(http.MethodPost, pathPay+"%2Fy?q=%20z", "the body")
	for _, name := range []string{"Zinniamast-Tenant", "Zinniamast-Kv-Hold", "Kv-From", "Zinniamast-Pin-Ms", "Zinniamast-Kv-Backup", "Zinniamast-Request-Priority"} {
		request.Header.Set(name, "forged")
	}
	request.Header.Set("X-Own", "kept")
	request.Header.Set("Connection", "X-Dropped")
	request.Header.Set("X-Dropped", "1")
	answer := b.do(request)
	b.is.Equal(answer.status, http.StatusOK)
	b.is.Equal(answer.body, "i-a ran r-1")
	b.is.Equal(answer.header.Get("Zinniamast-Server-Stamp"), "stamp-i-a")
	run := b.replicas[0].Runs()[0]
	b.is.Equal(run.Method, http.MethodPost)
	b.is.Equal(run.Target, pathPay+"%2Fy?q=%20z")
	b.is.Equal(run.Body, "the body")
	b.is.Equal(run.Header.Get("Zinniamast-Tenant"), "acme")
	b.is.Equal(run.Header.Get("Zinniamast-Expect-Instance"), "i-a")
	b.is.Equal(run.Header.Get("Zinniamast-Request-Priority"), "0")
	b.is.Equal(run.Header.Get("X-Own"), "kept")
	for _, name := range []string{"Api-Key", "Zinniamast-Kv-Hold", "Kv-From", "Zinniamast-Pin-Ms", "Zinniamast-Kv-Backup", "X-Dropped"} {
		b.is.Equal(run.Header.Get(name), "")
	}
	left, err := strconv.Atoi(run.Header.Get("Zinniamast-Deadline-Ms"))
	b.is.NoErr(err)
	b.is.True(left > 1000 && left <= 1500)
	b.is.Equal(b.began.Load(), int64(1))
}

// A caller that asks for what no configuration allows gets a clear answer, and
// no replica hears of it.
func TestRefusesWhatIsNotAllowed(t *testing.T) {
	b := newBed(t, 1)
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
			request := b.request(http.MethodPost, pathPay, "x")
			c.change(request)
			is.New(t).Equal(b.do(request).status, c.status)
		})
	}
	b.is.Equal(b.do(b.request(http.MethodPost, pathPay, strings.Repeat("x", 2<<10))).status, http.StatusRequestEntityTooLarge)
	b.is.Equal(b.runs(), 0)
}

// The replica resets the connection after it has read a booking. The caller
// must not be told that it has not run, and no second replica may run it.
func TestUnsafeRunsOnce(t *testing.T) {
	for name, behaviour := range map[string]replica.Behaviour{
		"reset":    {Reset: true},
		"cut":      {CutBody: true},
		"crossed":  {Crossed: true},
		"unsigned": {Unsigned: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 3)
			b.all(behaviour)
			answer := b.do(b.request(http.MethodPost, pathPay, "x"))
			b.is.Equal(answer.status, http.StatusBadGateway)
			b.is.Equal(b.runs(), 1)
		})
	}
}

// A replica says that it has not run a booking: another may. Where all say so
// the caller hears "not run" and when to come back.
func TestNotRunIsTrue(t *testing.T) {
	b := newBed(t, 2)
	b.replicas[0].Behave(replica.Behaviour{
		NotRun: true,
	})
	for range 4 {
		b.is.Equal(b.do(b.request(http.MethodPost, pathPay, "x")).status, http.StatusOK)
	}
	b.all(replica.Behaviour{
		NotRun: true,
	})
	answer := b.do(b.request(http.MethodPost, pathPay, "x"))
	b.is.Equal(answer.status, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
	b.is.NoErr(err)
	b.is.True(wait > 0 && wait < 5)
}

// A booking hangs at its replica until the route's time is up. The caller gets
// its answer then and not later, one that promises nothing, and the replica
// hears that nobody waits.
func TestAnswersAtTheTimeout(t *testing.T) {
	b := newBed(t, 1)
	b.all(replica.Behaviour{
		Hang: true,
	})
	request := b.request(http.MethodPost, pathPay, "x")
	request.Header.Set("Zinniamast-Deadline-Ms", "400")
	began := time.Now()
	b.is.Equal(b.do(request).status, http.StatusGatewayTimeout)
	took := time.Since(began)
	b.is.True(took >= 400*time.Millisecond && took < 900*time.Millisecond)
	waitClosed(t, b.replicas[0].Runs()[0].Left)
}

// The caller of a stream leaves. Its replica is freed within half a second.
func TestCallerLeaves(t *testing.T) {
	b := newBed(t, 1)
	b.all(replica.Behaviour{
		Hang: true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	b.is.True(b.do(b.request(http.MethodPost, pathSay, "x").WithContext(ctx)).broken)
	waitClosed(t, b.replicas[0].Runs()[0].Left)
	b.is.Equal(b.runs(), 1)
}

func waitClosed(t *testing.T, left chan struct{}) {
	t.Helper()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the replica still works half a second later")
	}
}

// A lookup fails at one replica with its own error; another answers it. Where
// every replica fails, the caller gets a replica's own failure unchanged.
func TestSafeGoesOn(t *testing.T) {
	b := newBed(t, 2)
	b.replicas[0].Behave(replica.Behaviour{
		Status: http.StatusInternalServerError,
	})
	for range 4 {
		b.is.Equal(b.do(b.request(http.MethodGet, pathGet, "")).status, http.StatusOK)
	}
	b.all(replica.Behaviour{
		Status: http.StatusInternalServerError,
	})
	before := b.runs()
	answer := b.do(b.request(http.MethodGet, pathGet, ""))
	b.is.Equal(answer.status, http.StatusInternalServerError)
	b.is.True(strings.HasPrefix(answer.header.Get("Zinniamast-Server-Stamp"), "stamp-"))
	b.is.Equal(b.runs()-before, 2) // the route's attempts
}

// events is what a whole stream of n events looks like.
func events(n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return text.String()
}

// A replica breaks off in the middle of an event. The caller of a resumable
// stream gets every event once, in order and whole, within one answer that
// keeps the first replica's mark.
func TestStreamResumes(t *testing.T) {
	b := newBed(t, 2)
	b.all(replica.Behaviour{
		Events:     9,
		BreakAfter: 5,
		Gap:        5 * time.Millisecond,
	})
	go func() {
		for b.runs() == 0 {
			time.Sleep(time.Millisecond)
		}
		b.all(replica.Behaviour{
			Events: 9,
		})
	}()
	answer := b.do(b.request(http.MethodPost, pathSay, "x"))
	b.is.Equal(answer.body, events(9))
	b.is.True(!answer.broken)
	b.is.Equal(b.runs(), 2)
	for _, r := range b.replicas {
		for _, run := range r.Runs() {
			if after := run.Header.Get("Last-Event-Id"); after != "" {
				b.is.Equal(after, "5")
			}
		}
	}
}

// A replica breaks off a stream that may not be resumed. The caller sees a
// broken answer and never one that looks complete, and nothing runs again.
func TestStreamBreaksOff(t *testing.T) {
	b := newBed(t, 2)
	b.all(replica.Behaviour{
		Events:     9,
		BreakAfter: 5,
	})
	answer := b.do(b.request(http.MethodPost, pathOne, "x"))
	b.is.True(answer.broken)
	b.is.Equal(answer.body, events(5))
	b.is.Equal(b.runs(), 1)
}

// Another instance has taken over a replica's address. It says so and runs
// nothing, the request goes elsewhere, and the address gets no more work.
func TestAddressTakenOver(t *testing.T) {
	b := newBed(t, 2)
	b.replicas[0].Behave(replica.Behaviour{
		Elsewhere: true,
	})
	// The router draws between equal replicas: 64 draws meet both.
	for range 64 {
		b.is.Equal(b.do(b.request(http.MethodPost, pathPay, "x")).status, http.StatusOK)
	}
	b.is.True(len(b.replicas[0].Runs()) <= 1)
	b.is.True(b.upstream.Get("i-a").Leaving())
}

// An organisation is beyond its allowance, or the node stops: the caller is
// told at once that nothing has run, and when to come back.
func TestRefusalsBeforeRunning(t *testing.T) {
	b := newBed(t, 1)
	b.refuse.Store(int64(700 * time.Millisecond))
	answer := b.do(b.request(http.MethodPost, pathPay, "x"))
	b.is.Equal(answer.status, http.StatusTooManyRequests)
	b.is.Equal(answer.header.Get("Retry-After"), "0.700")
	b.refuse.Store(0)
	b.closing.Store(true)
	answer = b.do(b.request(http.MethodPost, pathPay, "x"))
	b.is.Equal(answer.status, http.StatusServiceUnavailable)
	b.is.True(answer.closes)
	b.is.Equal(b.runs(), 0)
}

// The failure domain is cut off: no replica outside takes a connection, and
// each try costs the whole time of a connect. After the first the request goes
// to a replica beside the node, and is not refused after four.
func TestCutOffDomainServesItself(t *testing.T) {
	b := newBed(t, 1)
	for i := range 6 {
		id := "i-far-" + strconv.Itoa(i)
		b.upstream.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            id,
				Service:       "svc",
				FailureDomain: "far",
				// A documentation address: nothing answers there, or it is refused at once.
				Address: "192.0.2.1:9",
				Started: time.UnixMilli(1),
			},
			Replica: plain.New(plain.Config{
				Upstream:    id,
				Address:     "http://192.0.2.1:9",
				DialTimeout: 100 * time.Millisecond,
			}),
			// Nothing runs there, while the near one seems busy.
			Slots: 1000,
		})
	}
	for range 8 {
		b.upstream.Get("i-a").Enter() // crowded: the far ones come first
	}
	answer := b.do(b.request(http.MethodPost, pathPay, "x"))
	b.is.Equal(answer.status, http.StatusOK)
	b.is.Equal(answer.header.Get("Zinniamast-Server-Stamp"), "stamp-i-a")
}

// raw sends bytes as they are and returns what comes back within a moment.
func (b *bed) raw(text string) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	b.is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	b.is.NoErr(err)
	b.is.NoErr(conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
	answer, _ := io.ReadAll(conn) // ends with the deadline where the connection stays
	return string(answer)
}

// A caller sends what could be read in two ways: two lengths, a length beside
// chunks, a header in the body of another request, no path. Nothing that was
// smuggled in reaches a replica, and the caller hears a clear error.
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
			b := newBed(t, 1)
			answer := b.raw(c.text)
			b.is.True(strings.HasPrefix(answer, c.status))
			b.is.Equal(b.runs(), c.runs)
			for _, run := range b.replicas[0].Runs() {
				b.is.Equal(run.Target, "/pay/x")
			}
		})
	}
}

// A caller sends half of a body and stops. Its time runs out, nothing has run,
// and the connection is not used again.
func TestSlowBody(t *testing.T) {
	b := newBed(t, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	b.is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /pay/x HTTP/1.1\r\nHost: models.example\r\nZinniamast-Request-Id: r-1\r\nApi-Key: "+key+
		"\r\nZinniamast-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nhalf")
	b.is.NoErr(err)
	began := time.Now()
	answer, err := io.ReadAll(conn) // to the connection's end
	b.is.NoErr(err)
	b.is.True(strings.HasPrefix(string(answer), "HTTP/1.1 400"))
	b.is.True(time.Since(began) < time.Second)
	b.is.Equal(b.runs(), 0)
}

// One request crashes each replica that runs it, and its caller sends it again
// and again. After two crashes it reaches no replica, while others are served.
func TestPoisonIsHeldBack(t *testing.T) {
	b := newBed(t, 4)
	b.all(replica.Behaviour{
		Reset: true,
	})
	for range 8 {
		b.do(b.request(http.MethodPost, pathPay, "poison"))
	}
	b.is.True(b.runs() <= 3)
	b.all(replica.Behaviour{})
	b.is.Equal(b.do(b.request(http.MethodPost, pathPay, "another")).status, http.StatusOK)
}

// script is a replica that streams events, one a read, without allocating.
type script struct {
	left int
	head http.Header
}

var oneEvent = []byte("id: 7\ndata: some sixty bytes of text that stand for six tokens of an answer\n\n")

func (s *script) Send(context.Context, *http.Request) (*http.Response, error) {
	s.left = 1000
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     s.head.Clone(),
		Body:       io.NopCloser(s),
	}, nil
}

func (s *script) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	s.left--
	return copy(p, oneEvent), nil
}

func (s *script) Close() {}

// sink is a caller that takes everything.
type sink struct {
	header http.Header
}

func (s *sink) Header() http.Header         { return s.header }
func (s *sink) Write(p []byte) (int, error) { return len(p), nil }
func (s *sink) WriteHeader(int)             {}
func (s *sink) FlushError() error           { return nil }

// BenchmarkStream passes a stream of 1,000 events on. Measured: 0.42 us and no
// allocation an event; the 60 allocations are the request's own. Before, each
// batch of events allocated its last ID and a response controller.
func BenchmarkStream(b *testing.B) {
	bed := newBed(b, 0)
	bed.upstream.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      "i-1",
			Service: "svc",
			Started: time.UnixMilli(1),
		},
		Replica: &script{
			head: http.Header{
				"Zinniamast-Server-Stamp": {"s"},
			},
		},
		Slots: 8,
	})
	request := bed.request(http.MethodPost, pathSay, "x")
	request.RequestURI = pathSay
	b.ReportAllocs()
	for b.Loop() {
		request.Body = io.NopCloser(strings.NewReader("x"))
		bed.handler.ServeHTTP(&sink{
			header: http.Header{},
		}, request)
	}
}

// The router names a replica to fetch a prompt's prefix from. The chosen one is
// told its address; what the caller says of that, and the name of one that is
// gone, reach nobody.
func TestNamesWhereToFetchFrom(t *testing.T) {
	for name, want := range map[string]func(b *bed) string{
		"i-b":  func(b *bed) string { return b.replicas[1].Address() },
		"gone": func(*bed) string { return "" },
		"":     func(*bed) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 2)
			b.fetchFrom = name
			request := b.request(http.MethodGet, pathGet, "")
			request.Header.Set("Kv-Fetch", "10.0.0.1:1")
			b.is.Equal(b.do(request).status, http.StatusOK)
			for _, r := range b.replicas {
				for _, run := range r.Runs() {
					b.is.Equal(run.Header.Get("Kv-Fetch"), want(b))
				}
			}
		})
	}
}

// An engineer on call looks for why a booking was answered 502, and a stream
// broken off: the line said that nothing more was tried, and not that the replica
// had reset the connection. It names how the last send ended now.
func TestRefusalsTellTheLastFailure(t *testing.T) {
	b := newBed(t, 1)
	b.all(replica.Behaviour{
		Reset: true,
	})
	b.is.Equal(b.do(b.request(http.MethodPost, pathPay, "x")).status, http.StatusBadGateway)
	refused := b.log.of("msg=refused")
	b.is.Equal(len(refused), 1)
	b.is.True(strings.Contains(refused[0], "upstream i-a: reset"))
	b.all(replica.Behaviour{
		Events:     4,
		BreakAfter: 2,
	})
	b.is.True(b.do(b.request(http.MethodPost, pathOne, "x")).broken)
	broken := b.log.of("broken off")
	b.is.Equal(len(broken), 1)
	b.is.True(strings.Contains(broken[0], "upstream i-a: cut_short"))
}
