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

// MeterConfig says what a meter works with.
type MeterConfig struct {
	// Gossip carries the figures.
	Gossip zinniamast.Gossip
	// Members are the entry instances.
	Members *blackboard.Members
	// Node and FailureDomain are this node's.
	Node          string
	FailureDomain string
}

// The meter's pace. A node's figure goes to its failure domain; the live node
// with the lowest ID there tells the sum to all, so that a node hears one
// figure a domain and not one a node.
const (
	meterInterval = 15 * time.Second
	meterExpiry   = 4 * meterInterval
	// silentDomainTimeout is how long a failure domain that is no longer heard counts as
	// cut off; after that as gone.
	silentDomainTimeout = time.Hour
	sumKey              = "sum"
	nodeKey             = "node"
)

// Meter counts what is asked of each service, in tokens, and adds up the fleet.
type Meter struct {
	config MeterConfig

	mu sync.Mutex
	// counts are the tokens since the last publication; rates are those of the last interval.
	counts       map[string]float64
	rates        map[string]float64
	countedSince time.Time
	// nodes holds what others of this failure domain said; domains each domain's sum.
	nodes   map[string]receivedRates
	domains map[string]receivedRates
}

type receivedRates struct {
	rates      map[string]float64
	receivedAt time.Time
	expires    time.Time
}

// NewMeter returns a meter that listens at once; Run makes it publish.
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

// Add counts tokens that were generated, or that were asked for and refused
// for want of capacity.
func (m *Meter) Add(service string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[service] += float64(tokens)
}

// Run publishes until ctx ends.
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
	speaks := m.publishesSum()
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
	if speaks {
		m.publishRates(sumKey+"/"+m.config.FailureDomain, sum, true, now)
	}
}

// publishesSum says whether this node tells the domain's sum. Two that both believe
// so, because they do not hear each other, tell figures of one name, and the
// later one counts: the demand is then seen too low in part, never doubled.
func (m *Meter) publishesSum() bool {
	for _, member := range m.config.Members.All() {
		if member.FailureDomain == m.config.FailureDomain && !member.Dead && member.ID < m.config.Node {
			return false
		}
	}
	return true
}

// domainSum adds up the failure domain; the caller holds the lock.
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

// publishRates publishes rates, the largest first as far as they fit into one item.
func (m *Meter) publishRates(key string, rates map[string]float64, wide bool, now time.Time) {
	services := slices.SortedFunc(maps.Keys(rates), func(a, b string) int { return compare(rates[b], rates[a]) })
	for {
		kept := map[string]float64{}
		for _, service := range services {
			kept[service] = float64(int(rates[service] + 0.5))
		}
		value, err := json.Marshal(kept)
		if err == nil && len(value) <= zinniamast.MaxNews {
			m.config.Gossip.Publish(zinniamast.News{
				Topic:   zinniamast.TopicDemand,
				Key:     key,
				Value:   value,
				Expires: now.Add(meterExpiry),
				Wide:    wide,
			})
			return
		}
		services = services[:len(services)*3/4]
	}
}

// receive takes in another node's figure or a domain's sum.
func (m *Meter) receive(news zinniamast.News) {
	var rates map[string]float64
	if json.Unmarshal(news.Value, &rates) != nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	h := receivedRates{
		rates:      rates,
		receivedAt: now,
		expires:    news.Expires,
	}
	if domain, ok := strings.CutPrefix(news.Key, sumKey+"/"); ok {
		m.domains[domain] = h
		return
	}
	if news.Key == nodeKey && news.Origin != m.config.Node {
		m.nodes[news.Origin] = h
	}
}

// Rates returns the fleet's tokens a second by service. False means that a
// failure domain heard within the last hour is silent now; its last figure
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
