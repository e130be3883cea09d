package services_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/caller"
	"zinniamast/claims"
	"zinniamast/config"
	"zinniamast/issuedkeys"
	"zinniamast/plain"
	"zinniamast/retry"
	"zinniamast/services"
	"zinniamast/standin/platform"
	"zinniamast/standin/service"
)

// firstRouter routes each attempt to the first replica that is not to be avoided.
type firstRouter struct{ board *blackboard.Board }

func (r firstRouter) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	for i := range 4 {
		id := fmt.Sprintf("%s-%d", request.Service, i)
		avoided := false
		for _, avoid := range request.Avoid {
			avoided = avoided || avoid == id
		}
		if r.board.Upstreams.Get(id) != nil && !avoided {
			return zinniamast.Choice{Upstream: id}, nil
		}
	}
	return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "none left").WithRetryAfter(time.Second)
}

func (firstRouter) Observe(zinniamast.Observation) {}
func (firstRouter) Explain(string) string          { return "" }

// allowAll admits every request and quarantines none.
type allowAll struct{}

func (allowAll) Admit(zinniamast.Admission) (zinniamast.Ticket, error) { return allowAll{}, nil }
func (allowAll) Grow(int) bool                                         { return true }
func (allowAll) Release()                                              {}
func (allowAll) CheckRetry(uint64) (bool, error)                       { return false, nil }
func (allowAll) Check(uint64) (bool, error)                            { return false, nil }
func (allowAll) ReplicasToAvoid(uint64, []string) []string             { return nil }

func (allowAll) AttemptWrites(string, uint64)      {}
func (allowAll) AttemptStarted(string, uint64)     {}
func (allowAll) AttemptEnded(string, uint64, bool) {}
func (allowAll) ReplicaCrashed(string)             {}

// testFleet consists of two nodes in front of a service with two replicas.
type testFleet struct {
	platform *platform.Platform
	ledger   *service.Ledger
	replicas []*service.Service
	nodes    []http.Handler
	handlers []*services.Handler
	claims   []*claims.Claims
}

// nodeForwarder forwards calls between the nodes of a testFleet; isCut makes it fail.
type nodeForwarder struct {
	fleet *testFleet
	isCut bool
}

func (f *nodeForwarder) Forward(ctx context.Context, node string, call services.ForwardedCall) (services.ForwardedAnswer, error) {
	if f.isCut {
		return services.ForwardedAnswer{}, io.ErrUnexpectedEOF
	}
	var index int
	fmt.Sscanf(node, "node-%d", &index)
	return f.fleet.handlers[index].RunForwarded(ctx, call), nil
}

const apiKey = "key-of-north"

// newFleetConfig returns a configuration in which one organisation may call one
// service.
func newFleetConfig(serviceConfig config.Service) *config.Config {
	hash := sha256.Sum256([]byte(apiKey))
	serviceConfig.Name = "booking"
	attempts := 3
	return &config.Config{
		Defaults:      config.Policy{MaxAttempts: &attempts},
		Organisations: []config.Organisation{{Name: "north", KeyHashes: []string{hex.EncodeToString(hash[:])}}},
		Services:      []config.Service{serviceConfig},
	}
}

func newTestFleet(t *testing.T, serviceConfig config.Service, behaviour service.Config) (*testFleet, *nodeForwarder) {
	t.Helper()
	s := &testFleet{
		platform: platform.New(platform.Config{}),
		ledger:   service.NewLedger(),
	}
	behaviour.Ledger = s.ledger
	fleetConfig := newFleetConfig(serviceConfig)
	var servers []*httptest.Server
	for range 2 {
		replica := service.New(behaviour)
		s.replicas = append(s.replicas, replica)
		server := httptest.NewServer(replica)
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	forwarder := &nodeForwarder{fleet: s}
	for n := range 2 {
		board := blackboard.New()
		board.Configuration.Apply(&blackboard.Version{Number: 1, Config: fleetConfig})
		for i, server := range servers {
			id := fmt.Sprintf("booking-%d", i)
			board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{ID: id, Service: "booking"},
				Service:  plain.New(plain.Config{Upstream: id, Address: server.URL}),
			})
		}
		store, handler, node := newNode(n, board, s.platform.Table, forwarder, realTimeout)
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			store.Close(ctx)
		})
		s.claims = append(s.claims, store)
		s.handlers = append(s.handlers, handler)
		s.nodes = append(s.nodes, node)
	}
	return s, forwarder
}

// realTimeout is ample for what runs in real time and must succeed, on a busy machine too. Nodes take
// as long to refuse a booking while the table is unavailable.
const realTimeout = 2 * time.Second

