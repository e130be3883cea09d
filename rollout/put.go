package rollout

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"zinniamast"
	"zinniamast/config"
)

// confirmTimeout is how long a put waits for confirmations from all nodes.
// Nodes that have not confirmed by then still receive the version through
// heartbeats and table reads.
const confirmTimeout = 6 * time.Second

// Put is a configuration change requested by an operator.
type Put struct {
	// Raw is the configuration as the operator wrote it.
	Raw []byte
	// Base is the number of the version that the change was made from; zero for
	// the first version.
	Base uint64
	// Who and Why are recorded in the history.
	Who string
	Why string
	// Force accepts the change despite warnings.
	Force bool
}

// Outcome is the result of a put.
type Outcome string

// The outcomes of a put.
const (
	// InForce means that the change was accepted and every known node has
	// confirmed it.
	InForce Outcome = "in_force"
	// Pending means that the change was accepted but some nodes have not
	// confirmed it yet; delivery continues.
	Pending Outcome = "pending"
	// Unchanged means that the same configuration is already in force.
	Unchanged Outcome = "unchanged"
	// Invalid means that validation failed; nothing was written.
	Invalid Outcome = "invalid"
	// Warned means that the change has warnings and needs Force; nothing was
	// written.
	Warned Outcome = "warned"
	// Conflicted means that the base of the change is not the newest version;
	// nothing was written.
	Conflicted Outcome = "conflict"
	// Unavailable means that the table could not be reached; nothing was
	// written.
	Unavailable Outcome = "unavailable"
	// Uncertain means that the table's reply was lost; the change may have been
	// accepted.
	Uncertain Outcome = "uncertain"
)

// PutReply is the outcome of a put, with the details the operator needs for the
// next step.
type PutReply struct {
	Outcome Outcome `json:"outcome"`
	// Number is the accepted version, or the newest one on a conflict.
	Number uint64 `json:"number"`
	// Messages are validation errors or warnings.
	Messages []string `json:"messages,omitempty"`
	// Newest is the entry of the conflicting version, without its
	// configuration.
	Newest *Entry `json:"newest,omitempty"`
	// Changes are the differences between the base and the newest version on a conflict.
	Changes []config.Change `json:"changes,omitempty"`
	// Accepted is when the table accepted the change.
	Accepted time.Time `json:"accepted"`
	// Nodes are the confirmations; After counts from the acceptance.
	Nodes []NodeVersion `json:"nodes,omitempty"`
}

// Put validates a change, writes it to the table and waits for the nodes to
// confirm it.
func (r *Rollout) Put(ctx context.Context, put Put) PutReply {
	parsed, err := config.Parse(put.Raw)
	if err != nil {
		return PutReply{
			Outcome:  Invalid,
			Messages: []string{err.Error()},
		}
	}
	newest, from, err := r.newest(ctx)
	if err != nil {
		return PutReply{
			Outcome:  Unavailable,
			Messages: []string{err.Error()},
		}
	}
	if reply, done := r.preflight(ctx, put, parsed, newest); done {
		return reply
	}
	entry := &Entry{
		Number: from.Number + 1,
		Token:  rand.Text(),
		Who:    truncate(put.Who, maxChangeTextBytes),
		Why:    truncate(put.Why, maxWhyTextBytes),
		When:   time.Now().UTC(),
		Packed: pack(put.Raw),
	}
	entry.describe(parse(newest), parsed)
	if reply, done := r.accept(ctx, put, entry, from); done {
		return reply
	}
	accepted := time.Now()
	_ = r.apply(entry, "put")
	r.markConfirmed(accepted)
	return r.deliver(ctx, entry, accepted)
}

// newest returns the newest accepted version and the state of the table's head.
// If the table has been restored to an older state, the returned number is
// still at least the one in force on this node, so that the next version is
// numbered above it.
func (r *Rollout) newest(ctx context.Context) (*Entry, head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from, err := r.store.head(ctx)
	if err != nil {
		return nil, head{}, err
	}
	stored, revision, err := r.store.current(ctx)
	if err != nil {
		return nil, head{}, err
	}
	from.current = revision
	from.Number = max(from.Number, r.Number())
	if local := r.localEntry(); local != nil && (stored == nil || local.Number > stored.Number) {
		return local, from, nil
	}
	return stored, from, nil
}

// preflight returns a reply and true if the change must not be written.
func (r *Rollout) preflight(ctx context.Context, put Put, parsed *config.Config, newest *Entry) (PutReply, bool) {
	number := uint64(0)
	if newest != nil {
		number = newest.Number
	}
	before := parse(newest)
	if before != nil && len(config.Diff(before, parsed)) == 0 {
		return PutReply{
			Outcome: Unchanged,
			Number:  number,
		}, true
	}
	if put.Base != number {
		return r.conflict(ctx, put, newest), true
	}
	if warnings := config.Warnings(before, parsed, r.fleet()); len(warnings) > 0 && !put.Force {
		return PutReply{
			Outcome:  Warned,
			Number:   number,
			Messages: warnings,
		}, true
	}
	return PutReply{}, false
}

