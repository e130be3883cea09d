package forward_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/forward"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/retry"
	"zinniamast/routes"
	"zinniamast/routing"
	"zinniamast/throttle"
)

// The sizes and times of a fleet.
const (
	fleetNodes       = 6
	fleetDomains     = 4
	fleetReplicas    = 9
	fleetGossipDelay = 200 * time.Millisecond
	// poisonRunTime is how long a replica runs a poison request until it crashes.
	poisonRunTime = 60 * time.Millisecond
	// delistTime is the time from a crash until the nodes learn that the replica is gone,
	// and replaceTime the time until another one takes its place.
	delistTime  = 1500 * time.Millisecond
	replaceTime = 3 * time.Second
	// settleTime is the time from the third crash after which the request must not
	// reach a replica.
	settleTime = 3 * time.Second
)

// fleet is several nodes in front of replicas that crash when they run certain
// requests. The first word of a request's body is its content.
type fleet struct {
	*fixture
	config fleetConfig
	start  time.Time

	mu       sync.Mutex
	random   *rand.Rand
	nodes    []*fleetNode
	replicas []*fragile
	started  int
	// crashes holds the times at which each content or part crashed a replica, and arrivals
	// those at which it reached one.
	crashes  map[string][]time.Duration
	arrivals map[string][]time.Duration
	// runs counts how often each request that must not be repeated reached a replica.
	runs map[string]int
	// brittle is how the replicas behave while they are brittle; nil while they are not. slots
	// is the number of requests that each takes at once.
	brittle *brittleness
	slots   int
	// rest is how replicas ask nodes for rest; nil while they do not. rests holds what they
	// asked for.
	rest  *resting
	rests []*restAsked
	// refused counts the other requests that were held back, and served those with a
	// whole answer.
	refused, served, sent int
}

// fleetConfig configures a fleet.
type fleetConfig struct {
	seed uint64
	// nodes and replicas are how many there are; zero means fleetNodes and fleetReplicas.
	nodes    int
	replicas int
	// slots is the number of requests that a replica runs at once.
	slots int
	// contents are the contents that crash replicas, and parts the parts of a prompt that do.
	contents []string
	parts    []string
	// newRouter returns a node's router; nil means that of the package routing.
	newRouter func(board *blackboard.Board, failureDomain string) zinniamast.Router
	// hasPaths gives each node paths to the replicas that can be cut.
	hasPaths bool
}

// fleetNode is one node of a fleet. It implements zinniamast.Gossip.
type fleetNode struct {
	fleet   *fleet
	handler *forward.Handler
	board   *blackboard.Board
	// throttle is built from throttling, again when the node forgets what it knows.
	throttle    *throttle.Throttle
	throttling  throttle.Config
	subscribers map[zinniamast.Topic][]func(zinniamast.GossipItem)

	name   string
	domain string
	// The fields below are set if the nodes have paths.
	paths  *paths
	egress *egress.Egress
	relays *pipeListener
	server *http.Server
}

// currentThrottle is the present throttle of a node. It implements forward.Throttle.
type currentThrottle struct {
	node *fleetNode
}

func (c currentThrottle) current() *throttle.Throttle {
	c.node.fleet.mu.Lock()
	defer c.node.fleet.mu.Unlock()
	return c.node.throttle
}

// Limited implements forward.Throttle.
func (c currentThrottle) Limited(service string) zinniamast.Availability {
	return c.current().Limited(service)
}

// Begin implements forward.Throttle.
func (c currentThrottle) Begin(upstream *blackboard.Upstream) bool {
	return c.current().Begin(upstream)
}

// Answered implements forward.Throttle.
func (c currentThrottle) Answered(upstream *blackboard.Upstream, sent time.Time, feedback zinniamast.Feedback) {
	c.current().Answered(upstream, sent, feedback)
}

// forget lets all nodes forget what replicas said of themselves.
func (f *fleet) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.throttle = throttle.New(n.throttling)
	}
}

// Publish implements zinniamast.Gossip.
func (n *fleetNode) Publish(item zinniamast.GossipItem) {
	time.AfterFunc(fleetGossipDelay, func() {
		for _, other := range n.fleet.nodes {
			if other == n {
				continue
			}
			for _, receive := range other.subscribers[item.Topic] {
				receive(item)
			}
		}
	})
}