// newNode returns the claims, the services handler and the HTTP handler of one node.
func newNode(n int, board *blackboard.Board, table zinniamast.Table, forwarder services.Forwarder, acquireTimeout time.Duration) (*claims.Claims, *services.Handler, http.Handler) {
	store := claims.New(claims.Config{
		Table:          table,
		Node:           fmt.Sprint("node-", n),
		AcquireTimeout: acquireTimeout,
	})
	handler := services.New(services.Config{
		Board:      board,
		Router:     firstRouter{board: board},
		Limiter:    allowAll{},
		Retry:      retry.New(retry.Config{Base: time.Millisecond, Reserve: 100}),
		Quarantine: allowAll{},
		Claims:     store,
		Issuer: issuedkeys.New(issuedkeys.Config{
			Node:    fmt.Sprint("node-", n),
			Secrets: []string{"a shared key of at least 32 characters"},
		}),
		Forwarder:  forwarder,
		Registerer: prometheus.NewRegistry(),
	})
	server := caller.New(caller.Config{
		Board:    board,
		Services: handler,
		Metrics:  caller.NewMetrics(prometheus.NewRegistry()),
	})
	return store, handler, server
}

// response is what a caller receives.
type response struct {
	status   int
	body     string
	reason   zinniamast.Reason
	ran      zinniamast.Ran
	message  string
	replayed bool
	header   http.Header
}

// send sends one request to a node; headers come as name, value pairs.
func (s *testFleet) send(node int, method, path, body string, headers ...string) response {
	q := httptest.NewRequest(method, path, strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	s.nodes[node].ServeHTTP(w, q)
	got := response{
		status:   w.Code,
		body:     w.Body.String(),
		replayed: w.Header().Get(services.HeaderReplayed) == "true",
		header:   w.Header(),
	}
	var refused struct {
		Error struct {
			Reason  zinniamast.Reason
			Ran     zinniamast.Ran
			Message string
		}
	}
	if json.Unmarshal(w.Body.Bytes(), &refused) == nil {
		got.reason = refused.Error.Reason
		got.ran = refused.Error.Ran
		got.message = refused.Error.Message
	}
	return got
}

func (s *testFleet) book(node int, key string, headers ...string) response {
	return s.send(node, "POST", "/services/booking/reservations", `{"cage":"B-12"}`, append(headers, "Idempotency-Key", key)...)
}

// A caller that lost the answer sends its booking again, to the same node and to
// another one. It receives the first answer, marked as replayed, and the booking runs
// once. The same key with another body is refused.
func TestResentBookingIsReplayed(t *testing.T) {
	is := is.New(t)
	s, _ := newTestFleet(t, config.Service{}, service.Config{})
	first := s.book(0, "k")
	is.Equal(first.status, 200)
	is.True(!first.replayed)
	resent := s.book(0, "k")
	is.Equal(resent.body, first.body)
	is.True(resent.replayed)
	is.Equal(s.claims[0].Close(t.Context()), 0) // the outcome is saved to the table
	fromOtherNode := s.book(1, "k")
	is.Equal(fromOtherNode.body, first.body)
	is.True(fromOtherNode.replayed)
	otherBody := s.send(1, "POST", "/services/booking/reservations", `{"cage":"B-13"}`, "Idempotency-Key", "k")
	is.Equal(otherBody.reason, zinniamast.ReasonKeyConflict)
	is.Equal(s.ledger.Counts().Runs, 1)
}

// The first replica fails a booking in each possible way. The booking goes to the
// second replica only if it is proven not to have run. All other failures end it, and
// a later request with the key reports the same outcome.
func TestBookingFailures(t *testing.T) {
	cases := []struct {
		fault  service.Kind
		status int
		reason zinniamast.Reason
		ran    zinniamast.Ran
		runs   int
	}{
		{fault: service.Refuse, status: 200, runs: 1},
		{fault: service.Leave, status: 200, runs: 1},
		{fault: service.ResetBefore, status: 502, reason: zinniamast.ReasonOutcomeUnknown, ran: zinniamast.Unknown, runs: 0},
		{fault: service.ResetAfter, status: 502, reason: zinniamast.ReasonOutcomeUnknown, ran: zinniamast.Unknown, runs: 1},
		{fault: service.Hang, status: 502, reason: zinniamast.ReasonOutcomeUnknown, ran: zinniamast.Unknown, runs: 0},
		{fault: service.CutShort, status: 502, reason: zinniamast.ReasonAnswerCutShort, ran: zinniamast.DidRun, runs: 1},
		{fault: service.Cross, status: 502, reason: zinniamast.ReasonOutcomeUnknown, ran: zinniamast.Unknown, runs: 1},
		{fault: service.Fail, status: 502, reason: zinniamast.ReasonUpstreamFailed, ran: zinniamast.DidRun, runs: 1},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			is := is.New(t)
			s, _ := newTestFleet(t, config.Service{}, service.Config{})
			s.replicas[0].SetFaults(service.Fault{Kind: c.fault})
			deadline := realTimeout
			if c.fault == service.Hang {
				deadline = time.Second
			}
			got := s.book(0, "k", "Zinniamast-Deadline", deadline.String())
			is.Equal(got.status, c.status)
			is.Equal(got.reason, c.reason)
			is.Equal(got.ran, c.ran)
			is.Equal(s.claims[0].Close(t.Context()), 0)
			resent := s.book(1, "k")
			is.Equal(resent.ran, c.ran) // the second request reports the same outcome
			is.Equal(s.ledger.Counts().Runs, c.runs)
		})
	}
}

