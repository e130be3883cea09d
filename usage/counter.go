// Package usage counts which organisation's requests began to run in each
// window of true time, and reports each window once.
//
// Each node hands its counts about once a second to the node that writes for
// its failure domain, which puts them into the platform's table in one call,
// so that they outlive both. The holder of the duty's lease adds them up, writes
// the report to the table before it is sent, and sends it: whoever holds the
// duty next sends exactly the same.
package usage

import (
	"context"
	"encoding/json"
	"errors"
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
	// CountsPartition holds one item for each node and each life of a node that
	// wrote for it. A node's newest one holds all that the others hold.
	CountsPartition = "usage"
	// ReportsPartition holds one item a window that was reported.
	ReportsPartition = "usage_report"
)

const (
	// writeInterval is the time between two writes: what a node has counted since
	// is lost with it, and a report may be off by a twentieth of five seconds.
	writeInterval = time.Second
	// writeDelay is up to how long after its moment a node hands its counts on or
	// writes, so that nodes do not call together.
	writeDelay = 300 * time.Millisecond
	// collectDelay is how much later a node writes that others hand theirs to.
	collectDelay = 350 * time.Millisecond
	// keepWindows is for how many windows a node's counts stay in its item:
	// outages of the store shorter than that cost no counts.
	keepWindows = 12
	// callTimeout bounds one call to the table or to another node.
	callTimeout = 2 * time.Second
	// writtenAtOnce bounds the items of one write: a call may hold a megabyte, and
	// an item is some three kilobytes.
	writtenAtOnce = 50
)

// Clock tells true time.
type Clock interface {
	// Now returns true time; false while it is not known.
	Now() (time.Time, bool)
}

// Collector writes other nodes' counts with its own.
type Collector interface {
	Collect(ctx context.Context, counts Counts) error
}

// CounterConfig says what a counter counts and where it writes.
type CounterConfig struct {
	Table zinniamast.Table
	Clock Clock
	// Node is this instance's name.
	Node string
	// Window is the length of a window.
	Window time.Duration
	// Writer returns the node that writes for this one; nil means that this node
	// writes itself, and for those that hand it theirs.
	Writer func() Collector
	// Logger hears of failures; nil means slog's default.
	Logger *slog.Logger
}

// Counts are what one life of a node has counted.
type Counts struct {
	// Node names the node and its life.
	Node string `json:"node"`
	// Sequence rises with each reading of the counts in a node's life.
	Sequence uint64 `json:"sequence"`
	// ThroughMS is the true time up to which the counts are whole, in
	// milliseconds since 1970.
	ThroughMS int64 `json:"through_ms"`
	// Stopped means that the node counts no more.
	Stopped bool `json:"stopped,omitempty"`
	// Windows holds counts by window and organisation.
	Windows map[string]map[string]int `json:"windows"`
}

// Counter counts the requests that begin at one node.
type Counter struct {
	config CounterConfig
	// life names the node and its life.
	life string

	mu sync.Mutex
	// windows holds counts by window and organisation.
	windows map[int64]map[string]int
	// early counts requests that began before true time was known.
	early map[string]int
	// sequence is that of the last reading.
	sequence uint64
	// collected holds what other nodes handed over and is not written yet.
	collected map[string]Counts
	// failing says that the last write failed.
	failing bool

	// sheet names the items that this node writes now, and revisions are theirs;
	// both belong to Run.
	sheet     string
	revisions map[string]uint64
}

// NewCounter returns a counter of one node's life.
func NewCounter(config CounterConfig) *Counter {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Writer == nil {
		config.Writer = func() Collector { return nil }
	}
	c := &Counter{
		config:    config,
		life:      config.Node + "/" + randomName(),
		windows:   map[int64]map[string]int{},
		early:     map[string]int{},
		collected: map[string]Counts{},
	}
	c.turnSheet()
	return c
}

func randomName() string { return strconv.FormatUint(rand.Uint64(), 36) }

// turnSheet goes on with new items.
func (c *Counter) turnSheet() {
	c.sheet = randomName()
	c.revisions = map[string]uint64{}
}

