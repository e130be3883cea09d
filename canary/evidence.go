package canary

import (
	"cmp"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast"
)

const (
	// slotLength is the length of the spans of true time by which answers are counted.
	slotLength = 500 * time.Millisecond
	// openSlots is the number of newest slots whose counts may still change: an answer is
	// counted in the slot in which it ends, and its count takes some time to arrive.
	openSlots = 6
	// bucketsPerDouble is the number of histogram buckets in which a duration doubles.
	bucketsPerDouble = 4
	maxBucket        = 80
)

// Measure is a duration of an answer that is compared between versions.
type Measure uint8

// The measures of an answer.
const (
	// MeasureFirst is the time to the first event of a stream, or to the whole answer.
	MeasureFirst Measure = iota
	// MeasurePause is the mean pause between the events of a stream.
	MeasurePause
	// MeasureBreak is not a duration: its cells count, by replica, the events in which answers
	// broke off at a node and, in their only bucket, the further answers of these events.
	MeasureBreak
)

// Sample is what one send of a request has shown so far. A stream gives up to three: with its
// first event, with its pauses, and with its end.
type Sample struct {
	Service       string
	Route         string
	Replica       string
	Version       string
	FailureDomain string
	// IsFailed means that the replica's answer was a failure, or that it broke off.
	IsFailed bool
	// Failure is the way in which the send failed; empty for an answer with an error status.
	Failure zinniamast.Failure
	// First is the time to the first event or to the whole answer, and Pause the mean pause
	// between events; zero if the sample has none.
	First time.Duration
	Pause time.Duration
	// Took is the time from the send to its end; zero before that.
	Took time.Duration
}

// Cell identifies the answers that are counted together.
type Cell struct {
	// Route is a hash of the route's name.
	Route uint32
	// Domain is a hash of the replica's failure domain; zero for the answers of the old
	// versions, which are not told apart by domain.
	Domain  uint32
	IsNew   bool
	Measure Measure
	// Replica is a hash of the replica's ID, with MeasureBreak only.
	Replica uint32
}

// compare orders cells.
func (c Cell) compare(other Cell) int {
	return cmp.Or(cmp.Compare(c.Route, other.Route), cmp.Compare(c.Domain, other.Domain), cmp.Compare(c.Measure, other.Measure),
		cmp.Compare(c.Replica, other.Replica))
}

// Tally counts the answers of a cell.
type Tally struct {
	// Failed counts the failed answers, with MeasureFirst and MeasureBreak only.
	Failed uint32
	// Buckets counts the other answers by duration.
	Buckets map[uint8]uint32
}

// Tallies are the answers of a slot.
type Tallies map[Cell]Tally

// Slots holds tallies by the number of their slot.
type Slots map[int64]Tallies

// slotOf returns the number of the slot of a true time.
func slotOf(at time.Time) int64 { return at.UnixMilli() / slotLength.Milliseconds() }

// bucketOf returns the histogram bucket of a duration.
func bucketOf(d time.Duration) uint8 {
	if d <= time.Millisecond {
		return 0
	}
	bucket := bucketsPerDouble * math.Log2(float64(d)/float64(time.Millisecond))
	return uint8(min(bucket+1, maxBucket))
}

// hash32 returns a short hash of a name, which is never zero.
func hash32(name string) uint32 { return uint32(xxh3.HashString(name)) | 1 }

// count adds a sample to the slot of a true time. isFirst is false if the answer broke off in
// the same event as an earlier one.
func (s Slots) count(at time.Time, sample *Sample, isNew, isFirst bool) {
	slot := slotOf(at)
	if s[slot] == nil {
		s[slot] = Tallies{}
	}
	cell := Cell{
		Route: hash32(sample.Route),
		IsNew: isNew,
	}
	if isNew {
		cell.Domain = hash32(sample.FailureDomain)
	}
	if sample.IsFailed {
		if isNew && sample.isBreak() {
			cell.Measure, cell.Replica = MeasureBreak, hash32(sample.Replica)
			if !isFirst {
				s[slot].addDuration(cell, 0, 1)
				return
			}
		}
		s[slot].addFailed(cell, 1)
		return
	}
	if sample.First > 0 {
		s[slot].addDuration(cell, bucketOf(sample.First), 1)
	}
	if sample.Pause > 0 {
		cell.Measure = MeasurePause
		s[slot].addDuration(cell, bucketOf(sample.Pause), 1)
	}
}

func (t Tallies) addFailed(cell Cell, count uint32) {
	tally := t[cell]
	tally.Failed += count
	t[cell] = tally
}

func (t Tallies) addDuration(cell Cell, bucket uint8, count uint32) {
	tally := t[cell]
	if tally.Buckets == nil {
		tally.Buckets = map[uint8]uint32{}
	}
	tally.Buckets[bucket] += count
	t[cell] = tally
}

// add adds other tallies.
func (t Tallies) add(others Tallies) {
	for cell, other := range others {
		if other.Failed > 0 {
			t.addFailed(cell, other.Failed)
		}
		for bucket, count := range other.Buckets {
			t.addDuration(cell, bucket, count)
		}
	}
}

// size returns the number of counts.
func (t Tallies) size() uint64 {
	sum := uint64(0)
	for _, tally := range t {
		sum += uint64(tally.Failed)
		for _, count := range tally.Buckets {
			sum += uint64(count)
		}
	}
	return sum
}

// add adds the slots of another node.
func (s Slots) add(others Slots) {
	for slot, tallies := range others {
		if s[slot] == nil {
			s[slot] = Tallies{}
		}
		s[slot].add(tallies)
	}
}

// since returns a copy of the slots from a number on. The tallies are copied too, as the
// newest slots still change.
func (s Slots) since(first int64) Slots {
	newest := Slots{}
	for slot, tallies := range s {
		if slot >= first {
			newest[slot] = Tallies{}
			newest[slot].add(tallies)
		}
	}
	return newest
}

// dropBefore forgets the slots before a number.
func (s Slots) dropBefore(first int64) {
	for slot := range s {
		if slot < first {
			delete(s, slot)
		}
	}
}
