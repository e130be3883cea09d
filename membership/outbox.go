package membership

import "slices"

// outbox is what one receiver has yet to hear: names only, so that the newest
// content is sent and a receiver that is cut off costs little.
type outbox struct {
	records map[string]bool
	// gossip maps to whether it is urgent.
	gossip map[gossipKey]bool
	urgent bool
}

func newOutbox() outbox {
	return outbox{
		records: map[string]bool{},
		gossip:  map[gossipKey]bool{},
	}
}

func (o *outbox) addRecord(id string) {
	o.records[id] = true
	o.urgent = true
}

func (o *outbox) addGossip(key gossipKey, urgent bool) {
	o.gossip[key] = o.gossip[key] || urgent
	o.urgent = o.urgent || urgent
}

func (o *outbox) empty() bool { return len(o.records) == 0 && len(o.gossip) == 0 }

// batch is what was taken from an outbox for one message.
type batch struct {
	records []string
	gossip  []gossipKey
	// sequences are of the news as sent, so that later items stay owed.
	sequences []uint64
}

// takeBatch moves at most a message's worth out: what is urgent, and bulk news as
// far as its bytes allow.
func (o *outbox) takeBatch(table *gossipTable, bulkBytes *int) batch {
	var taken batch
	for id := range o.records {
		taken.records = append(taken.records, id)
	}
	clear(o.records)
	o.urgent = false
	for key, urgent := range o.gossip {
		news, known := table.items[key]
		if !known {
			delete(o.gossip, key)
			continue
		}
		size := len(news.Key) + len(news.Value) + itemOverheadBytes
		if len(taken.gossip) >= maxGossipPerMessage || !urgent && size > *bulkBytes {
			o.urgent = o.urgent || urgent
			continue
		}
		if !urgent {
			*bulkBytes -= size
		}
		taken.gossip = append(taken.gossip, key)
		taken.sequences = append(taken.sequences, news.Sequence)
		delete(o.gossip, key)
	}
	slices.Sort(taken.records)
	return taken
}

// requeue owes again what was not delivered. It is no longer urgent: the
// receiver is slow or gone, and is told with its next heartbeat or bulk message.
func (o *outbox) requeue(taken batch) {
	for _, id := range taken.records {
		o.records[id] = true
	}
	for _, key := range taken.gossip {
		o.addGossip(key, false)
	}
}