// conflict returns a reply that lists the changes made since the operator's
// base version.
func (r *Rollout) conflict(ctx context.Context, put Put, newest *Entry) PutReply {
	reply := PutReply{
		Outcome: Conflicted,
	}
	if newest == nil {
		reply.Messages = []string{"there is no version yet; the first is put with base 0"}
		return reply
	}
	reply.Number = newest.Number
	summary := *newest
	summary.Packed = nil
	reply.Newest = &summary
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	base, err := r.store.version(ctx, put.Base)
	if err != nil {
		reply.Messages = []string{"the base is not in the table any more; the differences are those to your change"}
		proposed, _ := config.Parse(put.Raw)
		reply.Changes = config.Diff(proposed, parse(newest))
		return reply
	}
	reply.Changes = config.Diff(parse(base), parse(newest))
	return reply
}

// accept writes the entry to the table and retries until the context ends. If a
// reply was lost, reading the head back resolves whether the write took effect:
// the token distinguishes it from a write by another node.
func (r *Rollout) accept(ctx context.Context, put Put, entry *Entry, from head) (PutReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	uncertain := false
	for {
		err := r.store.accept(ctx, entry, from)
		if err == nil {
			return PutReply{}, false
		}
		if errors.Is(err, zinniamast.ErrConflict) {
			return r.resolveConflict(ctx, put, entry, from, err)
		}
		uncertain = uncertain || !errors.Is(err, zinniamast.ErrThrottled)
		// Repeating the same write is safe: its condition lets it take effect
		// only once.
		if !waitRetry(ctx) {
			return acceptFailure(entry, uncertain, err), true
		}
	}
}

func acceptFailure(entry *Entry, uncertain bool, err error) PutReply {
	reply := PutReply{
		Outcome:  Unavailable,
		Messages: []string{err.Error()},
	}
	if uncertain {
		reply.Outcome = Uncertain
		reply.Number = entry.Number
	}
	return reply
}

// resolveConflict distinguishes a conflict with another writer from this node's
// own write whose reply was lost.
func (r *Rollout) resolveConflict(ctx context.Context, put Put, entry *Entry, from head, cause error) (PutReply, bool) {
	for {
		newest, current, err := r.newest(ctx)
		if err != nil {
			if !waitRetry(ctx) {
				return acceptFailure(entry, true, err), true
			}
			continue
		}
		if current.Token == entry.Token {
			return PutReply{}, false
		}
		if stored, err := r.store.version(ctx, entry.Number); err == nil && stored.Token == entry.Token {
			return PutReply{}, false
		}
		if current.revision == from.revision && current.current == from.current && isHeadUnchanged(cause) {
			// A version that the head no longer records already uses the
			// number.
			entry.Number++
			return r.accept(ctx, put, entry, from)
		}
		return r.conflict(ctx, put, newest), true
	}
}

// isHeadUnchanged reports whether only the writes that do not depend on the
// head failed.
func isHeadUnchanged(err error) bool {
	var conflict *zinniamast.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Failed) == 0 {
		return false
	}
	for _, failed := range conflict.Failed {
		if failed < headWrites {
			return false
		}
	}
	return true
}

// deliver pushes an accepted entry and reports which nodes have it in force.
func (r *Rollout) deliver(ctx context.Context, entry *Entry, accepted time.Time) PutReply {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply := PutReply{
		Outcome:  InForce,
		Number:   entry.Number,
		Accepted: accepted,
		Nodes:    r.spread(ctx, entry),
	}
	if !allHaveVersion(reply.Nodes, entry.Number) {
		reply.Outcome = Pending
	}
	return reply
}

// fleet returns the upstreams and failure domains that warnings about a change
// are based on.
func (r *Rollout) fleet() config.Fleet {
	fleet := config.Fleet{
		Upstreams: map[string]int{},
	}
	for _, upstream := range r.config.Board.Upstreams.All() {
		if !upstream.Leaving() {
			fleet.Upstreams[upstream.Instance.Service]++
		}
	}
	seen := map[string]bool{}
	for _, member := range r.config.Board.Members.All() {
		if !seen[member.FailureDomain] {
			seen[member.FailureDomain] = true
			fleet.FailureDomains = append(fleet.FailureDomains, member.FailureDomain)
		}
	}
	return fleet
}

// parse returns the parsed configuration of an entry, or nil if there is no
// entry or it cannot be parsed.
func parse(entry *Entry) *config.Config {
	if entry == nil {
		return nil
	}
	raw, err := entry.Raw()
	if err != nil {
		return nil
	}
	parsed, err := config.Parse(raw)
	if err != nil {
		return nil
	}
	return parsed
}
