// Package usage counts which organisation's requests began to run in each
// window of true time, and reports each window once.
//
// Each node writes its counts to the platform's table about once a second, so
// that they outlive it. The holder of the duty's lease adds them up, writes
// the report to the table before it is sent, and sends it: whoever holds the
// duty next sends exactly the same.
package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"zinniamast"
)

// Partitions of the table.
const (
	// CountsPartition holds one item a node's life.
	CountsPartition = "usage"
	// ReportsPartition holds one item a window that was reported.
	ReportsPartition = "usage_report"
)

const (
	// lostPart is how much of a window's counts one killed node may lose to the
	// report: half of the twentieth by which the platform lets it be off.
	lostPart = 0.025
	// writeInterval is the shortest time between two writes.
	writeInterval = time.Second
	// writeDelay is up to how long after its moment a node writes, so that
	// nodes do not write together.
	writeDelay = 300 * time.Millisecond
	// keepWindows is for how many windows a node's counts stay in its item:
	// outages of the store shorter than that cost no counts.
	keepWindows = 12
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
)

// Clock tells true time.
type Clock interface {
	// Now returns true time; false while it is not known.
	Now() (time.Time, bool)
}

// CounterConfig says what a counter counts and where it writes.
type CounterConfig struct {
	Table zinniamast.Table
	Clock Clock
	// Node is this instance's name.
	Node string
	// Window is the length of a window.
	Window time.Duration
	// Nodes returns how many nodes write.
	Nodes func() int
	// Logger hears of failures; nil means slog's default.
	Logger *slog.Logger
}

// Counter counts the requests that begin at one node.
type Counter struct {
	config CounterConfig
	key    zinniamast.Key

	mu sync.Mutex
	// windows holds counts by window and organisation.
	windows map[int64]map[string]int
	// early counts requests that began before true time was known.
	early map[string]int

	// revision is that of the node's item; it belongs to Run.
	revision uint64
}

// counts is a node's item.
type counts struct {
	// ThroughMS is the true time up to which the counts are whole, in
	// milliseconds since 1970.
	ThroughMS int64 `json:"through_ms"`
	// Stopped means that the node counts no more.
	Stopped bool                      `json:"stopped,omitempty"`
	Windows map[string]map[string]int `json:"windows"`
}

// NewCounter returns a counter of one node's life.
func NewCounter(config CounterConfig) *Counter {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Counter{
		config: config,
		key: zinniamast.Key{
			Partition: CountsPartition,
			Sort:      config.Node + "/" + strconv.FormatUint(rand.Uint64(), 36),
		},
		windows: map[int64]map[string]int{},
		early:   map[string]int{},
	}
}

// Began counts a request of an organisation that begins to run now.
func (c *Counter) Began(organisation string) {
	now, ok := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.early[organisation]++
		return
	}
	c.window(windowOf(now, c.config.Window))[organisation]++
}

// window returns a window's counts; the caller holds the lock.
func (c *Counter) window(number int64) map[string]int {
	known, ok := c.windows[number]
	if !ok {
		known = map[string]int{}
		c.windows[number] = known
	}
	return known
}

// windowOf returns the number of the window that holds a time.
func windowOf(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// windowEnd returns when a window ends.
func windowEnd(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}

// Run writes the counts until ctx ends, and a last time then.
func (c *Counter) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(c.untilNext()):
			c.write(ctx, false)
		case <-ctx.Done():
			c.write(context.WithoutCancel(ctx), true)
			return
		}
	}
}

// untilNext is the time to the next write. Writes divide each window evenly,
// and one comes right after its end, when its report is waited for. A node of
// a large fleet writes once a window: what it would lose is a small part.
func (c *Counter) untilNext() time.Duration {
	window := c.config.Window
	interval := time.Duration(lostPart * float64(window) * float64(c.config.Nodes()))
	interval = min(max(interval, writeInterval), window)
	interval = window / (window / interval)
	now, ok := c.config.Clock.Now()
	if !ok {
		return interval
	}
	since := time.Duration(now.UnixNano() % int64(interval))
	return interval - since + rand.N(writeDelay)
}

// write writes the node's item. A failed write is made up for by the next,
// which holds all that it held.
func (c *Counter) write(ctx context.Context, last bool) {
	now, ok := c.config.Clock.Now()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(c.snapshot(now, last))
	if err == nil {
		err = c.put(ctx, value)
	}
	if err != nil {
		c.config.Logger.Warn("usage not written", "cause", err)
	}
}

// snapshot returns the node's item and forgets old windows.
func (c *Counter) snapshot(now time.Time, last bool) counts {
	current := windowOf(now, c.config.Window)
	item := counts{
		ThroughMS: now.UnixMilli(),
		Stopped:   last,
		Windows:   map[string]map[string]int{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for organisation, count := range c.early {
		c.window(current)[organisation] += count
	}
	clear(c.early)
	for number, known := range c.windows {
		if number <= current-keepWindows {
			delete(c.windows, number)
			continue
		}
		item.Windows[strconv.FormatInt(number, 10)] = maps.Clone(known)
	}
	return item
}

// put writes the item whatever stands there: nobody else writes it.
func (c *Counter) put(ctx context.Context, value []byte) error {
	for range 2 {
		err := c.config.Table.Write(ctx, []zinniamast.Write{{
			Item: zinniamast.Item{
				Key:   c.key,
				Value: value,
			},
			Expect: c.revision,
		}})
		if err == nil {
			c.revision++
			return nil
		}
		if !errors.Is(err, zinniamast.ErrConflict) {
			return c.reread(ctx, err)
		}
		// An earlier write whose answer was lost stands.
		if err := c.reread(ctx, nil); err != nil {
			return err
		}
	}
	return fmt.Errorf("usage: %w", zinniamast.ErrConflict)
}

// reread learns the item's revision after a write whose effect is open; it
// returns the error that it was given, or its own.
func (c *Counter) reread(ctx context.Context, cause error) error {
	item, err := c.config.Table.Get(ctx, c.key)
	if err == nil || errors.Is(err, zinniamast.ErrNotFound) {
		c.revision = item.Revision
		return cause
	}
	if cause != nil {
		return cause
	}
	return err
}
