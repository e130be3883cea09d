package forward_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/forward"
	"zinniamast/limits"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/queue"
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
	// begun counts how often replicas took each request.
	begun map[string]int
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
	// onArrival is called, with the lock held, when a request with an ID reaches a replica; nil is
	// allowed.
	onArrival func(request string)
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
	// replicaDomains is in how many failure domains the replicas run; zero means fleetDomains.
	replicaDomains int
	// slots is the number of requests that a replica runs at once.
	slots int
	// contents are the contents that crash replicas, and parts the parts of a prompt that do.
	contents []string
	parts    []string
	// newRouter returns a node's router; nil means that of the package routing.
	newRouter func(board *blackboard.Board, failureDomain string) zinniamast.Router
	// hasPaths gives each node paths to the replicas that can be cut.
	hasPaths bool
	// organisations are the callers' organisations beside the one of the configuration.
	organisations []routes.Organisation
	// speeds are the speeds of the replicas in turn, as multiples of the reference speed at
	// which a request takes the time that it names; nil means that all have that speed.
	speeds []float64
	// hasNoReplacements lets replicas that crashed stay away.
	hasNoReplacements bool
	// logs receives the nodes' log lines; nil means that the fixture collects them.
	logs io.Writer
}

// fleetNode is one node of a fleet. It implements zinniamast.Gossip.
type fleetNode struct {
	fleet   *fleet
	handler *forward.Handler
	board   *blackboard.Board
	// throttle is built from throttling, again when the node forgets what it knows.
	throttle   *throttle.Throttle
	throttling throttle.Config
	owners     *throttle.Owners
	queue      *queue.Queue
	// subscribing guards subscribers: a node that forgets what it knows subscribes again.
	subscribing sync.Mutex
	subscribers map[zinniamast.Topic][]func(zinniamast.GossipItem)

	name    string
	domain  string
	retries *retry.Window
	// leaves makes the node refuse new requests, and killed is done once its process is killed.
	leaves atomic.Bool
	killed context.Context
	kill   context.CancelFunc
	// hasNoGossip keeps gossip from and to the node; the fleet's lock guards it.
	hasNoGossip bool
	// The fields below are set if the nodes have paths.
	paths  *paths
	egress *egress.Egress
	relays *pipeListener
	// hasSilentLinks keeps all bytes between the node and other nodes.
	hasSilentLinks atomic.Bool
	server         *http.Server
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

// KeepsPlace implements forward.Throttle.
func (c currentThrottle) KeepsPlace(upstream *blackboard.Upstream) bool {
	return c.current().KeepsPlace(upstream)
}

// UnusedPlaces implements forward.Throttle.
func (c currentThrottle) UnusedPlaces(service string) ([]string, bool) {
	return c.current().UnusedPlaces(service)
}

// Shared implements forward.Throttle.
func (c currentThrottle) Shared(service string) []string { return c.current().Shared(service) }

// AnsweredThroughPeer implements forward.Throttle.
func (c currentThrottle) AnsweredThroughPeer(upstream *blackboard.Upstream, sent time.Time, feedback zinniamast.Feedback) {
	c.current().AnsweredThroughPeer(upstream, sent, feedback)
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
	if n.killed.Err() != nil {
		return // its process is dead, although its timers go on
	}
	time.AfterFunc(fleetGossipDelay, func() {
		for _, other := range n.fleet.currentNodes() {
			if other == n || !n.fleet.areInTouch(n, other) {
				continue
			}
			other.subscribing.Lock()
			receivers := slices.Clone(other.subscribers[item.Topic])
			other.subscribing.Unlock()
			for _, receive := range receivers {
				receive(item)
			}
		}
	})
}

// areInTouch reports whether gossip of one node reaches the other.
func (f *fleet) areInTouch(n, other *fleetNode) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !n.hasNoGossip && !other.hasNoGossip
}

// currentNodes returns the nodes that run.
func (f *fleet) currentNodes() []*fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes
}

