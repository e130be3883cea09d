package limits

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"zinniamast/routes"
)

const (
	// loanMargin is how much longer than the pool a node believes in its loan:
	// the call that renewed it may have been on its way for callTimeout.
	loanMargin = 500 * time.Millisecond
	// poolTimeout bounds one call to a pool; a crossing between failure domains takes some milliseconds.
	poolTimeout = 120 * time.Millisecond
	// shunPool is how long a node that did not answer is not probed.
	shunPool = 2 * time.Second
	// renewInterval is how often loans are renewed that no request renews.
	renewInterval = 700 * time.Millisecond
	// rosterPoll is how often a node that has just started looks whether it knows
	// the others.
	rosterPoll = 20 * time.Millisecond
	// aloneFor is how long a node that does not reach its failure domain's pool
	// uses its own part before it asks again: asking lends the part once more, and
	// one that asked all the time would never have it.
	aloneFor = 10 * time.Second
	// probesFailed bounds the probes of one renewal that are not answered.
	probesFailed = 3
	// poolsTried is how many nodes a request asks before it is judged here.
	poolsTried = 2
)

// AllowanceConfig says how a node divides organisations' allowances.
type AllowanceConfig struct {
	// Node is this instance's name, and FailureDomain is where it runs.
	Node          string
	FailureDomain string
	// Holders returns all nodes, this one included.
	Holders func() []Holder
	// Ask asks another node's pool.
	Ask func(ctx context.Context, address string, ask PoolAsk) (PoolAnswer, error)
	// Renew renews loans to another node's pools.
	Renew func(ctx context.Context, address string, renewal PoolRenewal) error
	// NotSent says whether an error of Ask or Renew proves that the call did not
	// arrive; nil means that none does.
	NotSent func(err error) bool
	// Organisations returns those with an allowance, whose loans are renewed.
	Organisations func() []routes.Organisation
	// Pool is this node's own, and Apart its pool for nodes of its failure domain
	// that reach no pool of the fleet.
	Pool  *Pool
	Apart *Pool
	// Logger hears of pools that do not answer; nil means slog's default.
	Logger *slog.Logger
	// Now tells the time; nil is time.Now.
	Now func() time.Time
}

// Allowance takes from organisations' allowances. Each organisation's is
// pooled at one node, found by hashing; nodes that reach no such pool share
// their parts in one of their failure domain.
//
// Load: requests of one organisation differ in size by a factor of fifty, and
// callers come unevenly to the nodes. Divided into fixed parts, an allowance
// that is half used refuses the largest requests; pooled, it admits them. The
// same holds while a failure domain is cut off: of its requests, at 0.6 of its
// part of the allowance, nodes with a part each refused 31 of 200, and with a
// pool of the domain none (TestCutOffFailureDomainPoolsItsParts).
type Allowance struct {
	config AllowanceConfig

	mu sync.Mutex
	// lent holds where this node's part of an organisation's allowance is.
	lent map[string]lending
	// shunned holds nodes that did not answer, and when they are probed.
	shunned map[string]time.Time
	// apart holds organisations whose pool of the fleet is not reached.
	apart map[string]bool
	// alone holds until when the failure domain's pool is not asked.
	alone map[string]time.Time
}

// NewAllowance returns an allowance without loans; Run renews them.
func NewAllowance(config AllowanceConfig) *Allowance {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Allowance{
		config:  config,
		lent:    map[string]lending{},
		shunned: map[string]time.Time{},
		apart:   map[string]bool{},
		alone:   map[string]time.Time{},
	}
}

// pool is this node's pool of a kind.
func (a *Allowance) pool(apart bool) *Pool {
	if apart {
		return a.config.Apart
	}
	return a.config.Pool
}

// Take takes an amount for a request of a rank, the most urgent being 0, or
// returns when it will be there.
func (a *Allowance) Take(ctx context.Context, o *routes.Organisation, amount float64, rank int) (time.Duration, bool) {
	holders := a.config.Holders()
	ask := PoolAsk{
		Node:         a.config.Node,
		Part:         partOf(holders),
		Organisation: o.Name,
		Amount:       amount,
		Keep:         keepFor(amount, rank),
	}
	answer, ok := a.pooled(ctx, ask, holders)
	if !ok {
		answer = a.takeApart(ctx, ask, holders)
	}
	return answer.Wait, answer.Granted
}

// pooled asks the organisation's pool of the fleet; false means that none answered.
func (a *Allowance) pooled(ctx context.Context, ask PoolAsk, holders []Holder) (PoolAnswer, bool) {
	if a.isApart(ask.Organisation) {
		return PoolAnswer{}, false
	}
	for range poolsTried {
		holder, ok := a.holder(ask.Organisation, holders)
		if !ok {
			break
		}
		if holder.ID == a.config.Node {
			ask.Starts = a.lend(ask.Organisation, holder.ID, false)
			return a.config.Pool.Answer(ask), true
		}
		if answer, err := a.ask(ctx, holder, ask); err == nil {
			return answer, true
		}
	}
	// A node that has just started knows of no other for some milliseconds.
	if len(holders) > 0 {
		a.setApart(ask.Organisation, true)
	}
	return PoolAnswer{}, false
}

// takeApart takes from the failure domain's pool, or, where that does not
// answer either, from this node's own part.
func (a *Allowance) takeApart(ctx context.Context, ask PoolAsk, holders []Holder) PoolAnswer {
	ask.Apart = true
	for tried := 0; ; tried++ {
		holder := a.domainHolder(ask.Organisation, holders)
		if holder.ID == a.config.Node {
			break
		}
		if tried == poolsTried {
			a.leaveAlone(ask.Organisation)
			break
		}
		if answer, err := a.ask(ctx, holder, ask); err == nil {
			return answer
		}
	}
	// Failure: a node that knew of no other yet noted its small part as lent to
	// itself; when it knew of them, its whole part counted nowhere for 2.5 s.
	if len(holders) > 0 {
		ask.Starts = a.lend(ask.Organisation, a.config.Node, true)
	}
	return a.config.Apart.Answer(ask)
}

// ask lends this node's part and takes from another node's pool.
func (a *Allowance) ask(ctx context.Context, holder Holder, ask PoolAsk) (PoolAnswer, error) {
	ask.Starts = a.lend(ask.Organisation, holder.ID, ask.Apart)
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	answer, err := a.config.Ask(ctx, holder.Address, ask)
	if err != nil {
		a.shun(holder, err)
		a.takeBack(ask.Organisation, holder.ID, ask.Apart, err)
	}
	return answer, err
}
