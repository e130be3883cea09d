// Package routing chooses the upstream of each attempt by predicted
// completion, price and recomputed tokens.
//
// One lock guards the router's own tables. It is taken after the
// blackboard's, is held for microseconds and never during a call to another
// process.
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

// Config says what the router works from.
type Config struct {
	// Board holds the replicas.
	Board *blackboard.Board
	// Node is this instance's name.
	Node string
	// FailureDomain is where the node runs.
	FailureDomain string
	// Gossip carries load and circuits between nodes; nil means a node on its own.
	Gossip zinniamast.Gossip
	// Distances are round trips to other failure domains; 3 ms where none is given.
	Distances map[string]time.Duration
	// BlockTokens is the length of the prefix at an index of Need.Prefix; nil is prefix.Tokens.
	BlockTokens func(index int) int
	// HistoryBlocks bounds the prefixes remembered, 48 bytes each; 65,536 if zero.
	HistoryBlocks int
	// ExplainedDecisions is how many recent decisions Explain knows; 512 if zero.
	ExplainedDecisions int
	// HomeCost is how much dearer than the cheapest a prefix's home may be and
	// still be preferred; 1.2 if zero. More spares what other nodes' requests
	// would read again, where engines do not tell what they keep.
	HomeCost float64
	// HomeHolds is the part of a prompt's prefix that its home is believed to hold
	// where engines do not tell and this node has not sent it there; zero where
	// they do.
	HomeHolds float64
	// FetchTime returns how long a service's replicas take to fetch a token that
	// another one keeps; zero where they cannot, nil means that none can.
	FetchTime func(service string) time.Duration
	// Plain says whether a service answers calls and not prompts, where its
	// replicas take requests as they are; nil means that none does.
	Plain func(service string) bool
	// SilentAfter is how much older than another's of its failure domain a replica's
	// report must be for it to count as silent, where all are asked alike; zero
	// where only some are asked now and then, so that silence says nothing.
	SilentAfter time.Duration
	// PollsPerSecond bounds the load reports and cache events read; 8 if zero.
	PollsPerSecond int
	// Seed makes choices repeatable; zero draws one.
	Seed uint64
	// Logger hears of choices at debug level; nil is silent.
	Logger *slog.Logger
	// Registerer takes the metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
	// Now tells the time; nil is time.Now.
	Now func() time.Time
}

// Defaults for fields left zero.
const (
	defaultDistance           = 3 * time.Millisecond
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
	if c.HomeCost == 0 {
		c.HomeCost = costTolerance
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
	// pendingCircuitReports waits to be published without the lock.
	pendingCircuitReports []zinniamast.News
	recentDecisions       decisionRing
	// homeHits is, by service, the part of a prompt found cached at its home
	// without any history here: what other nodes have sent there.
	homeHits map[answerKey]*average
	// longestAnchorHome is the home of the prompt's longest anchor, of the decision that is made.
	longestAnchorHome *replica
	// lookup and candidates are reused by every decision under the lock.
	lookup     lookup
	candidates []candidate

	// nextLoadPublish and saidIdle belong to Run alone.
	nextLoadPublish  time.Time
	hasPublishedIdle bool
}

var _ zinniamast.Router = (*Router)(nil)

// New returns a router that has observed nothing yet.
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

// noUpstreamRetryAfter is when a service without replicas may have one again.
const noUpstreamRetryAfter = 5 * time.Second

// Route implements zinniamast.Router.
func (r *Router) Route(need *zinniamast.Need) (zinniamast.Choice, error) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fleet(need.Service, now)
	r.gatherCandidates(f, need, now)
	best, reason := choose(r.candidates, need, r.config.HomeCost)
	if best < 0 {
		r.metrics.choices.WithLabelValues(choiceNone).Inc()
		return zinniamast.Choice{}, zinniamast.Refuse(zinniamast.ReasonNoUpstream,
			"no replica of %s takes work", need.Service).After(noUpstreamRetryAfter)
	}
	r.metrics.countChoice(reason)
	r.recentDecisions.record(need, now, r.candidates, best, reason)
	r.logChoice(need, &r.candidates[best], reason)
	c := &r.candidates[best]
	choice := zinniamast.Choice{
		Upstream:      c.replica.id,
		FirstToken:    c.firstToken,
		BetweenTokens: c.betweenTokens,
		CachedTokens:  c.cachedTokens + c.fetchedTokens,
		Work:          seconds(c.typicalWork),
	}
	if source := r.fetchSource(c, need); source != nil {
		choice.FetchFrom = source.id
	}
	return choice, nil
}
