package forward_test

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
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
	// hasBusyNode lets half of the requests go to the first node, beside its part of the others.
	hasBusyNode bool
	// unlisted is the number of the last nodes that the others do not know and that get no
	// requests.
	unlisted int
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

// instances returns all nodes that are listed.
func (f *fleet) instances() []zinniamast.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var instances []zinniamast.Instance
	for i := range f.config.nodes - f.unlisted {
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

// list lets the last nodes join or leave, so that the given number is not listed.
func (f *fleet) list(unlisted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlisted = unlisted
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
	n := f.nodes[f.random.IntN(len(f.nodes)-f.unlisted)]
	if f.hasBusyNode && f.random.IntN(2) == 0 {
		n = f.nodes[0]
	}
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