// Subscribe implements zinniamast.Gossip.
func (n *fleetNode) Subscribe(topic zinniamast.Topic, receive func(zinniamast.GossipItem)) {
	n.subscribing.Lock()
	defer n.subscribing.Unlock()
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
		begun:    map[string]int{},
	}
	routes := configuration()
	for i := range routes.Routes {
		routes.Routes[i].Timeout = 5 * time.Second
		routes.Routes[i].Target = time.Second
		routes.Routes[i].PauseTarget = 400 * time.Millisecond
		routes.Routes[i].MaxAttempts = 3
	}
	routes.Organisations = append(routes.Organisations, config.organisations...)
	f.routes.Apply(routes)
	for i := range config.nodes {
		f.nodes = append(f.nodes, f.newNode(i, time.Time{}))
	}
	for i := range config.replicas {
		f.startReplica(fmt.Sprint("domain-", i%cmp.Or(f.config.replicaDomains, fleetDomains)))
	}
	return f
}

// newNode returns the node with an index, which knows no replica yet. It has its whole retry budget
// from the given time on.
func (f *fleet) newNode(i int, retriesFrom time.Time) *fleetNode {
	domain := fmt.Sprint("domain-", i%fleetDomains)
	name := fmt.Sprint("node-", i)
	var logs io.Writer = &f.log
	if f.config.logs != nil {
		logs = f.config.logs
	}
	logger := slog.New(slog.NewTextHandler(logs, nil)).With("node", name)
	n := &fleetNode{
		name:        name,
		domain:      domain,
		fleet:       f,
		board:       blackboard.New(),
		subscribers: map[zinniamast.Topic][]func(zinniamast.GossipItem){},
	}
	n.killed, n.kill = context.WithCancel(context.Background())
	isClosing := func() bool { return f.closing.Load() || n.leaves.Load() }
	if f.config.hasPaths {
		n.addEgress(name, domain, logger)
	}
	owners := &throttle.Owners{
		Node:          name,
		FailureDomain: domain,
		Members:       n.board.Members,
		Instances:     f.instances,
	}
	var requests *queue.Queue
	requests = queue.New(queue.Config{
		Node:   name,
		Gossip: n,
		Slots:  n.board.Upstreams.Slots,
		Usage: limits.NewAccounts(limits.AccountsConfig{
			Board:         f.membersOf(domain),
			Node:          name,
			FailureDomain: domain,
			Gossip:        n,
			IsNeeded:      func() bool { return requests.IsAnyShort() },
		}),
		Logger: logger,
	})
	n.throttling = throttle.Config{
		Upstreams: n.board.Upstreams,
		IsOwner:   func(_, replicaDomain string) bool { return replicaDomain == domain && i < fleetDomains },
		Share:     owners.Share,
		Places:    requests.Places(owners.Nodes),
		Gossip:    n,
		Logger:    logger,
	}
	n.owners, n.queue = owners, requests
	n.throttle = throttle.New(n.throttling)
	n.retries = retry.NewWindow(retry.WindowConfig{
		Ratio:      retryRatio,
		Slack:      retrySlack,
		Window:     retryPeriod,
		Nodes:      func() int { return f.config.nodes },
		EarnedFrom: func() time.Time { return retriesFrom },
		SharedFrom: func() time.Time { return retriesFrom },
	})
	n.handler = forward.New(forward.Config{
		Routes:        f.routes,
		Upstreams:     n.board.Upstreams,
		FailureDomain: domain,
		Router:        f.newRouter(n.board, i),
		Protocol:      platform.Headers{},
		RetryBudget:   n.retries,
		Allowance:     f,
		Throttle:      currentThrottle{n},
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
		Detours:  n.detours(),
		Queue:    requests,
		Meter:    f,
		Demand:   f,
		Closing:  isClosing,
		Stopping: isClosing,
		Logger:   logger,
	})
	return n
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

// membersOf returns a board that lists the nodes of a failure domain.
func (f *fleet) membersOf(domain string) *blackboard.Board {
	board := blackboard.New()
	for _, instance := range f.instances() {
		if instance.FailureDomain != domain {
			continue
		}
		board.Members.Update(instance.ID, func(m *blackboard.Member) bool {
			m.FailureDomain = domain
			return true
		})
	}
	return board
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
	return f.callPath(pathResumable, id, content, prompt, duration)
}

// callPath is callWithPrompt for a request to a path.
func (f *fleet) callPath(path, id, content, prompt string, duration time.Duration) (heldBack, whole bool) {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(fmt.Sprint(content, " ", duration.Milliseconds())))
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
