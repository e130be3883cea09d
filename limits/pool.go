package limits

import (
	"sync"
	"time"

	"zinniamast/routes"
)

// poolLease is how long a node's part stays with a pool after the node's last word.
const poolLease = 2 * time.Second

// PoolConfig says what a pool divides.
type PoolConfig struct {
	// Organisation returns an organisation as configured, or nil.
	Organisation func(name string) *routes.Organisation
	// Tolerance is what may be given out beyond the allowances.
	Tolerance Tolerance
	// Now tells the time; nil is time.Now.
	Now func() time.Time
}

// Pool gives out the parts of allowances that nodes have lent to this one.
//
// A node that lends its part uses none of it itself until the loan has run
// out, by its own clock and with a margin. Whatever nodes think of who holds a
// pool, the parts in all pools and those in use add up to at most the whole.
type Pool struct {
	config PoolConfig

	mu      sync.Mutex
	buckets map[string]*pooled
}

// pooled is one organisation's bucket.
type pooled struct {
	left  float64
	at    time.Time
	loans map[string]loan
}

// loan is one node's part and how long it stays.
type loan struct {
	part  float64
	until time.Time
}

// NewPool returns a pool without loans.
func NewPool(config PoolConfig) *Pool {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Pool{
		config:  config,
		buckets: map[string]*pooled{},
	}
}

// Renew renews a node's loan of its part.
func (p *Pool) Renew(node string, part float64, organisation string) {
	p.Take(PoolAsk{
		Node:         node,
		Part:         part,
		Organisation: organisation,
	})
}

// Take renews a node's loan of its part and takes an amount; an amount of zero
// only renews. Where there is not enough it returns when there will be.
func (p *Pool) Take(ask PoolAsk) (time.Duration, bool) {
	o := p.config.Organisation(ask.Organisation)
	if o == nil || o.Rate <= 0 {
		return 0, true
	}
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[ask.Organisation]
	if !ok {
		b = &pooled{
			at:    now,
			loans: map[string]loan{},
		}
		p.buckets[ask.Organisation] = b
	}
	total := b.fill(o, p.config.Tolerance, now)
	if old, lent := b.loans[ask.Node]; !lent || old.part != ask.Part {
		total += ask.Part - old.part
	}
	b.loans[ask.Node] = loan{
		part:  ask.Part,
		until: now.Add(poolLease),
	}
	return take(&b.left, ask.Amount, ask.Keep, o.Rate*total, p.config.Tolerance.burst(o)*total)
}

// fill adds what has come since the last time, and returns the sum of the
// parts that are still lent.
func (b *pooled) fill(o *routes.Organisation, t Tolerance, now time.Time) float64 {
	total := 0.0
	for node, l := range b.loans {
		since := min(now.Sub(b.at), max(0, l.until.Sub(b.at)))
		b.left += o.Rate * l.part * since.Seconds()
		if now.After(l.until) {
			delete(b.loans, node)
			continue
		}
		total += l.part
	}
	b.at = now
	b.left = min(b.left, t.burst(o)*total)
	return total
}

// Tolerance is what the fleet may give out beyond an allowance: in any Window
// the part Overage of it, and Slack tokens more.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Of the tolerated excess the pools give out one part, and nodes that cannot
// reach a pool another; the rest is for nodes that have just come and for loans
// that were delayed on their way.
const (
	pooledTolerance = 0.6
	ownTolerance    = 0.2
)

// excess is what may be given out beyond the allowance in one window.
func (t Tolerance) excess(o *routes.Organisation) float64 {
	excess := t.Overage * (o.Rate*t.Window.Seconds() + o.Burst)
	if o.ByTokens {
		excess += t.Slack
	}
	return excess
}

// burst is what may be given out at once: the organisation's burst, and a part
// of the tolerated excess for requests of very different sizes.
func (t Tolerance) burst(o *routes.Organisation) float64 {
	return o.Burst + pooledTolerance*t.excess(o)
}

// maxAllowanceWait bounds the time a caller is told to stay away: what is
// predicted beyond it is a guess.
const maxAllowanceWait = 10 * time.Second

// take takes an amount from a bucket in which something is to be left. One
// larger than the whole bucket may go when it is full and leaves a debt, or it
// could never go.
func take(left *float64, amount, keep, rate, burst float64) (time.Duration, bool) {
	need := min(amount+min(keep, keepPart*burst), burst)
	if amount == 0 || *left >= need && burst > 0 {
		*left -= amount
		return 0, true
	}
	if rate <= 0 {
		return maxAllowanceWait, false
	}
	return min(time.Duration((need-*left)/rate*float64(time.Second)), maxAllowanceWait), false
}
