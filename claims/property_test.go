package claims_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/claims"
)

// Results of a drawn upstream attempt.
const (
	attemptAnswers = iota
	attemptNotRun
	attemptRanAnswerLost
	attemptNeverArrives
	attemptRunsLate
	attemptCount
)

// drawnRequest is one request of a plan.
type drawnRequest struct {
	Node    int
	Key     int
	Body    int
	At      int // start time in milliseconds
	Pause   int // milliseconds between claim and dispatch, for example after SIGSTOP
	Attempt int
	Crash   bool // the node's process dies after dispatch
}

// plan is a drawn sequence of requests, faults and outages.
type plan struct {
	Requests  []drawnRequest
	Faults    []int
	LateDelay int // milliseconds until a late write takes effect
	Outages   [2]outage
	Operator  bool
	// Padding is the number of bytes added to each answer's body. Bodies above
	// maxAnswer go to the object store, whose writes have the faults in Objects.
	Padding int
	Objects []int
}

const (
	requestTimeout = 5 * time.Second
	// maxAnswer and maxObjectBytes are low, so that answers of a few hundred bytes
	// go to the object store.
	maxAnswer      = 64
	maxObjectBytes = 1000
	settleTime     = 30 * time.Second
)

// ledger records which requests ran at the service, and the violations found in
// what callers received.
type ledger struct {
	mu         sync.Mutex
	runs       map[string][]string // IDs of the requests that ran, by key
	padding    int
	violations []string
}

func (l *ledger) recordRun(key, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key] = append(l.runs[key], id)
	if len(l.runs[key]) > 1 {
		l.addViolation("key %s ran for %v", key, l.runs[key])
	}
}

func (l *ledger) hasRun(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[key]) > 0
}

