package entry

import (
	"context"

	"zinniamast/limits"
	"zinniamast/peer"
	"zinniamast/routes"
)

// allowanceName is the RPC service name of the pools of other nodes.
const allowanceName = "Allowance"

// buildAllowance builds the limits of organisations, which are divided among all nodes.
func (e *Entry) buildAllowance() {
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
	e.fleetPool = limits.NewPool(pool)
	pool.IsDomainPool = true
	e.domainPool = limits.NewPool(pool)
	e.allowance = limits.NewAllowance(limits.AllowanceConfig{
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Holders:       e.holders,
		Take:          e.takeFromPool,
		Renew:         e.renewLoans,
		NotSent:       peer.DidNotRun,
		Organisations: e.organisations,
		FleetPool:     e.fleetPool,
		DomainPool:    e.domainPool,
		Logger:        e.config.Logger,
	})
}

// organisations returns those of the current configuration.
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

// holders returns the instances that know each other; none before the roster is read.
func (e *Entry) holders() []limits.Holder {
	instances := e.roster.Established()
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

// takeFromPool renews this node's loan to a pool of another node and takes tokens from
// that pool.
func (e *Entry) takeFromPool(ctx context.Context, address string, request limits.PoolRequest) (limits.PoolAnswer, error) {
	var answer limits.PoolAnswer
	err := e.peerPool.Call(ctx, address, allowanceName+".Take", request, &answer)
	return answer, err
}

// renewLoans renews the loans of this node's parts to another node's pools.
func (e *Entry) renewLoans(ctx context.Context, address string, renewal limits.PoolRenewal) (limits.PoolRenewalAnswer, error) {
	var answer limits.PoolRenewalAnswer
	err := e.peerPool.Call(ctx, address, allowanceName+".Renew", renewal, &answer)
	return answer, err
}

// PoolReceiver serves the requests of other nodes to this node's pools.
type PoolReceiver struct {
	fleetPool  *limits.Pool
	domainPool *limits.Pool
}

func (p *PoolReceiver) poolOf(isDomainPool bool) *limits.Pool {
	if isDomainPool {
		return p.domainPool
	}
	return p.fleetPool
}

// Take renews the calling node's loan and takes tokens from an organisation's pool.
func (p *PoolReceiver) Take(request limits.PoolRequest, answer *limits.PoolAnswer) error {
	*answer = p.poolOf(request.Apart).Take(request)
	return nil
}

// Renew renews the calling node's loans to this node's pools.
func (p *PoolReceiver) Renew(renewal limits.PoolRenewal, answer *limits.PoolRenewalAnswer) error {
	*answer = p.poolOf(renewal.Apart).RenewAll(renewal)
	return nil
}
