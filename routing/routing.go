// Package routing chooses the upstream of each attempt by predicted
// completion, price and recomputed tokens.
//
// One lock guards the router's own tables. It is taken after the
// blackboard's lock, held for microseconds, and never held during a call to
// another process.
package routing

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/prefix"
)

// Config holds the router's dependencies and settings.
type Config struct {
	// Board lists the replicas, the members and the configuration in force.
	Board *blackboard.Board
	// Node is this instance's name.
	Node string
	// FailureDomain is the failure domain that the node runs in.
	FailureDomain string
	// Gossip carries load and circuit reports between nodes; nil means a single node.
	Gossip zinniamast.Gossip
	// RoundTrips are the round-trip times to other failure domains; 3 ms for those not listed.
	RoundTrips map[string]time.Duration
	// BlockTokens returns the length in tokens of the prefix at an index of RouteRequest.Prefix;
	// nil means prefix.Tokens.
	BlockTokens func(index int) int
	// HistoryBlocks bounds the number of prefixes in the history, 48 bytes each;
	// 65,536 if zero.
	HistoryBlocks int
	// ExplainedDecisions is the number of recent decisions that Explain can describe;
	// 512 if zero.
	ExplainedDecisions int
	// HomeCostRatio is the highest cost of a prefix's home, as a multiple of the cheapest
	// candidate's cost, at which the home is still preferred; 1.2 if zero. A higher
	// value avoids recomputing prefixes that other nodes' requests have cached there,
	// for engines that do not report the contents of their caches.
	HomeCostRatio float64
	// HomeCachedShare is the fraction of a prompt's prefix that its home is assumed to have
	// cached although this node has not sent it there, for engines that do not report
	// the contents of their caches; zero for engines that do.
	HomeCachedShare float64
	// FetchTimePerToken returns how long a service's replicas take per token to fetch a prefix
	// that another replica has cached; zero if they cannot. Nil means that none can.
	FetchTimePerToken func(service string) time.Duration
	// ServesCalls reports whether a service whose replicas receive requests unchanged
	// answers calls instead of prompts; nil means that none does.
	ServesCalls func(service string) bool
	// SilentAfter is the age difference to the newest report of its failure domain
	// beyond which a replica counts as silent, if all replicas are polled alike. Zero
	// if only some are polled occasionally: a missing report then indicates no fault.
	SilentAfter time.Duration
	// PollsPerSecond bounds the engines polled for load reports and cache events; 8 if zero.
	PollsPerSecond int
	// Seed makes choices reproducible; zero means a random seed.
	Seed uint64
	// Logger receives choices at debug level; nil discards them.
	Logger *slog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Defaults for zero fields of Config.
const (
	defaultRoundTrip          = 3 * time.Millisecond
	defaultHistoryBlocks      = 1 << 16
	defaultExplainedDecisions = 512
	defaultPollsPerSecond     = 8
)

func (c *Config) applyDefaults() {
	if c.Board == nil {
		c.Board = blackboard.New()
	}
	if c.BlockTokens == nil {
		c.BlockTokens = prefix.Tokens
	}
	if c.HistoryBlocks == 0 {
		c.HistoryBlocks = defaultHistoryBlocks
	}
	if c.ExplainedDecisions == 0 {
		c.ExplainedDecisions = defaultExplainedDecisions
	}
	if c.HomeCostRatio == 0 {
		c.HomeCostRatio = costTolerance
	}
	if c.PollsPerSecond == 0 {
		c.PollsPerSecond = defaultPollsPerSecond
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Router implements zinniamast.Router.
type Router struct {
	config  Config
	metrics *metrics

	mu           sync.Mutex
	random       *rand.Rand
	fleets       map[string]*fleet
	replicas     map[string]*replica
	bySerial     map[uint32]*replica
	byHash       map[uint32]*replica
	serial       uint32
	speeds       map[speedKey]*speed
	answers      map[answerKey]*average
	prices       map[priceKey]float64
	attempts     map[string]*attempt
	freeAttempts []*attempt
	history      *history
	peerLoads    map[string]*peerLoad
	reportGroups map[reportGroupKey]*reportGroup
	targets      targets
	// pendingCircuitReports are published later, without holding the lock.
	pendingCircuitReports []zinniamast.GossipItem
	recentDecisions       decisionRing
	// homeHits is the mean fraction of the prompt tokens without a local history that
	// were found cached at a home, by service and priority: other nodes sent them there.
	homeHits map[answerKey]*average
	// longestAnchorHome is the home of the longest anchor of the current decision's prompt.
	longestAnchorHome *replica
	// lookup and candidates are reused by all decisions, under the lock.
	lookup     lookup
	candidates []candidate

	// nextLoadPublish and hasPublishedIdle are used only by the goroutine that runs Tick.
	nextLoadPublish  time.Time
	hasPublishedIdle bool
}

var _ zinniamast.Router = (*Router)(nil)

// New returns a router without observations and subscribes it to Gossip.
func New(config Config) *Router {
	config.applyDefaults()
	r := &Router{
		config:       config,
		metrics:      newMetrics(config.Registerer),
		random:       rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		fleets:       map[string]*fleet{},
		replicas:     map[string]*replica{},
		bySerial:     map[uint32]*replica{},
		byHash:       map[uint32]*replica{},
		speeds:       map[speedKey]*speed{},
		answers:      map[answerKey]*average{},
		prices:       map[priceKey]float64{},
		attempts:     map[string]*attempt{},
		history:      newHistory(config.HistoryBlocks),
		peerLoads:    map[string]*peerLoad{},
		reportGroups: map[reportGroupKey]*reportGroup{},
		recentDecisions: decisionRing{
			ring: make([]decision, config.ExplainedDecisions),
		},
		homeHits:   map[answerKey]*average{},
		candidates: make([]candidate, 0, maxCandidates),
	}
	r.subscribe()
	return r
}

// noUpstreamRetryAfter is the time after which a service without replicas may have one again.
const noUpstreamRetryAfter = 5 * time.Second

// Route implements zinniamast.Router.
func (r *Router) Route(request *zinniamast.RouteRequest) (zinniamast.Choice, error) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fleet(request.Service, now)
	r.gatherCandidates(f, request, now)
	best, reason := choose(r.candidates, request, r.config.HomeCostRatio)
	if best < 0 {
		r.metrics.choices.WithLabelValues(choiceNone).Inc()
		return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream,
			"no replica of %s takes work", request.Service).WithRetryAfter(noUpstreamRetryAfter)
	}
	r.metrics.countChoice(reason)
	r.recentDecisions.record(request, now, r.candidates, best, reason)
	r.logChoice(request, &r.candidates[best], reason)
	c := &r.candidates[best]
	choice := zinniamast.Choice{
		Upstream:      c.replica.id,
		FirstToken:    c.firstToken,
		BetweenTokens: c.betweenTokens,
		CachedTokens:  c.cachedTokens + c.fetchedTokens,
		Work:          seconds(c.typicalWorkSeconds),
	}
	if source := r.fetchSource(c, request); source != nil {
		choice.FetchFrom = source.id
	}
	return choice, nil
}
