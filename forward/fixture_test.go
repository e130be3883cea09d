package forward_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/forward"
	"zinniamast/nearest"
	"zinniamast/plain"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/retry"
	"zinniamast/routes"
	"zinniamast/standin/replica"
	"zinniamast/throttle"
)

// fixture is a handler in front of stand-in replicas. It also implements the
// handler's Allowance, Meter and Demand.
type fixture struct {
	is        *is.I
	server    *httptest.Server
	handler   http.Handler
	routes    *routes.Table
	upstreams *blackboard.Upstreams
	replicas  []*replica.Replica
	// started counts the calls of CountStarted.
	config  forward.Config
	started atomic.Int64
	closing atomic.Bool
	// refusalWait is the wait that Take returns, in nanoseconds; zero grants all requests.
	refusalWait atomic.Int64
	// retriesSpent makes the budget refuse every retry.
	retriesSpent atomic.Bool
	// callerConn is the newest connection of a caller.
	callerConn atomic.Pointer[net.Conn]
	// onRoute is called before each routing choice; nil is allowed.
	onRoute func()
	// log collects the handler's log lines.
	log logBuffer
	// fetchFrom is the replica from which every routing choice fetches.
	fetchFrom string
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// linesWith returns the lines that contain a text.
func (l *logBuffer) linesWith(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// fetchRouter adds the fixture's fetchFrom to the choices of a router.
type fetchRouter struct {
	zinniamast.Router
	fixture *fixture
}

// Route implements zinniamast.Router.
func (r fetchRouter) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	if r.fixture.onRoute != nil {
		r.fixture.onRoute()
	}
	choice, err := r.Router.Route(request)
	choice.FetchFrom = r.fixture.fetchFrom
	return choice, err
}

// exhaustibleBudget is a retry budget that a test can declare exhausted.
type exhaustibleBudget struct {
	*retry.Window
	isSpent func() bool
}

// AllowRetry implements forward.RetryBudget.
func (e exhaustibleBudget) AllowRetry(service string) bool {
	return !e.isSpent() && e.Window.AllowRetry(service)
}

// RetryWait implements forward.RetryBudget.
func (e exhaustibleBudget) RetryWait(service string) (time.Duration, bool) {
	if e.isSpent() {
		return 0, false
	}
	return e.Window.RetryWait(service)
}

// AwaitRetry implements forward.RetryBudget.
func (e exhaustibleBudget) AwaitRetry(ctx context.Context, service string, by time.Time) bool {
	return !e.isSpent() && e.Window.AwaitRetry(ctx, service, by)
}

// Take implements forward.Allowance. It grants every request unless refusalWait is
// set.
func (f *fixture) Take(context.Context, *routes.Organisation, float64, int) (time.Duration, bool) {
	wait := time.Duration(f.refusalWait.Load())
	return wait, wait == 0
}

func (f *fixture) CountStarted(string)           { f.started.Add(1) }
func (f *fixture) RequestStarted(string, int)    {}
func (f *fixture) AddWork(string, time.Duration) {}
func (f *fixture) RequestEnded(string)           {}

// The host, paths and key of the fixture's configuration. pathStream is a stream that
// must not be resumed.
const (
	host          = "models.example"
	pathSafe      = "/get/x"
	pathUnsafe    = "/pay/x"
	pathResumable = "/say/x"
	pathStream    = "/one/x"
	key           = "key-of-acme"
)

// configuration returns a configuration with one route of each kind, and both a
// resumable and a non-resumable stream.
func configuration() *routes.Config {
	route := func(prefix string, kind routes.Kind) routes.Route {
		return routes.Route{
			Name:        prefix,
			Host:        host,
			Prefix:      prefix,
			Kind:        kind,
			Timeout:     2 * time.Second,
			Target:      100 * time.Millisecond,
			PauseTarget: 100 * time.Millisecond,
			MaxAttempts: 2,
			Resumable:   prefix == "/say/",
			Split: []routes.Share{{
				Service: "svc",
				Weight:  1,
			}},
		}
	}
	return &routes.Config{
		Version: 1,
		Routes: []routes.Route{
			route("/get/", routes.Safe),
			route("/pay/", routes.Unsafe),
			route("/say/", routes.Stream),
			route("/one/", routes.Stream),
		},
		Services: map[string]routes.Service{
			"svc": {
				Name: "svc",
			},
		},
		Organisations: []routes.Organisation{{
			Name: "acme",
			Keys: []string{key},
			Rate: 1,
		}},
		Limits: routes.Limits{
			MaxBodyBytes: 1 << 10,
		},
	}
}

// newFixture starts a handler in front of the given number of replicas.
func newFixture(t testing.TB, replicas int) *fixture {
	t.Helper()
	f := &fixture{
		is:        is.New(t),
		routes:    &routes.Table{},
		upstreams: blackboard.NewUpstreams(),
	}
	f.routes.Apply(configuration())
	for i := range replicas {
		r := replica.New("i-" + string(rune('a'+i)))
		t.Cleanup(r.Close)
		f.replicas = append(f.replicas, r)
		f.upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            r.ID,
				Service:       "svc",
				FailureDomain: "here",
				Address:       r.Address(),
				Started:       time.UnixMilli(1),
			},
			Replica: plain.New(plain.Config{
				Upstream:    r.ID,
				Address:     "http://" + r.Address(),
				DialTimeout: 100 * time.Millisecond,
			}),
			Slots: 8,
		})
	}
	logger := slog.New(slog.NewTextHandler(&f.log, nil))
	f.config = forward.Config{
		Routes:        f.routes,
		Upstreams:     f.upstreams,
		FailureDomain: "here",
		Router: fetchRouter{
			Router: nearest.New(nearest.Config{
				Upstreams:     f.upstreams,
				FailureDomain: "here",
			}),
			fixture: f,
		},
		Protocol: platform.Headers{},
		RetryBudget: exhaustibleBudget{
			Window: retry.NewWindow(retry.WindowConfig{
				Ratio:  0.2,
				Slack:  20,
				Window: 10 * time.Second,
				Nodes:  func() int { return 1 },
			}),
			isSpent: f.retriesSpent.Load,
		},
		Allowance: f,
		Throttle: throttle.New(throttle.Config{
			Upstreams: f.upstreams,
			Logger:    logger,
		}),
		// For the quarantine each replica is a failure domain of its own.
		Quarantine: quarantine.New(quarantine.Config{
			FailureDomain: func(upstream string) string { return upstream },
		}),
		Meter:    f,
		Demand:   f,
		Closing:  f.closing.Load,
		Stopping: f.closing.Load,
		Logger:   logger,
	}
	f.handler = forward.New(f.config)
	f.server = httptest.NewUnstartedServer(f.handler)
	f.server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		f.callerConn.Store(&conn)
		return forward.ConnContext(ctx, conn)
	}
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

