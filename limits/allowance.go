package limits

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast/routes"
)

const (
	// loanMargin is how much longer than the pool a node believes in its loan:
	// the call that renewed it may have been on its way for callTimeout.
	loanMargin = 500 * time.Millisecond
	// poolTimeout bounds one call to a pool; a crossing between failure domains takes some milliseconds.
	poolTimeout = 120 * time.Millisecond
	// shunPool is how long a node that did not answer is not asked.
	shunPool = 2 * time.Second
	// aloneFor is how long a node that reaches no pool uses its own part before
	// it asks again: asking lends the part once more, and one that asked all the
	// time would never have it.
	aloneFor = 10 * time.Second
	// renewInterval is how often loans are renewed that no request renews.
	renewInterval = 700 * time.Millisecond
	// poolsTried is how many nodes a request asks before it is judged here.
	poolsTried = 2
)

// Holder is a node that may hold pools.
type Holder struct {
	// ID names it, and Address is where it is asked.
	ID      string
	Address string
}

// PoolAsk is one call to another node's pool.
type PoolAsk struct {
	// Node lends its Part of the allowance.
	Node string
	Part float64
	// Organisation and Amount are what is taken.
	Organisation string
	Amount       float64
	// Keep is what must be left for more urgent requests.
	Keep float64
}

// keepTimes is how many times its own amount a request must leave for more
// urgent ones of its organisation, by its rank; later ranks are as the last.
//
// Load: an organisation sends six times its usual. Whoever finds its amount in
// the allowance takes it, and small requests find theirs more often: of those
// above 8,000 tokens nine in ten were refused, of those below 1,500 one in
// twenty, though the long ones were the most urgent. Left a few times their own
// amount, requests of the second rank still come through, since they are short,
// and those of the third only where they are very short or there is plenty.
var keepTimes = []float64{0, 4, 16}

// keepPart bounds what is kept, as a part of what the allowance can hold: an
// organisation well within its allowance has more than that left, and none of its
// requests is refused for others' sake.
const keepPart = 0.3

// keepFor returns what a request must leave.
func keepFor(amount float64, rank int) float64 {
	return amount * keepTimes[min(max(rank, 0), len(keepTimes)-1)]
}

// PoolRenewal lends a node's Part of several allowances again.
type PoolRenewal struct {
	Node          string
	Part          float64
	Organisations []string
}

// PoolAnswer is a pool's word.
type PoolAnswer struct {
	Granted bool
	// Wait is when to ask again.
	Wait time.Duration
}

// AllowanceConfig says how a node divides organisations' allowances.
type AllowanceConfig struct {
	// Node is this instance's name.
	Node string
	// Holders returns all nodes, this one included.
	Holders func() []Holder
	// Ask asks another node's pool.
	Ask func(ctx context.Context, address string, ask PoolAsk) (PoolAnswer, error)
	// Renew renews loans to another node's pools.
	Renew func(ctx context.Context, address string, renewal PoolRenewal) error
	// Organisations returns those with an allowance, whose loans are renewed.
	Organisations func() []routes.Organisation
	// Pool is this node's own.
	Pool *Pool
	// Tolerance is what may be given out beyond the allowances.
	Tolerance Tolerance
	// Logger hears of pools that do not answer; nil means slog's default.
	Logger *slog.Logger
	// Now tells the time; nil is time.Now.
	Now func() time.Time
}

// Allowance takes from organisations' allowances. Each organisation's is
// pooled at one node, found by hashing; a node that reaches no pool gives out
// its own part.
//
// Load: requests of one organisation differ in size by a factor of fifty, and
// callers come unevenly to the nodes. Divided into fixed parts, an allowance
// that is half used refuses the largest requests; pooled, it admits them.
type Allowance struct {
	config AllowanceConfig

	mu sync.Mutex
	// lent holds until when this node's part is with another's pool.
	lent map[string]time.Time
	// own holds this node's buckets for the time without a pool.
	own map[string]*ownBucket
	// shunned holds until when a node is not asked.
	shunned map[string]time.Time
	// alone holds until when no pool is asked for an organisation.
	alone map[string]time.Time
}

type ownBucket struct {
	left    float64
	reserve float64
	at      time.Time
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
		lent:    map[string]time.Time{},
		own:     map[string]*ownBucket{},
		shunned: map[string]time.Time{},
		alone:   map[string]time.Time{},
	}
}

// Run keeps this node's parts lent until ctx ends, so that a pool has the
// whole allowance also while few ask.
func (a *Allowance) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		a.Renew(ctx)
	}
}

// Renew lends this node's parts again, in one call for each node that holds
// pools: with a call for each organisation a node of a deployment with sixteen
// would make 23 calls a second.
func (a *Allowance) Renew(ctx context.Context) {
	holders := a.config.Holders()
	part := partOf(holders)
	batches := map[Holder][]string{}
	organisations := a.config.Organisations()
	for i := range organisations {
		o := &organisations[i]
		if o.Rate <= 0 || a.isAlone(o.Name) {
			continue
		}
		if holder, ok := a.holder(o.Name, holders); ok {
			batches[holder] = append(batches[holder], o.Name)
		}
	}
	for holder, names := range batches {
		if holder.ID == a.config.Node {
			a.renewHere(names, part)
			continue
		}
		a.lend(names)
		asked, cancel := context.WithTimeout(ctx, poolTimeout)
		err := a.config.Renew(asked, holder.Address, PoolRenewal{
			Node:          a.config.Node,
			Part:          part,
			Organisations: names,
		})
		cancel()
		if err != nil {
			a.shun(holder, err)
		}
	}
}

