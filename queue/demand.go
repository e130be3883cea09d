package queue

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast"
)

// Nodes whose requests wait for a service tell each other how much work they are asked for, so that
// the places of its replicas are shared in proportion. Work is counted in places: the arrivals per
// second times the mean time that a request occupies a replica.
const (
	// minDemandInterval is the shortest time between two reports of a node, and
	// demandBytesPerSecond bounds the reports that a node receives.
	minDemandInterval    = time.Second
	demandBytesPerSecond = 1500
	// demandOverhead is the assumed size of a report without its entries.
	demandOverhead = 80
	// demandLifetime is how long a report counts. A node that is cut off keeps its part for that
	// long.
	demandLifetime = 20 * time.Second
	// askedTime is how long a node tells its demand after another one has.
	askedTime = 10 * time.Second
	// minDemand is the demand of a node without requests, in places.
	minDemand = 0.1
	// demandTime is the time constant with which a demand is measured: a shorter one follows
	// chance. changedDemand is the factor by which it must differ from what was told last, so
	// that nodes share the places by the same numbers most of the time.
	demandTime    = 6 * time.Second
	changedDemand = 1.5
	// knownAfter is how long after its first request a node knows its demand.
	knownAfter = 4 * time.Second
	// changedPlaces is the number of places by which the demand of a class must differ as well.
	changedPlaces = 1
	// maxDemand bounds the demand for a class in a report; more is malformed.
	maxDemand = 1e6
)

// classDemands is the work that a node is asked for, by class, in places.
type classDemands [classCount]float64

func (d *classDemands) sum() float64 {
	sum := 0.0
	for _, demand := range d {
		sum += demand
	}
	return sum
}

// report is what another node told of its demand for a service.
type report struct {
	demands classDemands
	expires time.Time
}

func serviceHash(name string) uint32 { return uint32(xxh3.HashString(name)) }

// demands returns the work that this node is asked for as it tells the others. It returns false if
// the node does not know yet.
func (s *service) demands(now time.Time) (classDemands, bool) {
	age := now.Sub(s.firstAt)
	if age < knownAfter {
		return classDemands{}, false
	}
	// The count of a process that has just started is that of a shorter time.
	part := 1 - math.Exp(-float64(age)/float64(demandTime))
	var measured classDemands
	for i := range s.classes {
		if demand := s.classes[i].asked.at(now) / (part * demandTime.Seconds()) * s.meanWork; demand >= minDemand {
			measured[i] = demand
		}
	}
	if s.told.isChanged(&measured) {
		s.told = measured
	}
	return s.told, true
}

// isChanged reports whether demands differ so much that they are told anew: those of all classes
// together, or those of one by more than changedPlaces.
func (d *classDemands) isChanged(measured *classDemands) bool {
	if isFarFrom(d.sum(), measured.sum()) {
		return true
	}
	for i, demand := range measured {
		if isFarFrom(d[i], demand) && math.Abs(d[i]-demand) > changedPlaces {
			return true
		}
	}
	return false
}

func isFarFrom(told, measured float64) bool {
	told, measured = max(told, minDemand), max(measured, minDemand)
	return measured > told*changedDemand || measured < told/changedDemand
}

// publishDemand tells the other nodes the demand for all services whose capacity is short here or
// elsewhere, if that is due.
func (q *Queue) publishDemand(now time.Time) {
	if q.config.Gossip == nil || now.Before(q.nextReport) {
		return
	}
	var value []byte
	nodes := 0
	expires := now.Add(demandLifetime)
	for name, s := range q.services {
		demands, ok := s.demands(now)
		if !ok || !s.tellsDemand(now) {
			continue
		}
		nodes = max(nodes, len(s.reports))
		entry := appendDemands(nil, serviceHash(name), !s.shortSince.IsZero(), &demands)
		if len(value)+len(entry) > zinniamast.MaxGossipValueBytes {
			break
		}
		value = append(value, entry...)
		s.published = report{
			demands: demands,
			expires: expires,
		}
	}
	if len(value) == 0 {
		return
	}
	size := time.Duration((nodes + 1) * (len(value) + demandOverhead))
	q.reportInterval = max(minDemandInterval, size*time.Second/demandBytesPerSecond)
	q.nextReport = now.Add(q.reportInterval)
	item := zinniamast.GossipItem{
		Topic:      zinniamast.TopicQueue,
		Key:        q.config.Node,
		Value:      value,
		Expires:    expires,
		AllDomains: true,
	}
	go q.config.Gossip.Publish(item) // the caller holds the lock
}

