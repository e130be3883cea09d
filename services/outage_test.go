package services_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/caller"
	"zinniamast/claims"
	"zinniamast/config"
	"zinniamast/plain"
	"zinniamast/services"
	"zinniamast/standin/platform"
	"zinniamast/standin/service"
)

const (
	outageNodes      = 9
	outageStart      = 30 * time.Second
	outageDuration   = 5 * time.Minute
	nodeDeathAfter   = 2 * time.Minute
	partitionStart   = 3 * time.Minute
	partitionEnd     = 4 * time.Minute
	callerTimeout    = 30 * time.Second
	callerRetryDelay = time.Second
)

// bookingsPerSecond is lower with the race detector, under which time is dear.
func bookingsPerSecond() int {
	if testing.Short() {
		return 1
	}
	return 4
}

// keyStrategy says what keys callers use.
type keyStrategy int

const (
	// ownKeys are chosen by the caller.
	ownKeys keyStrategy = iota
	// issuedKeys are asked for before each booking.
	issuedKeys
	// ownThenIssued turns to issued keys where an own key is refused as not run.
	ownThenIssued
)

// inMemoryClient speaks to a stand-in without a network, so that time can be virtual.
type inMemoryClient struct{ replica *service.Service }

func (m inMemoryClient) Call(_ context.Context, call zinniamast.ServiceCall) (zinniamast.ServiceAnswer, error) {
	q := httptest.NewRequest(call.Method, call.Path, bytes.NewReader(call.Body))
	q.Header.Set(plain.HeaderAttempt, call.Attempt)
	q.Header.Set(plain.HeaderKey, call.Key)
	w := httptest.NewRecorder()
	m.replica.ServeHTTP(w, q)
	return zinniamast.ServiceAnswer{
		Status: w.Code,
		Header: w.Header(),
		Body:   w.Body.Bytes(),
	}, nil
}

// outage is a fleet of nine nodes in virtual time; two die during the outage
// and two are cut off from the others for a minute.
type outage struct {
	start    time.Time
	nodes    []http.Handler
	handlers []*services.Handler
	ledger   *service.Ledger

	mu     sync.Mutex
	random *rand.Rand
}

// sinceOutageStart returns the time since the outage began.
func (o *outage) sinceOutageStart() time.Duration { return time.Since(o.start) - outageStart }

func (o *outage) isDead(node int) bool { return node < 2 && o.sinceOutageStart() > nodeDeathAfter }

func (o *outage) isPartitioned(node int) bool {
	return node >= 2 && node < 4 && o.sinceOutageStart() > partitionStart && o.sinceOutageStart() < partitionEnd
}

// outageForwarder is one node's way to the others.
type outageForwarder struct {
	outage *outage
	own    int
}

func (b *outageForwarder) Forward(ctx context.Context, node string, call services.ForwardedCall) (services.ForwardedAnswer, error) {
	var target int
	fmt.Sscanf(node, "node-%d", &target)
	o := b.outage
	if o.isDead(target) || o.isPartitioned(target) != o.isPartitioned(b.own) {
		return services.ForwardedAnswer{}, services.ErrNotForwarded
	}
	time.Sleep(3 * time.Millisecond)
	answer := o.handlers[target].RunForwarded(ctx, call)
	if o.isDead(target) {
		return services.ForwardedAnswer{}, io.ErrUnexpectedEOF
	}
	return answer, nil
}

// post sends to a random living node; false means that the connection broke.
func (o *outage) post(path, body, key string, first bool) (*httptest.ResponseRecorder, bool) {
	o.mu.Lock()
	node := o.random.IntN(outageNodes)
	for o.isDead(node) {
		node = o.random.IntN(outageNodes)
	}
	o.mu.Unlock()
	q := httptest.NewRequest("POST", path, bytes.NewBufferString(body))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	q.Header.Set("Zinniamast-Deadline", "10s")
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	if first {
		q.Header.Set(caller.HeaderFirst, "true")
	}
	w := httptest.NewRecorder()
	o.nodes[node].ServeHTTP(w, q)
	return w, !o.isDead(node)
}

// issue asks for a key.
func (o *outage) issue() string {
	w, whole := o.post("/services/booking/keys", "", "", false)
	var answer struct{ Keys []string }
	if !whole || json.Unmarshal(w.Body.Bytes(), &answer) != nil || len(answer.Keys) == 0 {
		return ""
	}
	return answer.Keys[0]
}