func (l *ledger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// checkReport checks a run state when a request receives it. After "not run", no
// request may have run under the key, unless the state is that of a key conflict;
// after "ran", one must have run.
func (l *ledger) checkReport(key, id string, ran zinniamast.Ran, keyConflict bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ran == zinniamast.NotRun && len(l.runs[key]) > 0 && !keyConflict {
		l.addViolation("request %s received not run, but key %s ran for %v", id, key, l.runs[key])
	}
	if ran == zinniamast.DidRun && len(l.runs[key]) == 0 {
		l.addViolation("request %s received ran, but key %s did not run", id, key)
	}
}

// answerBody returns the body of the answer to a request; it is unique to the
// request.
func (l *ledger) answerBody(id string) []byte {
	return []byte(id + strings.Repeat(".", l.padding))
}

// checkAnswer checks that a stored answer is that of the only request that ran.
func (l *ledger) checkAnswer(key string, record claims.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.Answer == nil {
		return
	}
	if len(l.runs[key]) != 1 || string(record.Answer.Body) != string(l.answerBody(l.runs[key][0])) {
		l.addViolation("key %s ran for %v, but the stored answer is %.8q", key, l.runs[key], record.Answer.Body)
	}
}

// simulate runs a plan in virtual time and returns the violations.
func simulate(p plan) []string {
	table := newFaultyTable(p.Faults, time.Duration(p.LateDelay)*time.Millisecond)
	table.objects = newFaultyObjects(p.Objects)
	l := &ledger{runs: map[string][]string{}, padding: p.Padding}
	nodes := make([]*node, len(p.Outages))
	for i := range nodes {
		nodes[i] = &node{
			name: fmt.Sprint("node-", i),
			link: newLink(table, p.Outages[i]),
		}
		nodes[i].restart()
	}
	var done sync.WaitGroup
	for i, r := range p.Requests {
		done.Go(func() {
			time.Sleep(time.Duration(r.At) * time.Millisecond)
			sendRequest(nodes[r.Node], l, r, fmt.Sprint("r", i))
		})
	}
	if p.Operator {
		done.Go(func() { resolveUnknowns(nodes[0], l) })
	}
	done.Wait()
	time.Sleep(5 * time.Minute)
	unknowns, err := nodes[0].current().Unknowns(context.Background(), 100)
	for _, n := range nodes {
		if unsaved := n.current().Close(context.Background()); unsaved > 0 {
			l.addViolation("%d outcomes were not saved", unsaved)
		}
	}
	if err != nil || (p.Operator && len(unknowns) > 0) {
		l.addViolation("unresolved unknowns: %v, error: %v", unknowns, err)
	}
	return l.violations
}

// node is an entry instance whose process can be restarted.
type node struct {
	name string
	link *link

	mu     sync.Mutex
	claims *claims.Claims
}

func (n *node) current() *claims.Claims {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claims
}

// restart kills the process, which loses its unsaved outcomes, and starts another.
func (n *node) restart() {
	n.mu.Lock()
	old := n.claims
	if old != nil {
		n.link.kill()
		n.link = newLink(n.link.table, n.link.outages...)
	}
	n.claims = claims.New(claims.Config{
		Table:          n.link,
		Objects:        n.link.table.objects,
		MaxAnswer:      maxAnswer,
		MaxObjectBytes: maxObjectBytes,
		Node:           n.name,
		SettleDelay:    settleTime,
	})
	n.mu.Unlock()
	if old != nil {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		old.Close(ended)
	}
}

// sendRequest processes one request as the services handler does.
func sendRequest(n *node, l *ledger, r drawnRequest, id string) {
	key := fmt.Sprint("k", r.Key)
	call := claims.Call{
		Organisation: "north",
		Service:      "booking",
		Key:          key,
		Method:       "POST",
		Path:         "/reservations",
		Body:         []byte(fmt.Sprint(r.Body)),
		Deadline:     time.Now().Add(requestTimeout),
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	result, err := n.current().Begin(ctx, call)
	if err != nil {
		refusal := zinniamast.AsRefusal(err)
		l.checkReport(key, id, refusal.Ran, refusal.Reason == zinniamast.ReasonKeyConflict)
		return
	}
	if result.Claim == nil {
		l.checkReport(key, id, result.Record.State.Ran(), false)
		l.checkAnswer(key, result.Record)
		return
	}
	time.Sleep(time.Duration(r.Pause) * time.Millisecond)
	if !result.Claim.MayDispatch() {
		l.checkReport(key, id, result.Claim.Release(), false)
		return
	}
	dispatch(n, result.Claim, l, r, key, id)
}

func dispatch(n *node, claim *claims.Claim, l *ledger, r drawnRequest, key, id string) {
	switch r.Attempt {
	case attemptNotRun:
		l.checkReport(key, id, claim.Release(), false)
		return
	case attemptNeverArrives:
	case attemptRunsLate:
		go func() {
			time.Sleep(20 * time.Second)
			l.recordRun(key, id)
		}()
	default:
		l.recordRun(key, id)
	}
	if r.Crash {
		n.restart()
		return
	}
	if r.Attempt == attemptAnswers {
		claim.Answer(zinniamast.ServiceAnswer{Status: 200, Body: l.answerBody(id)})
		return
	}
	claim.EndAsUnknown()
}

// resolveUnknowns resolves open unknowns from the ledger, as an operator or a
// lookup by key does, concurrently with callers and holders.
func resolveUnknowns(n *node, l *ledger) {
	for range 60 {
		time.Sleep(5 * time.Second)
		unknowns, _ := n.current().Unknowns(context.Background(), 100)
		for _, u := range unknowns {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			n.current().Resolve(ctx, u.Organisation, u.Service, u.Key, l.hasRun(u.Key), "operator")
			cancel()
		}
	}
}

// regressionPlans are plans that found violations in earlier versions. They must
// not be changed.
var regressionPlans = []struct {
	name string
	plan plan
}{
	{
		// A holder pauses for 50 s. An operator frees the key, another request
		// runs under it, and the holder resumes and must not report "not run".
		name: "holder resumes after its key was freed",
		plan: plan{
			Requests: []drawnRequest{
				{Node: 0, Key: 1, At: 40_000, Attempt: attemptAnswers, Crash: true},
				{Node: 1, Key: 1, At: 0, Pause: 50_000, Attempt: attemptAnswers, Crash: true},
			},
			LateDelay: 2,
			Operator:  true,
		},
	},
	{
		// Two requests wait on one node that is cut off while it claims the key;
		// the key ran through the other node. When the node gives up the claim of
		// the first request, the second must not receive "not run".
		name: "second request waits for an abandoned claim",
		plan: plan{
			Requests: []drawnRequest{
				{Node: 0, At: 0, Attempt: attemptAnswers, Crash: true},
				{Node: 1, At: 3, Pause: 4000, Attempt: attemptRunsLate},
				{Node: 1, At: 3, Pause: 4000, Attempt: attemptRunsLate},
			},
			Faults:    []int{faultNone},
			LateDelay: 45_000,
			Outages:   [2]outage{{}, {from: 5 * time.Millisecond, until: time.Minute}},
		},
	},
	{
		// The release of a key takes effect and its response is lost. The node is
		// cut off, the key runs through the other node, and the first node must
		// not report "not run".
		name: "response of release lost",
		plan: plan{
			Requests: []drawnRequest{
				{Node: 0, Key: 1, At: 9000, Attempt: attemptRunsLate, Crash: true},
				{Node: 1, Key: 1, Body: 1, At: 10, Attempt: attemptRanAnswerLost},
				{Node: 0, Key: 1, At: 1, Attempt: attemptNotRun},
			},
			Faults:    []int{faultAnswerLost, faultAnswerLost},
			LateDelay: 45_000,
			Outages:   [2]outage{{from: 5 * time.Millisecond, until: time.Minute}, {from: 2 * time.Millisecond, until: 102 * time.Millisecond}},
		},
	},
}

// Plans that found violations in earlier versions must find none.
func TestRegressionPlans(t *testing.T) {
	for _, regression := range regressionPlans {
		t.Run(regression.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if violations := simulate(regression.plan); len(violations) > 0 {
					t.Fatal(violations)
				}
			})
		})
	}
}

