package limits

import (
	"context"
	"time"
)

// lending is where a part is.
type lending struct {
	// to is the pool's node, and apart says that it is a failure domain's pool.
	to    string
	apart bool
	// from is when the part counts there, and until when this node believes it does.
	from  time.Time
	until time.Time
	// calls are those that lent it there and may have arrived, and before is where
	// it was until the first of them.
	calls  int
	before *lending
}

// Run keeps this node's parts lent until ctx ends, so that a pool has the
// whole allowance also while few ask.
//
// Load: all nodes lose power and start together. A node that lent its part with
// its first request of an organisation, or after a whole interval, left the new
// pools with a few parts, and callers well within their allowances were refused.
func (a *Allowance) Run(ctx context.Context) {
	for len(a.config.Holders()) == 0 || len(a.config.Organisations()) == 0 {
		select {
		case <-time.After(rosterPoll):
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

// batch is what one call renews.
type batch struct {
	holder Holder
	apart  bool
}

// Renew lends this node's parts again, in one call for each node that holds
// pools: with a call for each organisation a node of a deployment with sixteen
// would make 23 calls a second.
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
		if a.isApart(o.Name) {
			at := batch{
				holder: a.domainHolder(o.Name, holders),
				apart:  true,
			}
			batches[at] = append(batches[at], o.Name)
			continue
		}
		if holder, ok := a.holder(o.Name, holders); ok {
			at := batch{
				holder: holder,
			}
			batches[at] = append(batches[at], o.Name)
		}
	}
	for at, names := range batches {
		if a.renewAt(ctx, at, names, partOf(holders)) || at.apart || a.reachesElsewhere(ctx, holders) {
			continue
		}
		// Parts of nodes without requests belong into the failure domain's pool too.
		for _, name := range names {
			a.setApart(name, true)
		}
	}
}

// renewAt renews the loans of one batch and says whether they were taken.
func (a *Allowance) renewAt(ctx context.Context, at batch, names []string, part float64) bool {
	renewal := PoolRenewal{
		Node:  a.config.Node,
		Part:  part,
		Apart: at.apart,
	}
	for _, name := range names {
		renewal.Loans = append(renewal.Loans, PoolLoan{
			Organisation: name,
			Starts:       a.lend(name, at.holder.ID, at.apart),
		})
	}
	if at.holder.ID == a.config.Node {
		a.pool(at.apart).RenewAll(renewal)
		return true
	}
	return a.callRenew(ctx, at.holder, renewal)
}

// callRenew says whether another node took a renewal.
func (a *Allowance) callRenew(ctx context.Context, holder Holder, renewal PoolRenewal) bool {
	asked, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	if err := a.config.Renew(asked, holder.Address, renewal); err != nil {
		a.shun(holder, err)
		for _, loan := range renewal.Loans {
			a.takeBack(loan.Organisation, holder.ID, renewal.Apart, err)
		}
		return false
	}
	return true
}

// probe asks nodes that did not answer, without lending, until it meets some
// that still do not.
//
// Failure: a node that is cut off tried its pool's node again every two seconds.
// Each try lent its part for 2.5 s to a pool that it did not reach, so that its
// part was nobody's for as long as the cut lasted.
func (a *Allowance) probe(ctx context.Context, holders []Holder) {
	failed := 0
	for _, holder := range a.suspects(holders) {
		if failed == probesFailed {
			return
		}
		if !a.callRenew(ctx, holder, PoolRenewal{
			Node: a.config.Node,
		}) {
			failed++
			continue
		}
		a.mu.Lock()
		delete(a.shunned, holder.ID)
		a.mu.Unlock()
	}
}

// rejoin asks one node elsewhere, without lending, whether it answers again, and
// goes back to the pools of the fleet if it does: to lend at each try would leave
// the part nowhere for the time of a loan.
func (a *Allowance) rejoin(ctx context.Context, holders []Holder) {
	apart := a.apartFrom()
	if len(apart) == 0 {
		return
	}
	if !a.reachesElsewhere(ctx, holders) {
		return
	}
	for _, name := range apart {
		a.setApart(name, false)
	}
}

// reachesElsewhere says whether a node elsewhere answers; true if there is none.
// Several are asked, since after a loss of power most are not back yet.
func (a *Allowance) reachesElsewhere(ctx context.Context, holders []Holder) bool {
	for range probesFailed {
		other, there := a.elsewhere(holders)
		if !there {
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

// lend notes, before a call goes out, that this node's part is lent: whether
// the call arrives is not known. It returns when the part counts there: what
// goes to or comes from a failure domain's pool, or comes back to this node,
// counts in one place alone. Where another node's pool of the fleet follows one,
// that one has mostly died.
func (a *Allowance) lend(organisation, to string, apart bool) time.Duration {
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lent[organisation]
	if l.to != to || l.apart != apart {
		from := now
		if (l.apart || apart || to == a.config.Node) && l.until.After(now) {
			from = l.until
		}
		old := l
		old.before = nil
		l = lending{
			to:     to,
			apart:  apart,
			from:   from,
			before: &old,
		}
	}
	l.calls++
	starts := max(0, l.from.Sub(now))
	l.until = now.Add(poolLease + loanMargin)
	a.lent[organisation] = l
	return starts
}

// takeBack undoes what lend noted for a call that surely did not arrive, where
// no other call lent the part there.
//
// Failure: all nodes lose power and the one that holds a pool starts last. Each
// other one that asks it notes its part as lent there and may not count it as its
// own for 2.5 s, though nothing was sent.
func (a *Allowance) takeBack(organisation, to string, apart bool, err error) {
	if a.config.NotSent == nil || !a.config.NotSent(err) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lent[organisation]
	if l.to != to || l.apart != apart {
		return
	}
	l.calls--
	if l.calls == 0 && l.before != nil {
		l = *l.before
	}
	a.lent[organisation] = l
}
