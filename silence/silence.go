// Package silence cancels an attempt whose replica has sent nothing for too long,
// as soon as the request may move to another replica.
package silence

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrSilent is the cancellation cause of an attempt that a watch ends.
var ErrSilent = errors.New("the replica is silent")

// recheckInterval is the time between two calls of Config.MayLeave while the request
// may not leave its silent replica.
const recheckInterval = 200 * time.Millisecond

// Config configures a Watch.
type Config struct {
	// First bounds the wait for the first data from the replica; zero disables the
	// watch.
	First time.Duration
	// Pause bounds the wait for each further piece of data; zero ends the watch with
	// the first, unless the replica was silent before.
	Pause time.Duration
	// MayLeave reports whether the request may leave its replica. It is called while the
	// replica is silent, also by Recheck, and not after Suspend or Stop has returned.
	MayLeave func() bool
	// Cancel cancels the attempt.
	Cancel context.CancelCauseFunc
}

// Watch cancels one attempt if its replica is silent and the request may leave it.
//
// A healthy replica that prefills long prompts or preempts the request is silent for
// seconds. Cancelling an attempt before another one has begun would leave the request
// without any attempt if the other one fails.
type Watch struct {
	config Config

	mu    sync.Mutex
	timer *time.Timer
	// deadline is the time at which the replica counts as silent; zero while the watch
	// is suspended.
	deadline time.Time
	// silent reports whether the deadline has passed without data.
	silent  bool
	stopped bool
	// ended reports whether the watch cancelled the attempt.
	ended bool
}

// New starts a watch. Its caller must call Stop when the attempt has ended.
func New(config Config) *Watch {
	w := &Watch{
		config: config,
	}
	if config.First > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.deadline = time.Now().Add(config.First)
		w.timer = time.AfterFunc(config.First, w.expire)
	}
	return w
}

// expire cancels the attempt, or checks again after recheckInterval if the request
// may not leave its replica.
func (w *Watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.deadline.IsZero() || time.Now().Before(w.deadline) {
		return
	}
	w.silent = true
	w.check()
}

// check cancels the attempt if the request may leave its replica. The caller holds the
// lock.
func (w *Watch) check() {
	if !w.config.MayLeave() {
		w.startTimer(recheckInterval)
		return
	}
	w.ended = true
	w.stop()
	w.config.Cancel(ErrSilent)
}

// Recheck calls Config.MayLeave at once if the replica is silent.
func (w *Watch) Recheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent && !w.stopped {
		w.check()
	}
}

// Suspend suspends the watch until the next call of Received. It is called while nothing
// is read from the replica. It reports whether the watch had already cancelled the
// attempt; data that arrives after that must not be used.
func (w *Watch) Suspend() (ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.stopped {
		return w.ended
	}
	w.silent = false
	w.deadline = time.Time{}
	w.timer.Stop()
	return false
}

// Received records data from the replica and starts the wait for the next.
func (w *Watch) Received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.stopped {
		return
	}
	if w.config.Pause == 0 {
		if !w.silent {
			w.stop()
		}
		return
	}
	w.silent = false
	w.startTimer(w.config.Pause)
}

// startTimer sets the deadline and the timer. The caller holds the lock.
func (w *Watch) startTimer(d time.Duration) {
	w.deadline = time.Now().Add(d)
	w.timer.Reset(d)
}

// Stop ends the watch and reports whether the watch had cancelled the attempt.
func (w *Watch) Stop() (ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
	return w.ended
}

// stop ends the watch. The caller holds the lock.
func (w *Watch) stop() {
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
