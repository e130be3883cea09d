// Package clock provides true time on instances whose time of day may be wrong.
//
// The platform's store has a monotonic clock that all nodes receive with its
// answers. Each node compares its own time of day with that clock once, at its
// start. The median of the nodes' differences is the offset between the store's
// clock and true time. After that no node's time of day is used: true time does
// not change if the time of day of some instances steps or an instance is
// suspended.
package clock

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is one node's view of true time. The zero value has no time yet.
type Clock struct {
	mu sync.Mutex
	// storeMinusBoot is the store's clock minus the time since this instance's boot. Of
	// many answers the least delayed one gives the largest and most accurate value.
	storeMinusBoot time.Duration
	hasStoreTime   bool
	// localOffset is this node's time of day minus the store's clock, at the first answer.
	localOffset time.Duration
	// offset is true time minus the store's clock: the median over the nodes.
	offset    time.Duration
	hasOffset bool
}

// sinceBoot returns the time since boot on a monotonic clock that goes on while
// the instance is suspended. Go's own monotonic clock stands still during a
// suspension; with it, a node that resumes would count requests into a window
// that ended long ago.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux since 2.6.39 has this clock; without it the time of day is the fallback.
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// ObserveStoreTime records the store's clock from an answer that has just arrived.
func (c *Clock) ObserveStoreTime(store time.Duration) {
	boot := sinceBoot()
	wall := time.Duration(time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasStoreTime {
		c.hasStoreTime = true
		c.storeMinusBoot = store - boot
		c.localOffset = wall - store
		return
	}
	c.storeMinusBoot = max(c.storeMinusBoot, store-boot)
}

// LocalOffset returns this node's time of day minus the store's clock, as measured at the
// first answer; false before that.
func (c *Clock) LocalOffset() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.localOffset, c.hasStoreTime
}

// SetOffset sets the offset of true time to the median of the nodes' offsets.
func (c *Clock) SetOffset(offsets []time.Duration) {
	if len(offsets) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(offsets))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = sorted[len(sorted)/2]
	c.hasOffset = true
}

// NowOrLocal returns true time, or this instance's time of day while true time is
// not known.
func (c *Clock) NowOrLocal() time.Time {
	if now, ok := c.Now(); ok {
		return now
	}
	return time.Now()
}

// Now returns true time; false while true time is not known.
func (c *Clock) Now() (time.Time, bool) {
	boot := sinceBoot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasStoreTime || !c.hasOffset {
		return time.Time{}, false
	}
	return time.Unix(0, int64(boot+c.storeMinusBoot+c.offset)), true
}
