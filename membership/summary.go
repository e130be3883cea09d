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

// summaryTTL is the lifetime of a summary within a failure domain. It is broadcast again
// every summaryRepeatInterval, well before it expires.
const (
	summaryTTL            = 11 * time.Minute
	summaryRepeatInterval = 5 * time.Minute
)

// summarySource is who sent this node a summary. The versions of a domain's nodes do not
// tell which of them knows its members best; the representatives hear from it all the
// time, so the other members prefer what these broadcast.
type summarySource int

// The sources, the preferred one last.
const (
	// sourceDirect is a node of the domain that the summary describes.
	sourceDirect summarySource = iota
	// sourceMember is a member of this node's domain that sent its full state.
	sourceMember
	// sourceRepresentative is a representative of this node's domain that broadcast it.
	sourceRepresentative
)

// domain is this node's view of another failure domain.
type domain struct {
	summary Summary
	source  summarySource
	outbox  outbox
	attempts
	// lastContactAt is when a contact last answered this node or its representatives.
	lastContactAt time.Time
	// broadcastAt is when this node last broadcast the summary in its own domain.
	broadcastAt time.Time
	// broadcastContacts holds the contacts in that broadcast.
	broadcastContacts []Record
	// contactIndex selects the contact to use; it advances when an exchange fails.
	contactIndex int
}

// DomainStatus is the state of another failure domain in the status output.
type DomainStatus struct {
	Name    string    `json:"name"`
	Members int       `json:"members"`
	Alive   int       `json:"alive"`
	Config  uint64    `json:"config"`
	Heard   time.Time `json:"heard"`
}

// Domains returns the known state of the other failure domains, sorted by name.
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

// summary returns the summary of this failure domain; the caller holds the lock.
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

// sendSummaries sends this failure domain's summary to the domains that were contacted
// least recently.
func (m *Membership) sendSummaries(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	all := make([]*domain, 0, len(m.domains))
	for _, d := range m.domains {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *domain) int { return a.sentAt.Compare(b.sentAt) })
	for _, d := range all[:min(len(all), domainsPerTick)] {
		if !d.waiting() || d.isLate(now) {
			m.sendSummary(ctx, d)
		}
	}
}

// sendSummary starts an exchange with a contact of another domain; the caller holds the
// lock.
func (m *Membership) sendSummary(ctx context.Context, d *domain) {
	now := time.Now()
	if len(d.summary.Contacts) == 0 {
		d.sentAt = now
		return
	}
	if d.waiting() {
		d.contactIndex++
	}
	address := d.summary.Contacts[d.contactIndex%len(d.summary.Contacts)].Address
	taken := d.outbox.takeBatch(&m.gossip, &m.bulkBudgetBytes)
	number := d.start(now, taken)
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
		if err != nil {
			lost, isLast := d.failed(number)
			d.outbox.requeue(lost)
			if isLast {
				d.contactIndex++
			}
			m.mu.Unlock()
			return
		}
		for _, lost := range d.answered(number) {
			d.outbox.restore(lost)
			m.wakeLoop()
		}
		m.isolated = false
		callbacks := m.mergeRemoteMessage(answer)
		m.mu.Unlock()
		runCallbacks(callbacks)
	}()
}

// receiveRemoteMessage answers a message of another failure domain; the caller holds the
// lock.
func (m *Membership) receiveRemoteMessage(message *Exchange) (*Exchange, []func()) {
	callbacks := m.mergeRemoteMessage(message)
	answer := m.newExchange()
	answer.Domain = m.config.FailureDomain
	answer.Summaries = []Summary{m.summary()}
	if message.Want {
		for _, d := range m.domains {
			answer.Summaries = append(answer.Summaries, d.summary)
		}
	}
	return answer, callbacks
}

// mergeRemoteMessage applies a message of another failure domain and returns the
// callbacks to run after the lock is released; the caller holds the lock.
func (m *Membership) mergeRemoteMessage(message *Exchange) []func() {
	m.joined = true
	var callbacks []func()
	for _, summary := range message.Summaries {
		// A joining node knows little of its domain: its summary is used only if no
		// other summary of that domain is known.
		if _, known := m.domains[summary.Domain]; known && message.Want {
			continue
		}
		applied := m.mergeSummary(summary, sourceDirect)
		d := m.domains[summary.Domain]
		if d == nil || summary.Domain != message.Domain {
			continue
		}
		d.lastContactAt = time.Now()
		if applied && m.isRepresentative() {
			m.broadcastSummary(d)
		}
		if summary.Config > m.config.ConfigVersion() && len(summary.Contacts) > 0 {
			callbacks = append(callbacks, func() { m.config.OnNewerConfig(summary.Contacts[0].Address, summary.Config) })
		}
	}
	return append(callbacks, m.receiveGossip(message.News, message.From, true)...)
}

