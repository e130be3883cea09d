package origin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"zinniamast"
)

// StoredPartition is the table partition with the origins of each instance's streams.
const StoredPartition = "origins"

const (
	// storeInterval is the shortest time between two writes of this instance's origins.
	storeInterval = 500 * time.Millisecond
	// storeShare bounds the writes of all instances together: one waits this long for each
	// instance of the fleet.
	storeShare = 10 * time.Millisecond
	// maxStoredBytes bounds an instance's item, and maxStoredID the ID of a stream in it.
	maxStoredBytes = 40 << 10
	maxStoredID    = 64
)

// storedOrigins is the value of an instance's item: the streams of each service by version.
type storedOrigins map[string]map[string][]string

// keepStored keeps the origins of this instance's streams in the table until ctx ends, while their
// service has several versions. The holders of an origin may all stop at once; a process that starts
// again tells its predecessor's origins to their holders.
func (d *Directory) keepStored(ctx context.Context) {
	if d.config.Table == nil {
		return
	}
	var revision uint64
	var written []byte
	isRead, isRestored := false, false
	for {
		var err error
		if !isRead {
			revision, err = d.readStored(ctx, !isRestored)
			isRead = err == nil
			isRestored = isRestored || isRead
		}
		if isRead {
			revision, written, err = d.storeChanges(ctx, revision, written)
			isRead = err == nil
		}
		if err != nil {
			d.config.Logger.Debug("failed to store the origins of streams", "cause", err)
		}
		select {
		case <-time.After(max(storeInterval, time.Duration(d.config.Nodes())*storeShare)):
		case <-ctx.Done():
			return
		}
	}
}

// storedKey returns the key of this instance's item.
func (d *Directory) storedKey() zinniamast.Key {
	return zinniamast.Key{
		Partition: StoredPartition,
		Sort:      d.config.Instance,
	}
}

// readStored reads this instance's item and returns its revision. If the item is a predecessor's, it
// takes over the origins.
func (d *Directory) readStored(ctx context.Context, isPredecessors bool) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	item, err := d.config.Table.Get(ctx, d.storedKey())
	if errors.Is(err, zinniamast.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("origin: %w", err)
	}
	if !isPredecessors {
		return item.Revision, nil
	}
	var stored storedOrigins
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		d.config.Logger.Warn("stored origins of streams unreadable", "cause", err)
	}
	count := d.takeOver(stored)
	if count > 0 {
		d.config.Logger.Info("origins of streams restored", "streams", count)
		d.refresh()
	}
	return item.Revision, nil
}

// takeOver records stored origins as those of this instance, and returns their number.
func (d *Directory) takeOver(stored storedOrigins) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for service, versions := range stored {
		for version, streams := range versions {
			for _, stream := range streams {
				if _, isKnown := d.own[stream]; isKnown {
					continue
				}
				put(d.own, Origin{
					Service: service,
					Stream:  stream,
					Version: version,
				})
				count++
			}
		}
	}
	return count
}

// storeChanges writes this instance's item if its origins have changed since the last write. It
// returns the item's new revision and value.
func (d *Directory) storeChanges(ctx context.Context, revision uint64, written []byte) (uint64, []byte, error) {
	value, err := json.Marshal(d.toStore())
	if err != nil || bytes.Equal(value, written) || revision == 0 && string(value) == "{}" {
		return revision, written, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err = d.config.Table.Write(ctx, []zinniamast.Write{{
		Item: zinniamast.Item{
			Key:   d.storedKey(),
			Value: value,
		},
		Expect: revision,
	}})
	if err != nil {
		return revision, written, fmt.Errorf("origin: %w", err)
	}
	return revision + 1, value, nil
}

// toStore returns the origins of this instance's streams whose service has several versions, as
// many as an item holds.
func (d *Directory) toStore() storedOrigins {
	d.mu.Lock()
	defer d.mu.Unlock()
	stored, size := storedOrigins{}, 0
	for stream, r := range d.own {
		if len(stream) > maxStoredID || d.config.Versions.hasOne(r.origin.Service) {
			continue
		}
		if size += len(stream) + len(`"",`); size > maxStoredBytes {
			break
		}
		if stored[r.origin.Service] == nil {
			stored[r.origin.Service] = map[string][]string{}
		}
		versions := stored[r.origin.Service]
		versions[r.origin.Version] = append(versions[r.origin.Version], stream)
	}
	for _, versions := range stored {
		for _, streams := range versions {
			slices.Sort(streams)
		}
	}
	return stored
}
