package limits

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"zinniamast/routes"
)

const (
	// loanMargin is how much longer than the pool a node assumes its loan to be
	// valid, since the renewing call may have been in transit for its whole timeout.
	loanMargin = 500 * time.Millisecond
	// poolTimeout bounds one call to a pool; a round trip between failure domains
	// takes some milliseconds.
	poolTimeout = 120 * time.Millisecond
	// probeDelay is the time from a failed call to a node until the node is probed.
	probeDelay = 2 * time.Second
	// renewInterval is the period at which loans are renewed, so that they also last
	// without requests.
	renewInterval = 700 * time.Millisecond
	// rosterPollInterval is how often a starting node checks whether it has read the
	// roster.
	rosterPollInterval = 20 * time.Millisecond
	// ownPartDuration is how long a node that cannot reach its failure domain's pool
	// uses its own part before it calls the pool again. Each call lends the part, so
	// a node that called continuously could never use it.
	ownPartDuration = 10 * time.Second
	// maxFailedProbes bounds the unanswered probes of one renewal.
	maxFailedProbes = 3
	// maxPoolAttempts is how many nodes a request calls before the decision is made
	// locally.
	maxPoolAttempts = 2
)

// AllowanceConfig configures an Allowance.
type AllowanceConfig struct {
	// Node is this instance's name, and FailureDomain is the one in which it runs.
	Node          string
	FailureDomain string
	// Holders returns the nodes that divide the allowances, of which this one is none until the
	// others know it.
	Holders func() []Holder
	// Take sends a request for tokens to another node's pool.
	Take func(ctx context.Context, address string, ask PoolRequest) (PoolAnswer, error)
	// Renew renews this node's loans to another node's pools.
	Renew func(ctx context.Context, address string, renewal PoolRenewal) (PoolRenewalAnswer, error)
	// NotSent reports whether an error of Take or Renew proves that the call did not
	// arrive; nil means that no error does.
	NotSent func(err error) bool
	// Organisations returns the organisations with an allowance.
	Organisations func() []routes.Organisation
	// FleetPool is this node's fleet pool. Apart is its domain pool, which serves nodes
	// of its failure domain that cannot reach a fleet pool.
	FleetPool  *Pool
	DomainPool *Pool
	// Logger receives messages about unresponsive pools; nil means slog.Default().
	Logger *slog.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Allowance takes tokens from organisations' allowances. Each node has an equal
// part of every allowance. All nodes lend their parts to the organisation's fleet
// pool, whose node is found by rendezvous hashing; nodes that cannot reach it lend
// them to a domain pool, found in the same way within their failure domain.
//
// Requests of one organisation differ in size by a factor of fifty, and callers
// spread unevenly over the nodes, so an allowance divided into fixed parts refuses
// the largest requests when it is half used, whereas a pooled one admits them.
// The same applies while a failure domain is partitioned: at a load of 0.6 of the
// domain's part, nodes that each use their own part refuse 31 of 200 requests, and
// nodes with a domain pool refuse none (TestPartitionedFailureDomainPoolsItsParts).
type Allowance struct {
	config AllowanceConfig

	mu sync.Mutex
	// outgoing holds this node's loan of its part, by organisation.
	outgoing map[string]outgoingLoan
	// suspected holds when to probe the nodes that did not answer, by node ID.
	suspected map[string]time.Time
	// isolated holds the organisations whose fleet pool is unreachable.
	isolated map[string]bool
	// levels holds what pools have last answered of how full allowances are, by organisation.
	levels map[string]poolLevel
	// ownPartUntil holds, by organisation, until when this node uses its own part
	// and does not call the domain pool.
	ownPartUntil map[string]time.Time
}

// NewAllowance returns an allowance without loans; Run lends and renews them.
func NewAllowance(config AllowanceConfig) *Allowance {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Allowance{
		config:       config,
		outgoing:     map[string]outgoingLoan{},
		suspected:    map[string]time.Time{},
		isolated:     map[string]bool{},
		levels:       map[string]poolLevel{},
		ownPartUntil: map[string]time.Time{},
	}
}

// pool returns this node's domain pool or its fleet pool.
func (a *Allowance) pool(domainPool bool) *Pool {
	if domainPool {
		return a.config.DomainPool
	}
	return a.config.FleetPool
}

// Take takes an amount of an organisation's allowance for a request of the given
// rank, 0 being the most urgent. If the amount is not available, it returns false
// and the time until it will be.
func (a *Allowance) Take(ctx context.Context, o *routes.Organisation, amount float64, rank int) (time.Duration, bool) {
	holders := a.config.Holders()
	ask := PoolRequest{
		Node:         a.config.Node,
		Part:         a.part(holders),
		Organisation: o.Name,
		Amount:       amount,
		Keep:         keepFor(amount, rank),
	}
	answer, ok := a.takeFromFleetPool(ctx, ask, holders)
	if !ok {
		answer = a.takeFromDomainPool(ctx, ask, holders)
	}
	return answer.Wait, answer.Granted
}

// takeFromFleetPool takes from the organisation's fleet pool; it returns false if
// no fleet pool answered.
func (a *Allowance) takeFromFleetPool(ctx context.Context, ask PoolRequest, holders []Holder) (PoolAnswer, bool) {
	if a.isIsolated(ask.Organisation) {
		return PoolAnswer{}, false
	}
	for range maxPoolAttempts {
		holder, ok := a.fleetHolder(ask.Organisation, holders)
		if !ok {
			break
		}
		if holder.ID == a.config.Node {
			ask.Starts = a.lend(ask.Organisation, holder.ID, false)
			answer := a.config.FleetPool.Take(ask)
			a.recordLevel(ask.Organisation, answer.Level)
			return answer, true
		}
		if answer, err := a.askPool(ctx, holder, ask); err == nil {
			return answer, true
		}
	}
	// An empty roster is no sign of isolation: a starting node has not read it for
	// some milliseconds.
	if len(holders) > 0 {
		a.setIsolated(ask.Organisation, true)
	}
	return PoolAnswer{}, false
}

// takeFromDomainPool takes from the domain pool or, if that does not answer either,
// from this node's own part.
func (a *Allowance) takeFromDomainPool(ctx context.Context, ask PoolRequest, holders []Holder) PoolAnswer {
	ask.Apart = true
	for attempts := 0; ; attempts++ {
		holder := a.domainHolder(ask.Organisation, holders)
		if holder.ID == a.config.Node {
			break
		}
		if attempts == maxPoolAttempts {
			a.fallBackToOwnPart(ask.Organisation)
			break
		}
		if answer, err := a.askPool(ctx, holder, ask); err == nil {
			return answer
		}
	}
	// A node that has not read the roster must not record a loan of its assumed,
	// small part to itself: after it read the roster, its actual part would count
	// nowhere for 2.5 s.
	if len(holders) > 0 {
		ask.Starts = a.lend(ask.Organisation, a.config.Node, true)
	}
	return a.config.DomainPool.Take(ask)
}

// askPool lends this node's part to another node's pool and takes from that pool.
func (a *Allowance) askPool(ctx context.Context, holder Holder, ask PoolRequest) (PoolAnswer, error) {
	ask.Starts = a.lend(ask.Organisation, holder.ID, ask.Apart)
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	answer, err := a.config.Take(ctx, holder.Address, ask)
	if err != nil {
		a.suspect(holder, err)
		a.undoLend(ask.Organisation, holder.ID, ask.Apart, err)
		return answer, err
	}
	a.recordLevel(ask.Organisation, answer.Level)
	return answer, nil
}

// poolLevel is how full a pool was, from 0 to 1.
type poolLevel struct {
	level float64
	at    time.Time
}

const (
	// highLevel is the least level of the pool of an organisation that asks for less than its
	// allowance, and levelTTL how long it is known from an answer.
	highLevel = 0.25
	levelTTL  = 2 * time.Second
)

// isHigh reports whether the organisation has asked for less than its allowance lately.
func (p poolLevel) isHigh(now time.Time) bool { return p.isKnown(now) && p.level >= highLevel }

// isLow reports whether the organisation has lately asked for as much as its allowance or more.
func (p poolLevel) isLow(now time.Time) bool { return p.isKnown(now) && p.level < highLevel }

func (p poolLevel) isKnown(now time.Time) bool { return !p.at.IsZero() && now.Sub(p.at) <= levelTTL }

// recordLevel records how full a pool was when it answered.
func (a *Allowance) recordLevel(organisation string, level float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.levels[organisation] = poolLevel{
		level: level,
		at:    a.config.Now(),
	}
}
