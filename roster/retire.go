package roster

import (
	"context"
	"errors"
	"slices"
	"time"

	"zinniamast"
)

// retireAfter is how long an instance must have been silent before its entry is
// removed. It is ten times the usual length of a partition between failure
// domains or of the replacement of an instance.
const retireAfter = 15 * time.Minute

// Retire removes the entries of this failure domain whose instances have been
// silent for retireAfter. One node of each failure domain calls it after each Read.
//
// Otherwise replaced instances would stay on the roster indefinitely. Allowances
// are divided by the number of entries, so after a day in which 400 instances of a
// fleet of 370 were replaced half of each allowance would be assigned to instances
// that no longer exist, and pools would be requested from such instances. An
// instance that is retired while it is alive announces itself again after its next
// read of the roster.
func (r *Roster) Retire(ctx context.Context, alive func(id string) bool) {
	now := r.config.Now()
	for _, entry := range r.Entries() {
		if entry.FailureDomain != r.config.FailureDomain || entry.ID == r.config.ID || alive(entry.ID) {
			delete(r.silentSince, entry.ID)
			continue
		}
		since, known := r.silentSince[entry.ID]
		if !known {
			r.silentSince[entry.ID] = now
			continue
		}
		if now.Sub(since) >= retireAfter {
			r.retire(ctx, entry)
		}
	}
}

func (r *Roster) retire(ctx context.Context, entry Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.config.Table.Write(ctx, []zinniamast.Write{{
		Item: zinniamast.Item{
			Key: key(entry.ID),
		},
		Delete: true,
		Expect: entry.Revision,
	}})
	if err != nil && !errors.Is(err, zinniamast.ErrConflict) {
		r.config.Logger.Debug("retiring instance failed", "instance", entry.ID, "cause", err)
		return
	}
	delete(r.silentSince, entry.ID)
	r.config.Logger.Info("instance retired", "instance", entry.ID, "silent_for", retireAfter)
}

// Missing reports whether this instance has announced itself and is no longer on
// the roster.
func (r *Roster) Missing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced && len(r.entries) > 0 && !slices.ContainsFunc(r.entries, r.isOwn)
}