// mergeSummary applies a summary if it is newer and reports whether it did; the caller
// holds the lock. From a summary of this node's own domain, received while joining, it
// uses only the contacts.
func (m *Membership) mergeSummary(summary Summary, source summarySource) bool {
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
	if len(summary.Contacts) > maxContacts || !m.supersedes(summary, source, d) {
		return false
	}
	m.writeContacts(d.summary.Contacts, summary)
	d.summary = summary
	d.source = source
	return true
}

// supersedes reports whether a summary replaces the present one of a domain; the caller
// holds the lock.
func (m *Membership) supersedes(summary Summary, source summarySource, d *domain) bool {
	if m.isRepresentative() || len(d.summary.Contacts) == 0 || source == d.source {
		return summary.Version > d.summary.Version
	}
	if source > d.source {
		return true
	}
	return slices.Equal(summary.Contacts, d.summary.Contacts) && summary.Version > d.summary.Version
}

// mergeContact adds a member of this failure domain that another domain named, if no
// member is known yet. The information may be outdated: a member recorded as dead stays
// dead, and the added one is monitored like any other.
func (m *Membership) mergeContact(contact Record) {
	if _, known := m.members[contact.ID]; !known && contact.ID != m.own.ID && len(m.members) == 0 {
		m.mergeRecord(contact)
	}
}

// removeExpiredDomains removes failure domains that have been out of contact for longer
// than domainRetention, since every later configuration change would wait for them; the
// caller holds the lock. A domain that was only partitioned is found again through the
// seeds or the instance list.
func (m *Membership) removeExpiredDomains(now time.Time) {
	for name, d := range m.domains {
		if now.Sub(d.lastContactAt) > domainRetention {
			m.writeContacts(d.summary.Contacts, Summary{})
			delete(m.domains, name)
			m.config.Logger.Warn("failure_domain_forgotten", "failure_domain", name)
		}
	}
}

// writeContacts replaces another failure domain's entries in the shared table.
func (m *Membership) writeContacts(before []Record, summary Summary) {
	for _, old := range before {
		if _, isOwn := m.recordOf(old.ID); isOwn {
			continue
		}
		isCurrent := slices.ContainsFunc(summary.Contacts, func(r Record) bool { return r.ID == old.ID })
		if !isCurrent {
			m.config.Members.Remove(old.ID)
		}
	}
	for _, contact := range summary.Contacts {
		// Ignore records of this domain's own members that come from another domain.
		if _, isOwn := m.recordOf(contact.ID); isOwn || !contact.valid() {
			continue
		}
		m.config.Members.Update(contact.ID, func(entry *blackboard.Member) bool {
			fillMember(entry, contact, summary.Domain)
			entry.Heard = time.Now()
			entry.ConfigVersion = summary.Config
			return true
		})
	}
}

// broadcastSummary broadcasts the summary of another domain in this one; the caller
// holds the lock.
func (m *Membership) broadcastSummary(d *domain) {
	now := time.Now()
	if slices.Equal(d.broadcastContacts, d.summary.Contacts) && now.Sub(d.broadcastAt) < summaryRepeatInterval {
		return
	}
	d.broadcastAt = now
	d.broadcastContacts = d.summary.Contacts
	value, err := json.Marshal(d.summary)
	if err != nil || len(value) > zinniamast.MaxGossipValueBytes {
		m.config.Logger.Error("summary_not_spread", "failure_domain", d.summary.Domain, "bytes", len(value), "error", err)
		return
	}
	m.gossip.lastSequence++
	item := zinniamast.GossipItem{
		Topic:    topicSummary,
		Key:      d.summary.Domain,
		Value:    value,
		Origin:   m.config.ID,
		Sequence: m.gossip.lastSequence,
		Expires:  now.Add(summaryTTL),
	}
	key := gossipKey{
		topic:  topicSummary,
		key:    item.Key,
		origin: item.Origin,
	}
	if m.gossip.put(key, item) {
		m.gossip.ownKeys[key] = true
		m.broadcastGossip(key, item, "")
	}
}

// withdrawSummaries removes the summaries that this node broadcast while it represented
// its domain; the caller holds the lock. When all nodes start at once, each of them
// represents the domain for a moment, and their outdated summaries would delay the
// current ones by minutes.
func (m *Membership) withdrawSummaries() {
	for _, d := range m.domains {
		if d.broadcastAt.IsZero() {
			continue
		}
		d.broadcastAt = time.Time{}
		d.broadcastContacts = nil
		m.gossip.remove(gossipKey{
			topic:  topicSummary,
			key:    d.summary.Domain,
			origin: m.config.ID,
		})
	}
}

// mergeEncodedSummary applies a summary that a representative of this failure domain
// broadcast; the caller holds the lock.
func (m *Membership) mergeEncodedSummary(value []byte) {
	var summary Summary
	if json.Unmarshal(value, &summary) != nil {
		return
	}
	if m.mergeSummary(summary, sourceRepresentative) {
		m.domains[summary.Domain].lastContactAt = time.Now()
	}
}
