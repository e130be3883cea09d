package membership

import (
	"time"

	"zinniamast"
)

// topicSummary is the topic of the summaries of other failure domains within a domain.
const topicSummary zinniamast.Topic = "summary"

// urgentTopics are sent at once; items of the others wait for a bulk message.
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

// gossipTable holds the gossip items that have not expired.
type gossipTable struct {
	items map[gossipKey]zinniamast.GossipItem
	// ownKeys holds the keys of this node's own items.
	ownKeys      map[gossipKey]bool
	lastSequence uint64
	subscribers  map[zinniamast.Topic][]func(zinniamast.GossipItem)
	dropped      int
}

// newGossipTable starts sequence numbers above those of earlier runs of the node.
func newGossipTable(start uint64) gossipTable {
	return gossipTable{
		items:        map[gossipKey]zinniamast.GossipItem{},
		ownKeys:      map[gossipKey]bool{},
		lastSequence: start << 16,
		subscribers:  map[zinniamast.Topic][]func(zinniamast.GossipItem){},
	}
}

func (t *gossipTable) sequence(key gossipKey) uint64 { return t.items[key].Sequence }

// put stores an item if it is newer than the known one and there is room.
func (t *gossipTable) put(key gossipKey, news zinniamast.GossipItem) bool {
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

// wireItem returns the wire form of an item that has not expired.
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
		Wide:     news.AllDomains,
	}, true
}

// Publish implements zinniamast.Gossip. It drops and logs an item whose value is larger
// than MaxNews.
func (m *Membership) Publish(news zinniamast.GossipItem) {
	if len(news.Value) > zinniamast.MaxGossipValueBytes {
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

// Subscribe implements zinniamast.Gossip; f receives only items of other nodes.
func (m *Membership) Subscribe(topic zinniamast.Topic, f func(zinniamast.GossipItem)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gossip.subscribers[topic] = append(m.gossip.subscribers[topic], f)
}

// broadcastGossip queues an item for the broadcast targets, except the node it came from
// and its origin, and for the other failure domains if this node is a representative;
// the caller holds the lock.
func (m *Membership) broadcastGossip(key gossipKey, news zinniamast.GossipItem, from string) {
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

// queueForDomains queues a wide item of this failure domain for the other domains if
// this node is a representative; the caller holds the lock.
func (m *Membership) queueForDomains(key gossipKey, news zinniamast.GossipItem) {
	_, isOwn := m.recordOf(news.Origin)
	if !news.AllDomains || !isOwn || !m.isRepresentative() {
		return
	}
	for _, d := range m.domains {
		d.outbox.addGossip(key, urgentTopics[news.Topic])
	}
}

// receiveGossip stores new items, forwards them, and returns the callbacks to run after
// the lock is released; the caller holds the lock.
func (m *Membership) receiveGossip(items []Item, from string, otherDomain bool) []func() {
	now := time.Now()
	var callbacks []func()
	for _, item := range items {
		news := zinniamast.GossipItem{
			Topic:      zinniamast.Topic(item.Topic),
			Key:        item.Key,
			Value:      item.Value,
			Origin:     item.Origin,
			Sequence:   item.Sequence,
			Expires:    now.Add(time.Duration(item.Millis) * time.Millisecond),
			AllDomains: item.Wide,
		}
		key := gossipKey{
			topic:  news.Topic,
			key:    news.Key,
			origin: news.Origin,
		}
		if news.Origin == m.config.ID || len(news.Value) > zinniamast.MaxGossipValueBytes || !m.gossip.put(key, news) {
			continue
		}
		// In the full mesh the origin sends each item to all members. It may die
		// halfway, so urgent items are also relayed, and some arrive twice.
		switch {
		case otherDomain || m.needsRelay():
			m.broadcastGossip(key, news, from)
		case urgentTopics[news.Topic]:
			m.relayUrgent(key, news, from)
		default:
			m.queueForDomains(key, news)
		}
		for _, f := range m.gossip.subscribers[news.Topic] {
			callbacks = append(callbacks, func() { f(news) })
		}
		if news.Topic == topicSummary {
			m.mergeEncodedSummary(news.Value)
		}
	}
	return callbacks
}

// relayUrgent queues an urgent item for the next two members on the ring.
func (m *Membership) relayUrgent(key gossipKey, news zinniamast.GossipItem, from string) {
	ring := m.ring()
	for _, p := range ring[:min(len(ring), monitoredSuccessors)] {
		if p.record.ID != from && p.record.ID != news.Origin {
			p.outbox.addGossip(key, false)
		}
	}
	m.queueForDomains(key, news)
}