// renewHere keeps this node's parts in its own pools.
func (a *Allowance) renewHere(names []string, part float64) {
	for _, name := range names {
		if a.free(name) {
			a.config.Pool.Renew(a.config.Node, part, name)
		}
	}
}

// lend notes, before a call goes out, that this node's parts are lent: whether
// the call arrives is not known.
func (a *Allowance) lend(names []string) {
	until := a.config.Now().Add(poolLease + loanMargin)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range names {
		a.lent[name] = until
		if b, ok := a.own[name]; ok {
			b.left = 0
		}
	}
}

// Take takes an amount for a request of a rank, the most urgent being 0, or
// returns when it will be there.
func (a *Allowance) Take(ctx context.Context, o *routes.Organisation, amount float64, rank int) (time.Duration, bool) {
	keep := keepFor(amount, rank)
	answer, ok := a.pooled(ctx, o, amount, keep)
	if ok {
		return answer.Wait, answer.Granted
	}
	return a.takeOwn(o, amount, keep)
}

// pooled asks the organisation's pool; false means that none answered.
func (a *Allowance) pooled(ctx context.Context, o *routes.Organisation, amount, keep float64) (PoolAnswer, bool) {
	if a.isAlone(o.Name) {
		return PoolAnswer{}, false
	}
	holders := a.config.Holders()
	part := partOf(holders)
	ask := PoolAsk{
		Node:         a.config.Node,
		Part:         part,
		Organisation: o.Name,
		Amount:       amount,
		Keep:         keep,
	}
	for range poolsTried {
		holder, ok := a.holder(o.Name, holders)
		if !ok {
			break
		}
		if holder.ID == a.config.Node {
			if !a.free(o.Name) {
				break
			}
			wait, granted := a.config.Pool.Take(ask)
			return PoolAnswer{
				Granted: granted,
				Wait:    wait,
			}, true
		}
		answer, err := a.ask(ctx, holder, ask)
		if err == nil {
			return answer, true
		}
		a.shun(holder, err)
	}
	a.leaveAlone(o.Name)
	return PoolAnswer{}, false
}

func (a *Allowance) isAlone(organisation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config.Now().Before(a.alone[organisation])
}

// leaveAlone asks no pool until this node's part has come back and was used for a while.
func (a *Allowance) leaveAlone(organisation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.alone[organisation] = a.lent[organisation].Add(aloneFor)
}

// unknownNodes is how many nodes a node reckons with that knows of none: one
// that starts during an outage of the store must not take the whole for its part.
const unknownNodes = 64

// partOf is each node's part of an allowance.
func partOf(holders []Holder) float64 {
	if len(holders) == 0 {
		return 1.0 / unknownNodes
	}
	return 1 / float64(len(holders))
}

// ask lends this node's part and takes from the pool.
func (a *Allowance) ask(ctx context.Context, holder Holder, ask PoolAsk) (PoolAnswer, error) {
	a.lend([]string{ask.Organisation})
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	return a.config.Ask(ctx, holder.Address, ask)
}

// free says whether this node's part is not lent.
func (a *Allowance) free(organisation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.config.Now().Before(a.lent[organisation])
}

// holder returns the node with the highest hash for an organisation among
// those that answer.
func (a *Allowance) holder(organisation string, holders []Holder) (Holder, bool) {
	now := a.config.Now()
	seed := xxh3.HashString(organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	best, highest, found := Holder{}, uint64(0), false
	for _, h := range holders {
		if now.Before(a.shunned[h.ID]) {
			continue
		}
		if hash := xxh3.HashStringSeed(h.ID, seed); !found || hash > highest {
			best, highest, found = h, hash, true
		}
	}
	return best, found
}

func (a *Allowance) shun(holder Holder, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shunned[holder.ID] = a.config.Now().Add(shunPool)
	a.config.Logger.Info("pool does not answer", "node", holder.ID, "cause", err)
}

// takeOwn takes from this node's own part, or while that is lent from its
// reserve, a part of the tolerated excess that is never lent.
func (a *Allowance) takeOwn(o *routes.Organisation, amount, keep float64) (time.Duration, bool) {
	part := partOf(a.config.Holders())
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.own[o.Name]
	if !ok {
		b = &ownBucket{
			at: now,
		}
		a.own[o.Name] = b
	}
	until := a.lent[o.Name]
	from := b.at
	if until.After(from) {
		from = until
	}
	rate, burst := o.Rate*part, o.Burst*part
	b.left = min(burst, b.left+rate*max(0, now.Sub(from).Seconds()))
	spare := ownTolerance * a.config.Tolerance.excess(o) * part
	b.reserve = min(spare, b.reserve+spare*now.Sub(b.at).Seconds()/a.config.Tolerance.Window.Seconds())
	b.at = now
	if amount <= b.reserve {
		b.reserve -= amount
		return 0, true
	}
	if now.Before(until) {
		return until.Sub(now), false
	}
	return take(&b.left, amount, keep, rate, burst)
}
