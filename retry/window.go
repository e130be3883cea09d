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
	// Nodes returns the number of nodes that share Slack; zero while this node does not know
	// that the others count it as one of them. It uses no slack then.
	Nodes func() int
	// EarnedFrom returns the time from which the sends of this node's process before this one
	// are out of every window; until then its own requests earn only a part of the ratio. If
	// nil, there was no such process.
	EarnedFrom func() time.Time
	// SharedFrom returns the time from which the other nodes leave this one its share of
	// Slack, in every window; until then it uses only a part of that share. If nil, they
	// always do.
	SharedFrom func() time.Time
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
	// earlyFraction is the fraction that a node uses while others may have used
	// usableFraction of the same part within the window. Both together stay below the limit.
	earlyFraction = 0.1
)

// Window limits repeated sends to a service over all nodes without communication
// between them.
//
// If every node repeated the requests that fail at a service, the service would
// receive twice its load. Each node therefore repeats at most a fixed ratio of its
// own requests plus its share of the slack. Over all nodes this adds up to the
// same ratio of all requests plus the slack, even if nodes cannot reach each other.
//
// A process does not know what the one before it has repeated, nor whether the other nodes
// count it already. Until both no longer matter, it uses a small part of the limit, which it
// earns from its start on, so that a node that is restarted again and again does not use that
// part each time.
//
// All times below are durations since the window was created, by the steady clock: the time of
// day may jump, and a jump must neither clear the counts nor keep them.
type Window struct {
	config  WindowConfig
	created time.Time

	mu       sync.Mutex
	services map[string]*counts
	// handedOver is set once the sends were handed over, and takenOver once those of the
	// process before this one were taken over.
	handedOver bool
	takenOver  *partTimes
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
	for _, from := range []*func() time.Time{&config.EarnedFrom, &config.SharedFrom} {
		if *from == nil {
			*from = func() time.Time { return time.Time{} }
		}
	}
	return &Window{
		config:   config,
		created:  config.Now(),
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

// hedgeShare is the part of the limit that hedges may use. The rest is left for failures.
const hedgeShare = 0.5

// AllowHedge reports whether a request whose first send is only late may be sent again, and counts
// the send if so.
func (w *Window) AllowHedge(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service)
	w.grant(c)
	started, repeated := c.totals()
	if !w.hasRoom(c) || len(c.waiters) > 0 || float64(repeated+1) > hedgeShare*w.limit(float64(started), w.now()) {
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
	now := w.now()
	w.config.Logger.Info("retry budget used up", "service", service, "started", started, "repeated", repeated,
		"limit", w.limit(float64(started), now), "nodes", w.config.Nodes(), "earned", w.hasEarned(now), "shared", w.hasShare(now))
}

// hasRoom reports whether the limit allows one more repeated send. The caller holds the
// lock.
func (w *Window) hasRoom(c *counts) bool {
	if w.handedOver {
		return false
	}
	started, repeated := c.totals()
	return float64(repeated+1) <= w.limit(float64(started), w.now())
}

// now returns the current time.
func (w *Window) now() time.Duration { return w.config.Now().Sub(w.created) }

// limit returns the number of repeated sends that the node may make in a window that ends at
// the given time and has the given number of first sends.
func (w *Window) limit(started float64, at time.Duration) float64 {
	limit := earlyFraction * w.config.Ratio * started
	if w.hasEarned(at) {
		limit = usableFraction * w.config.Ratio * started
	}
	if w.hasShare(at) {
		return limit + usableFraction*w.slackShare()
	}
	age := min(1, float64(at)/float64(w.config.Window))
	return limit + earlyFraction*age*w.slackShare()
}

// growth returns by how much the limit grows per second at the given time, if requests
// start at the given rate.
func (w *Window) growth(rate float64, at time.Duration) float64 {
	growth := earlyFraction * w.config.Ratio * rate
	if w.hasEarned(at) {
		growth = usableFraction * w.config.Ratio * rate
	}
	if !w.hasShare(at) && at < w.config.Window {
		growth += earlyFraction * w.slackShare() / w.config.Window.Seconds()
	}
	return growth
}

// slackShare returns the node's share of the slack.
func (w *Window) slackShare() float64 {
	if nodes := w.config.Nodes(); nodes > 0 {
		return w.config.Slack / float64(nodes)
	}
	return 0
}

// hasEarned and hasShare report whether the node may use its whole part of the ratio and of
// the slack at the given time.
func (w *Window) hasEarned(at time.Duration) bool { return at >= w.earnedFrom() }
func (w *Window) hasShare(at time.Duration) bool  { return at >= w.sharedFrom() }

func (w *Window) earnedFrom() time.Duration {
	if w.takenOver != nil {
		return w.takenOver.earnedFrom
	}
	return w.config.EarnedFrom().Sub(w.created)
}

func (w *Window) sharedFrom() time.Duration {
	if w.takenOver != nil {
		return w.takenOver.sharedFrom
	}
	return w.config.SharedFrom().Sub(w.created)
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
func (c *counts) startedIn(slot int64) *int  { return &c.started[indexOf(slot)] }
func (c *counts) repeatedIn(slot int64) *int { return &c.repeated[indexOf(slot)] }

// indexOf returns the index of the slot with a number, which is negative before the window
// was created.
func indexOf(slot int64) int64 {
	const slots = windowSlots + 1
	return (slot%slots + slots) % slots
}

// counts returns a service's counts after clearing the slots that have expired.
// The caller holds the lock.
func (w *Window) counts(service string) *counts {
	now := int64(w.now() / w.slotLength())
	c, ok := w.services[service]
	if !ok {
		c = &counts{
			newest:    now,
			refusedIn: now - 1,
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