// CountStarted counts a request of an organisation that begins to run now.
func (c *Counter) CountStarted(organisation string) {
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

// errNotWriting means that a node takes in no counts of others.
var errNotWriting = errors.New("usage: the last write to the table failed")

// Collect takes another node's counts in; they are written with this node's own.
//
// Failure: the writer alone loses its way to the store, and for as long as that
// lasts the counts of its failure domain reach no report: a window was off by a
// fifth. It takes none, and the nodes write for themselves meanwhile.
func (c *Counter) Collect(counts Counts) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing {
		return errNotWriting
	}
	if known, ok := c.collected[counts.Node]; !ok || counts.Sequence > known.Sequence {
		c.collected[counts.Node] = counts
	}
	return nil
}

// Run hands over or writes the counts until ctx ends, and a last time then.
func (c *Counter) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(c.untilNext()):
			c.tell(ctx)
		case <-ctx.Done():
			c.writeOwn(context.WithoutCancel(ctx), true)
			return
		}
	}
}

// untilNext is the time to the next write. Writes divide each window evenly,
// and one comes right after its end, when its report is waited for.
func (c *Counter) untilNext() time.Duration {
	wait := rand.N(writeDelay)
	if c.config.Writer() == nil {
		wait = collectDelay + rand.N(writeDelay)/3
	}
	now, ok := c.config.Clock.Now()
	if !ok {
		return writeInterval + wait
	}
	since := time.Duration(now.UnixNano() % int64(writeInterval))
	return writeInterval - since + wait
}

// tell hands the counts to the node that writes, or writes them.
//
// Load: 91 nodes that write for themselves each five seconds make 18 calls a
// second, a fifth of all calls to the store, and lose five seconds' counts with
// each that dies. One writer in each of four failure domains makes four.
func (c *Counter) tell(ctx context.Context) {
	writer := c.config.Writer()
	now, ok := c.config.Clock.Now()
	if writer == nil || !ok {
		c.writeOwn(ctx, false)
		return
	}
	asked, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := writer.Collect(asked, c.snapshot(now, false)); err != nil {
		c.config.Logger.Info("usage not handed over", "cause", err)
		c.writeOwn(ctx, false)
	}
}

// writeOwn writes this node's counts and what it collected. A failed write is
// made up for by the next, which holds all that it held.
func (c *Counter) writeOwn(ctx context.Context, last bool) {
	now, ok := c.config.Clock.Now()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all := append(c.takeCollected(), c.snapshot(now, last))
	for len(all) > 0 {
		batch := all[:min(len(all), writtenAtOnce)]
		all = all[len(batch):]
		err := c.put(ctx, batch)
		c.mu.Lock()
		c.failing = err != nil
		c.mu.Unlock()
		if err != nil {
			// The effect may be open. New items leave it behind: of a node's items
			// the newest counts.
			c.turnSheet()
			c.config.Logger.Warn("usage not written", "nodes", len(batch), "cause", err)
		}
	}
}

func (c *Counter) takeCollected() []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Counts
	for _, counts := range c.collected {
		all = append(all, counts)
	}
	clear(c.collected)
	return all
}

// put writes one item for each node's counts, in one call.
func (c *Counter) put(ctx context.Context, batch []Counts) error {
	writes := make([]zinniamast.Write, 0, len(batch))
	for _, counts := range batch {
		value, err := json.Marshal(counts)
		if err != nil {
			return err
		}
		writes = append(writes, zinniamast.Write{
			Item: zinniamast.Item{
				Key: zinniamast.Key{
					Partition: CountsPartition,
					Sort:      counts.Node + "/" + c.sheet,
				},
				Value: value,
			},
			Expect: c.revisions[counts.Node],
		})
	}
	if err := c.config.Table.Write(ctx, writes); err != nil {
		return err
	}
	for _, counts := range batch {
		c.revisions[counts.Node]++
	}
	return nil
}

// snapshot returns the node's counts and forgets old windows.
func (c *Counter) snapshot(now time.Time, last bool) Counts {
	current := windowOf(now, c.config.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	item := Counts{
		Node:      c.life,
		Sequence:  c.sequence,
		ThroughMS: now.UnixMilli(),
		Stopped:   last,
		Windows:   map[string]map[string]int{},
	}
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
