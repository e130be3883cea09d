package limits

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/queue"
)

// AccountsConfig configures Accounts.
type AccountsConfig struct {
	// Board holds the current configuration, which names the organisations' weights,
	// and the members of the failure domain; nil means that there are none.
	Board *blackboard.Board
	// Node is this instance's name.
	Node string
	// FailureDomain is the failure domain in which the node runs.
	FailureDomain string
	// Gossip exchanges usage between nodes; nil means a single node.
	Gossip zinniamast.Gossip
	// IsNeeded reports whether the nodes need each other's usage now; nil means always.
	IsNeeded func() bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Accounts is what the organisations have used of each service at all nodes, in
// seconds that decay exponentially. It is safe for concurrent use.
type Accounts struct {
	config AccountsConfig
	// process is the key of this process's items, and started when it was created.
	process string
	started time.Time

	mu            sync.Mutex
	usage         usage
	cachedWeights weightTable
	// nextUsage is when usage is published next, and isPublishing reports whether a
	// goroutine is about to do so.
	nextUsage    time.Time
	isPublishing bool
}

var _ queue.Usage = (*Accounts)(nil)

// NewAccounts returns accounts without work.
func NewAccounts(config AccountsConfig) *Accounts {
	if config.Board == nil {
		config.Board = blackboard.New()
	}
	if config.IsNeeded == nil {
		config.IsNeeded = func() bool { return true }
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	a := &Accounts{
		config:  config,
		process: keyNode + "/" + strconv.FormatUint(uint64(rand.Uint32()), 36),
		started: config.Now(),
		usage:   newUsage(),
	}
	if config.Gossip != nil {
		config.Gossip.Subscribe(zinniamast.TopicUsage, a.receive)
	}
	return a
}

// Add implements queue.Usage.
func (a *Accounts) Add(service, organisation string, work float64) {
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.decay(now)
	account := a.usage.account(accountKey{
		service:      service,
		organisation: organisation,
	})
	account.admitted[0] = max(0, account.admitted[0]+work)
	account.offered[0] = account.admitted[0]
	a.schedulePublish(now)
}

// Used implements queue.Usage: it returns the work of an organisation at all nodes,
// divided by its weight.
func (a *Accounts) Used(service, organisation string) float64 {
	weights := a.weights(service)
	now := a.config.Now()
	key := accountKey{
		service:      service,
		organisation: organisation,
	}
	hash := hashAccount(service, organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.decay(now)
	return a.usage.admittedTo(key, hash) / weightOf(weights, hash)
}

// receive replaces the usage previously received from the same process or failure
// domain.
func (a *Accounts) receive(gossipItem zinniamast.GossipItem) {
	if gossipItem.Origin == a.config.Node && gossipItem.Key == a.process {
		return
	}
	domain, items, ok := decodeUsage(gossipItem.Value)
	if !ok {
		return
	}
	now := a.config.Now()
	report := receivedUsage{
		items:   items,
		at:      now,
		expires: gossipItem.Expires,
	}
	if latest := now.Add(usageTTL); report.expires.After(latest) {
		report.expires = latest
	}
	kind, process, _ := strings.Cut(gossipItem.Key, "/")
	isOwnDomain := domain == a.config.FailureDomain
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case kind == keyNode && isOwnDomain:
		a.usage.remote.processes[processKey{
			node:    gossipItem.Origin,
			process: process,
		}] = report
	case gossipItem.Key == keyDomain && !isOwnDomain:
		a.usage.remote.domains[domain] = report
	default:
		return
	}
	a.usage.remote.sumUp(now)
	a.schedulePublish(now)
}

// schedulePublish publishes usage in another goroutine if it is due: the caller holds
// the lock, and that of a queue.
func (a *Accounts) schedulePublish(now time.Time) {
	if a.config.Gossip == nil || a.isPublishing || now.Before(a.nextUsage) {
		return
	}
	a.isPublishing = true
	go func() {
		a.publish(now)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.isPublishing = false
	}()
}

// Tick publishes usage if it is due. Add does so too, in another goroutine.
func (a *Accounts) Tick() { a.publish(a.config.Now()) }

// publish publishes this node's usage within the failure domain if it is due; the
// first live node also publishes the domain's sum to the other failure domains. The
// bytes that a node receives thus depend on the number of nodes in its failure
// domain and of failure domains, not on the size of the fleet.
func (a *Accounts) publish(now time.Time) {
	if a.config.Gossip == nil {
		return
	}
	nodes, isFirst := a.liveDomainNodes()
	isNeeded := a.config.IsNeeded()
	own, sum, interval := a.collect(now, nodes, isNeeded)
	if interval == 0 {
		return
	}
	if isNeeded {
		a.config.Gossip.Publish(zinniamast.GossipItem{
			Topic:   zinniamast.TopicUsage,
			Key:     a.process,
			Value:   own,
			Expires: now.Add(usageTTL),
		})
	}
	if isFirst && sum != nil && now.Sub(a.started) >= max(domainDelay, interval) {
		a.config.Gossip.Publish(zinniamast.GossipItem{
			Topic:      zinniamast.TopicUsage,
			Key:        keyDomain,
			Value:      sum,
			Expires:    now.Add(usageTTL),
			AllDomains: true,
		})
	}
}

// collect returns the encoded usage of this node and the sum of its failure domain,
// and the time until the next publication; zero if none is due now. The sum is nil if
// no other node of the domain has reported and the nodes need no usage.
func (a *Accounts) collect(now time.Time, nodes int, isNeeded bool) (own, sum []byte, interval time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.nextUsage) {
		return nil, nil, 0
	}
	u := &a.usage
	u.decay(now)
	ownItems, domainItems := u.items(now)
	own = encodeUsage(a.config.FailureDomain, ownItems)
	if isNeeded || len(u.remote.processes) > 0 {
		sum = encodeUsage(a.config.FailureDomain, domainItems)
	}
	received := max(nodes, len(u.remote.processes)+1)*(len(own)+usageOverhead) + (len(u.remote.domains)+1)*(len(sum)+usageOverhead)
	interval = max(minUsageInterval, time.Duration(received)*time.Second/usageBytesPerSecond)
	a.nextUsage, u.remote.interval = now.Add(interval), interval
	return own, sum, interval
}

// items returns the usage of this node's accounts and the sums over its failure domain.
func (u *usage) items(now time.Time) (own, sums []usageItem) {
	domain := map[uint64]totals{}
	for _, account := range u.accounts {
		t := totals{
			offered:  sum(account.offered),
			admitted: sum(account.admitted),
		}
		own = append(own, usageItem{
			hash:   account.hash,
			totals: t,
		})
		domain[account.hash] = t
	}
	for _, report := range u.remote.processes {
		report.addTo(domain, now, u.remote.interval)
	}
	for hash, t := range domain {
		sums = append(sums, usageItem{
			hash:   hash,
			totals: t,
		})
	}
	return own, sums
}

// liveDomainNodes returns the number of live nodes in the failure domain and
// whether this node is the first of them by name.
func (a *Accounts) liveDomainNodes() (nodes int, isFirst bool) {
	isFirst = true
	for _, member := range a.config.Board.Members.All() {
		if member.FailureDomain != a.config.FailureDomain || member.Dead || member.Leaving {
			continue
		}
		nodes++
		if member.ID < a.config.Node {
			isFirst = false
		}
	}
	return max(nodes, 1), isFirst
}
