// Package usage counts the requests that each organisation starts in each
// window of true time, and reports each window once.
//
// Each node sends its counts about once a second to the writer of its failure
// domain, which stores them in the platform's table in one call, so that the
// counts survive the loss of both nodes. The holder of the reporting lease sums
// the counts, stores the report in the table, and only then sends it, so that
// the next lease holder sends exactly the same report.
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
	// CountsPartition holds one item for each pair of a counting node's
	// incarnation and a writer. The newest item of an incarnation includes
	// everything that its other items contain.
	CountsPartition = "usage"
	// ReportsPartition holds one item for each reported window.
	ReportsPartition = "usage_report"
)

const (
	// writeInterval is the time between two writes. A node that fails loses what
	// it has counted since its last write, and the report of a five-second window
	// may be off by a twentieth.
	writeInterval = time.Second
	// writeDelay is the maximum random delay before a node sends or writes its
	// counts, which keeps nodes from calling at the same time.
	writeDelay = 300 * time.Millisecond
	// collectDelay is the additional delay of a writer, which lets the other nodes
	// send their counts first.
	collectDelay = 350 * time.Millisecond
	// retainedWindows is the number of windows whose counts a node keeps in its
	// item. Store outages shorter than that lose no counts.
	retainedWindows = 12
	// callTimeout bounds one call to the table or to another node.
	callTimeout = 2 * time.Second
	// maxItemsPerWrite bounds the items of one write: a call is limited to one
	// megabyte, and an item takes about three kilobytes.
	maxItemsPerWrite = 50
)

// Clock provides true time.
type Clock interface {
	// Now returns true time, or false while it is unknown.
	Now() (time.Time, bool)
}

// Collector accepts the counts of other nodes and writes them with its own.
type Collector interface {
	Collect(ctx context.Context, counts Counts) error
}

// CounterConfig configures a Counter.
type CounterConfig struct {
	Table zinniamast.Table
	Clock Clock
	// Node is this instance's name.
	Node string
	// Window is the length of a window.
	Window time.Duration
	// Writers returns the nodes that come before this one in writing on behalf of the
	// others, the first one first. Without any, or if none accepts its counts, this node
	// writes its own counts and those that other nodes send to it.
	Writers func() []Collector
	// Logger receives failures; nil means slog's default.
	Logger *slog.Logger
}

// Counts is a snapshot of what one incarnation of a node has counted.
type Counts struct {
	// Node identifies the node and its incarnation.
	Node string `json:"node"`
	// Sequence increases with each snapshot of an incarnation.
	Sequence uint64 `json:"sequence"`
	// ThroughMS is the true time up to which the counts are complete, in
	// milliseconds since the Unix epoch.
	ThroughMS int64 `json:"through_ms"`
	// Stopped means that the node has stopped counting.
	Stopped bool `json:"stopped,omitempty"`
	// Windows holds counts by window and organisation.
	Windows map[string]map[string]int `json:"windows"`
}

// Counter counts the requests that start at one node.
type Counter struct {
	config CounterConfig
	// incarnation identifies the node and this run of its process.
	incarnation string

	mu sync.Mutex
	// windows holds counts by window and organisation.
	windows map[int64]map[string]int
	// untimed counts requests that started before true time was known.
	untimed map[string]int
	// sequence is the sequence number of the last snapshot.
	sequence uint64
	// collected holds counts received from other nodes and not written yet.
	collected       map[string]Counts
	lastWriteFailed bool

	// itemSuffix ends the sort keys of the items that this node currently writes,
	// and revisions holds the revisions of these items by node. Only Run uses them.
	itemSuffix string
	revisions  map[string]uint64
}

// NewCounter returns a counter for one incarnation of a node.
func NewCounter(config CounterConfig) *Counter {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Writers == nil {
		config.Writers = func() []Collector { return nil }
	}
	c := &Counter{
		config:      config,
		incarnation: config.Node + "/" + randomName(),
		windows:     map[int64]map[string]int{},
		untimed:     map[string]int{},
		collected:   map[string]Counts{},
	}
	c.startNewItems()
	return c
}

func randomName() string { return strconv.FormatUint(rand.Uint64(), 36) }

// startNewItems makes later writes create new items instead of updating the
// present ones.
func (c *Counter) startNewItems() {
	c.itemSuffix = randomName()
	c.revisions = map[string]uint64{}
}

// CountStarted counts a request of an organisation that starts now.
func (c *Counter) CountStarted(organisation string) {
	now, ok := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.untimed[organisation]++
		return
	}
	c.windowCounts(windowOf(now, c.config.Window))[organisation]++
}

