package limits

import (
	"context"
	"math"
	"time"
)

// outgoingLoan records to which pool this node has lent its part of an allowance.
type outgoingLoan struct {
	// holder is the ID of the pool's node; domainPool means that the pool is a domain
	// pool.
	holder     string
	domainPool bool
	// from and until bound the period in which this node assumes that its part counts
	// in that pool.
	from  time.Time
	until time.Time
	// calls is the number of calls that lent the part to this pool and may have
	// arrived; previous is the loan before the first of them.
	calls    int
	previous *outgoingLoan
}

// Run keeps this node's parts lent until ctx ends, so that a pool has the whole
// allowance even if few nodes receive requests.
//
// It lends the parts as soon as the roster and the organisations are known: if all
// nodes restart after a power loss and each lends its part only with its first
// request or after a whole interval, the new pools have few parts and refuse
// callers well within their allowances.
func (a *Allowance) Run(ctx context.Context) {
	for len(a.config.Holders()) == 0 || len(a.config.Organisations()) == 0 {
		select {
		case <-time.After(rosterPollInterval):
		case <-ctx.Done():
			return
		}
	}
	a.Renew(ctx)
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

// batch identifies the pool whose loans are renewed in one call.
type batch struct {
	holder     Holder
	domainPool bool
}

// Renew renews the loans of this node's parts, in one call to each node that holds
// pools. With one call per organisation, a node would make 23 calls a second in a
// deployment with sixteen organisations.
func (a *Allowance) Renew(ctx context.Context) {
	holders := a.config.Holders()
	a.probe(ctx, holders)
	a.rejoin(ctx, holders)
	batches := map[batch][]string{}
	organisations := a.config.Organisations()
	for i := range organisations {
		o := &organisations[i]
		if o.Rate <= 0 {
			continue
		}
		if a.isIsolated(o.Name) {
			key := batch{
				holder:     a.domainHolder(o.Name, holders),
				domainPool: true,
			}
			batches[key] = append(batches[key], o.Name)
			continue
		}
		if holder, ok := a.fleetHolder(o.Name, holders); ok {
			key := batch{
				holder: holder,
			}
			batches[key] = append(batches[key], o.Name)
		}
	}
	for key, names := range batches {
		if a.renewBatch(ctx, key, names, a.part(holders)) || key.domainPool || a.reachesOutside(ctx, holders) {
			continue
		}
		// Nodes without requests must lend their parts to the domain pool as well.
		for _, name := range names {
			a.setIsolated(name, true)
		}
	}
}

// renewBatch renews the loans of one batch and reports whether the call succeeded.
func (a *Allowance) renewBatch(ctx context.Context, key batch, names []string, part float64) bool {
	renewal := PoolRenewal{
		Node:  a.config.Node,
		Part:  part,
		Apart: key.domainPool,
	}
	for _, name := range names {
		renewal.Loans = append(renewal.Loans, PoolLoan{
			Organisation: name,
			Starts:       a.lend(name, key.holder.ID, key.domainPool),
		})
	}
	if key.holder.ID == a.config.Node {
		a.recordLevels(renewal, a.pool(key.domainPool).RenewAll(renewal))
		return true
	}
	return a.callRenew(ctx, key.holder, renewal)
}

// callRenew sends a renewal to another node and reports whether the call succeeded.
func (a *Allowance) callRenew(ctx context.Context, holder Holder, renewal PoolRenewal) bool {
	callCtx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	answer, err := a.config.Renew(callCtx, holder.Address, renewal)
	if err != nil {
		a.suspect(holder, err)
		for _, loan := range renewal.Loans {
			a.undoLend(loan.Organisation, holder.ID, renewal.Apart, err)
		}
		return false
	}
	a.recordLevels(renewal, answer)
	return true
}

// recordLevels records how full the pools were whose loans were renewed.
func (a *Allowance) recordLevels(renewal PoolRenewal, answer PoolRenewalAnswer) {
	for i, level := range answer.Levels[:min(len(answer.Levels), len(renewal.Loans))] {
		a.recordLevel(renewal.Loans[i].Organisation, level)
	}
}

// probe calls suspected nodes that are due, until maxFailedProbes of them have not
// answered.
//
// A probe lends nothing: if a partitioned node retried its pool's node every two
// seconds with a loan, each attempt would lend its part for 2.5 s to a pool that it
// cannot reach, so the part would count nowhere for the whole partition.
func (a *Allowance) probe(ctx context.Context, holders []Holder) {
	failed := 0
	for _, holder := range a.suspectsDue(holders) {
		if failed == maxFailedProbes {
			return
		}
		if !a.callRenew(ctx, holder, PoolRenewal{
			Node: a.config.Node,
		}) {
			failed++
			continue
		}
		a.mu.Lock()
		delete(a.suspected, holder.ID)
		a.mu.Unlock()
	}
}

// rejoin probes nodes outside the failure domain and returns to the fleet pools if
// one answers. The probes lend nothing, since a loan with each attempt would leave
// the part counting nowhere for the duration of a loan.
func (a *Allowance) rejoin(ctx context.Context, holders []Holder) {
	isolated := a.isolatedOrganisations()
	if len(isolated) == 0 {
		return
	}
	if !a.reachesOutside(ctx, holders) {
		return
	}
	for _, name := range isolated {
		a.setIsolated(name, false)
	}
}

// reachesOutside reports whether a node outside the failure domain (any other node
// if there is one domain) answers; it returns true if there is none. It tries
// several nodes, since after a power loss most are not running yet.
func (a *Allowance) reachesOutside(ctx context.Context, holders []Holder) bool {
	for range maxFailedProbes {
		other, exists := a.outsideHolder(holders)
		if !exists {
			return true
		}
		if other.ID == "" {
			return false
		}
		if a.callRenew(ctx, other, PoolRenewal{
			Node: a.config.Node,
		}) {
			return true
		}
	}
	return false
}

// lend records that this node's part is lent. It runs before the call is sent,
// since it is not known whether the call arrives. It returns the delay after which
// the part counts in the new pool. A part that moves counts there only once the old loan
// has expired, so that it never counts twice: the node of the old pool may only be late, and
// grant from it to other nodes.
//
// If the old pool was well filled lately, the organisation asks for less than its allowance.
// A part that moves to another node's fleet pool then counts at once, since requests within the
// allowance would otherwise be refused whenever the node of a pool dies.
func (a *Allowance) lend(organisation, holder string, domainPool bool) time.Duration {
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.outgoing[organisation]
	if l.holder != holder || l.domainPool != domainPool {
		from := now
		mayCountTwice := !l.domainPool && !domainPool && holder != a.config.Node && a.levels[organisation].isHigh(now)
		if l.until.After(now) && !mayCountTwice {
			from = l.until
		}
		old := l
		old.previous = nil
		l = outgoingLoan{
			holder:     holder,
			domainPool: domainPool,
			from:       from,
			previous:   &old,
		}
		if old.holder != "" {
			a.config.Logger.Info("part of allowance moves", "organisation", organisation, "from", old.holder, "to", holder,
				"domain_pool", domainPool, "level", math.Round(100*a.levels[organisation].level)/100, "counts_after", max(0, from.Sub(now)).Round(time.Millisecond))
		}
	}
	l.calls++
	starts := max(0, l.from.Sub(now))
	l.until = now.Add(poolLease + loanMargin)
	a.outgoing[organisation] = l
	return starts
}

// undoLend reverts lend for a call that certainly did not arrive, unless another
// call has lent the part to the same pool.
//
// If all nodes lose power and the node that holds a pool starts last, every other
// node that calls it would otherwise record its part as lent there and could not
// use it for 2.5 s, although nothing was sent.
func (a *Allowance) undoLend(organisation, holder string, domainPool bool, err error) {
	if a.config.NotSent == nil || !a.config.NotSent(err) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.outgoing[organisation]
	if l.holder != holder || l.domainPool != domainPool {
		return
	}
	l.calls--
	if l.calls == 0 && l.previous != nil {
		l = *l.previous
	}
	a.outgoing[organisation] = l
}