func drawPlan(t *rapid.T) plan {
	return plan{
		Requests: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) drawnRequest {
			return drawnRequest{
				Node:    rapid.IntRange(0, 1).Draw(t, "node"),
				Key:     rapid.IntRange(0, 1).Draw(t, "key"),
				Body:    rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"),
				At:      rapid.SampledFrom([]int{0, 1, 2, 3, 10, 500, 4000, 9000, 40_000, 80_000}).Draw(t, "at"),
				Pause:   rapid.SampledFrom([]int{0, 0, 1, 30, 4000, 6000, 50_000}).Draw(t, "pause"),
				Attempt: rapid.IntRange(0, attemptCount-1).Draw(t, "attempt"),
				Crash:   rapid.IntRange(0, 4).Draw(t, "crash") == 0,
			}
		}), 2, 8).Draw(t, "sendings"),
		Faults:    rapid.SliceOfN(rapid.IntRange(0, faultCount-1), 0, 24).Draw(t, "faults"),
		LateDelay: rapid.SampledFrom([]int{2, 50, 1500, 9000, 45_000}).Draw(t, "late"),
		Outages: [2]outage{
			drawOutage(t, "cut0"),
			drawOutage(t, "cut1"),
		},
		Operator: rapid.Bool().Draw(t, "operator"),
		Padding:  rapid.SampledFrom([]int{0, 200, 600}).Draw(t, "large"),
		Objects:  rapid.SliceOfN(rapid.IntRange(0, objectFaultCount-1), 0, 8).Draw(t, "objects"),
	}
}

func drawOutage(t *rapid.T, label string) outage {
	from := rapid.SampledFrom([]int{0, 2, 5, 1000, 10_000}).Draw(t, label)
	length := rapid.SampledFrom([]int{0, 0, 100, 5000, 60_000}).Draw(t, label+" length")
	return outage{
		from:  time.Duration(from) * time.Millisecond,
		until: time.Duration(from+length) * time.Millisecond,
	}
}

// Callers send the same keys to two nodes while the table loses, delays and
// duplicates writes, nodes are cut off, paused past the deadline or restarted
// without their unsaved outcomes, and an operator resolves open unknowns. In every
// order a key must run at most once, and no request may receive "not run" for a
// call that ran.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = simulate(p) })
		if len(violations) > 0 {
			slices.Sort(violations)
			rt.Fatalf("%v\nplan: %+v", violations, p)
		}
	})
}
