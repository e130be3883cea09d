package retry

import "time"

// organisationBudget returns an organisation's budget at a service, decayed to now.
func (p *Policy) organisationBudget(organisation, service string, now time.Time) *budget {
	key := budgetKey{
		organisation: organisation,
		service:      service,
	}
	b, ok := p.budgets[key]
	if !ok {
		b = newBudget(now)
		p.budgets[key] = b
	}
	b.decay(now)
	return b
}

// serviceState returns a service's state, decayed to now.
func (p *Policy) serviceState(name string, now time.Time) *serviceState {
	state, ok := p.services[name]
	if !ok {
		state = &serviceState{
			budget: newBudget(now),
		}
		p.services[name] = state
	}
	state.budget.decay(now)
	state.effect.decay(now)
	return state
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
	for key, b := range p.budgets {
		if now.Sub(b.long.updated) > sweepInterval {
			delete(p.budgets, key)
		}
	}
	for name, state := range p.services {
		if now.Sub(state.budget.long.updated) > sweepInterval {
			delete(p.services, name)
		}
	}
}
