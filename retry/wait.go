package retry

import (
	"context"
	"slices"
	"time"
)

// waiter is a request that waits for a repeated send.
type waiter struct {
	// granted is closed when the repeated send has been counted.
	granted chan struct{}
}

// minWait is the shortest time after which a waiting request looks again whether its
// repeated send is still expected in time.
const minWait = 20 * time.Millisecond

// RetryWait returns the time until one more request is expected to be allowed a repeated
// send, after those that wait; zero if it is allowed one now. It returns false if that is
// not expected at all.
func (w *Window) RetryWait(service string) (wait time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service)
	w.grant(c)
	if len(c.waiters) == 0 && w.hasRoom(c) {
		return 0, true // expectedWait allocates
	}
	return w.expectedWait(c, len(c.waiters)+1)
}

// AwaitRetry waits until a request may be sent again, and counts the send. It returns
// false as soon as that is no longer expected by the given time, and when the context
// ends. Requests that wait are served in the order of their calls.
func (w *Window) AwaitRetry(ctx context.Context, service string, by time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	self := &waiter{
		granted: make(chan struct{}),
	}
	c := w.counts(service)
	c.waiters = append(c.waiters, self)
	for {
		c = w.counts(service)
		w.grant(c)
		ahead := slices.Index(c.waiters, self)
		if ahead < 0 {
			return true
		}
		wait, ok := w.expectedWait(c, ahead+1)
		if !ok || w.config.Now().Add(wait).After(by) || ctx.Err() != nil {
			c.waiters = slices.Delete(c.waiters, ahead, ahead+1)
			return false
		}
		w.sleep(ctx, self, max(wait, minWait))
	}
}

// sleep waits for a time, for the end of the context or until the waiter's send is
// counted. The caller holds the lock, which is released meanwhile.
func (w *Window) sleep(ctx context.Context, self *waiter, wait time.Duration) {
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-self.granted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// grant counts a repeated send for each waiting request that the limit allows. The caller
// holds the lock.
func (w *Window) grant(c *counts) {
	for len(c.waiters) > 0 && w.hasRoom(c) {
		*c.repeatedIn(c.newest)++
		close(c.waiters[0].granted)
		c.waiters = slices.Delete(c.waiters, 0, 1)
	}
}

// expectedWait returns the time until the limit allows the given number of repeated sends,
// if requests go on to start at the rate of the window. Repeated sends leave the window
// slot by slot, and so do the first sends that the limit is a ratio of; none of the
// expected sends leaves it before the last one. It returns false if the limit stays below
// the number. The caller holds the lock.
func (w *Window) expectedWait(c *counts, sends int) (wait time.Duration, ok bool) {
	now := w.now()
	rate := c.startRate(now, w.slotLength())
	changes := w.limitChanges(c, now)
	for i, at := range changes[:len(changes)-1] {
		started, repeated := c.totalsAfter(int64(at/w.slotLength()) - c.newest)
		missing := float64(repeated+sends) - w.limit(float64(started)+rate*(at-now).Seconds(), at)
		due := at
		if growth := w.growth(rate, at); missing > 0 && growth > 0 {
			due += time.Duration(missing / growth * float64(time.Second))
			missing = 0
		}
		if missing <= 0 && (due == now || due < changes[i+1]) {
			return due - now, true
		}
	}
	return 0, false
}

// limitChanges returns the times from now on at which the limit does not grow steadily: now,
// the ends of slots, and the times from which the node may use more of its parts.
func (w *Window) limitChanges(c *counts, now time.Duration) []time.Duration {
	changes := []time.Duration{now}
	for n := int64(1); n <= windowSlots+2; n++ {
		changes = append(changes, time.Duration(c.newest+n)*w.slotLength())
	}
	for _, at := range []time.Duration{w.config.Window, w.earnedFrom(), w.sharedFrom()} {
		if i, found := slices.BinarySearch(changes, at); !found && i > 0 && i < len(changes) {
			changes = slices.Insert(changes, i, at)
		}
	}
	return changes
}

// totalsAfter returns the totals without the oldest slots, as many as have left the window.
func (c *counts) totalsAfter(slots int64) (started, repeated int) {
	started, repeated = c.totals()
	for n := int64(1); n <= min(slots, windowSlots+1); n++ {
		started -= *c.startedIn(c.newest + n)
		repeated -= *c.repeatedIn(c.newest + n)
	}
	return started, repeated
}

// startRate returns the first sends per second since the oldest one within the window.
func (c *counts) startRate(now, slotLength time.Duration) float64 {
	started, oldest := 0, c.newest
	for n := range int64(windowSlots + 1) {
		if count := *c.startedIn(c.newest - n); count > 0 {
			started += count
			oldest = c.newest - n
		}
	}
	elapsed := max(now-time.Duration(oldest)*slotLength, slotLength)
	return float64(started) / elapsed.Seconds()
}
