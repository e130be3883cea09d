package routing

import (
	"encoding/binary"
	"time"

	"zinniamast"
)

// A load report is a list of items of loadItemBytes: the replica's short ID, the
// number of this node's sequences there, and its queued prompt tokens in units of
// loadQueuedUnitTokens.
const (
	loadItemBytes        = 7
	loadQueuedUnitTokens = 64
	loadKey              = "load"
	loadLifetime         = 10 * time.Second
	maxLoadItems         = zinniamast.MaxGossipValueBytes / loadItemBytes
	minLoadInterval      = 500 * time.Millisecond
	// maxLoadBytesPerSecond bounds the load reports that a node receives from all others.
	maxLoadBytesPerSecond = 1500
)

// peerLoad is the last load report of one other node.
type peerLoad struct {
	items   []loadItem
	expires time.Time
}

type loadItem struct {
	replica      *replica
	running      int
	queuedTokens int
}

func (r *Router) subscribe() {
	if r.config.Gossip == nil {
		return
	}
	r.config.Gossip.Subscribe(zinniamast.TopicLoad, r.receiveLoad)
	r.config.Gossip.Subscribe(zinniamast.TopicCircuit, r.receiveCircuitReport)
}

// publishLoad reports this node's in-flight requests to the failure domain, so that
// nodes that decide at the same time do not all choose the same idle replica.
func (r *Router) publishLoad(now time.Time) {
	if r.config.Gossip == nil || now.Before(r.nextLoadPublish) {
		return
	}
	value, wide := r.encodeLoad()
	r.nextLoadPublish = now.Add(r.loadInterval(len(value), wide))
	if len(value) == 0 && r.hasPublishedIdle {
		return
	}
	r.hasPublishedIdle = len(value) == 0
	r.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      zinniamast.TopicLoad,
		Key:        loadKey,
		Value:      value,
		Expires:    now.Add(loadLifetime),
		AllDomains: wide,
	})
}

// loadInterval returns the time to the next load report. It grows with the number of
// nodes, so that the traffic per node does not.
func (r *Router) loadInterval(size int, wide bool) time.Duration {
	nodes := 0
	for _, member := range r.config.Board.Members.All() {
		if (wide || member.FailureDomain == r.config.FailureDomain) && !member.Dead {
			nodes++
		}
	}
	interval := time.Duration(nodes*size) * time.Second / maxLoadBytesPerSecond
	return max(minLoadInterval, interval)
}

// encodeLoad returns the load report and whether it goes to other failure domains as
// well: at a small site the nodes of all failure domains use the same replicas.
func (r *Router) encodeLoad() (value []byte, wide bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.fleets {
		wide = wide || f.spansFailureDomains
	}
	for _, p := range r.replicas {
		if p.own.running == 0 || len(value) == maxLoadItems*loadItemBytes {
			continue
		}
		value = binary.BigEndian.AppendUint32(value, p.shortID())
		value = append(value, byte(min(p.own.running, 255)))
		value = binary.BigEndian.AppendUint16(value, uint16(min(p.own.totalQueuedTokens()/loadQueuedUnitTokens, 65535)))
	}
	return value, wide
}

// receiveLoad replaces another node's last load report.
func (r *Router) receiveLoad(gossipItem zinniamast.GossipItem) {
	if gossipItem.Origin == r.config.Node || len(gossipItem.Value)%loadItemBytes != 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.peerLoads[gossipItem.Origin]
	if !ok {
		known = &peerLoad{}
		r.peerLoads[gossipItem.Origin] = known
	}
	now := r.config.Now()
	known.withdraw()
	known.expires = gossipItem.Expires
	for rest := gossipItem.Value; len(rest) > 0; rest = rest[loadItemBytes:] {
		p, ok := r.byHash[binary.BigEndian.Uint32(rest)]
		if !ok {
			continue
		}
		p.remote.receivedAt = now
		known.add(loadItem{
			replica:      p,
			running:      int(rest[4]),
			queuedTokens: int(binary.BigEndian.Uint16(rest[5:])) * loadQueuedUnitTokens,
		})
	}
}

func (h *peerLoad) add(item loadItem) {
	item.replica.remote.running += item.running
	item.replica.remote.queuedTokens += item.queuedTokens
	h.items = append(h.items, item)
}

// withdraw subtracts the node's last load report from the replicas' remote load.
func (h *peerLoad) withdraw() {
	for _, item := range h.items {
		item.replica.remote.running -= item.running
		item.replica.remote.queuedTokens -= item.queuedTokens
	}
	h.items = h.items[:0]
}

// sweepPeerLoads removes expired load reports. Work of their nodes that is still
// running shows in the engines' reports.
func (r *Router) sweepPeerLoads(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for origin, known := range r.peerLoads {
		if now.After(known.expires) {
			known.withdraw()
			delete(r.peerLoads, origin)
		}
	}
}

// queueCircuitReport queues a report that a replica fails, to be published to the
// failure domain; the caller holds the lock.
func (r *Router) queueCircuitReport(p *replica, now time.Time) {
	if r.config.Gossip == nil {
		return
	}
	r.pendingCircuitReports = append(r.pendingCircuitReports, zinniamast.GossipItem{
		Topic:   zinniamast.TopicCircuit,
		Key:     p.id,
		Value:   []byte("open"),
		Expires: now.Add(max(p.circuit.openUntil.Sub(now), minCircuitReportLifetime)),
	})
}

// minCircuitReportLifetime is the minimum lifetime of a report of a failing replica.
const minCircuitReportLifetime = 5 * time.Second

// publishCircuitReports publishes the queued reports without holding the lock.
func (r *Router) publishCircuitReports() {
	r.mu.Lock()
	reports := r.pendingCircuitReports
	r.pendingCircuitReports = nil
	r.mu.Unlock()
	for _, report := range reports {
		r.config.Gossip.Publish(report)
	}
}

// receiveCircuitReport records another node's report of a failing replica. The report
// lowers the threshold, so that one local failure opens the circuit, but does not
// open it by itself: a node with a broken network could otherwise make a service
// unavailable to all nodes.
func (r *Router) receiveCircuitReport(gossipItem zinniamast.GossipItem) {
	if gossipItem.Origin == r.config.Node {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.replicas[gossipItem.Key]; ok {
		p.circuit.peerReportExpires = gossipItem.Expires
		r.metrics.circuits.WithLabelValues(circuitPeerReport).Inc()
	}
}