// Subscribe implements zinniamast.Gossip.
func (n *fleetNode) Subscribe(topic zinniamast.Topic, receive func(zinniamast.GossipItem)) {
	n.subscribers[topic] = append(n.subscribers[topic], receive)
}

func newFleet(t *testing.T, config fleetConfig) *fleet {
	config.nodes = cmp.Or(config.nodes, fleetNodes)
	config.replicas = cmp.Or(config.replicas, fleetReplicas)
	f := &fleet{
		fixture: &fixture{
			is:     is.New(t),
			routes: &routes.Table{},
		},
		config:   config,
		slots:    config.slots,
		start:    time.Now(),
		random:   rand.New(rand.NewPCG(config.seed, config.seed)),
		crashes:  map[string][]time.Duration{},
		arrivals: map[string][]time.Duration{},
		runs:     map[string]int{},
	}
	routes := configuration()
	for i := range routes.Routes {
		routes.Routes[i].Timeout = 5 * time.Second
		routes.Routes[i].Target = time.Second
		routes.Routes[i].PauseTarget = 400 * time.Millisecond
		routes.Routes[i].MaxAttempts = 3
	}
	f.routes.Apply(routes)
	for i := range config.nodes {
		f.addNode(i)
	}
	for i := range config.replicas {
		f.startReplica(fmt.Sprint("domain-", i%fleetDomains))
	}
	return f
}

// addNode adds a node.
func (f *fleet) addNode(i int) {
	domain := fmt.Sprint("domain-", i%fleetDomains)
	name := fmt.Sprint("node-", i)
	logger := slog.New(slog.NewTextHandler(&f.log, nil)).With("node", name)
	n := &fleetNode{
		name:        name,
		domain:      domain,
		fleet:       f,
		board:       blackboard.New(),
		subscribers: map[zinniamast.Topic][]func(zinniamast.GossipItem){},
	}
	if f.config.hasPaths {
		n.addEgress(name, domain, logger)
	}
	owners := &throttle.Owners{
		Node:          name,
		FailureDomain: domain,
		Members:       n.board.Members,
		Instances:     f.instances,
	}
	n.throttling = throttle.Config{
		Upstreams: n.board.Upstreams,
		IsOwner:   func(_, replicaDomain string) bool { return replicaDomain == domain && i < fleetDomains },
		Share:     owners.Share,
		Gossip:    n,
		Logger:    logger,
	}
	n.throttle = throttle.New(n.throttling)
	n.handler = forward.New(forward.Config{
		Routes:        f.routes,
		Upstreams:     n.board.Upstreams,
		FailureDomain: domain,
		Router:        f.newRouter(n.board, i),
		Protocol:      platform.Headers{},
		RetryBudget: retry.NewWindow(retry.WindowConfig{
			Ratio:  0.2,
			Slack:  52,
			Window: 10 * time.Second,
			Nodes:  func() int { return f.config.nodes },
		}),
		Allowance: f,
		Throttle:  currentThrottle{n},
		Quarantine: quarantine.New(quarantine.Config{
			FailureDomain: n.failureDomain,
			Gossip:        n,
			Logger:        logger,
		}),
		Parts: quarantine.NewParts(quarantine.PartsConfig{
			FailureDomain: n.failureDomain,
			Gossip:        n,
			Logger:        logger,
		}),
		Meter:    f,
		Demand:   f,
		Closing:  f.closing.Load,
		Stopping: f.closing.Load,
		Logger:   logger,
	})
	f.nodes = append(f.nodes, n)
}

// instances returns all nodes.
func (f *fleet) instances() []zinniamast.Instance {
	var instances []zinniamast.Instance
	for i := range f.config.nodes {
		instances = append(instances, zinniamast.Instance{
			ID:            fmt.Sprint("node-", i),
			FailureDomain: fmt.Sprint("domain-", i%fleetDomains),
		})
	}
	return instances
}

// closeServers closes the nodes' servers for each other's requests.
func (f *fleet) closeServers() {
	for _, n := range f.nodes {
		_ = n.server.Close()
	}
}

// newRouter returns the router of a node.
func (f *fleet) newRouter(board *blackboard.Board, i int) zinniamast.Router {
	domain := fmt.Sprint("domain-", i%fleetDomains)
	if f.config.newRouter != nil {
		return f.config.newRouter(board, domain)
	}
	return routing.New(routing.Config{
		Board:         board,
		Node:          fmt.Sprint("node-", i),
		FailureDomain: domain,
		Seed:          f.config.seed + uint64(i) + 1,
	})
}

