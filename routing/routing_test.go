package routing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/routing"
)

// fakeClock is a clock that only the test advances.
type fakeClock struct {
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1_800_000_000, 0)} }

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// bus delivers gossip items to all subscribers synchronously.
type bus struct {
	subscribers map[zinniamast.Topic][]func(zinniamast.GossipItem)
	sequence    uint64
}

func newBus() *bus { return &bus{subscribers: map[zinniamast.Topic][]func(zinniamast.GossipItem){}} }

// busEndpoint is one node's connection to a bus.
type busEndpoint struct {
	bus  *bus
	node string
}

func (p busEndpoint) Publish(item zinniamast.GossipItem) {
	p.bus.sequence++
	item.Origin = p.node
	item.Sequence = p.bus.sequence
	for _, f := range p.bus.subscribers[item.Topic] {
		f(item)
	}
}

func (p busEndpoint) Subscribe(topic zinniamast.Topic, f func(zinniamast.GossipItem)) {
	p.bus.subscribers[topic] = append(p.bus.subscribers[topic], f)
}

func newRouter(clock *fakeClock, board *blackboard.Board, b *bus, node string) *routing.Router {
	return routing.New(routing.Config{
		Board:         board,
		Node:          node,
		FailureDomain: domains[0],
		Gossip:        busEndpoint{bus: b, node: node},
		Seed:          5,
		Now:           clock.Now,
	})
}

func startAttempt(router *routing.Router, request *zinniamast.RouteRequest, upstream, attempt string) {
	router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedStart,
		Attempt:      attempt,
		Upstream:     upstream,
		Priority:     request.Priority,
		PromptTokens: request.PromptTokens,
		Prefix:       request.Prefix,
	})
}

func finishAttempt(clock *fakeClock, router *routing.Router, attempt, upstream string, cached int, failure zinniamast.Failure) {
	clock.advance(100 * time.Millisecond)
	router.Observe(zinniamast.Observation{
		Kind:     zinniamast.ObservedFirstToken,
		Attempt:  attempt,
		Upstream: upstream,
	})
	clock.advance(100 * time.Millisecond)
	router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedEnd,
		Attempt:      attempt,
		Upstream:     upstream,
		CachedTokens: cached,
		Tokens:       10,
		Failure:      failure,
	})
}

// Guards against requests that are cut off because their replica leaves. A whole
// failure domain is marked as leaving, including replicas that are prefix homes or
// have a history, and requests with those prefixes arrive. None may be routed to a
// leaving replica, nor to one that the request avoids.
func TestLeavingAndAvoidedReplicasGetNoRequests(t *testing.T) {
	for _, replicas := range []int{12, 400} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			is := is.New(t)
			clock := newFakeClock()
			board := newBoard(replicas)
			router := newRouter(clock, board, newBus(), "n1")
			request := newRouteRequest(clock.now)
			warmUp(router, request)
			for _, upstream := range board.Upstreams.All() {
				if upstream.Instance.FailureDomain == domains[0] {
					board.Upstreams.MarkLeaving(upstream.Instance.ID, clock.now.Add(5*time.Second))
				}
			}
			request.Avoid = nil
			for range 8 {
				choice, err := router.Route(request)
				is.NoErr(err)
				is.True(!board.Upstreams.Get(choice.Upstream).Leaving())
				for _, id := range request.Avoid {
					is.True(choice.Upstream != id)
				}
				request.Avoid = append(request.Avoid, choice.Upstream)
			}
		})
	}
}

// A request for a service without replicas is refused as no_upstream and "not run",
// with a time to retry after.
func TestRouteWithoutReplicasIsRefused(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, blackboard.New(), newBus(), "n1")
	_, err := router.Route(newRouteRequest(clock.now))
	refusal := zinniamast.AsRefusal(err)
	is.Equal(refusal.Reason, zinniamast.ReasonNoUpstream)
	is.Equal(refusal.Ran, zinniamast.NotRun)
	is.True(refusal.RetryAfter > 0)
}

// Guards against a repeated prefill of a cached prompt. A repeated long prompt is routed
// to the replica that computed it, until the engine reports that the prefix was evicted.
// A late eviction event that may be older than the last use is ignored.
func TestPromptIsRoutedToItsCachedPrefix(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, newBoard(400), newBus(), "n1")
	request := newRouteRequest(clock.now)
	choice, err := router.Route(request)
	is.NoErr(err)
	is.Equal(choice.CachedTokens, 0)
	startAttempt(router, request, choice.Upstream, "a1")
	finishAttempt(clock, router, "a1", choice.Upstream, 0, "")
	again, err := router.Route(request)
	is.NoErr(err)
	is.Equal(again.Upstream, choice.Upstream)
	is.True(again.CachedTokens > 27_000)
	evict := func(sequence uint64) {
		var events []zinniamast.CacheEvent
		for i, hash := range request.Prefix {
			events = append(events, zinniamast.CacheEvent{
				Sequence: sequence + uint64(i),
				Prefix:   hash,
				Evicted:  true,
			})
		}
		router.RecordCacheEvents(choice.Upstream, events)
	}
	evict(1)
	again, err = router.Route(request)
	is.NoErr(err)
	is.True(again.CachedTokens > 27_000)
	other := *request
	other.Prefix = promptPrefix(30_000, 'b')
	startAttempt(router, &other, choice.Upstream, "a2")
	finishAttempt(clock, router, "a2", choice.Upstream, 0, "")
	evict(1000)
	again, err = router.Route(request)
	is.NoErr(err)
	is.Equal(again.CachedTokens, 0)
}

