package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"zinniamast"
)

// Table is the stand-in for the transactional table.
type Table struct {
	gate   *gate
	reads  *rate.Limiter
	writes *rate.Limiter
	// perItem charges the write rate per item.
	perItem bool

	mu    sync.Mutex
	items map[zinniamast.Key]zinniamast.Item
	// stale, if set, is the snapshot that reads use.
	stale map[zinniamast.Key]zinniamast.Item
}

func newTable(c Config, g *gate) *Table {
	t := &Table{
		gate:    g,
		reads:   newLimiter(float64(c.ReadsASecond)),
		writes:  newLimiter(float64(c.WritesASecond)),
		perItem: c.CountItems,
		items:   map[zinniamast.Key]zinniamast.Item{},
	}
	g.onStaleChange = t.setStale
	return t
}

// setStale makes reads use a snapshot of the present items, or the current items
// again.
func (t *Table) setStale(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale = nil
	if on {
		t.stale = maps.Clone(t.items)
	}
}

// view returns the items that reads use; the caller holds the lock.
func (t *Table) view() map[zinniamast.Key]zinniamast.Item {
	if t.stale != nil {
		return t.stale
	}
	return t.items
}

// expired reports whether the item has passed its expiry time.
func expired(item zinniamast.Item) bool {
	return !item.Expires.IsZero() && time.Now().After(item.Expires)
}

// Get implements zinniamast.Table.
func (t *Table) Get(ctx context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	if err := t.gate.admitRead(ctx, t.reads); err != nil {
		return zinniamast.Item{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	item, ok := t.view()[key]
	if !ok || expired(item) {
		return zinniamast.Item{}, zinniamast.ErrNotFound
	}
	return item, nil
}

// Query implements zinniamast.Table.
func (t *Table) Query(ctx context.Context, partition string, after string, limit int) ([]zinniamast.Item, error) {
	if err := t.gate.admitRead(ctx, t.reads); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []zinniamast.Item
	for key, item := range t.view() {
		if key.Partition == partition && key.Sort > after && !expired(item) {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b zinniamast.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Write implements zinniamast.Table.
func (t *Table) Write(ctx context.Context, writes []zinniamast.Write) error {
	cost := 1
	if t.perItem {
		cost = len(writes)
	}
	if err := t.gate.admitWrite(ctx, t.writes, cost); err != nil {
		return err
	}
	if err := t.apply(writes); err != nil {
		return err
	}
	return t.gate.completeWrite(len(writes))
}

func (t *Table) apply(writes []zinniamast.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failed []int
	for i, w := range writes {
		item, ok := t.items[w.Item.Key]
		if ok && expired(item) {
			delete(t.items, w.Item.Key)
			item = zinniamast.Item{}
		}
		if item.Revision != w.Expect {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return &zinniamast.ConflictError{
			Failed: failed,
		}
	}
	for _, w := range writes {
		if w.Delete {
			delete(t.items, w.Item.Key)
			continue
		}
		item := w.Item
		item.Value = slices.Clone(item.Value)
		item.Revision = w.Expect + 1
		t.items[item.Key] = item
	}
	return nil
}
