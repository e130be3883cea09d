package membership

import "slices"

// outbox is the queue for one receiver. It holds keys only, so that the newest content
// is sent and the queue of an unreachable receiver stays small.
type outbox struct {
	records map[string]bool
	// gossip maps the key of an item to whether it is urgent.
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

// batch is what is taken from an outbox for one message.
type batch struct {
	records []string
	gossip  []gossipKey
	// sequences are the sequence numbers of the items sent; an item that is newer by the
	// time of the answer is queued again.
	sequences []uint64
}

// takeBatch removes and returns up to one message of data: all records, urgent items,
// and bulk items as far as the byte budget allows.
func (o *outbox) takeBatch(table *gossipTable, bulkBytes *int) batch {
	var taken batch
	for id := range o.records {
		taken.records = append(taken.records, id)
	}
	clear(o.records)
	o.urgent = false
	for key, urgent := range o.gossip {
		item, known := table.items[key]
		if !known {
			delete(o.gossip, key)
			continue
		}
		size := len(item.Key) + len(item.Value) + itemOverheadBytes
		if len(taken.gossip) >= maxGossipPerMessage || !urgent && size > *bulkBytes {
			o.urgent = o.urgent || urgent
			continue
		}
		if !urgent {
			*bulkBytes -= size
		}
		taken.gossip = append(taken.gossip, key)
		taken.sequences = append(taken.sequences, item.Sequence)
		delete(o.gossip, key)
	}
	slices.Sort(taken.records)
	return taken
}

// restore queues lost data again for a receiver that answers.
func (o *outbox) restore(lost batch) {
	for _, id := range lost.records {
		o.addRecord(id)
	}
	for _, key := range lost.gossip {
		o.addGossip(key, urgentTopics[key.topic])
	}
}

// requeue queues undelivered data again. The data is no longer urgent: the receiver is
// slow or dead and gets it with the next heartbeat or bulk message.
func (o *outbox) requeue(taken batch) {
	for _, id := range taken.records {
		o.records[id] = true
	}
	for _, key := range taken.gossip {
		o.addGossip(key, false)
	}
}
