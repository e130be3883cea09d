// Package silence ends attempts at replicas that tell nothing for too long, as
// soon as their requests may leave them.
package silence

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrSilent is the cause with which a watch ends an attempt.
var ErrSilent = errors.New("the replica is silent")

// askInterval is how often a request that may not leave a silent replica asks again.
const askInterval = 200 * time.Millisecond

// Config says what a watch works with.
type Config struct {
	// First bounds the wait for the first sign of life; zero watches nothing.
	First time.Duration
	// Pause bounds the wait for each further one; zero ends the watch with the first.
	Pause time.Duration
	// Leave says whether the request may leave its replica, and pays for its next
	// attempt if so. It is not called any more once Stop has returned.
	Leave func() bool
	// Cancel ends the attempt.
	Cancel context.CancelCauseFunc
}

// Watch ends one attempt.
//
// Failure: a replica that reads long prompts, or preempts the request, is silent
// for seconds though it is well. An attempt that is ended before another one is
// certain leaves the request nothing to go on with.
type Watch struct {
	config Config

	mu    sync.Mutex
	timer *time.Timer
	// due is when the replica counts as silent; zero while the watch rests.
	due     time.Time
	stopped bool
	ended   bool
}

// New starts a watch.
func New(config Config) *Watch {
	w := &Watch{
		config: config,
	}
	if config.First > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.due = time.Now().Add(config.First)
		w.timer = time.AfterFunc(config.First, w.expire)
	}
	return w
}

// expire ends the attempt, or asks again later.
func (w *Watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.due.IsZero() || time.Now().Before(w.due) {
		return
	}
	if !w.config.Leave() {
		w.wait(askInterval)
		return
	}
	w.ended = true
	w.stopped = true
	w.config.Cancel(ErrSilent)
}

// Rest ends the wait until the replica is heard again: what it tells meanwhile
// is not read.
func (w *Watch) Rest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.stopped {
		return
	}
	w.due = time.Time{}
	w.timer.Stop()
}

// Heard starts the wait for the next sign of life.
func (w *Watch) Heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.stopped {
		return
	}
	if w.config.Pause == 0 {
		w.stop()
		return
	}
	w.wait(w.config.Pause)
}

// wait sets the timer; the caller holds the lock.
func (w *Watch) wait(d time.Duration) {
	w.due = time.Now().Add(d)
	w.timer.Reset(d)
}

// Stop ends the watch and says whether it had ended the attempt.
func (w *Watch) Stop() (ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
	return w.ended
}

// stop ends the watch; the caller holds the lock.
func (w *Watch) stop() {
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
