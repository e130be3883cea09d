package quarantine

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"zinniamast"
)

const (
	// maxTableItems bounds the items that are read.
	maxTableItems = 1000
	// tableTimeout bounds one call to the table, and tableRetryDelay is the pause after a
	// failed one. A change is tried maxTableTries times.
	tableTimeout    = 2 * time.Second
	tableRetryDelay = time.Second
	maxTableTries   = 10
	// maxPendingChanges bounds the changes that wait for the table.
	maxPendingChanges = 100
	// staleItemAge is the age from which an item is deleted when it is read. It is well
	// above the error of a node's clock.
	staleItemAge = 24 * time.Hour
)

// archive keeps what is held back in a partition of a table, so that it outlasts a stop of
// all nodes.
type archive struct {
	table     zinniamast.Table
	partition string
	logger    *slog.Logger
	// changes are written to the table by run.
	changes chan change
}

// change is a change of the items in the table.
type change struct {
	key string
	// value is the new item; nil deletes it.
	value []byte
}

// newArchive returns an archive; a nil table keeps nothing.
func newArchive(table zinniamast.Table, partition string, logger *slog.Logger) *archive {
	return &archive{
		table:     table,
		partition: partition,
		logger:    logger,
		changes:   make(chan change, maxPendingChanges),
	}
}

// run reads the items that the table has, so that this node knows them although all nodes
// may have stopped since, and stores changes until ctx ends.
func (a *archive) run(ctx context.Context, read func(key string, value []byte)) {
	if a.table == nil {
		return
	}
	for ctx.Err() == nil && !a.load(ctx, read) {
		pause(ctx, tableRetryDelay)
	}
	for {
		select {
		case c := <-a.changes:
			a.store(ctx, c)
		case <-ctx.Done():
			return
		}
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// save queues a change for the table.
func (a *archive) save(c change) {
	if a.table == nil {
		return
	}
	select {
	case a.changes <- c:
	default:
		a.logger.Warn("change of a held item not stored, too many are pending", "item", c.key)
	}
}

// load reads the table and reports whether that succeeded.
func (a *archive) load(ctx context.Context, read func(key string, value []byte)) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	items, err := a.table.Query(ctx, a.partition, "", maxTableItems)
	if err != nil {
		a.logger.Debug("reading the held items failed, retrying", "cause", err)
		return false
	}
	for i := range items {
		read(items[i].Key.Sort, items[i].Value)
	}
	return true
}

// store writes one change to the table.
func (a *archive) store(ctx context.Context, c change) {
	for range maxTableTries {
		err := a.tryStore(ctx, c)
		if err == nil || errors.Is(err, zinniamast.ErrNotFound) || errors.Is(err, zinniamast.ErrConflict) {
			return // Another node has made the same change.
		}
		a.logger.Debug("storing a change of a held item failed, retrying", "item", c.key, "cause", err)
		pause(ctx, tableRetryDelay)
	}
	a.logger.Warn("change of a held item not stored", "item", c.key)
}

func (a *archive) tryStore(ctx context.Context, c change) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	write := zinniamast.Write{
		Item: zinniamast.Item{
			Key: zinniamast.Key{
				Partition: a.partition,
				Sort:      c.key,
			},
		},
	}
	if c.value != nil {
		write.Item.Value = c.value
		return a.table.Write(ctx, []zinniamast.Write{write})
	}
	item, err := a.table.Get(ctx, write.Item.Key)
	if err != nil {
		return err
	}
	write.Delete, write.Expect = true, item.Revision
	return a.table.Write(ctx, []zinniamast.Write{write})
}