// setBehaviour sets the behaviour of every replica.
func (f *fixture) setBehaviour(behaviour replica.Behaviour) {
	for _, r := range f.replicas {
		r.SetBehaviour(behaviour)
	}
}

// runCount returns the number of requests that reached the replicas.
func (f *fixture) runCount() int {
	count := 0
	for _, r := range f.replicas {
		count += len(r.Runs())
	}
	return count
}

// request builds a caller's request.
func (f *fixture) request(method, path, body string) *http.Request {
	request, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	f.is.NoErr(err)
	request.Host = host
	request.Header.Set("Zinniamast-Request-Id", "r-1")
	request.Header.Set("Zinniamast-Deadline-Ms", "1500")
	request.Header.Set("Api-Key", key)
	return request
}

// reply is the answer that a caller receives.
type reply struct {
	status int
	header http.Header
	body   string
	// broken reports whether the connection closed before the answer was whole.
	broken bool
	// closes reports whether the node announced that it closes the connection.
	closes bool
	// isUnframed reports whether only the end of the connection marks the end of the answer.
	isUnframed bool
}

// do sends a request on a new connection.
func (f *fixture) do(request *http.Request) reply {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{
			broken: true,
		}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   string(body),
		broken: err != nil,
		closes: response.Close,

		isUnframed: plain.EndsWithConnection(response),
	}
}
