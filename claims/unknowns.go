package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniamast"
)

// Unknown describes a call whose outcome is not known.
type Unknown struct {
	Organisation string    `json:"organisation"`
	Service      string    `json:"service"`
	Key          string    `json:"key"`
	Method       string    `json:"method"`
	Path         string    `json:"path"`
	Node         string    `json:"node"`
	Since        time.Time `json:"since"`
	// Settled means that the call can no longer run, so that the service's own
	// records show the final outcome.
	Settled bool `json:"settled"`
}

// pageSize is the maximum number of items in one query of the open claims.
const pageSize = 200

// Unknowns returns at most limit unresolved calls with an unknown outcome, of all
// nodes. It includes held claims whose deadline has passed: their node died or
// was cut off from the table.
func (c *Claims) Unknowns(ctx context.Context, limit int) ([]Unknown, error) {
	var unknowns []Unknown
	after := ""
	for len(unknowns) < limit {
		items, err := c.config.Table.Query(ctx, openPartition, after, pageSize)
		if err != nil {
			return unknowns, unavailable(true)
		}
		for _, item := range items {
			after = item.Key.Sort
			record, err := decode(item)
			if err == nil && record.IsOutcomeUnknown() {
				unknowns = append(unknowns, c.unknown(&record))
			}
		}
		if len(items) < pageSize {
			break
		}
	}
	return unknowns[:min(limit, len(unknowns))], nil
}

// IsOutcomeUnknown reports whether the outcome is unknown and unresolved: the state is
// unknown, or the claim is held past its deadline.
func (r *Record) IsOutcomeUnknown() bool {
	return r.State == StateUnknown || (r.State == StateHeld && time.Now().After(r.Deadline))
}

func (c *Claims) unknown(record *Record) Unknown {
	return Unknown{
		Organisation: record.Organisation,
		Service:      record.Service,
		Key:          record.Key,
		Method:       record.Method,
		Path:         record.Path,
		Node:         record.Node,
		Since:        record.Deadline,
		Settled:      c.isSettled(record),
	}
}

// Errors of Resolve.
var (
	// ErrNotOpen means that the key's outcome is known, that its holder may still
	// end the claim, or that there is no claim.
	ErrNotOpen = errors.New("claims: the key has no open unknown")
	// ErrUnsettled means that the call may still run, so that it cannot be
	// resolved as not run yet.
	ErrUnsettled = errors.New("claims: the call may still run; decide again later")
	// ErrRaced means that the record was changed concurrently.
	ErrRaced = errors.New("claims: somebody else decided first")
)

// Resolve sets the outcome of a call whose outcome is unknown, after an operator
// checked the service's records or the service was queried by key. The argument
// by is stored with the claim.
//
// Resolving a call as not run frees the key. Before the claim has settled, the
// call may still be in flight, and the caller would receive "not run" for a call
// that runs later.
func (c *Claims) Resolve(ctx context.Context, organisation, service, key string, ran bool, by string) error {
	call := Call{
		Organisation: organisation,
		Service:      service,
		Key:          key,
	}
	record, revision, err := c.get(ctx, call.name())
	if err != nil {
		return unavailable(true)
	}
	if !record.IsOutcomeUnknown() {
		return ErrNotOpen
	}
	event := EventRun
	if !ran {
		event = EventRelease
		if !c.isSettled(&record) {
			return ErrUnsettled
		}
	}
	return c.writeDecision(ctx, record, revision, event, by)
}

// writeDecision writes the new state if the record is still at the revision that
// was read.
func (c *Claims) writeDecision(ctx context.Context, record Record, revision uint64, event Event, by string) error {
	state, err := nextState(record.State, event)
	if err != nil {
		return ErrNotOpen
	}
	after := record
	after.State = state
	after.ResolvedBy = by
	err = c.retryUntil(ctx, func() error {
		return c.write(ctx, recordWrites(&record, &after, revision, c.config.Retention))
	})
	if !errors.Is(err, zinniamast.ErrConflict) {
		return err
	}
	// A conflict may be caused by an earlier attempt of the same write whose
	// response was lost.
	current, _, err := c.get(ctx, record.name())
	if err != nil {
		return fmt.Errorf("claims: %w", err)
	}
	if current.Nonce == record.Nonce && current.State == state && current.ResolvedBy == by {
		return nil
	}
	return ErrRaced
}

// RunState returns the run state of a key from memory or the table, for a request
// that is refused before it acquires a claim. The refusal may report "not run"
// only if no call can have run under the key.
func (c *Claims) RunState(ctx context.Context, call Call) zinniamast.Ran {
	c.mu.Lock()
	local := c.local[call.name()]
	c.mu.Unlock()
	if local != nil {
		local.mu.Lock()
		defer local.mu.Unlock()
		return local.record.State.Ran()
	}
	record, _, err := c.get(ctx, call.name())
	if err != nil {
		if call.FirstSending {
			return zinniamast.NotRun
		}
		return zinniamast.Unknown
	}
	return record.State.Ran()
}

// Ran returns whether a call in this state ran, did not run or may have run.
func (s State) Ran() zinniamast.Ran {
	switch s {
	case StateFree:
		return zinniamast.NotRun
	case StateRan, StateDone:
		return zinniamast.DidRun
	default:
		return zinniamast.Unknown
	}
}