// tellsDemand reports whether this node tells its demand for the service.
func (s *service) tellsDemand(now time.Time) bool {
	return !s.shortSince.IsZero() || !s.askedAt.IsZero() && now.Sub(s.askedAt) <= askedTime
}

// receiveDemand records what another node tells of its demand, and tells this node's own.
func (q *Queue) receiveDemand(item zinniamast.GossipItem) {
	if item.Key == q.config.Node {
		return
	}
	told, ok := decodeDemands(item.Value)
	if !ok {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, t := range told {
		s := q.serviceByHash(t.service)
		if s == nil {
			continue
		}
		if s.reports == nil {
			s.reports = map[string]report{}
		}
		s.forgetReports(now)
		s.reports[item.Key] = report{
			demands: t.demands,
			expires: item.Expires,
		}
		if t.isShort {
			s.askedAt = now
		}
	}
	q.publishDemand(now)
}

// maxReports bounds the reports that are kept.
const maxReports = 1000

// forgetReports removes expired reports, and all if there are too many.
func (s *service) forgetReports(now time.Time) {
	if len(s.reports) < maxReports {
		return
	}
	for node, r := range s.reports {
		if now.After(r.expires) {
			delete(s.reports, node)
		}
	}
	if len(s.reports) >= maxReports {
		clear(s.reports)
	}
}

// serviceByHash returns the service with a hash, or nil if this node has had no request for it.
func (q *Queue) serviceByHash(hash uint32) *service {
	for name, s := range q.services {
		if serviceHash(name) == hash {
			return s
		}
	}
	return nil
}

// toldDemands is the demand for one service in a report. isShort reports whether requests wait for it,
// or have waited lately, at the node that tells it.
type toldDemands struct {
	service uint32
	isShort bool
	demands classDemands
}

// In a report, a service is its hash, a set of classes with shortBit, and for each class of the set
// the upper half of the demand as a 32-bit floating-point number: within 1 % of it.
const (
	demandHeadBytes  = 6
	demandClassBytes = 2
	shortBit         = 1 << 15
	classBits        = 1<<classCount - 1
)

// appendDemands appends the demand for a service to a report.
func appendDemands(value []byte, service uint32, isShort bool, demands *classDemands) []byte {
	set := uint16(0)
	if isShort {
		set = shortBit
	}
	for i, demand := range demands {
		if demand > 0 {
			set |= 1 << i
		}
	}
	value = binary.BigEndian.AppendUint32(value, service)
	value = binary.BigEndian.AppendUint16(value, set)
	for _, demand := range demands {
		if demand > 0 {
			value = binary.BigEndian.AppendUint16(value, uint16(math.Float32bits(float32(demand))>>16))
		}
	}
	return value
}

// decodeDemands decodes a report; it returns false if the report is malformed.
func decodeDemands(value []byte) (told []toldDemands, ok bool) {
	for len(value) > 0 {
		if len(value) < demandHeadBytes {
			return nil, false
		}
		set := binary.BigEndian.Uint16(value[4:])
		if set&^(shortBit|classBits) != 0 {
			return nil, false
		}
		t := toldDemands{
			service: binary.BigEndian.Uint32(value),
			isShort: set&shortBit != 0,
		}
		value = value[demandHeadBytes:]
		for i := range t.demands {
			if set&(1<<i) == 0 {
				continue
			}
			if len(value) < demandClassBytes {
				return nil, false
			}
			demand := float64(math.Float32frombits(uint32(binary.BigEndian.Uint16(value)) << 16))
			if !(demand >= 0 && demand <= maxDemand) {
				return nil, false
			}
			t.demands[i] = demand
			value = value[demandClassBytes:]
		}
		told = append(told, t)
	}
	return told, true
}
