package entry

import (
	"context"

	"zinniamast/limits"
	"zinniamast/peer"
	"zinniamast/routes"
)

// allowanceName is the name under which nodes ask each other's pools.
const allowanceName = "Allowance"

// divideAllowances builds what bounds organisations over all nodes.
func (e *Entry) divideAllowances() {
	s := e.config.Settings
	tolerance := limits.Tolerance{
		Window:  s.Bounds.QuotaWindow,
		Overage: s.Bounds.QuotaOverage,
		Slack:   s.Bounds.QuotaSlack,
	}
	pool := limits.PoolConfig{
		Organisation: e.organisation,
		Tolerance:    tolerance,
	}
	e.pools = limits.NewPool(pool)
	pool.IsDomainPool = true
	e.domainPool = limits.NewPool(pool)
	e.allowance = limits.NewAllowance(limits.AllowanceConfig{
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Holders:       e.holders,
		Take:          e.askPool,
		Renew:         e.renewLoans,
		NotSent:       peer.DidNotRun,
		Organisations: e.organisations,
		FleetPool:     e.pools,
		DomainPool:    e.domainPool,
		Logger:        e.config.Logger,
	})
}

func (e *Entry) organisations() []routes.Organisation {
	if current := e.routes.Current(); current != nil {
		return current.Organisations
	}
	return nil
}

func (e *Entry) organisation(name string) *routes.Organisation {
	all := e.organisations()
	for i := range all {
		if all[i].Name == name {
			return &all[i]
		}
	}
	return nil
}

// holders are all instances on the roster; this one before the roster is read.
func (e *Entry) holders() []limits.Holder {
	instances := e.roster.Instances()
	holders := make([]limits.Holder, 0, len(instances))
	for _, instance := range instances {
		holders = append(holders, limits.Holder{
			ID:            instance.ID,
			FailureDomain: instance.FailureDomain,
			Address:       instance.Address,
		})
	}
	return holders
}

// askPool asks another node.
func (e *Entry) askPool(ctx context.Context, address string, ask limits.PoolRequest) (limits.PoolAnswer, error) {
	var answer limits.PoolAnswer
	err := e.pool.Call(ctx, address, allowanceName+".Take", ask, &answer)
	return answer, err
}

// renewLoans lends this node's parts to another one's pools again.
func (e *Entry) renewLoans(ctx context.Context, address string, renewal limits.PoolRenewal) error {
	return e.pool.Call(ctx, address, allowanceName+".Renew", renewal, &struct{}{})
}

// Pools answers other nodes that ask this one's pools.
type Pools struct {
	pool       *limits.Pool
	domainPool *limits.Pool
}

func (p *Pools) of(apart bool) *limits.Pool {
	if apart {
		return p.domainPool
	}
	return p.pool
}

// Take takes from an organisation's pool.
func (p *Pools) Take(ask limits.PoolRequest, answer *limits.PoolAnswer) error {
	*answer = p.of(ask.Apart).Take(ask)
	return nil
}

// Renew takes a node's loans again.
func (p *Pools) Renew(renewal limits.PoolRenewal, _ *struct{}) error {
	p.of(renewal.Apart).RenewAll(renewal)
	return nil
}