// Lookups are marked idempotent and are retried on the second replica after any
// failure of the first.
func TestIdempotentCallsAreRepeated(t *testing.T) {
	for _, fault := range []service.Kind{service.ResetAfter, service.CutShort, service.Cross, service.Fail, service.Refuse} {
		is := is.New(t)
		s, _ := newTestFleet(t, config.Service{
			Calls: []config.Call{{Method: "GET", Path: "/lookups/", Idempotent: true}},
		}, service.Config{})
		s.replicas[0].SetFaults(service.Fault{Kind: fault})
		got := s.send(0, "GET", "/services/booking/lookups/B-12?x=1", "")
		is.Equal(got.status, 200)
		is.True(strings.Contains(got.body, "x=1"))
	}
}

// The table is unavailable. A booking with the caller's own key is refused, as "not
// run" only if the caller states that nothing can have run under the key. Bookings at
// a service that checks keys and bookings with issued keys, at either node, run once
// each.
func TestBookingsDuringTableFault(t *testing.T) {
	is := is.New(t)
	unavailable := platform.Fault{Down: true}
	s, _ := newTestFleet(t, config.Service{}, service.Config{})
	is.NoErr(s.platform.SetFault(platform.ServiceTable, unavailable))
	is.Equal(s.book(0, "k").ran, zinniamast.Unknown)
	fresh := s.book(0, "k2", caller.HeaderFirst, "true")
	is.Equal(fresh.reason, zinniamast.ReasonStoreUnavailable)
	is.Equal(fresh.ran, zinniamast.NotRun)
	is.True(fresh.header.Get("Retry-After") != "")

	var keys struct{ Keys []string }
	is.NoErr(json.Unmarshal([]byte(s.send(0, "POST", "/services/booking/keys", `{"count":2}`).body), &keys))
	is.Equal(len(keys.Keys), 2)
	first := s.book(1, keys.Keys[0]) // forwarded to the issuing node
	is.Equal(first.status, 200)
	is.True(s.book(0, keys.Keys[0]).replayed)
	is.Equal(s.ledger.Counts().Runs, 1)

	checked, _ := newTestFleet(t, config.Service{ChecksKeys: true}, service.Config{ChecksKeys: true})
	is.NoErr(checked.platform.SetFault(platform.ServiceTable, unavailable))
	checked.replicas[0].SetFaults(service.Fault{Kind: service.ResetAfter})
	is.Equal(checked.book(0, "k").status, 200)
	is.Equal(checked.ledger.Counts().Runs, 1)
}

// The node that issued a key becomes unreachable after it ran the booking. The other
// node must neither run the booking nor report it as not run.
func TestIssuingNodeUnreachable(t *testing.T) {
	is := is.New(t)
	s, forwarder := newTestFleet(t, config.Service{}, service.Config{})
	var keys struct{ Keys []string }
	is.NoErr(json.Unmarshal([]byte(s.send(0, "POST", "/services/booking/keys", "").body), &keys))
	is.NoErr(s.platform.SetFault(platform.ServiceTable, platform.Fault{Down: true}))
	is.Equal(s.book(0, keys.Keys[0]).status, 200)
	forwarder.isCut = true
	got := s.book(1, keys.Keys[0])
	is.Equal(got.reason, zinniamast.ReasonOutcomeUnknown)
	is.Equal(got.ran, zinniamast.Unknown)
	is.NoErr(s.platform.SetFault(platform.ServiceTable, platform.Fault{}))
	is.Equal(s.claims[0].Close(t.Context()), 0)
	is.True(s.book(1, keys.Keys[0]).replayed) // the issuing node saved the outcome to the table
	forged := strings.Replace(keys.Keys[0], ".1.", ".2.", 1)
	is.Equal(s.book(1, forged).reason, zinniamast.ReasonMalformed)
	is.Equal(s.ledger.Counts().Runs, 1)
}

