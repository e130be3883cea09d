package membership

import (
	"time"

	"zinniamast"
)

// topicSummary carries other domains' summaries within a domain.
const topicSummary zinniamast.Topic = "summary"

// urgentTopics are sent at once; the others wait to be sent in bulk.
var urgentTopics = map[zinniamast.Topic]bool{
	zinniamast.TopicUpstreamLeaving: true,
	zinniamast.TopicUpstreamGone:    true,
	zinniamast.TopicCrash:           true,
	zinniamast.TopicQuarantine:      true,
}

type gossipKey struct {
	topic  zinniamast.Topic
	key    string
	origin string
}

// gossipTable holds what is news now.
type gossipTable struct {
	items map[gossipKey]zinniamast.News
	// ownKeys holds the keys of this node's own items.
	ownKeys      map[gossipKey]bool
	lastSequence uint64
	subscribers  map[zinniamast.Topic][]func(zinniamast.News)
	dropped      int
}

// newGossipTable starts sequences above those of the node's earlier lives.
func newGossipTable(start uint64) gossipTable {
	return gossipTable{
		items:        map[gossipKey]zinniamast.News{},
		ownKeys:      map[gossipKey]bool{},
		lastSequence: start << 16,
		subscribers:  map[zinniamast.Topic][]func(zinniamast.News){},
	}
}

func (t *gossipTable) sequence(key gossipKey) uint64 { return t.items[key].Sequence }

// put stores an item if it is newer than what is known and there is room.
func (t *gossipTable) put(key gossipKey, news zinniamast.News) bool {
	known, ok := t.items[key]
	if ok && news.Sequence <= known.Sequence {
		return false
	}
	if !ok && len(t.items) >= maxGossipItems {
		t.dropped++
		return false
	}
	t.items[key] = news
	return true
}

func (t *gossipTable) expire(now time.Time) {
	for key, news := range t.items {
		if now.After(news.Expires) {
			delete(t.items, key)
			delete(t.ownKeys, key)
		}
	}
}

// wireItem returns the sendable form of what is still news.
func (t *gossipTable) wireItem(key gossipKey, now time.Time) (Item, bool) {
	news, ok := t.items[key]
	if !ok || now.After(news.Expires) {
		return Item{}, false
	}
	return Item{
		Topic:    string(news.Topic),
		Key:      news.Key,
		Value:    news.Value,
		Origin:   news.Origin,
		Sequence: news.Sequence,
		Millis:   news.Expires.Sub(now).Milliseconds(),
		Wide:     news.Wide,
	}, true
}

// Publish implements zinniamast.Gossip; news above MaxNews is dropped with a log line.
func (m *Membership) Publish(news zinniamast.News) {
	if len(news.Value) > zinniamast.MaxNews {
		m.config.Logger.Error("news_too_large", "topic", news.Topic, "key", news.Key, "bytes", len(news.Value))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gossip.lastSequence++
	news.Origin = m.config.ID
	news.Sequence = m.gossip.lastSequence
	key := gossipKey{
		topic:  news.Topic,
		key:    news.Key,
		origin: news.Origin,
	}
	if m.gossip.put(key, news) {
		m.gossip.ownKeys[key] = true
		m.broadcastGossip(key, news, "")
	}
}

// Subscribe implements zinniamast.Gossip; f hears only other nodes' news.
func (m *Membership) Subscribe(topic zinniamast.Topic, f func(zinniamast.News)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gossip.subscribers[topic] = append(m.gossip.subscribers[topic], f)
}

// broadcastGossip owes an item to the domain, but for the node it came from, and to
// the other domains if this node represents; the caller holds the lock.
func (m *Membership) broadcastGossip(key gossipKey, news zinniamast.News, from string) {
	urgent := urgentTopics[news.Topic]
	for _, p := range m.broadcastTargets() {
		if p.record.ID != from && p.record.ID != news.Origin {
			p.outbox.addGossip(key, urgent)
		}
	}
	m.queueForDomains(key, news)
	if urgent {
		m.wakeLoop()
	}
}

// queueForDomains owes wide news of this domain to the others; the caller holds the lock.
func (m *Membership) queueForDomains(key gossipKey, news zinniamast.News) {
	_, ours := m.recordOf(news.Origin)
	if !news.Wide || !ours || !m.isRepresentative() {
		return
	}
	for _, d := range m.domains {
		d.outbox.addGossip(key, urgentTopics[news.Topic])
	}
}

// receiveGossip takes items in and returns the calls to make once the lock is free.
func (m *Membership) receiveGossip(items []Item, from string, otherDomain bool) []func() {
	now := time.Now()
	var calls []func()
	for _, item := range items {
		news := zinniamast.News{
			Topic:    zinniamast.Topic(item.Topic),
			Key:      item.Key,
			Value:    item.Value,
			Origin:   item.Origin,
			Sequence: item.Sequence,
			Expires:  now.Add(time.Duration(item.Millis) * time.Millisecond),
			Wide:     item.Wide,
		}
		key := gossipKey{
			topic:  news.Topic,
			key:    news.Key,
			origin: news.Origin,
		}
		if news.Origin == m.config.ID || len(news.Value) > zinniamast.MaxNews || !m.gossip.put(key, news) {
			continue
		}
		// In the mesh each origin tells everyone itself. It may die half way, so
		// what is urgent is also passed on, at the cost of what is heard twice.
		switch {
		case otherDomain || m.needsRelay():
			m.broadcastGossip(key, news, from)
		case urgentTopics[news.Topic]:
			m.relayUrgent(key, news, from)
		default:
			m.queueForDomains(key, news)
		}
		for _, f := range m.gossip.subscribers[news.Topic] {
			calls = append(calls, func() { f(news) })
		}
		if news.Topic == topicSummary {
			m.mergeEncodedSummary(news.Value)
		}
	}
	return calls
}

// relayUrgent owes urgent news to the two next members of the ring.
func (m *Membership) relayUrgent(key gossipKey, news zinniamast.News, from string) {
	ring := m.ring()
	for _, p := range ring[:min(len(ring), watchedSuccessors)] {
		if p.record.ID != from && p.record.ID != news.Origin {
			p.outbox.addGossip(key, false)
		}
	}
	m.queueForDomains(key, news)
}
