package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniamast"
)

// join contacts nodes that are not known yet. A new node joins this way; later it finds
// nodes that a long partition has hidden.
func (m *Membership) join(ctx context.Context) {
	addresses := m.selectAddresses(m.listEntries(ctx))
	var joins sync.WaitGroup
	for _, address := range addresses {
		joins.Add(1)
		go func() {
			defer joins.Done()
			m.joinThrough(ctx, address)
		}()
	}
	joins.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joined = true
}

// listEntries returns the entry instances on the platform's instance list.
func (m *Membership) listEntries(ctx context.Context) []zinniamast.Instance {
	if m.config.List == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	instances, err := m.config.List.List(ctx)
	if err != nil {
		m.config.Logger.Warn("instance_list_failed", "error", err)
		return nil
	}
	var entries []zinniamast.Instance
	for _, instance := range instances {
		if instance.Role == "entry" && !instance.Leaving {
			entries = append(entries, instance)
		}
	}
	return entries
}

// selectAddresses picks a few addresses that belong to no known live member: listed
// instances of this failure domain first, then those of domains that are not known, then
// other listed instances and the seeds.
//
// If all nodes start at once, a node that first reaches another failure domain counts as
// joined. With all listed addresses drawn with equal probability, such a node found its
// own domain only after minutes and was alone in it until then.
func (m *Membership) selectAddresses(listed []zinniamast.Instance) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.knownAddresses()
	var own, undiscovered, others []string
	for _, instance := range listed {
		switch {
		case known[instance.Address]:
			continue
		case instance.FailureDomain == m.config.FailureDomain:
			own = append(own, instance.Address)
		case m.domains[instance.FailureDomain] == nil:
			undiscovered = append(undiscovered, instance.Address)
		default:
			others = append(others, instance.Address)
		}
		known[instance.Address] = true
	}
	for _, address := range m.config.Seeds {
		if !known[address] {
			known[address] = true
			others = append(others, address)
		}
	}
	shuffle(own)
	shuffle(undiscovered)
	shuffle(others)
	limit := 1
	if len(m.members) == 0 || len(undiscovered) > 0 {
		limit = maxSeedsPerTick
	}
	unknown := slices.Concat(own, undiscovered, others)
	return unknown[:min(len(unknown), limit)]
}

// knownAddresses returns the addresses that need no contact, as true; the caller holds
// the lock.
func (m *Membership) knownAddresses() map[string]bool {
	known := map[string]bool{
		m.own.Address: true,
		"":            true,
	}
	for _, p := range m.members {
		known[p.record.Address] = p.alive()
	}
	// One known contact is enough to learn about its whole failure domain.
	for _, d := range m.domains {
		for _, contact := range d.summary.Contacts {
			known[contact.Address] = true
		}
	}
	return known
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// joinThrough sends this node's record to an address and applies the full state that it
// returns.
func (m *Membership) joinThrough(ctx context.Context, address string) {
	m.mu.Lock()
	message := m.newExchange()
	message.Domain = m.config.FailureDomain
	message.Want = len(m.members) == 0
	message.Records = []Record{m.own}
	message.Summaries = []Summary{m.summary()}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := m.config.Transport.Exchange(ctx, address, message)
	if err != nil {
		m.config.Logger.Debug("seed_failed", "address", address, "error", err)
		return
	}
	m.mu.Lock()
	var callbacks []func()
	if answer.Domain != "" && answer.Domain != m.config.FailureDomain {
		callbacks = m.mergeRemoteMessage(answer)
	} else {
		callbacks = m.mergeMessage(answer, nil)
		callbacks = append(callbacks, m.newerConfigCallbacks(answer, address)...)
		m.broadcastRecord(m.own.ID)
	}
	m.seedAt = time.Now()
	m.mu.Unlock()
	runCallbacks(callbacks)
}

func (m *Membership) newerConfigCallbacks(answer *Exchange, address string) []func() {
	if answer.Config <= m.config.ConfigVersion() {
		return nil
	}
	return []func(){func() { m.config.OnNewerConfig(address, answer.Config) }}
}
