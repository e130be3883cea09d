package retry

import "time"

// organisationBudget returns an organisation's budget at a service, decayed to now.
func (p *Policy) organisationBudget(organisation, service string, now time.Time) *budget {
	name := budgetKey{
		organisation: organisation,
		service:      service,
	}
	found, ok := p.budgets[name]
	if !ok {
		found = newBudget(now)
		p.budgets[name] = found
	}
	found.decay(now)
	return found
}

// serviceState returns a service's state, decayed to now.
func (p *Policy) serviceState(name string, now time.Time) *serviceState {
	found, ok := p.services[name]
	if !ok {
		found = &serviceState{
			budget: newBudget(now),
		}
		p.services[name] = found
	}
	found.budget.decay(now)
	found.effect.decay(now)
	return found
}

// sweepInterval is the interval at which entries without recent attempts are removed.
const sweepInterval = 2 * time.Minute

// sweep removes entries without recent attempts, which limits memory to the
// organisations and services of the last minutes.
func (p *Policy) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for name, found := range p.budgets {
		if now.Sub(found.long.updated) > sweepInterval {
			delete(p.budgets, name)
		}
	}
	for name, found := range p.services {
		if now.Sub(found.budget.long.updated) > sweepInterval {
			delete(p.services, name)
		}
	}
}
