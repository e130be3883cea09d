package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"zinniamast"
)

// recordKey is the key of the controller's intents in the table.
var recordKey = zinniamast.Key{
	Partition: "capacity",
	Sort:      "intents",
}

// record holds the intents, which outlive a lease holder: the purchases with their
// tokens and the instances to return. It is written before any action and only if
// the stored revision is unchanged, so that the write of a former holder fails.
// The next holder retries a pending purchase with the same token and gets the
// same instance.
type record struct {
	// Fence is the fencing number of the holder that wrote it.
	Fence  uint64         `json:"fence"`
	Starts []pendingStart `json:"starts"`
	Stops  []pendingStop  `json:"stops"`

	revision uint64
}

// pendingStart is a purchase that the instance list may not yet show.
type pendingStart struct {
	Token    string   `json:"token"`
	Purchase Purchase `json:"purchase"`
	// Instance is set once the cloud has answered.
	Instance zinniamast.Instance `json:"instance,omitzero"`
	At       time.Time           `json:"at"`
}

// pendingStop is a return that is in progress or that the list may not yet show.
type pendingStop struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	// Done means that the cloud has stopped the instance.
	Done bool `json:"done"`
}

// listLagTimeout is how long the instance list may lag before a purchase that it
// doesn't show counts as lost.
const listLagTimeout = 10 * time.Minute

func readRecord(ctx context.Context, table zinniamast.Table) (*record, error) {
	item, err := table.Get(ctx, recordKey)
	if errors.Is(err, zinniamast.ErrNotFound) {
		return &record{}, nil
	}
	if err != nil {
		return nil, merry.Prepend(err, "capacity")
	}
	r := &record{
		revision: item.Revision,
	}
	if err := json.Unmarshal(item.Value, r); err != nil {
		return nil, merry.Prepend(err, "capacity: decode intents")
	}
	return r, nil
}

func (r *record) write(ctx context.Context, table zinniamast.Table) error {
	value, err := json.Marshal(r)
	if err != nil {
		return merry.Prepend(err, "capacity")
	}
	err = table.Write(ctx, []zinniamast.Write{{
		Item: zinniamast.Item{
			Key:   recordKey,
			Value: value,
		},
		Expect: r.revision,
	}})
	if err != nil {
		return merry.Prepend(err, "capacity")
	}
	r.revision++
	return nil
}

// prune drops starts and stops that the list reflects or that have timed out, and
// reports whether it dropped any.
func (r *record) prune(now time.Time, listed map[string]zinniamast.Instance) bool {
	before := len(r.Starts) + len(r.Stops)
	r.Starts = slices.DeleteFunc(r.Starts, func(s pendingStart) bool {
		_, ok := listed[s.Instance.ID]
		return s.Instance.ID != "" && (ok || now.Sub(s.At) > listLagTimeout)
	})
	r.Stops = slices.DeleteFunc(r.Stops, func(s pendingStop) bool {
		_, ok := listed[s.Instance]
		return !ok && now.Sub(s.At) > listLagTimeout/10 || s.Done && now.Sub(s.At) > listLagTimeout
	})
	return len(r.Starts)+len(r.Stops) < before
}
