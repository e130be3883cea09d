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

// bookingsPerSecond is lower in short mode, in which the race detector slows the
// test down.
func bookingsPerSecond() int {
	if testing.Short() {
		return 1
	}
	return 4
}

// keyStrategy selects the keys that callers use.
type keyStrategy int

const (
	// ownKeys are chosen by the caller.
	ownKeys keyStrategy = iota
	// issuedKeys are requested from a node before each booking.
	issuedKeys
	// ownThenIssued uses an issued key after an own key was refused as not run.
	ownThenIssued
)

// inMemoryClient calls a stand-in without a network, so that time can be virtual.
type inMemoryClient struct{ replica *service.Service }

func (c inMemoryClient) Call(_ context.Context, call zinniamast.ServiceCall) (zinniamast.ServiceAnswer, error) {
	q := httptest.NewRequest(call.Method, call.Path, bytes.NewReader(call.Body))
	q.Header.Set(plain.HeaderAttempt, call.Attempt)
	q.Header.Set(plain.HeaderKey, call.Key)
	w := httptest.NewRecorder()
	c.replica.ServeHTTP(w, q)
	return zinniamast.ServiceAnswer{
		Status: w.Code,
		Header: w.Header(),
		Body:   w.Body.Bytes(),
	}, nil
}

// outage is a fleet of nine nodes in virtual time. Two nodes die during the outage
// of the table, and a network partition separates two others for a minute.
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

// outageForwarder forwards calls from one node to the others.
type outageForwarder struct {
	outage *outage
	own    int
}

func (f *outageForwarder) Forward(ctx context.Context, node string, call services.ForwardedCall) (services.ForwardedAnswer, error) {
	var target int
	fmt.Sscanf(node, "node-%d", &target)
	o := f.outage
	if o.isDead(target) || o.isPartitioned(target) != o.isPartitioned(f.own) {
		return services.ForwardedAnswer{}, services.ErrNotForwarded
	}
	time.Sleep(3 * time.Millisecond)
	answer := o.handlers[target].RunForwarded(ctx, call)
	if o.isDead(target) {
		return services.ForwardedAnswer{}, io.ErrUnexpectedEOF
	}
	return answer, nil
}

// post sends a request to a random live node. It returns false if the connection
// broke before the answer arrived.
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

// issue requests a key; it returns an empty string on failure.
func (o *outage) issue() string {
	w, whole := o.post("/services/booking/keys", "", "", false)
	var answer struct{ Keys []string }
	if !whole || json.Unmarshal(w.Body.Bytes(), &answer) != nil || len(answer.Keys) == 0 {
		return ""
	}
	return answer.Keys[0]
}

// book makes one booking with retries, as its caller would, and returns whether the
// booking ran as far as the caller knows in the end.
func (o *outage) book(id string, strategy keyStrategy) zinniamast.Ran {
	key, first := id, true
	if strategy == issuedKeys {
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
		if known == zinniamast.NotRun && strategy != ownKeys {
			key = ""
		} else if known == zinniamast.NotRun {
			first = true
		}
	}
	return known
}

// outageResult counts the bookings of an outage by what their callers knew in the
// end, and those that ran twice or were reported "not run" although they ran.
type outageResult struct {
	served, notRun, unknown, ranTwice, falseNotRun int
}

func (r *outageResult) servedShare() float64 {
	return float64(r.served) / float64(r.served+r.notRun+r.unknown)
}

// runOutage simulates a table outage of five minutes.
func runOutage(t *testing.T, serviceConfig config.Service, strategy keyStrategy) (r outageResult) {
	synctest.Test(t, func(*testing.T) {
		cloud := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
		o := &outage{
			start:  time.Now(),
			ledger: service.NewLedger(),
			random: rand.New(rand.NewPCG(3, 3)),
		}
		replica := service.New(service.Config{
			Ledger:     o.ledger,
			ChecksKeys: serviceConfig.ChecksKeys,
			Work:       20 * time.Millisecond,
		})
		var stores []*claims.Claims
		for n := range outageNodes {
			board := blackboard.New()
			board.Configuration.Apply(&blackboard.Version{Number: 1, Config: newFleetConfig(serviceConfig)})
			board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{ID: "booking-0", Service: "booking"},
				Service:  inMemoryClient{replica: replica},
			})
			store, handler, node := newNode(n, board, cloud.Table, &outageForwarder{outage: o, own: n}, 100*time.Millisecond)
			stores = append(stores, store)
			o.handlers = append(o.handlers, handler)
			o.nodes = append(o.nodes, node)
		}
		time.Sleep(outageStart)
		cloud.SetFault(platform.ServiceTable, platform.Fault{Down: true})
		var pending sync.WaitGroup
		var mu sync.Mutex
		reported := map[string]zinniamast.Ran{}
		for i := range int(outageDuration.Seconds()-callerTimeout.Seconds()) * bookingsPerSecond() {
			id := fmt.Sprint("booking ", i)
			pending.Go(func() {
				known := o.book(id, strategy)
				mu.Lock()
				defer mu.Unlock()
				reported[id] = known
			})
			time.Sleep(time.Second / time.Duration(bookingsPerSecond()))
		}
		pending.Wait()
		cloud.SetFault(platform.ServiceTable, platform.Fault{})
		time.Sleep(time.Minute)
		for _, store := range stores {
			store.Close(context.Background())
		}
		r.count(reported, o.ledger.Counts().Bodies)
	})
	return r
}

// count compares what callers know with what ran.
func (r *outageResult) count(reported map[string]zinniamast.Ran, runsByBody map[string]int) {
	for id, known := range reported {
		runs := runsByBody[fmt.Sprintf(`{"booking":%q}`, id)]
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

// The table is unavailable for five minutes. Nine nodes receive four bookings per
// second; two of the nodes die without notice and a network partition separates two
// others for a minute. For each way to handle keys, a minimum share of the callers
// must have their booking within 30 s. No booking runs twice, and none that ran is
// reported as "not run".
func TestBookingsDuringTableOutage(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		name     string
		service  config.Service
		strategy keyStrategy
		minShare float64
	}{
		{name: "a: refuse", strategy: ownKeys},
		{name: "b: the service checks keys", service: config.Service{ChecksKeys: true}, strategy: ownKeys, minShare: 0.99},
		{name: "c: issued keys", strategy: issuedKeys, minShare: 0.98},
		{name: "combined: own keys, issued ones where refused", strategy: ownThenIssued, minShare: 0.98},
	}
	for _, c := range cases {
		r := runOutage(t, c.service, c.strategy)
		t.Logf("%s: served %.4f %+v", c.name, r.servedShare(), r)
		is.Equal(r.ranTwice, 0)
		is.Equal(r.falseNotRun, 0)
		is.True(r.servedShare() >= c.minShare)
	}
}
