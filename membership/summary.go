package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// summaryTTL is how long a summary spread in a domain stays news; it is
// spread again well before.
const (
	summaryTTL            = 11 * time.Minute
	summaryRepeatInterval = 5 * time.Minute
)

// domain is another failure domain as this node knows it.
type domain struct {
	summary  Summary
	outbox   outbox
	inFlight bool
	sentAt   time.Time
	// lastContactAt is when a contact last answered this node or its representatives.
	lastContactAt time.Time
	// broadcastAt is when this node last spread the summary in its own domain.
	broadcastAt time.Time
	// broadcastContacts holds the contacts as spread last.
	broadcastContacts []Record
	// contactIndex goes through the contacts where one fails.
	contactIndex int
}

// DomainStatus is another failure domain as status shows it.
type DomainStatus struct {
	Name    string    `json:"name"`
	Members int       `json:"members"`
	Alive   int       `json:"alive"`
	Config  uint64    `json:"config"`
	Heard   time.Time `json:"heard"`
}

// Domains returns what is known of the other failure domains, by name.
func (m *Membership) Domains() []DomainStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []DomainStatus
	for name, d := range m.domains {
		all = append(all, DomainStatus{
			Name:    name,
			Members: d.summary.Members,
			Alive:   d.summary.Alive,
			Config:  d.summary.Config,
			Heard:   d.lastContactAt,
		})
	}
	slices.SortFunc(all, func(a, b DomainStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// summary describes this domain; the caller holds the lock.
func (m *Membership) summary() Summary {
	alive := 1
	for _, p := range m.members {
		if p.alive() {
			alive++
		}
	}
	return Summary{
		Domain:   m.config.FailureDomain,
		Version:  uint64(time.Now().UnixMilli()),
		Members:  len(m.members) + 1,
		Alive:    alive,
		Config:   m.config.ConfigVersion(),
		Contacts: m.contactRecords(),
	}
}

// sendSummaries sends this domain's summary to the next few others.
func (m *Membership) sendSummaries(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*domain, 0, len(m.domains))
	for _, d := range m.domains {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *domain) int { return a.sentAt.Compare(b.sentAt) })
	for _, d := range all[:min(len(all), domainsPerTick)] {
		if !d.inFlight {
			m.sendSummary(ctx, d)
		}
	}
}

// sendSummary starts an exchange with a contact of a domain; the caller holds the lock.
func (m *Membership) sendSummary(ctx context.Context, d *domain) {
	d.sentAt = time.Now()
	if len(d.summary.Contacts) == 0 {
		return
	}
	d.inFlight = true
	address := d.summary.Contacts[d.contactIndex%len(d.summary.Contacts)].Address
	taken := d.outbox.takeBatch(&m.gossip, &m.bulkBudgetBytes)
	message := m.newExchange()
	message.Domain = m.config.FailureDomain
	message.Summaries = []Summary{m.summary()}
	m.fillMessage(message, taken)
	m.wait.Add(1)
	go func() {
		defer m.wait.Done()
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		answer, err := m.config.Transport.Exchange(ctx, address, message)
		m.mu.Lock()
		d.inFlight = false
		if err != nil {
			d.contactIndex++
			d.outbox.requeue(taken)
			m.mu.Unlock()
			return
		}
		m.isolated = false
		calls := m.mergeRemoteMessage(answer)
		m.mu.Unlock()
		runCallbacks(calls)
	}()
}

// receiveRemoteMessage answers a message from another domain; the caller holds the lock.
func (m *Membership) receiveRemoteMessage(message *Exchange) (*Exchange, []func()) {
	calls := m.mergeRemoteMessage(message)
	answer := m.newExchange()
	answer.Domain = m.config.FailureDomain
	answer.Summaries = []Summary{m.summary()}
	if message.Want {
		for _, d := range m.domains {
			answer.Summaries = append(answer.Summaries, d.summary)
		}
	}
	return answer, calls
}

// mergeRemoteMessage takes another domain's message in; the caller holds the lock.
func (m *Membership) mergeRemoteMessage(message *Exchange) []func() {
	m.joined = true
	var calls []func()
	for _, summary := range message.Summaries {
		// A node that joins knows little of its domain: its word counts only
		// where nothing better is known.
		if _, known := m.domains[summary.Domain]; known && message.Want {
			continue
		}
		if !m.mergeSummary(summary) || summary.Domain != message.Domain {
			continue
		}
		d := m.domains[summary.Domain]
		d.lastContactAt = time.Now()
		if m.isRepresentative() {
			m.broadcastSummary(d)
		}
		if summary.Config > m.config.ConfigVersion() && len(summary.Contacts) > 0 {
			calls = append(calls, func() { m.config.OnNewerConfig(summary.Contacts[0].Address, summary.Config) })
		}
	}
	return append(calls, m.receiveGossip(message.News, message.From, true)...)
}

