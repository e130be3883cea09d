package limits

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"zinniamast"
)

// A usage item of the gossip begins with the length and name of the failure
// domain. Entries of usageItemBytes follow: the account's hash and the work
// offered and admitted.
const (
	usageItemBytes   = 16
	usageTTL         = 20 * time.Second
	minUsageInterval = time.Second
	// usageBytesPerSecond bounds the usage that a node receives from its failure domain.
	usageBytesPerSecond = 1500
	keyNode             = "node"
	keyDomain           = "domain"
)

// usageItem is one account's work as it is encoded in gossip.
type usageItem struct {
	hash uint64
	totals
}

// receivedUsage is the latest usage received from one node or one failure domain.
type receivedUsage struct {
	items   []usageItem
	expires time.Time
}

// remoteUsage is the usage received from others: by node within the own failure
// domain, and as one sum for each other failure domain.
type remoteUsage struct {
	nodes   map[string]receivedUsage
	domains map[string]receivedUsage
}

func newRemoteUsage() remoteUsage {
	return remoteUsage{
		nodes:   map[string]receivedUsage{},
		domains: map[string]receivedUsage{},
	}
}

// expire deletes usage that was not renewed in time: a partitioned failure domain
// does not compete for the capacity of this one, so its share goes to the
// organisations that are active here.
func (r *remoteUsage) expire(now time.Time) {
	for _, received := range []map[string]receivedUsage{r.nodes, r.domains} {
		for origin, report := range received {
			if now.After(report.expires) {
				delete(received, origin)
			}
		}
	}
}

// addTo adds the usage that others reported for a service.
func (r *remoteUsage) addTo(all map[uint64]totals, service uint32) {
	addReceived(all, r.nodes, service)
	addReceived(all, r.domains, service)
}

func addReceived(all map[uint64]totals, received map[string]receivedUsage, service uint32) {
	for _, report := range received {
		for _, item := range report.items {
			if serviceOf(item.hash) != service {
				continue
			}
			t := all[item.hash]
			t.offered += item.offered
			t.admitted += item.admitted
			all[item.hash] = t
		}
	}
}

func (l *Limiter) subscribe() {
	if l.config.Gossip != nil {
		l.config.Gossip.Subscribe(zinniamast.TopicUsage, l.receiveUsage)
	}
}

// receiveUsage replaces the usage previously received from the same origin.
func (l *Limiter) receiveUsage(gossipItem zinniamast.GossipItem) {
	if gossipItem.Origin == l.config.Node {
		return
	}
	domain, items, ok := decodeUsage(gossipItem.Value)
	if !ok {
		return
	}
	report := receivedUsage{
		items:   items,
		expires: gossipItem.Expires,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sameDomain := domain == l.config.FailureDomain
	switch {
	case gossipItem.Key == keyNode && sameDomain:
		l.usage.remote.nodes[gossipItem.Origin] = report
	case gossipItem.Key == keyDomain && !sameDomain:
		l.usage.remote.domains[domain] = report
	}
}

// publishUsage publishes this node's usage within the failure domain; the first
// live node also publishes the domain's sum to the other failure domains. The
// bytes that a node receives thus depend on the number of nodes in its failure
// domain and of failure domains, not on the size of the fleet.
func (l *Limiter) publishUsage(now time.Time) {
	if l.config.Gossip == nil || now.Before(l.nextUsage) {
		return
	}
	own, sums := l.collectUsage(now)
	nodes, first := l.liveDomainNodes()
	value := encodeUsage(l.config.FailureDomain, own)
	l.nextUsage = now.Add(max(minUsageInterval, time.Duration(nodes*len(value))*time.Second/usageBytesPerSecond))
	l.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:   zinniamast.TopicUsage,
		Key:     keyNode,
		Value:   value,
		Expires: now.Add(usageTTL),
	})
	if !first {
		return
	}
	l.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      zinniamast.TopicUsage,
		Key:        keyDomain,
		Value:      encodeUsage(l.config.FailureDomain, sums),
		Expires:    now.Add(usageTTL),
		AllDomains: true,
	})
}

// collectUsage returns the usage of this node's accounts and the sums over its
// failure domain.
func (l *Limiter) collectUsage(now time.Time) (own, sums []usageItem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage.decay(now)
	domain := map[uint64]totals{}
	for _, a := range l.usage.accounts {
		t := totals{
			offered:  sum(a.offered),
			admitted: sum(a.admitted),
		}
		own = append(own, usageItem{
			hash:   a.hash,
			totals: t,
		})
		domain[a.hash] = t
	}
	for _, report := range l.usage.remote.nodes {
		for _, item := range report.items {
			t := domain[item.hash]
			t.offered += item.offered
			t.admitted += item.admitted
			domain[item.hash] = t
		}
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
func (l *Limiter) liveDomainNodes() (nodes int, first bool) {
	first = true
	for _, member := range l.config.Board.Members.All() {
		if member.FailureDomain != l.config.FailureDomain || member.Dead || member.Leaving {
			continue
		}
		nodes++
		if member.ID < l.config.Node {
			first = false
		}
	}
	return max(nodes, 1), first
}

// encodeUsage encodes as many accounts as fit, those with the most work first.
func encodeUsage(domain string, items []usageItem) []byte {
	slices.SortFunc(items, func(a, b usageItem) int {
		if byWork := cmp.Compare(b.offered, a.offered); byWork != 0 {
			return byWork
		}
		return cmp.Compare(a.hash, b.hash)
	})
	value := append([]byte{byte(len(domain))}, domain...)
	for _, item := range items {
		if len(value)+usageItemBytes > zinniamast.MaxGossipValueBytes {
			break
		}
		value = binary.BigEndian.AppendUint64(value, item.hash)
		value = binary.BigEndian.AppendUint32(value, math.Float32bits(float32(item.offered)))
		value = binary.BigEndian.AppendUint32(value, math.Float32bits(float32(item.admitted)))
	}
	return value
}

// decodeUsage decodes usage received by gossip; it returns false if the value is
// malformed.
func decodeUsage(value []byte) (domain string, items []usageItem, ok bool) {
	if len(value) == 0 || len(value) < 1+int(value[0]) {
		return "", nil, false
	}
	domain = string(value[1 : 1+int(value[0])])
	rest := value[1+int(value[0]):]
	if len(rest)%usageItemBytes != 0 {
		return "", nil, false
	}
	for ; len(rest) > 0; rest = rest[usageItemBytes:] {
		item := usageItem{
			hash: binary.BigEndian.Uint64(rest),
			totals: totals{
				offered:  float64(math.Float32frombits(binary.BigEndian.Uint32(rest[8:]))),
				admitted: float64(math.Float32frombits(binary.BigEndian.Uint32(rest[12:]))),
			},
		}
		if !(item.offered >= 0) || !(item.admitted >= 0) || math.IsInf(item.offered+item.admitted, 0) {
			return "", nil, false
		}
		items = append(items, item)
	}
	return domain, items, true
}
