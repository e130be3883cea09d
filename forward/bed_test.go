package forward_test

import (
	"context"
	"io"
	"log/slog"
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
)

// bed is a handler in front of stand-in replicas.
type bed struct {
	is       *is.I
	server   *httptest.Server
	handler  http.Handler
	routes   *routes.Table
	upstream *blackboard.Upstreams
	replicas []*replica.Replica
	began    atomic.Int64
	closing  atomic.Bool
	refuse   atomic.Int64
	// retriesSpent says that nothing may be sent again.
	retriesSpent atomic.Bool
	// routing is called for each choice; nil for nothing.
	routing func()
	// log takes the handler's lines.
	log lines
	// fetchFrom is the replica that every choice names to fetch from.
	fetchFrom string
}

// lines collects a log.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// of returns the lines of one message.
func (l *lines) of(message string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, message) {
			found = append(found, line)
		}
	}
	return found
}

// fetching is a router whose choices fetch.
type fetching struct {
	zinniamast.Router
	bed *bed
}

// Route implements zinniamast.Router.
func (f fetching) Route(need *zinniamast.Need) (zinniamast.Choice, error) {
	if f.bed.routing != nil {
		f.bed.routing()
	}
	choice, err := f.Router.Route(need)
	choice.FetchFrom = f.bed.fetchFrom
	return choice, err
}

// spendable is a budget that a test can declare spent.
type spendable struct {
	*retry.Window
	spent func() bool
}

// Again implements forward.Budget.
func (s spendable) Again(service string) bool { return !s.spent() && s.Window.Again(service) }

// Take lets everything through, or refuses for as long as the test says.
func (b *bed) Take(context.Context, *routes.Organisation, float64, int) (time.Duration, bool) {
	wait := time.Duration(b.refuse.Load())
	return wait, wait == 0
}

func (b *bed) Began(string)               { b.began.Add(1) }
func (b *bed) Entered(string, int)        {}
func (b *bed) Sent(string, time.Duration) {}
func (b *bed) Left(string)                {}

// The hosts, paths and keys of the bed's configuration.
const (
	host    = "models.example"
	pathGet = "/get/x"
	pathPay = "/pay/x"
	pathSay = "/say/x"
	pathOne = "/one/x"
	key     = "key-of-acme"
)

// configuration has one route of each kind.
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

// newBed starts a handler before so many replicas.
func newBed(t testing.TB, replicas int) *bed {
	t.Helper()
	b := &bed{
		is:       is.New(t),
		routes:   &routes.Table{},
		upstream: blackboard.NewUpstreams(),
	}
	b.routes.Apply(configuration())
	for i := range replicas {
		r := replica.New("i-" + string(rune('a'+i)))
		t.Cleanup(r.Close)
		b.replicas = append(b.replicas, r)
		b.upstream.Add(&blackboard.Upstream{
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
	handler := forward.New(forward.Config{
		Routes:        b.routes,
		Upstreams:     b.upstream,
		FailureDomain: "here",
		Router: fetching{
			Router: nearest.New(nearest.Config{
				Upstreams:     b.upstream,
				FailureDomain: "here",
			}),
			bed: b,
		},
		Protocol: platform.Headers{},
		Budget: spendable{
			Window: retry.NewWindow(retry.WindowConfig{
				Ratio:  0.2,
				Slack:  20,
				Window: 10 * time.Second,
				Nodes:  func() int { return 1 },
			}),
			spent: b.retriesSpent.Load,
		},
		Allowance: b,
		// Each replica is a failure domain of its own.
		Quarantine: quarantine.New(quarantine.Config{
			FailureDomain: func(upstream string) string { return upstream },
		}),
		Meter:    b,
		Demand:   b,
		Closing:  b.closing.Load,
		Stopping: b.closing.Load,
		Logger:   slog.New(slog.NewTextHandler(&b.log, nil)),
	})
	b.handler = handler
	b.server = httptest.NewServer(handler)
	t.Cleanup(b.server.Close)
	return b
}

// all lets every replica behave alike.
func (b *bed) all(behaviour replica.Behaviour) {
	for _, r := range b.replicas {
		r.Behave(behaviour)
	}
}

// runs counts what reached the replicas.
func (b *bed) runs() int {
	count := 0
	for _, r := range b.replicas {
		count += len(r.Runs())
	}
	return count
}

// request builds a caller's request.
func (b *bed) request(method, path, body string) *http.Request {
	request, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	b.is.NoErr(err)
	request.Host = host
	request.Header.Set("Zinniamast-Request-Id", "r-1")
	request.Header.Set("Zinniamast-Deadline-Ms", "1500")
	request.Header.Set("Api-Key", key)
	return request
}

// reply is what a caller sees.
type reply struct {
	status int
	header http.Header
	body   string
	// broken says that the answer ended before its end.
	broken bool
	// closes says that the node announced the connection's end.
	closes bool
}

// do sends a request on a connection of its own.
func (b *bed) do(request *http.Request) reply {
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
	}
}