// mergeSummary takes a summary in if it is newer; the caller holds the lock. A
// summary of this node's own domain, met while joining, gives places to ask.
func (m *Membership) mergeSummary(summary Summary) bool {
	if summary.Domain == m.config.FailureDomain {
		for _, contact := range summary.Contacts {
			m.mergeContact(contact)
		}
		return false
	}
	d, ok := m.domains[summary.Domain]
	if !ok {
		d = &domain{
			outbox:        newOutbox(),
			lastContactAt: time.Now(),
		}
		m.domains[summary.Domain] = d
	}
	if summary.Version <= d.summary.Version || len(summary.Contacts) > maxContacts {
		return false
	}
	m.writeContacts(d.summary.Contacts, summary)
	d.summary = summary
	return true
}

// mergeContact enters a member of this domain that another domain named. The
// other domain's news may be old: what this node has seen die stays dead, and
// a stranger is watched like any member.
func (m *Membership) mergeContact(contact Record) {
	if _, known := m.members[contact.ID]; !known && contact.ID != m.own.ID && len(m.members) == 0 {
		m.mergeRecord(contact)
	}
}

// removeExpiredDomains drops domains that are gone for good, or every later change of
// configuration would wait for them; the caller holds the lock. One that was
// only cut off is found again through the seeds or the instance list.
func (m *Membership) removeExpiredDomains(now time.Time) {
	for name, d := range m.domains {
		if now.Sub(d.lastContactAt) > domainRetention {
			m.writeContacts(d.summary.Contacts, Summary{})
			delete(m.domains, name)
			m.config.Logger.Warn("failure_domain_forgotten", "failure_domain", name)
		}
	}
}

// writeContacts keeps the shared table's entries of another domain.
func (m *Membership) writeContacts(before []Record, summary Summary) {
	for _, old := range before {
		if _, ours := m.recordOf(old.ID); ours {
			continue
		}
		kept := slices.ContainsFunc(summary.Contacts, func(r Record) bool { return r.ID == old.ID })
		if !kept {
			m.config.Members.Remove(old.ID)
		}
	}
	for _, contact := range summary.Contacts {
		// What another domain says of this one's own members does not count.
		if _, ours := m.recordOf(contact.ID); ours || !contact.valid() {
			continue
		}
		m.config.Members.Update(contact.ID, func(shown *blackboard.Member) bool {
			fillMember(shown, contact, summary.Domain)
			shown.Heard = time.Now()
			shown.ConfigVersion = summary.Config
			return true
		})
	}
}

// broadcastSummary tells this domain about another one; the caller holds the lock.
func (m *Membership) broadcastSummary(d *domain) {
	now := time.Now()
	same := slices.Equal(d.broadcastContacts, d.summary.Contacts)
	if same && now.Sub(d.broadcastAt) < summaryRepeatInterval {
		return
	}
	d.broadcastAt = now
	d.broadcastContacts = d.summary.Contacts
	value, err := json.Marshal(d.summary)
	if err != nil || len(value) > zinniamast.MaxNews {
		m.config.Logger.Error("summary_not_spread", "failure_domain", d.summary.Domain, "bytes", len(value), "error", err)
		return
	}
	m.gossip.lastSequence++
	news := zinniamast.News{
		Topic:    topicSummary,
		Key:      d.summary.Domain,
		Value:    value,
		Origin:   m.config.ID,
		Sequence: m.gossip.lastSequence,
		Expires:  now.Add(summaryTTL),
	}
	key := gossipKey{
		topic:  topicSummary,
		key:    news.Key,
		origin: news.Origin,
	}
	if m.gossip.put(key, news) {
		m.gossip.ownKeys[key] = true
		m.broadcastGossip(key, news, "")
	}
}

// mergeEncodedSummary takes in what a representative of this domain spread; the
// caller holds the lock.
func (m *Membership) mergeEncodedSummary(value []byte) {
	var summary Summary
	if json.Unmarshal(value, &summary) != nil {
		return
	}
	if m.mergeSummary(summary) {
		m.domains[summary.Domain].lastContactAt = time.Now()
	}
}
