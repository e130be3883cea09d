package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"zinniamast/routes"
)

const (
	// firstPatience is how many of its targets a repeatable request waits for
	// the first byte before it goes to another replica, and minFirstPatience
	// the least it waits: a replica that went dark without a reset is told from
	// one with a queue only by time.
	firstPatience    = 3
	minFirstPatience = 500 * time.Millisecond
	// pausePatience is how many of its pause targets a resumable stream waits for
	// the next event, and minPausePatience the least. Callers abandon a stream
	// after a gap of eight pauses or two seconds.
	pausePatience    = 4
	minPausePatience = time.Second
)

// waits are how long a send may be silent.
type waits struct {
	// first bounds the wait for the first byte, pause that for each further event.
	first time.Duration
	pause time.Duration
}

// patience returns the waits of a request. What may not be repeated waits to
// its deadline: a replica's silence is no reason to end it.
func patience(c *call) waits {
	if !c.route.Repeatable() || c.route.Target == 0 {
		return waits{}
	}
	w := waits{
		first: max(firstPatience*c.route.Target, minFirstPatience),
	}
	if c.route.Kind == routes.Stream && c.route.PauseTarget > 0 {
		w.pause = max(pausePatience*c.route.PauseTarget, minPausePatience)
	}
	return w
}

// errSilent ends a send whose replica tells nothing.
var errSilent = errors.New("forward: the replica is silent")

// watch cancels a send that is silent for too long.
type watch struct {
	waits  waits
	timer  *time.Timer
	silent atomic.Bool
}

func startWatch(w waits, cancel context.CancelCauseFunc) *watch {
	started := &watch{
		waits: w,
	}
	if w.first > 0 {
		started.timer = time.AfterFunc(w.first, func() {
			started.silent.Store(true)
			cancel(errSilent)
		})
	}
	return started
}

// heard starts the wait for the next event.
func (w *watch) heard() {
	if w.timer == nil {
		return
	}
	if w.waits.pause == 0 {
		w.timer.Stop()
		return
	}
	w.timer.Reset(w.waits.pause)
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// expired says whether the watch ended the send.
func (w *watch) expired() bool { return w.silent.Load() }