// book makes one booking the way its caller would, and returns what the caller
// knows in the end.
func (o *outage) book(id string, kind keyStrategy) zinniamast.Ran {
	key, first := id, true
	if kind == issuedKeys {
		key = o.issue()
	}
	known := zinniamast.NotRun
	for until := time.Now().Add(callerTimeout); time.Now().Before(until); time.Sleep(callerRetryDelay) {
		if key == "" {
			key, first = o.issue(), true
			continue
		}
		w, whole := o.post("/services/booking/reservations", fmt.Sprintf(`{"booking":%q}`, id), key, first)
		first = false
		if !whole {
			known = zinniamast.Unknown
			continue
		}
		if w.Code == http.StatusOK {
			return zinniamast.DidRun
		}
		var refused struct{ Error struct{ Ran zinniamast.Ran } }
		if json.Unmarshal(w.Body.Bytes(), &refused) != nil {
			continue
		}
		known = refused.Error.Ran
		if known == zinniamast.NotRun && kind != ownKeys {
			key = ""
		} else if known == zinniamast.NotRun {
			first = true
		}
	}
	return known
}

// outageResult counts what callers knew in the end of bookings that began
// during the outage, and bookings that ran twice.
type outageResult struct {
	served, notRun, unknown, ranTwice, falseNotRun int
}

func (r *outageResult) servedShare() float64 {
	return float64(r.served) / float64(r.served+r.notRun+r.unknown)
}

// runOutage plays an outage of the table of five minutes.
func runOutage(t *testing.T, described config.Service, kind keyStrategy) (r outageResult) {
	synctest.Test(t, func(*testing.T) {
		store := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
		o := &outage{
			start:  time.Now(),
			ledger: service.NewLedger(),
			random: rand.New(rand.NewPCG(3, 3)),
		}
		replica := service.New(service.Config{
			Ledger:     o.ledger,
			ChecksKeys: described.ChecksKeys,
			Work:       20 * time.Millisecond,
		})
		var held []*claims.Claims
		for n := range outageNodes {
			board := blackboard.New()
			board.Configuration.Apply(&blackboard.Version{Number: 1, Config: newFleetConfig(described)})
			board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{ID: "booking-0", Service: "booking"},
				Service:  inMemoryClient{replica: replica},
			})
			claimed, handler, node := newNode(n, board, store.Table, &outageForwarder{outage: o, own: n})
			held = append(held, claimed)
			o.handlers = append(o.handlers, handler)
			o.nodes = append(o.nodes, node)
		}
		time.Sleep(outageStart)
		store.SetFault(platform.ServiceTable, platform.Fault{Down: true})
		var done sync.WaitGroup
		var mu sync.Mutex
		told := map[string]zinniamast.Ran{}
		for i := range int(outageDuration.Seconds()-callerTimeout.Seconds()) * bookingsPerSecond() {
			id := fmt.Sprint("booking ", i)
			done.Go(func() {
				known := o.book(id, kind)
				mu.Lock()
				defer mu.Unlock()
				told[id] = known
			})
			time.Sleep(time.Second / time.Duration(bookingsPerSecond()))
		}
		done.Wait()
		store.SetFault(platform.ServiceTable, platform.Fault{})
		time.Sleep(time.Minute)
		for _, claimed := range held {
			claimed.Close(context.Background())
		}
		r.count(told, o.ledger.Counts().Bodies)
	})
	return r
}

// count compares what callers know with what ran.
func (r *outageResult) count(told map[string]zinniamast.Ran, ran map[string]int) {
	for id, known := range told {
		runs := ran[fmt.Sprintf(`{"booking":%q}`, id)]
		if runs > 1 {
			r.ranTwice++
		}
		switch known {
		case zinniamast.DidRun:
			r.served++
		case zinniamast.NotRun:
			r.notRun++
			if runs > 0 {
				r.falseNotRun++
			}
		default:
			r.unknown++
		}
	}
}

// The table is out for five minutes. Four bookings a second come to nine nodes,
// two of which die without notice and two of which are cut off from the rest
// for a minute. Measured is the share of bookings that their callers have
// within 30 s, by what the caller and the service can do; none runs twice.
func TestBookingsDuringTableOutage(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		name    string
		service config.Service
		kind    keyStrategy
		least   float64
	}{
		{name: "a: refuse", kind: ownKeys},
		{name: "b: the service checks keys", service: config.Service{ChecksKeys: true}, kind: ownKeys, least: 0.99},
		{name: "c: issued keys", kind: issuedKeys, least: 0.98},
		{name: "combined: own keys, issued ones where refused", kind: ownThenIssued, least: 0.98},
	}
	for _, c := range cases {
		r := runOutage(t, c.service, c.kind)
		t.Logf("%s: served %.4f %+v", c.name, r.servedShare(), r)
		is.Equal(r.ranTwice, 0)
		is.Equal(r.falseNotRun, 0)
		is.True(r.servedShare() >= c.least)
	}
}
