package limits

import (
	"sync"
	"time"

	"zinniamast/routes"
)

// poolLease is how long a loan is valid after the node's last call to the pool.
const poolLease = 2 * time.Second

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Organisation returns an organisation's configuration, or nil if it has none.
	Organisation func(name string) *routes.Organisation
	// Tolerance bounds what may be granted beyond the allowances.
	Tolerance Tolerance
	// IsDomainPool marks a domain pool, which serves nodes that cannot reach a fleet pool.
	// It has its own part of the tolerance, which it may grant before the nodes'
	// parts count here.
	IsDomainPool bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Pool grants tokens from the parts of allowances that nodes have lent to this node.
//
// A node that lends its part does not use it until the loan has expired by the
// node's own clock plus a margin. Therefore the parts in all pools and those that
// nodes use themselves never add up to more than the whole allowance, even if
// nodes disagree on which node holds the pool.
type Pool struct {
	config PoolConfig

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is one organisation's token bucket.
type bucket struct {
	tokens   float64
	filledAt time.Time
	loans    map[string]loan
	// counted and pending are the sums of the parts that count at filledAt and of those that
	// begin later, countedLoans is the number of the former.
	counted, pending float64
	countedLoans     int
	// nextChange is no later than the next time at which a loan begins or expires. Until then
	// the sums hold, so that a request does not look at the loans of all nodes.
	nextChange time.Time
	// reserve is the remaining tolerance for parts that do not count anywhere yet
	// and, in a domain pool, for all parts.
	reserve float64
	// credited holds the nodes whose part has been credited.
	credited map[string]bool
}

// loan is one node's part and the period in which it counts here.
type loan struct {
	part  float64
	from  time.Time
	until time.Time
}

// NewPool returns a pool without loans.
func NewPool(config PoolConfig) *Pool {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Pool{
		config:  config,
		buckets: map[string]*bucket{},
	}
}

// RenewAll renews a node's loans of its part of several allowances.
func (p *Pool) RenewAll(renewal PoolRenewal) PoolRenewalAnswer {
	var answer PoolRenewalAnswer
	for _, loan := range renewal.Loans {
		renewed := p.Take(PoolRequest{
			Node:         renewal.Node,
			Part:         renewal.Part,
			Starts:       loan.Starts,
			Organisation: loan.Organisation,
		})
		answer.Levels = append(answer.Levels, renewed.Level)
	}
	return answer
}

// Take renews a node's loan of its part and takes an amount; an amount of zero
// only renews. If there are not enough tokens, the answer has the time until there
// will be.
func (p *Pool) Take(ask PoolRequest) PoolAnswer {
	o := p.config.Organisation(ask.Organisation)
	if o == nil || o.Rate <= 0 {
		return PoolAnswer{
			Granted: true,
		}
	}
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.buckets[ask.Organisation]
	if !ok {
		b = &bucket{
			filledAt: now,
			loans:    map[string]loan{},
			credited: map[string]bool{},
		}
		p.buckets[ask.Organisation] = b
	}
	p.refill(b, o, now)
	b.renew(ask, now)
	p.credit(b, o, ask)
	part := b.countedPart()
	if ask.Amount <= b.reserve {
		b.reserve -= ask.Amount
		return PoolAnswer{
			Granted: true,
			Level:   p.level(b, o),
		}
	}
	if part == 0 {
		return p.answerWithoutParts(b, o, ask, now)
	}
	wait, granted := take(&b.tokens, ask.Amount, ask.Keep, o.Rate*part, p.burst(o)*part)
	return PoolAnswer{
		Granted: granted,
		Wait:    wait,
		Level:   p.level(b, o),
	}
}

// level returns how full the part of the allowance is that counts here, from 0 to 1.
func (p *Pool) level(b *bucket, o *routes.Organisation) float64 {
	return max(0, b.tokens) / max(1, p.burst(o)*b.countedPart())
}

// countedPart returns the part of the allowance that counts here. Nodes whose rosters are of different
// ages lend parts that add up to more than the whole.
func (b *bucket) countedPart() float64 { return min(b.counted, 1) }

// answerWithoutParts answers while no part counts here yet. The wait is the time
// until the first part counts plus the time to fill the amount.
func (p *Pool) answerWithoutParts(b *bucket, o *routes.Organisation, ask PoolRequest, now time.Time) PoolAnswer {
	firstFrom, pending := time.Time{}, 0.0
	for _, l := range b.loans {
		if firstFrom.IsZero() || l.from.Before(firstFrom) {
			firstFrom = l.from
		}
		pending += l.part
	}
	if ask.Amount == 0 || pending == 0 {
		return PoolAnswer{
			Granted: ask.Amount == 0,
			Wait:    maxAllowanceWait,
		}
	}
	tokens := 0.0
	wait, _ := take(&tokens, ask.Amount, ask.Keep, o.Rate*pending, p.burst(o)*pending)
	return PoolAnswer{
		Wait: min(firstFrom.Sub(now)+wait, maxAllowanceWait),
	}
}

// renew records a loan. A renewed loan keeps its start; a loan that expires before
// its start counts nowhere.
func (b *bucket) renew(ask PoolRequest, now time.Time) {
	from := now.Add(ask.Starts)
	if old, ok := b.loans[ask.Node]; ok {
		b.sum(old, now, -1)
		if ask.Starts == 0 {
			from = old.from
		}
	}
	l := loan{
		part:  ask.Part,
		from:  from,
		until: now.Add(poolLease),
	}
	b.loans[ask.Node] = l
	b.sum(l, now, 1)
}

// sum adds a loan to the sums (sign 1) or takes it out (sign -1).
func (b *bucket) sum(l loan, now time.Time, sign int) {
	if l.from.After(now) {
		b.pending += float64(sign) * l.part
		b.nextChange = earlier(b.nextChange, l.from)
	} else {
		b.counted += float64(sign) * l.part
		b.countedLoans += sign
	}
	if b.countedLoans == 0 {
		b.counted = 0 // differences of sums leave a remainder
	}
	b.nextChange = earlier(b.nextChange, l.until)
}

// credit adds initial tokens for a part that is lent here for the first time.
//
// If a pool's node dies or is partitioned, or all nodes lose power, the next pool
// would start empty and refuse organisations well within their allowances for a
// second or two, when most requests are lost anyway.
func (p *Pool) credit(b *bucket, o *routes.Organisation, ask PoolRequest) {
	if ask.Part == 0 || b.credited[ask.Node] {
		return
	}
	b.credited[ask.Node] = true
	credit := newPoolTolerance * p.config.Tolerance.excess(o) * ask.Part
	if p.config.IsDomainPool || ask.Starts > 0 {
		b.reserve += credit
		return
	}
	b.tokens += credit
}

// refill adds the tokens accrued since the last call and deletes expired loans.
func (p *Pool) refill(b *bucket, o *routes.Organisation, now time.Time) {
	if now.Before(b.nextChange) {
		b.tokens += o.Rate * b.countedPart() * max(0, now.Sub(b.filledAt).Seconds())
	} else {
		b.refillByLoan(o, now)
	}
	reserved := b.pending
	if p.config.IsDomainPool {
		reserved += b.counted
	}
	maxReserve := domainPoolTolerance * p.config.Tolerance.excess(o) * reserved
	b.reserve = min(maxReserve, b.reserve+maxReserve*now.Sub(b.filledAt).Seconds()/p.config.Tolerance.Window.Seconds())
	b.filledAt = now
	b.tokens = min(b.tokens, p.burst(o)*b.countedPart())
}

// refillByLoan adds the tokens of each loan since the last call and sums the loans that remain.
func (b *bucket) refillByLoan(o *routes.Organisation, now time.Time) {
	b.counted, b.pending, b.countedLoans = 0, 0, 0
	b.nextChange = now.Add(poolLease)
	accrued := 0.0
	for node, l := range b.loans {
		from, until := later(b.filledAt, l.from), earlier(now, l.until)
		accrued += l.part * max(0, until.Sub(from).Seconds())
		if now.After(l.until) {
			delete(b.loans, node)
			continue
		}
		b.sum(l, now, 1)
	}
	b.tokens += o.Rate * min(accrued, now.Sub(b.filledAt).Seconds())
}

// burst returns the capacity of a bucket to which the whole allowance is lent.
func (p *Pool) burst(o *routes.Organisation) float64 {
	if p.config.IsDomainPool {
		return o.Burst
	}
	return p.config.Tolerance.burst(o)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Tolerance bounds what the fleet may grant beyond an allowance: in any Window,
// the fraction Overage of it plus Slack tokens.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// These are the fractions of the tolerated excess for fleet pools, domain pools and
// pools that have just started; the rest covers loans that are delayed in transit.
const (
	fleetPoolTolerance  = 0.5
	domainPoolTolerance = 0.2
	newPoolTolerance    = 0.1
)

// excess returns what may be granted beyond the allowance in one window.
func (t Tolerance) excess(o *routes.Organisation) float64 {
	excess := t.Overage * (o.Rate*t.Window.Seconds() + o.Burst)
	if o.ByTokens {
		excess += t.Slack
	}
	return excess
}

// burst returns what may be granted at once: the organisation's burst, and a part
// of the tolerated excess because request sizes differ widely.
func (t Tolerance) burst(o *routes.Organisation) float64 {
	return o.Burst + fleetPoolTolerance*t.excess(o)
}

// maxAllowanceWait bounds retry times, since predictions further ahead are
// unreliable.
const maxAllowanceWait = 10 * time.Second

// take takes an amount from a bucket in which keep tokens must remain. An amount
// larger than the bucket's capacity is granted when the bucket is full and leaves
// it in debt, since it could never be granted otherwise.
func take(tokens *float64, amount, keep, rate, burst float64) (time.Duration, bool) {
	need := min(amount+min(keep, maxKeepPart*burst), burst)
	if amount == 0 || *tokens >= need && burst > 0 {
		*tokens -= amount
		return 0, true
	}
	if rate <= 0 {
		return maxAllowanceWait, false
	}
	return min(time.Duration((need-*tokens)/rate*float64(time.Second)), maxAllowanceWait), false
}
