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
	zinniamast.TopicPromptPart:      true,
	zinniamast.TopicRateLimit:       true,
	zinniamast.TopicRollout:         true,
	zinniamast.TopicVersionVerdict:  true,
	topicSummary:                    true,
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
func (t *gossipTable) put(key gossipKey, item zinniamast.GossipItem) bool {
	known, ok := t.items[key]
	if ok && item.Sequence <= known.Sequence {
		return false
	}
	if !ok && len(t.items) >= maxGossipItems {
		t.dropped++
		return false
	}
	t.items[key] = item
	return true
}

// remove withdraws an own item that others may not have received yet.
func (t *gossipTable) remove(key gossipKey) {
	delete(t.items, key)
	delete(t.ownKeys, key)
}

func (t *gossipTable) expire(now time.Time) {
	for key, item := range t.items {
		if now.After(item.Expires) {
			t.remove(key)
		}
	}
}

// wireItem returns the wire form of an item that has not expired.
func (t *gossipTable) wireItem(key gossipKey, now time.Time) (Item, bool) {
	item, ok := t.items[key]
	if !ok || now.After(item.Expires) {
		return Item{}, false
	}
	return Item{
		Topic:    string(item.Topic),
		Key:      item.Key,
		Value:    item.Value,
		Origin:   item.Origin,
		Sequence: item.Sequence,
		Millis:   item.Expires.Sub(now).Milliseconds(),
		Wide:     item.AllDomains,
	}, true
}

// Publish implements zinniamast.Gossip. It drops and logs an item whose value is larger
// than MaxGossipValueBytes.
func (m *Membership) Publish(item zinniamast.GossipItem) {
	if len(item.Value) > zinniamast.MaxGossipValueBytes {
		m.config.Logger.Error("news_too_large", "topic", item.Topic, "key", item.Key, "bytes", len(item.Value))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gossip.lastSequence++
	item.Origin = m.config.ID
	item.Sequence = m.gossip.lastSequence
	key := gossipKey{
		topic:  item.Topic,
		key:    item.Key,
		origin: item.Origin,
	}
	if m.gossip.put(key, item) {
		m.gossip.ownKeys[key] = true
		m.broadcastGossip(key, item, "")
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
func (m *Membership) broadcastGossip(key gossipKey, item zinniamast.GossipItem, from string) {
	urgent := urgentTopics[item.Topic]
	for _, p := range m.broadcastTargets() {
		if p.record.ID != from && p.record.ID != item.Origin {
			p.outbox.addGossip(key, urgent)
		}
	}
	m.queueForDomains(key, item)
	if urgent {
		m.wakeLoop()
	}
}

// queueForDomains queues a wide item of this failure domain for the other domains if
// this node is a representative; the caller holds the lock.
func (m *Membership) queueForDomains(key gossipKey, item zinniamast.GossipItem) {
	_, isOwn := m.recordOf(item.Origin)
	if !item.AllDomains || !isOwn || !m.isRepresentative() {
		return
	}
	for _, d := range m.domains {
		d.outbox.addGossip(key, urgentTopics[item.Topic])
	}
}

// receiveGossip stores new items, forwards them, and returns the callbacks to run after
// the lock is released; the caller holds the lock.
func (m *Membership) receiveGossip(items []Item, from string, otherDomain bool) []func() {
	now := time.Now()
	var callbacks []func()
	for _, wire := range items {
		item := zinniamast.GossipItem{
			Topic:      zinniamast.Topic(wire.Topic),
			Key:        wire.Key,
			Value:      wire.Value,
			Origin:     wire.Origin,
			Sequence:   wire.Sequence,
			Expires:    now.Add(time.Duration(wire.Millis) * time.Millisecond),
			AllDomains: wire.Wide,
		}
		key := gossipKey{
			topic:  item.Topic,
			key:    item.Key,
			origin: item.Origin,
		}
		if item.Origin == m.config.ID || len(item.Value) > zinniamast.MaxGossipValueBytes || !m.gossip.put(key, item) {
			continue
		}
		// In the full mesh the origin sends each item to all members. It may die
		// halfway, so urgent items are also relayed, and some arrive twice.
		switch {
		case otherDomain || m.needsRelay():
			m.broadcastGossip(key, item, from)
		case item.Topic == topicSummary:
			// The other representatives send it too.
		case urgentTopics[item.Topic]:
			m.relayUrgent(key, item, from)
		default:
			m.queueForDomains(key, item)
		}
		for _, f := range m.gossip.subscribers[item.Topic] {
			callbacks = append(callbacks, func() { f(item) })
		}
		if item.Topic == topicSummary {
			m.mergeEncodedSummary(item.Value)
		}
	}
	return callbacks
}

// relayUrgent queues an urgent item for the next two members on the ring.
func (m *Membership) relayUrgent(key gossipKey, item zinniamast.GossipItem, from string) {
	ring := m.ring()
	for _, p := range ring[:min(len(ring), monitoredSuccessors)] {
		if p.record.ID != from && p.record.ID != item.Origin {
			p.outbox.addGossip(key, false)
		}
	}
	m.queueForDomains(key, item)
}