// windowCounts returns the counts of a window; the caller holds the lock.
func (c *Counter) windowCounts(number int64) map[string]int {
	known, ok := c.windows[number]
	if !ok {
		known = map[string]int{}
		c.windows[number] = known
	}
	return known
}

// windowOf returns the number of the window that contains a time.
func windowOf(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// windowEnd returns when a window ends.
func windowEnd(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}

// errNotWriting means that a node accepts no counts of other nodes.
var errNotWriting = errors.New("usage: the last write to the table failed")

// Collect accepts another node's counts, to be written with this node's own.
//
// It rejects them after a failed write, and the other nodes then write their own
// counts. If a writer that is the only node cut off from the store accepted counts,
// those of its failure domain would be missing from the reports, and a window would
// be off by a fifth.
func (c *Counter) Collect(counts Counts) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastWriteFailed {
		return errNotWriting
	}
	if known, ok := c.collected[counts.Node]; !ok || counts.Sequence > known.Sequence {
		c.collected[counts.Node] = counts
	}
	return nil
}

// Run sends or writes the counts until ctx ends, and then writes them once more.
func (c *Counter) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(c.untilNextWrite()):
			c.deliver(ctx)
		case <-ctx.Done():
			c.writeCounts(context.WithoutCancel(ctx), true)
			return
		}
	}
}

// untilNextWrite returns the time to the next write. Writes are spread evenly over
// each window, and one follows directly after its end, when the reporter needs
// the counts.
func (c *Counter) untilNextWrite() time.Duration {
	wait := rand.N(writeDelay)
	if len(c.config.Writers()) == 0 {
		wait = collectDelay + rand.N(writeDelay)/3
	}
	now, ok := c.config.Clock.Now()
	if !ok {
		return writeInterval + wait
	}
	since := time.Duration(now.UnixNano() % int64(writeInterval))
	return writeInterval - since + wait
}

// deliver sends the counts to the first writer that accepts them, or writes them if
// there is none. Counts that other nodes have sent are written in any case.
//
// If each of 91 nodes wrote its own counts every five seconds, the fleet would
// make 18 calls a second, a fifth of all calls to the store, and each node that
// fails would lose five seconds of counts. One writer in each of four failure
// domains makes four calls a second.
func (c *Counter) deliver(ctx context.Context) {
	now, ok := c.config.Clock.Now()
	if !ok || !c.sendToWriter(ctx, now) || c.hasCollected() {
		c.writeCounts(ctx, false)
	}
}

// maxWriters bounds the nodes to which counts are offered.
const maxWriters = 4

// sendToWriter sends the counts to a writer and reports whether one has accepted them.
func (c *Counter) sendToWriter(ctx context.Context, now time.Time) bool {
	writers := c.config.Writers()
	if len(writers) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts := c.snapshot(now, false)
	for _, writer := range writers[:min(len(writers), maxWriters)] {
		err := writer.Collect(ctx, counts)
		if err == nil {
			return true
		}
		c.config.Logger.Info("sending usage counts to a writer failed", "cause", err)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (c *Counter) hasCollected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.collected) > 0
}

// writeCounts writes this node's counts and those it has collected. The next
// write makes up for a failed one, because it contains the same counts.
func (c *Counter) writeCounts(ctx context.Context, last bool) {
	now, ok := c.config.Clock.Now()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all := append(c.takeCollected(), c.snapshot(now, last))
	for len(all) > 0 {
		batch := all[:min(len(all), maxItemsPerWrite)]
		all = all[len(batch):]
		err := c.put(ctx, batch)
		c.mu.Lock()
		c.lastWriteFailed = err != nil
		c.mu.Unlock()
		if err != nil {
			// The write may have taken effect, so the revisions are unknown. New
			// items avoid conflicts, and only the newest item of a node is counted.
			c.startNewItems()
			c.config.Logger.Warn("writing usage counts to the table failed", "nodes", len(batch), "cause", err)
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

// put writes one item for the counts of each node, in one call.
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
					Sort:      counts.Node + "/" + c.itemSuffix,
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

// snapshot returns the node's counts and drops old windows.
func (c *Counter) snapshot(now time.Time, last bool) Counts {
	current := windowOf(now, c.config.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	item := Counts{
		Node:      c.incarnation,
		Sequence:  c.sequence,
		ThroughMS: now.UnixMilli(),
		Stopped:   last,
		Windows:   map[string]map[string]int{},
	}
	for organisation, count := range c.untimed {
		c.windowCounts(current)[organisation] += count
	}
	clear(c.untimed)
	for number, known := range c.windows {
		if number <= current-retainedWindows {
			delete(c.windows, number)
			continue
		}
		item.Windows[strconv.FormatInt(number, 10)] = maps.Clone(known)
	}
	return item
}