// Guards against a node with a broken network that makes a service unavailable. Its
// attempts at one replica after the other fail. It must not open the circuits of more
// than half of them and must still route requests; another node that receives its
// circuit reports continues to use all replicas.
func TestFailingNodeDoesNotDisableService(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	b := newBus()
	board := newBoard(12)
	broken := newRouter(clock, board, b, "n1")
	healthy := newRouter(clock, board, b, "n2")
	request := newRouteRequest(clock.now)
	request.Prefix = nil
	request.PromptTokens = 100
	_, err := healthy.Route(request)
	is.NoErr(err)
	tried := map[string]bool{}
	for i := range 60 {
		choice, err := broken.Route(request)
		is.NoErr(err)
		tried[choice.Upstream] = true
		attempt := fmt.Sprint(i)
		startAttempt(broken, request, choice.Upstream, attempt)
		broken.Observe(zinniamast.Observation{
			Kind:     zinniamast.ObservedEnd,
			Attempt:  attempt,
			Upstream: choice.Upstream,
			Failure:  zinniamast.FailureDial,
		})
		broken.Tick(t.Context())
		clock.advance(10 * time.Millisecond)
	}
	is.True(len(tried) > 6)
	used := map[string]bool{}
	for i := range 200 {
		choice, err := healthy.Route(request)
		is.NoErr(err)
		startAttempt(healthy, request, choice.Upstream, fmt.Sprint(i))
		used[choice.Upstream] = true
	}
	is.Equal(len(used), 12)
}

// Guards against queues at one replica while others are idle. Four nodes decide at the
// same time over one fleet, first without load reports from each other and then after
// exchanging them. They must not overload one replica.
func TestNodesDoNotHerd(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	b := newBus()
	board := newBoard(100)
	var nodes []*routing.Router
	for i := range 4 {
		nodes = append(nodes, routing.New(routing.Config{
			Board:         board,
			Node:          fmt.Sprint(i),
			FailureDomain: domains[0],
			Gossip:        busEndpoint{bus: b, node: fmt.Sprint(i)},
			Seed:          uint64(i + 1),
			Now:           clock.Now,
		}))
	}
	request := newRouteRequest(clock.now)
	request.Prefix = nil
	request.PromptTokens = 100
	at := map[string]int{}
	for round := range 10 {
		for i, node := range nodes {
			choice, err := node.Route(request)
			is.NoErr(err)
			startAttempt(node, request, choice.Upstream, fmt.Sprint(round, i))
			at[choice.Upstream]++
		}
		clock.advance(time.Second)
		for _, node := range nodes {
			node.Tick(t.Context())
		}
	}
	most := 0
	for _, count := range at {
		most = max(most, count)
	}
	t.Logf("40 requests at %d replicas, at most %d at one", len(at), most)
	is.True(most <= 4)
}

// Guards against wrong load estimates from lagging reports. A report that is five seconds
// old shows an idle replica to which this node has sent many requests since; the report
// must not hide them. A report that includes this node's own work must not count it twice.
func TestLaggingReportIsCorrectedByOwnWork(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	board := newBoard(2)
	router := newRouter(clock, board, newBus(), "n1")
	request := newRouteRequest(clock.now)
	request.Prefix = nil
	request.PromptTokens = 4000
	_, err := router.Route(request)
	is.NoErr(err)
	taken := clock.now
	clock.advance(4 * time.Second)
	for i := range 6 {
		startAttempt(router, request, "engine-0000", fmt.Sprint(i))
	}
	clock.advance(time.Second)
	router.RecordReport("engine-0000", zinniamast.LoadReport{At: taken})
	router.RecordReport("engine-0001", zinniamast.LoadReport{
		At:           taken,
		Running:      2,
		QueuedTokens: 4000,
	})
	choice, err := router.Route(request)
	is.NoErr(err)
	is.Equal(choice.Upstream, "engine-0001")
	before := choice.FirstToken
	router.RecordReport("engine-0000", zinniamast.LoadReport{
		At:           clock.now,
		Running:      6,
		QueuedTokens: 24_000,
	})
	router.RecordReport("engine-0001", zinniamast.LoadReport{
		At:           clock.now,
		Running:      40,
		QueuedTokens: 100_000,
	})
	choice, err = router.Route(request)
	is.NoErr(err)
	is.Equal(choice.Upstream, "engine-0000")
	// Seven prompts are ahead of the first token instead of one; thirteen if counted twice.
	is.True(choice.FirstToken > before)
	is.True(choice.FirstToken < 8*before)
}

func TestExplainDescribesChoice(t *testing.T) {
	is := is.New(t)
	clock := newFakeClock()
	router := newRouter(clock, newBoard(12), newBus(), "n1")
	request := newRouteRequest(clock.now)
	choice, err := router.Route(request)
	is.NoErr(err)
	text := router.Explain("r1")
	is.True(strings.Contains(text, "went to "+choice.Upstream))
	is.True(strings.Contains(text, "first token"))
	is.Equal(router.Explain("unknown"), "")
}