// failureDomain returns the failure domain of a replica that the node knows.
func (n *fleetNode) failureDomain(id string) string {
	if u := n.board.Upstreams.Get(id); u != nil {
		return u.Instance.FailureDomain
	}
	return ""
}

// fragile is a replica that crashes when it runs certain requests.
type fragile struct {
	fleet  *fleet
	id     string
	domain string

	// The fleet's lock guards running, isDown, limit and received.
	running int
	isDown  bool
	// limit is the rate that the replica names in its answers; zero names none.
	limit float64
	// received holds the times at which requests reached the replica, and rejected those at
	// which it had no slot for one.
	received []time.Duration
	rejected []time.Duration
	// crashed is closed when the replica crashes.
	crashed chan struct{}
}

// startReplica starts a replica in a failure domain and lists it at all nodes.
func (f *fleet) startReplica(domain string) {
	f.mu.Lock()
	f.started++
	r := &fragile{
		fleet:   f,
		id:      fmt.Sprint("i-", f.started),
		domain:  domain,
		crashed: make(chan struct{}),
	}
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            r.id,
				Service:       "svc",
				FailureDomain: domain,
				Address:       "replica.example",
				Started:       time.Now(),
			},
			Replica: n.newClient(r),
			Slots:   f.config.slots,
		})
	}
}

// culprit returns what lets a request crash its replica: its content or a part of its prompt;
// empty if nothing does.
func (f *fleet) culprit(content, prompt string) string {
	if slices.Contains(f.config.contents, content) {
		return content
	}
	for _, part := range f.config.parts {
		if strings.Contains(prompt, part+":") {
			return part
		}
	}
	return ""
}

// crash crashes the replica, which is delisted and replaced later.
func (r *fragile) crash(content string) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.isDown {
		return
	}
	r.isDown = true
	close(r.crashed)
	f.crashes[content] = append(f.crashes[content], time.Since(f.start))
	time.AfterFunc(delistTime, func() {
		for _, n := range f.nodes {
			n.board.Upstreams.Remove(r.id)
		}
	})
	time.AfterFunc(replaceTime, func() { f.startReplica(r.domain) })
}

// Close implements zinniamast.Replica.
func (*fragile) Close() {}

// begin takes a slot for a request, unless the replica is down or full.
func (r *fragile) begin(culprit string) error {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.isDown {
		return &zinniamast.UpstreamError{
			Failure:  zinniamast.FailureDial,
			Upstream: r.id,
			Cause:    errors.New("connection refused"),
		}
	}
	r.received = append(r.received, time.Since(f.start))
	if culprit != "" {
		f.arrivals[culprit] = append(f.arrivals[culprit], time.Since(f.start))
	}
	if f.rest != nil && slices.Contains(f.rest.shedding, r.id) {
		return errShed
	}
	if r.running >= f.slots {
		r.rejected = append(r.rejected, time.Since(f.start))
		return errFull
	}
	r.running++
	return nil
}

// setLimit sets the rate that the replica names from now on.
func (r *fragile) setLimit(limit float64) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.limit = limit
}

func (r *fragile) namedLimit() float64 {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.limit
}

// brittleFall is the culprit of replicas that failed as they had to reject too much.
const brittleFall = "rejections"

// setBrittleness sets how all replicas behave from now on.
func (f *fleet) setBrittleness(b *brittleness, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle, f.slots = b, slots
}

// namedBrittleness returns the rejections that the replica says it bears; false if it says
// nothing.
func (r *fragile) namedBrittleness() (int, bool) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.brittle == nil || f.brittle.isSturdy {
		return 0, false
	}
	return f.brittle.rejections, true
}

// failsUnderRejections reports whether the replica is brittle and has rejected more in the
// last second than it bears.
func (r *fragile) failsUnderRejections() bool {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.brittle == nil || f.brittle.isSturdy {
		return false
	}
	count := 0
	for _, at := range r.rejected {
		if time.Since(f.start)-at < time.Second {
			count++
		}
	}
	return count > f.brittle.rejections
}

var errFull = errors.New("no slot is free")

// end releases a slot.
func (r *fragile) end() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.running--
}

