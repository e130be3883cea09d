package retry

import (
	"sync"
	"time"
)

// WindowConfig says how many repeated sends a node may make to each service.
type WindowConfig struct {
	// Ratio of the node's own requests, plus its part of Slack, may be sent
	// again within each Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Nodes returns how many nodes divide the slack.
	Nodes func() int
	// Now tells the time; nil is time.Now.
	Now func() time.Time
}

const (
	// windowSlots is into how many parts a window is divided; the oldest part
	// counts whole, so that any span of a window's length stays within the bound.
	windowSlots = 10
	// spendable is the part of the bound that is used: nodes that were just
	// added are counted late, and a crowd of them would each take a part too many.
	spendable = 0.85
)

// Window bounds repeated sends to a service over all nodes without a word
// between them.
//
// Failure: a service fails, every node sends again, and the service meets
// twice its load. A ratio of the node's own requests sums up to the same ratio
// of all requests, and a part of the slack to the slack, whether or not the
// nodes hear each other.
type Window struct {
	config WindowConfig

	mu       sync.Mutex
	services map[string]*counts
}

// counts are a service's requests and repeats by parts of the window.
type counts struct {
	started  [windowSlots + 1]int
	repeated [windowSlots + 1]int
	// at is the number of the newest part.
	at int64
}

// NewWindow returns a window that has counted nothing.
func NewWindow(config WindowConfig) *Window {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Window{
		config:   config,
		services: map[string]*counts{},
	}
}

// Started counts a request's first send.
func (w *Window) Started(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service)
	c.started[c.at%(windowSlots+1)]++
}

// Again says whether one more send may go out, and counts it if so.
func (w *Window) Again(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service)
	started, repeated := 0, 0
	for i := range c.started {
		started += c.started[i]
		repeated += c.repeated[i]
	}
	bound := spendable * (w.config.Ratio*float64(started) + w.config.Slack/float64(max(1, w.config.Nodes())))
	if float64(repeated+1) > bound {
		return false
	}
	c.repeated[c.at%(windowSlots+1)]++
	return true
}

// counts returns a service's counts, with the parts cleared that have passed;
// the caller holds the lock.
func (w *Window) counts(service string) *counts {
	now := w.config.Now().UnixNano() / int64(w.config.Window/windowSlots)
	c, ok := w.services[service]
	if !ok {
		c = &counts{
			at: now,
		}
		w.services[service] = c
	}
	for passed := 0; c.at < now && passed <= windowSlots; passed++ {
		c.at++
		c.started[c.at%(windowSlots+1)] = 0
		c.repeated[c.at%(windowSlots+1)] = 0
	}
	c.at = max(c.at, now)
	return c
}
