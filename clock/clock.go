// Package clock tells true time on machines whose time of day may be wrong.
//
// The platform's store has a steady clock that all nodes hear. Each node
// compares its own time of day with it once, at its start; the median of what
// the nodes found is the offset between the store's clock and true time. After
// that nobody's time of day matters: a step of it on some machines, or a
// machine that was suspended, changes nothing.
package clock

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is one node's view. The zero value knows nothing yet.
type Clock struct {
	mu sync.Mutex
	// store is the store's clock less the time since this machine's boot; of
	// many answers the least delayed one gives the largest, truest value.
	store time.Duration
	heard bool
	// own is this node's time of day less the store's clock, at the first answer.
	own time.Duration
	// offset is true time less the store's clock, as most nodes found it.
	offset time.Duration
	agreed bool
}

// sinceBoot is a steady clock that goes on while the machine is suspended.
//
// Failure: Go's own steady clock stands still during a suspension; a node that
// woke up would count requests into a window that ended long ago.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux since 2.6.39 has this clock; without it the time of day is what is left.
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// Heard takes in the store's clock from an answer that has just come.
func (c *Clock) Heard(store time.Duration) {
	boot := sinceBoot()
	wall := time.Duration(time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.heard {
		c.heard = true
		c.store = store - boot
		c.own = wall - store
		return
	}
	c.store = max(c.store, store-boot)
}

// Own returns this node's time of day less the store's clock, as found at its start.
func (c *Clock) Own() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own, c.heard
}

// Agree takes the median of what the nodes found.
func (c *Clock) Agree(offsets []time.Duration) {
	if len(offsets) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(offsets))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = sorted[len(sorted)/2]
	c.agreed = true
}

// NowOrLocal returns true time, or this machine's time of day while that is not known.
func (c *Clock) NowOrLocal() time.Time {
	if now, ok := c.Now(); ok {
		return now
	}
	return time.Now()
}

// Now returns true time; false while it is not known.
func (c *Clock) Now() (time.Time, bool) {
	boot := sinceBoot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.heard || !c.agreed {
		return time.Time{}, false
	}
	return time.Unix(0, int64(boot+c.store+c.offset)), true
}
