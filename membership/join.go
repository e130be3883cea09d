package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"zinniamast"
)

// join asks nodes that are not known yet. While nothing is known that is how
// a node joins; later it finds what a long partition has hidden.
func (m *Membership) join(ctx context.Context) {
	addresses := m.selectAddresses(m.listEntries(ctx))
	var asked sync.WaitGroup
	for _, address := range addresses {
		asked.Add(1)
		go func() {
			defer asked.Done()
			m.joinThrough(ctx, address)
		}()
	}
	asked.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joined = true
}

// listEntries returns the entry instances that the platform's list gives.
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

// selectAddresses picks a few addresses at which no known member is: those listed in
// this failure domain first, then those in others and the seeds.
//
// Failure: all nodes start at once, and who meets a node of another failure
// domain first counts as joined. With every listed address drawn alike, a node
// found its own domain after minutes, and until then was alone in it.
func (m *Membership) selectAddresses(listed []zinniamast.Instance) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.knownAddresses()
	var own, others []string
	for _, instance := range listed {
		switch {
		case known[instance.Address]:
			continue
		case instance.FailureDomain == m.config.FailureDomain:
			own = append(own, instance.Address)
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
	shuffle(others)
	limit := 1
	if len(m.members) == 0 {
		limit = maxSeedsPerTick
	}
	unknown := append(own, others...)
	return unknown[:min(len(unknown), limit)]
}

// knownAddresses are those that need not be asked; the caller holds the lock.
func (m *Membership) knownAddresses() map[string]bool {
	known := map[string]bool{
		m.own.Address: true,
		"":            true,
	}
	for _, p := range m.members {
		known[p.record.Address] = p.alive()
	}
	// One known contact is enough to hear of its whole domain.
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

// joinThrough tells an address who we are and takes in all that it knows.
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
	var calls []func()
	if answer.Domain != "" && answer.Domain != m.config.FailureDomain {
		calls = m.mergeRemoteMessage(answer)
	} else {
		calls = m.mergeMessage(answer, nil)
		calls = append(calls, m.newerConfigCallbacks(answer, address)...)
		m.broadcastRecord(m.own.ID)
	}
	m.seedAt = time.Now()
	m.mu.Unlock()
	runCallbacks(calls)
}

func (m *Membership) newerConfigCallbacks(answer *Exchange, address string) []func() {
	if answer.Config <= m.config.ConfigVersion() {
		return nil
	}
	return []func(){func() { m.config.OnNewerConfig(address, answer.Config) }}
}
