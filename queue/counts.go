package queue

import (
	"math"
	"time"
)

// decayTime is the time constant of the counts of each class: a class must not be without turns for
// longer when a burst of more urgent requests begins.
const decayTime = 2 * time.Second

// decaying is a count that decays exponentially.
type decaying struct {
	constant time.Duration
	value    float64
	since    time.Time
}

func (d *decaying) add(amount float64, now time.Time) {
	d.value = d.at(now) + amount
	d.since = now
}

func (d *decaying) at(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-float64(now.Sub(d.since))/float64(d.constant))
}

// The window of a rate is divided into slots, the oldest of which is dropped as a new one begins.
const (
	rateSlots  = 8
	slotLength = 250 * time.Millisecond
)

// rate counts events of the last two seconds, by the steady clock: the time of day may jump.
type rate struct {
	counts [rateSlots]int
	newest int64
	total  int
	// since is when the first event was counted, with which the first slot begins.
	since time.Time
}

// advance drops the slots that have left the window.
func (r *rate) advance(now time.Time) {
	slot := int64(now.Sub(r.since) / slotLength)
	for n := r.newest + 1; n <= slot && n <= r.newest+rateSlots; n++ {
		i := n % rateSlots
		r.total -= r.counts[i]
		r.counts[i] = 0
	}
	r.newest = max(r.newest, slot)
}

func (r *rate) add(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.advance(now)
	r.counts[r.newest%rateSlots]++
	r.total++
}

// perSecond returns the mean rate of the window.
func (r *rate) perSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	r.advance(now)
	if r.total == 0 {
		return 0
	}
	elapsed := min(max(now.Sub(r.since), slotLength), rateSlots*slotLength)
	return float64(r.total) / elapsed.Seconds()
}
