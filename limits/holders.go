package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Holder is a node that can hold allowance pools.
type Holder struct {
	// ID is the node's name, and Address is where its pools are called.
	ID            string
	FailureDomain string
	Address       string
}

// outsideHolder returns a node of another failure domain or, if there is only one
// failure domain, another node. The Holder is empty if all such nodes are
// suspected; the bool is false if there are none.
func (a *Allowance) outsideHolder(holders []Holder) (Holder, bool) {
	eligible := func(h Holder) bool { return h.FailureDomain != a.config.FailureDomain }
	if !slices.ContainsFunc(holders, eligible) {
		eligible = func(h Holder) bool { return h.ID != a.config.Node }
	}
	other, _ := a.highestHash(a.config.Node, holders, eligible)
	return other, slices.ContainsFunc(holders, eligible)
}

func (a *Allowance) isolatedOrganisations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.isolated))
}

func (a *Allowance) isIsolated(organisation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isolated[organisation]
}

func (a *Allowance) setIsolated(organisation string, isolated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if isolated {
		a.isolated[organisation] = true
		return
	}
	delete(a.isolated, organisation)
}

// assumedNodes is the assumed size of the fleet before the roster is read: a node
// that starts during a store outage must not use the whole allowance as its part.
const assumedNodes = 64

// part returns this node's part of an allowance, as a fraction. A node that is not among the holders
// has none, as the others divide the whole among themselves.
func (a *Allowance) part(holders []Holder) float64 {
	switch {
	case len(holders) == 0:
		return 1.0 / assumedNodes
	case !slices.ContainsFunc(holders, func(h Holder) bool { return h.ID == a.config.Node }):
		return 0
	}
	return 1 / float64(len(holders))
}

// fleetHolder returns the node that holds an organisation's fleet pool: the one
// with the highest hash among the nodes that are not suspected, or the one that has this
// node's part while the organisation asks for all of its allowance: a part that moves then
// counts nowhere until the old loan has expired.
func (a *Allowance) fleetHolder(organisation string, holders []Holder) (Holder, bool) {
	if present := a.presentHolder(organisation); present != "" {
		if i := slices.IndexFunc(holders, func(h Holder) bool { return h.ID == present }); i >= 0 {
			return holders[i], true
		}
	}
	return a.highestHash(organisation, holders, func(Holder) bool { return true })
}

// presentHolder returns the ID of the fleet pool's node that has this node's part of a used-up
// allowance; empty if there is none.
func (a *Allowance) presentHolder(organisation string) string {
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.outgoing[organisation]
	_, isSuspected := a.suspected[l.holder]
	if l.domainPool || isSuspected || !l.until.After(now) || !a.levels[organisation].isLow(now) {
		return ""
	}
	return l.holder
}

// domainHolder returns the node that holds an organisation's domain pool. It is
// this node if all nodes of the domain are suspected or this node uses its own part.
func (a *Allowance) domainHolder(organisation string, holders []Holder) Holder {
	holder, ok := a.highestHash(organisation, holders, func(h Holder) bool { return h.FailureDomain == a.config.FailureDomain })
	if !ok || a.usesOwnPart(organisation) {
		return Holder{
			ID: a.config.Node,
		}
	}
	return holder
}

func (a *Allowance) usesOwnPart(organisation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.config.Now().Before(a.ownPartUntil[organisation])
}

// fallBackToOwnPart stops calls to the domain pool until this node's loan has expired and
// the node has used its own part for ownPartDuration.
func (a *Allowance) fallBackToOwnPart(organisation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownPartUntil[organisation] = a.outgoing[organisation].until.Add(ownPartDuration)
}

func (a *Allowance) highestHash(organisation string, holders []Holder, eligible func(Holder) bool) (Holder, bool) {
	seed := xxh3.HashString(organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	best, highest, found := Holder{}, uint64(0), false
	for _, h := range holders {
		if _, suspected := a.suspected[h.ID]; suspected || !eligible(h) {
			continue
		}
		if hash := xxh3.HashStringSeed(h.ID, seed); !found || hash > highest {
			best, highest, found = h, hash, true
		}
	}
	return best, found
}

// suspect stops calls to a node until it has answered a probe.
func (a *Allowance) suspect(holder Holder, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspected[holder.ID] = a.config.Now().Add(probeDelay)
	a.config.Logger.Info("node of an allowance pool did not answer", "node", holder.ID, "cause", err)
}

// suspectsDue returns the suspected nodes that are due for a probe, the longest
// overdue first. It deletes nodes that are no longer on the roster.
func (a *Allowance) suspectsDue(holders []Holder) []Holder {
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.suspected, func(id string, _ time.Time) bool {
		return !slices.ContainsFunc(holders, func(h Holder) bool { return h.ID == id })
	})
	var due []Holder
	for _, h := range holders {
		if at, suspected := a.suspected[h.ID]; suspected && !now.Before(at) {
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(x, y Holder) int { return a.suspected[x.ID].Compare(a.suspected[y.ID]) })
	return due
}
