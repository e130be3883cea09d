package capacity

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// MeterConfig holds the dependencies and settings of a meter.
type MeterConfig struct {
	// Gossip distributes the rates.
	Gossip zinniamast.Gossip
	// Members are the nodes on the entry instances.
	Members *blackboard.Members
	// Node is this node's ID and FailureDomain its failure domain.
	Node          string
	FailureDomain string
}

// Intervals and gossip keys of the meter. A node publishes its rates within its
// failure domain; the live node with the lowest ID there publishes the domain's
// sum to all nodes, so that a node receives one sum from each other domain and
// not the rates of each of its nodes.
const (
	meterInterval = 15 * time.Second
	meterExpiry   = 4 * meterInterval
	// silentDomainTimeout is how long a failure domain from which no sum arrives
	// any more counts as cut off; after that it counts as removed.
	silentDomainTimeout = time.Hour
	sumKey              = "sum"
	nodeKey             = "node"
)

// Meter measures the demand for each service in tokens and sums it over the fleet.
type Meter struct {
	config MeterConfig

	mu sync.Mutex
	// counts are the tokens since the last publication; rates are those of the last interval.
	counts       map[string]float64
	rates        map[string]float64
	countedSince time.Time
	// nodes holds the rates of other nodes in this failure domain by node ID, and
	// domains the sum of each failure domain.
	nodes   map[string]receivedRates
	domains map[string]receivedRates
}

type receivedRates struct {
	rates      map[string]float64
	receivedAt time.Time
	expires    time.Time
}

// NewMeter returns a meter that receives rates at once; Run publishes its own.
func NewMeter(c MeterConfig) *Meter {
	m := &Meter{
		config:       c,
		counts:       map[string]float64{},
		rates:        map[string]float64{},
		countedSince: time.Now(),
		nodes:        map[string]receivedRates{},
		domains:      map[string]receivedRates{},
	}
	c.Gossip.Subscribe(zinniamast.TopicDemand, m.receive)
	return m
}

// Add counts tokens that were generated, or that were requested and refused for
// lack of capacity.
func (m *Meter) Add(service string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[service] += float64(tokens)
}

// Run publishes rates at each interval until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.publish(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (m *Meter) publish(now time.Time) {
	publishes := m.publishesSum()
	m.mu.Lock()
	seconds := now.Sub(m.countedSince).Seconds()
	m.rates = map[string]float64{}
	for service, tokens := range m.counts {
		m.rates[service] = tokens / max(seconds, 1)
	}
	m.counts, m.countedSince = map[string]float64{}, now
	own := maps.Clone(m.rates)
	sum := m.domainSum(now)
	m.mu.Unlock()
	m.publishRates(nodeKey, own, false, now)
	if publishes {
		m.publishRates(sumKey+"/"+m.config.FailureDomain, sum, true, now)
	}
}

// publishesSum reports whether this node publishes the domain's sum. If two nodes
// that can't reach each other both do, they publish under the same key and the
// later sum replaces the earlier one: the demand then appears too low in part,
// but is never counted twice.
func (m *Meter) publishesSum() bool {
	for _, member := range m.config.Members.All() {
		if member.FailureDomain == m.config.FailureDomain && !member.Dead && member.ID < m.config.Node {
			return false
		}
	}
	return true
}

// domainSum sums the rates of this failure domain; the caller holds the lock.
func (m *Meter) domainSum(now time.Time) map[string]float64 {
	total := maps.Clone(m.rates)
	for node, h := range m.nodes {
		if now.After(h.expires) {
			delete(m.nodes, node)
			continue
		}
		addRates(total, h.rates)
	}
	return total
}

func addRates(total, rates map[string]float64) {
	for service, rate := range rates {
		total[service] += rate
	}
}

// publishRates publishes rates. If they don't fit into one gossip item, it omits the
// smallest.
func (m *Meter) publishRates(key string, rates map[string]float64, isWide bool, now time.Time) {
	services := slices.SortedFunc(maps.Keys(rates), func(a, b string) int { return compare(rates[b], rates[a]) })
	for {
		included := map[string]float64{}
		for _, service := range services {
			included[service] = float64(int(rates[service] + 0.5))
		}
		value, err := json.Marshal(included)
		if err == nil && len(value) <= zinniamast.MaxGossipValueBytes {
			m.config.Gossip.Publish(zinniamast.GossipItem{
				Topic:      zinniamast.TopicDemand,
				Key:        key,
				Value:      value,
				Expires:    now.Add(meterExpiry),
				AllDomains: isWide,
			})
			return
		}
		services = services[:len(services)*3/4]
	}
}

// receive stores another node's rates or a domain's sum.
func (m *Meter) receive(item zinniamast.GossipItem) {
	var rates map[string]float64
	if json.Unmarshal(item.Value, &rates) != nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	h := receivedRates{
		rates:      rates,
		receivedAt: now,
		expires:    item.Expires,
	}
	if domain, ok := strings.CutPrefix(item.Key, sumKey+"/"); ok {
		m.domains[domain] = h
		return
	}
	if item.Key == nodeKey && item.Origin != m.config.Node {
		m.nodes[item.Origin] = h
	}
}

// Rates returns the fleet's tokens a second by service. False means that the sum
// of a failure domain that reported within the last hour has expired; that sum
// still counts.
func (m *Meter) Rates() (map[string]float64, bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.domainSum(now)
	complete := true
	for domain, h := range m.domains {
		switch {
		case domain == m.config.FailureDomain:
		case now.Sub(h.receivedAt) > silentDomainTimeout:
			delete(m.domains, domain)
		default:
			addRates(total, h.rates)
			complete = complete && !now.After(h.expires)
		}
	}
	return total, complete
}
