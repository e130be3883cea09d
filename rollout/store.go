package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"zinniamast"
)

// Keys of the configuration in the table. The head is small because every node
// polls it; whole versions are read only when needed.
const (
	headPartition    = "config"
	headSort         = "head"
	currentSort      = "current"
	historyPartition = "config_history"
	versionPartition = "config_version"
)

// The table deletes expired items itself, so its size is bounded by the rate of
// changes.
const (
	historyRetention = 90 * 24 * time.Hour
	versionRetention = 7 * 24 * time.Hour
)

// head records the newest accepted version.
type head struct {
	Number uint64 `json:"number"`
	Token  string `json:"token"`
	// revision and current are the table revisions of the head and of the
	// newest version; zero if there is none.
	revision uint64
	current  uint64
}

// store reads and writes versions in the platform's table.
type store struct {
	table zinniamast.Table
}

func versionKey(partition string, number uint64) zinniamast.Key {
	return zinniamast.Key{
		Partition: partition,
		Sort:      fmt.Sprintf("%020d", number),
	}
}

// head returns the head of the table; its number is zero if there is no
// version.
func (s store) head(ctx context.Context) (head, error) {
	item, err := s.table.Get(ctx, zinniamast.Key{
		Partition: headPartition,
		Sort:      headSort,
	})
	if errors.Is(err, zinniamast.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	var h head
	if err := json.Unmarshal(item.Value, &h); err != nil {
		return head{}, fmt.Errorf("configuration head: %w", err)
	}
	h.revision = item.Revision
	return h, nil
}

// current returns the newest version with its configuration and its table
// revision, or nil if there is none.
func (s store) current(ctx context.Context) (*Entry, uint64, error) {
	entry, revision, err := s.read(ctx, zinniamast.Key{
		Partition: headPartition,
		Sort:      currentSort,
	})
	if errors.Is(err, zinniamast.ErrNotFound) {
		return nil, 0, nil
	}
	return entry, revision, err
}

// version returns a version with its configuration; versions are retained for a
// few days.
func (s store) version(ctx context.Context, number uint64) (*Entry, error) {
	entry, _, err := s.read(ctx, versionKey(versionPartition, number))
	return entry, err
}

func (s store) read(ctx context.Context, key zinniamast.Key) (*Entry, uint64, error) {
	item, err := s.table.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	entry := &Entry{}
	if err := json.Unmarshal(item.Value, entry); err != nil {
		return nil, 0, fmt.Errorf("configuration %s: %w", key.Sort, err)
	}
	return entry, item.Revision, nil
}

// history returns at most limit entries up to the given number, newest last.
func (s store) history(ctx context.Context, upTo uint64, limit int) ([]Entry, error) {
	after := upTo - min(upTo, uint64(limit))
	items, err := s.table.Query(ctx, historyPartition, versionKey(historyPartition, after).Sort, limit)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for _, item := range items {
		var entry Entry
		if err := json.Unmarshal(item.Value, &entry); err != nil {
			return nil, fmt.Errorf("configuration history %s: %w", item.Key.Sort, err)
		}
		if entry.Number <= upTo {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// headWrites is the number of writes in accept that are conditional on the
// head; they come first.
const headWrites = 2

// accept writes a version if the head is still the given one. All items are
// written in one transaction, so that one of two concurrent changes is written
// as a whole and the other not at all.
func (s store) accept(ctx context.Context, entry *Entry, from head) error {
	summary := *entry
	summary.Packed = nil
	headValue, err := json.Marshal(head{
		Number: entry.Number,
		Token:  entry.Token,
	})
	if err != nil {
		return err
	}
	historyValue, err := json.Marshal(summary)
	if err != nil {
		return err
	}
	versionValue, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return s.table.Write(ctx, []zinniamast.Write{
		{
			Item: zinniamast.Item{
				Key: zinniamast.Key{
					Partition: headPartition,
					Sort:      headSort,
				},
				Value: headValue,
			},
			Expect: from.revision,
		},
		{
			Item: zinniamast.Item{
				Key: zinniamast.Key{
					Partition: headPartition,
					Sort:      currentSort,
				},
				Value: versionValue,
			},
			Expect: from.current,
		},
		{
			Item: zinniamast.Item{
				Key:     versionKey(historyPartition, entry.Number),
				Value:   historyValue,
				Expires: entry.When.Add(historyRetention),
			},
		},
		{
			Item: zinniamast.Item{
				Key:     versionKey(versionPartition, entry.Number),
				Value:   versionValue,
				Expires: entry.When.Add(versionRetention),
			},
		},
	})
}
