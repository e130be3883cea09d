package retry

import (
	"log/slog"
	"sync"
	"time"
)

// WindowConfig holds the limits of a Window.
type WindowConfig struct {
	// Ratio times the node's own requests, plus its share of Slack, is the number of
	// repeated sends that a node may make to a service within each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes returns the number of nodes that share Slack.
	Nodes func() int
	// Logger logs when the limit refuses repeated sends. If nil, nothing is logged.
	Logger *slog.Logger
	// Now returns the current time. If nil, it is time.Now.
	Now func() time.Time
}

const (
	// windowSlots is the number of slots into which a window is divided. The oldest
	// slot counts completely, so that any period of a window's length stays within
	// the limit.
	windowSlots = 10
	// usableFraction is the fraction of the limit that is used. New nodes are counted
	// late, so when many are added at once, each node's share of the slack is too
	// large for a while.
	usableFraction = 0.85
)

// Window limits repeated sends to a service over all nodes without communication
// between them.
//
// If every node repeated the requests that fail at a service, the service would
// receive twice its load. Each node therefore repeats at most a fixed ratio of its
// own requests plus its share of the slack. Over all nodes this adds up to the
// same ratio of all requests plus the slack, even if nodes cannot reach each other.
type Window struct {
	config WindowConfig

	mu       sync.Mutex
	services map[string]*counts
}

// counts holds a service's first sends and repeated sends by slot of the window.
type counts struct {
	started  [windowSlots + 1]int
	repeated [windowSlots + 1]int
	// newest is the number of the newest slot, and refusedIn that of the last one in which
	// the limit refused a send.
	newest    int64
	refusedIn int64
	// waiters are the requests that wait for a repeated send, the oldest first.
	waiters []*waiter
}

// NewWindow returns a window without any sends.
func NewWindow(config WindowConfig) *Window {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Window{
		config:   config,
		services: map[string]*counts{},
	}
}

// Started counts the first send of a request.
func (w *Window) Started(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service)
	*c.startedIn(c.newest)++
	w.grant(c)
}

// AllowRetry reports whether a request may be sent again, and counts the send if so.
// Requests that wait in AwaitRetry come first.
func (w *Window) AllowRetry(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service)
	w.grant(c)
	if !w.hasRoom(c) {
		w.logRefusal(service, c)
		return false
	}
	*c.repeatedIn(c.newest)++
	return true
}

// logRefusal logs that the limit refuses a repeated send, once in each slot. The caller
// holds the lock.
func (w *Window) logRefusal(service string, c *counts) {
	if c.refusedIn == c.newest {
		return
	}
	c.refusedIn = c.newest
	started, repeated := c.totals()
	w.config.Logger.Info("retry budget used up", "service", service, "started", started, "repeated", repeated,
		"limit", w.limit(float64(started)), "nodes", w.config.Nodes())
}

// hasRoom reports whether the limit allows one more repeated send. The caller holds the
// lock.
func (w *Window) hasRoom(c *counts) bool {
	started, repeated := c.totals()
	return float64(repeated+1) <= w.limit(float64(started))
}

// limit returns the number of repeated sends that the node may make in a window with the
// given number of first sends.
func (w *Window) limit(started float64) float64 {
	return usableFraction * (w.config.Ratio*started + w.config.Slack/float64(max(1, w.config.Nodes())))
}

// totals returns the numbers of first sends and repeated sends within the window.
func (c *counts) totals() (started, repeated int) {
	for i := range c.started {
		started += c.started[i]
		repeated += c.repeated[i]
	}
	return started, repeated
}

// startedIn returns the count of first sends in the slot with a number, and repeatedIn
// that of repeated sends.
func (c *counts) startedIn(slot int64) *int  { return &c.started[slot%(windowSlots+1)] }
func (c *counts) repeatedIn(slot int64) *int { return &c.repeated[slot%(windowSlots+1)] }

// counts returns a service's counts after clearing the slots that have expired.
// The caller holds the lock.
func (w *Window) counts(service string) *counts {
	now := w.config.Now().UnixNano() / int64(w.slotLength())
	c, ok := w.services[service]
	if !ok {
		c = &counts{
			newest: now,
		}
		w.services[service] = c
	}
	for passed := 0; c.newest < now && passed <= windowSlots; passed++ {
		c.newest++
		*c.startedIn(c.newest) = 0
		*c.repeatedIn(c.newest) = 0
	}
	c.newest = max(c.newest, now)
	return c
}

// slotLength returns the length of a slot.
func (w *Window) slotLength() time.Duration { return w.config.Window / windowSlots }
