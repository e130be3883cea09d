package rollout

import (
	"context"
	"time"
)

// statusTimeout bounds how long Versions waits for the nodes to answer.
const statusTimeout = 3 * time.Second

// Versions queries every live node for the version it has in force.
func (r *Rollout) Versions(ctx context.Context) []NodeVersion {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return r.spread(ctx, nil)
}

// localEntry returns the version in force on this node, or nil if there is
// none. A version that was set on the board directly at startup, as the demo
// does, has no history.
func (r *Rollout) localEntry() *Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.config.Board.Configuration.Current()
	if r.entry != nil || version == nil {
		return r.entry
	}
	return &Entry{
		Number: version.Number,
		When:   version.Since,
		Packed: pack(version.Raw),
	}
}

// Get returns a version with its configuration. Number zero selects the newest
// known version; the entry is nil if there is none.
func (r *Rollout) Get(ctx context.Context, number uint64) (*Entry, error) {
	if number != 0 {
		if local := r.localEntry(); local != nil && local.Number == number {
			return local, nil
		}
		return r.store.version(ctx, number)
	}
	newest, _, err := r.newest(ctx)
	if err != nil {
		// While the table is unavailable, the version in force on this node is
		// the best answer.
		if local := r.localEntry(); local != nil {
			return local, nil
		}
		return nil, err
	}
	return newest, nil
}

// History returns at most limit entries up to the given number, newest last.
// Number zero means up to the newest version.
func (r *Rollout) History(ctx context.Context, upTo uint64, limit int) ([]Entry, error) {
	if upTo == 0 {
		newest, err := r.store.head(ctx)
		if err != nil {
			return nil, err
		}
		upTo = max(newest.Number, r.Number())
	}
	return r.store.history(ctx, upTo, limit)
}