// The answer is lost after the booking ran, and the service has a lookup by key. The
// next request with the key must report that the booking ran.
func TestLookupResolvesUnknownOutcome(t *testing.T) {
	is := is.New(t)
	s, _ := newTestFleet(t, config.Service{LookupPath: "/keys/{key}"}, service.Config{})
	s.replicas[0].SetFaults(service.Fault{Kind: service.ResetAfter, Times: 1})
	is.Equal(s.book(0, "k").ran, zinniamast.Unknown)
	is.Equal(s.claims[0].Close(t.Context()), 0)
	unknowns, err := s.claims[1].Unknowns(t.Context(), 10)
	is.NoErr(err)
	is.Equal(len(unknowns), 1)
	is.Equal(s.book(1, "k").ran, zinniamast.DidRun)
	unknowns, err = s.claims[1].Unknowns(t.Context(), 10)
	is.NoErr(err)
	is.Equal(len(unknowns), 0)
	is.Equal(s.ledger.Counts().Runs, 1)
}

// Paths that the node and the service could resolve differently, unknown services,
// invalid headers and oversized bodies are refused and do not reach the service.
func TestInvalidRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	s, _ := newTestFleet(t, config.Service{}, service.Config{})
	for _, path := range []string{
		"/services/booking/lookups/%2e%2e/reservations",
		"/services/booking/lookups%2f..%2freservations",
		"/services/booking/a//b",
		"/services/booking/a%5cb",
		"/services/booking",
	} {
		got := s.send(0, "POST", path, "")
		is.True(got.status == 400 || got.status == 404 || got.status == 307 || got.status == 301) // never reaches the service
	}
	is.Equal(s.send(0, "GET", "/services/nothing/x", "").reason, zinniamast.ReasonUnknownService)
	is.Equal(s.book(0, strings.Repeat("k", 300)).reason, zinniamast.ReasonMalformed)
	is.Equal(s.book(0, "k", "Zinniamast-Deadline", "soon").reason, zinniamast.ReasonMalformed)
	is.Equal(s.book(0, "k", "Zinniamast-Class", "vip").reason, zinniamast.ReasonMalformed)
	big := s.send(0, "POST", "/services/booking/reservations", strings.Repeat("x", 5<<20))
	is.Equal(big.reason, zinniamast.ReasonOversized)
	is.Equal(s.ledger.Counts().Runs, 0)
}

// A caller's API key, hop-by-hop headers and the product's own headers do not reach
// the service, and the service cannot set headers that only the product sets.
func TestHeadersNotForwarded(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		seen = q.Header.Clone()
		w.Header().Set(services.HeaderReplayed, "true")
		w.Header().Set("X-Kept", "yes")
	}))
	defer server.Close()
	s, _ := newTestFleet(t, config.Service{}, service.Config{})
	board := blackboard.New()
	board.Configuration.Apply(&blackboard.Version{Number: 1, Config: newFleetConfig(config.Service{})})
	board.Upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{ID: "booking-0", Service: "booking"},
		Service:  plain.New(plain.Config{Upstream: "booking-0", Address: server.URL}),
	})
	_, _, node := newNode(0, board, s.platform.Table, nil, realTimeout)
	s.nodes[0] = node
	got := s.book(0, "k", "Connection", "X-Secret", "X-Secret", "1", "X-Passed", "2", "Zinniamast-Fence", "9")
	is.Equal(got.status, 200)
	is.True(!got.replayed)
	is.Equal(got.header.Get("X-Kept"), "yes")
	is.Equal(seen.Get("Authorization"), "")
	is.Equal(seen.Get("X-Secret"), "")
	is.Equal(seen.Get("X-Passed"), "2")
	is.Equal(seen.Get("Zinniamast-Fence"), "")
	is.Equal(seen.Get("Idempotency-Key"), "north:k") // scoped by organisation
}

// Guards against an answer that ends with its connection, and may be incomplete, being sent or replayed with a length.
func TestAnswerWithoutMarkedEndGetsNoLength(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if q, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbook")
			}
			conn.Close()
		}
	}()
	s, _ := newTestFleet(t, config.Service{}, service.Config{})
	board := blackboard.New()
	board.Configuration.Apply(&blackboard.Version{
		Number: 1,
		Config: newFleetConfig(config.Service{}),
	})
	board.Upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      "booking-0",
			Service: "booking",
		},
		Service: plain.New(plain.Config{
			Upstream: "booking-0",
			Address:  "http://" + listener.Addr().String(),
		}),
	})
	_, _, node := newNode(0, board, s.platform.Table, nil, realTimeout)
	server := httptest.NewServer(node)
	defer server.Close()
	for range 2 {
		q, err := http.NewRequest(http.MethodPost, server.URL+"/services/booking/reservations", strings.NewReader(`{"cage":"B-12"}`))
		is.NoErr(err)
		q.Header.Set("Authorization", "Bearer "+apiKey)
		q.Header.Set("Idempotency-Key", "k")
		got, err := http.DefaultClient.Do(q)
		is.NoErr(err)
		defer got.Body.Close()
		is.Equal(got.StatusCode, http.StatusOK)
		is.True(plain.EndsWithConnection(got))
	}
}