// Send implements zinniamast.Replica.
func (r *fragile) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	content, duration, _ := strings.Cut(string(body), " ")
	header := http.Header{}
	header.Set("Zinniamast-Request-Id", request.Header.Get("Zinniamast-Request-Id"))
	culprit := r.fleet.culprit(content, request.Header.Get("Zinniamast-Prompt-Prefix"))
	r.countInRests(ctx)
	err = r.begin(culprit)
	if limit := r.namedLimit(); limit > 0 {
		header.Set("Server-Limit", fmt.Sprint(limit))
	}
	if rejections, ok := r.namedBrittleness(); ok {
		header.Set("Server-Brittle", fmt.Sprint(rejections))
	}
	if err == errFull && r.failsUnderRejections() {
		r.crash(brittleFall)
		return nil, &zinniamast.UpstreamError{
			Failure:  zinniamast.FailureReset,
			Upstream: r.id,
			Cause:    io.ErrUnexpectedEOF,
		}
	}
	if err == errFull || err == errShed {
		header.Set("Zinniamast-Not-Executed", "1")
		if rest := r.askForRest(ctx, err); rest > 0 {
			header.Set("Retry-After", fmt.Sprint(rest.Seconds()))
		}
		return &http.Response{
			StatusCode: http.StatusServiceUnavailable,
			Header:     header,
			Body:       http.NoBody,
		}, nil
	}
	if err != nil {
		return nil, err
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	milliseconds, _ := strconv.Atoi(duration)
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(context.Cause(ctx)) })
	go func() {
		defer r.end()
		_ = writer.CloseWithError(r.run(ctx, writer, culprit, after, time.Duration(milliseconds)*time.Millisecond))
	}()
	header.Set("Zinniamast-Server-Stamp", "stamp-"+r.id)
	return &http.Response{
		StatusCode:    http.StatusOK,
		Header:        header,
		Body:          reader,
		ContentLength: -1,
	}, nil
}

// run writes the events after a number, spread over a duration, unless the replica crashes.
func (r *fragile) run(ctx context.Context, w io.Writer, culprit string, after int, duration time.Duration) error {
	pause := duration / takeoverEvents
	isPoison := culprit != ""
	if isPoison {
		pause = poisonRunTime
	}
	for event := after; event < takeoverEvents; event++ {
		select {
		case <-time.After(pause):
		case <-r.crashed:
			return io.ErrUnexpectedEOF
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if isPoison {
			r.crash(culprit)
			return io.ErrUnexpectedEOF
		}
		if err := writeEvents(w, event, event+1); err != nil {
			return err
		}
	}
	return nil
}

// call sends a request to a random node and reports whether it was held back and whether
// it got a whole answer.
func (f *fleet) call(id, content string, duration time.Duration) (heldBack, whole bool) {
	return f.callWithPrompt(id, content, "", duration)
}

// callWithPrompt is call for a request whose prompt has parts.
func (f *fleet) callWithPrompt(id, content, prompt string, duration time.Duration) (heldBack, whole bool) {
	request := httptest.NewRequest(http.MethodPost, pathResumable, strings.NewReader(fmt.Sprint(content, " ", duration.Milliseconds())))
	request.Host = host
	request.Header.Set("Zinniamast-Request-Id", id)
	request.Header.Set("Zinniamast-Deadline-Ms", "5000")
	request.Header.Set("Zinniamast-Prompt-Prefix", prompt)
	request.Header.Set("Api-Key", key)
	f.mu.Lock()
	n := f.nodes[f.random.IntN(len(f.nodes))]
	f.mu.Unlock()
	recorder := httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
		body := recorder.Body.String()
		heldBack = strings.Contains(body, "it is held back")
		whole = recorder.Code == http.StatusOK && body == events(takeoverEvents)
	}()
	n.handler.ServeHTTP(recorder, request)
	return heldBack, whole
}

// callers send innocent requests for a time, each of which is tried once more if it is not
// answered.
func (f *fleet) callers(done *sync.WaitGroup, perSecond int, until time.Duration) {
	for number := 0; time.Since(f.start) < until; number++ {
		time.Sleep(time.Second / time.Duration(perSecond))
		f.mu.Lock()
		duration := time.Duration(200+f.random.IntN(1800)) * time.Millisecond
		f.sent++
		f.mu.Unlock()
		done.Go(func() {
			content := fmt.Sprint("innocent-", number)
			heldBack, whole := f.call(content, content, duration)
			if !whole && !heldBack {
				heldBack, whole = f.call(content+"-again", content, duration)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if heldBack {
				f.refused++
			}
			if whole {
				f.served++
			}
		})
	}
}
