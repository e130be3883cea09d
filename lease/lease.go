// Package lease lets at most one node at a time act for the fleet, by a lease
// with fencing numbers in the platform's table.
//
// The holder counts its term from before it sent its last renewal; a candidate
// counts from after it read a revision that then stays unchanged. Each counts
// on its own clock alone, so wrong wall clocks do no harm; the margin between
// the two bears clocks that run at different speeds.
package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/looplab/fsm"

	"zinniamast"
)

// ErrNotHeld means that this node may not act under the lease now.
var ErrNotHeld = errors.New("lease not held")

// Partition is where leases stand in the table.
const Partition = "lease"

// Shares of the term.
const (
	defaultTerm = 15 * time.Second
	// marginShare of the term is given up by the holder and waited in addition
	// by candidates, so that clocks may differ in speed by a tenth.
	marginShare = 8
	renewShare  = 3
	againShare  = 12
	pollShare   = 2
	// firstRanks candidates look at the usual pace, and the last lastPace times as rarely.
	firstRanks = 3
	lastPace   = 64
)

// Config says which lease is wanted and how.
type Config struct {
	// Table is the platform's table.
	Table zinniamast.Table
	// Name is the lease's name.
	Name string
	// Holder names this node's machine, over all starts of it.
	Holder string
	// Term is how long a lease lasts without renewal; zero means 15 seconds.
	Term time.Duration
	// Rank returns how many other candidates come before this one; nil means
	// none. Candidates far down look rarely: many nodes that each read the lease
	// all the time cost the table more than its holder does.
	Rank func() int
	// Logger takes a line for each change; nil means slog's default.
	Logger *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Lease is one node's view of one lease.
type Lease struct {
	config  Config
	session string

	// mu guards the rest; no call is made while it is held.
	mu      sync.Mutex
	machine *fsm.FSM
	// item is the record as last seen or written.
	item   zinniamast.Item
	record record
	// seen is when item.Revision was first seen here.
	seen time.Time
	// from is when the sending of the last write that stands began.
	from time.Time
	// sent maps the tokens of our writes to when their sending began.
	sent map[string]time.Time
	// patience is the extra wait before a take-over, different for each node.
	patience time.Duration
}

// record is the lease in the table.
type record struct {
	// Holder names the holder's machine; empty means that it was released.
	Holder string `json:"holder"`
	// Session is unique to one life of one holder; empty means that it was released.
	Session string `json:"session"`
	// Fence rises by one with each new holder and never falls: the item is never deleted.
	Fence uint64 `json:"fence"`
	// TermMS is the holder's term in milliseconds; candidates wait for the
	// longer one of it and their own, so that a changed term is safe.
	TermMS int64 `json:"term_ms"`
	// Former are the machines that held the lease within the last term or so,
	// the last of them last.
	Former []former `json:"former,omitempty"`
}

// New returns a lease that is not held; Run makes it compete.
func New(c Config) *Lease {
	if c.Term == 0 {
		c.Term = defaultTerm
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Lease{
		config:  c,
		session: rand.Text(),
		machine: newMachine(),
		sent:    map[string]time.Time{},
	}
}

// Check returns the fencing number if this node may act for at least need from
// now. It is asked before each use: a holder that was paused past its term
// finds out here, since its clock went on.
func (l *Lease) Check(need time.Duration) (uint64, error) {
	now := l.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.Is(stateHeld) && since(now, l.from)+need < l.usable() {
		return l.record.Fence, nil
	}
	return 0, ErrNotHeld
}

// Guard returns a context that ends with the lease, and the fencing number.
func (l *Lease) Guard(ctx context.Context, need time.Duration) (context.Context, context.CancelFunc, uint64, error) {
	fence, err := l.Check(need)
	if err != nil {
		return nil, nil, 0, err
	}
	guarded, cancel := context.WithTimeout(ctx, need)
	return guarded, cancel, fence, nil
}

// usable is how long the holder acts after a write began.
func (l *Lease) usable() time.Duration { return l.config.Term - l.config.Term/marginShare }

// since is the time that went by on this node's own clock. The monotonic
// clock may stand still while a machine is suspended and the wall clock may
// jump; the longer of the two can only end a lease too early, never too late.
func since(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// observe takes in what the table holds and reports whether it is ours.
func (l *Lease) observe(item zinniamast.Item, now time.Time) (bool, error) {
	var r record
	if item.Revision > 0 {
		if err := json.Unmarshal(item.Value, &r); err != nil {
			return false, merry.Prependf(err, "lease %s", l.config.Name)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if item.Revision < l.item.Revision {
		// An old answer of a store that came back; acting on it could shorten a wait.
		return false, merry.Errorf("lease %s: the table went back from revision %d to %d",
			l.config.Name, l.item.Revision, item.Revision)
	}
	if item.Revision != l.item.Revision || l.seen.IsZero() {
		l.item, l.record, l.seen = item, r, now
	}
	if r.Session != l.session {
		return false, nil
	}
	began, ok := l.sent[item.Token]
	if ok {
		// The answer to this write was lost, or came: it stands since it began.
		l.from = began
		l.sent = map[string]time.Time{item.Token: began}
	}
	return ok, nil
}

// free says whether a candidate may take the lease now, and otherwise how long to wait.
func (l *Lease) free(now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.rest(now)
	if l.record.Session != "" {
		wait = max(wait, l.over()+l.patience-now.Sub(l.seen))
	}
	return wait <= 0, max(wait, 0)
}

// over is after how long without a renewal a holder has surely stopped: the
// longer one of its term and this node's, and the margin; the caller holds the lock.
func (l *Lease) over() time.Duration {
	term := max(l.config.Term, time.Duration(min(l.record.TermMS, math.MaxInt64/int64(time.Millisecond)))*time.Millisecond)
	return term + term/marginShare
}

// write sends the next record on top of what was seen; nil means that it stands.
func (l *Lease) write(ctx context.Context, r record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return merry.Prepend(err, "lease")
	}
	token := rand.Text()
	began := l.config.Now()
	l.mu.Lock()
	expect := l.item.Revision
	// Tokens of two terms ago could not make the lease usable; an hour's outage must not pile them up.
	maps.DeleteFunc(l.sent, func(_ string, sent time.Time) bool { return since(began, sent) > 2*l.config.Term })
	l.sent[token] = began
	l.mu.Unlock()
	item := zinniamast.Item{
		Key:   l.key(),
		Value: value,
		Token: token,
	}
	err = l.config.Table.Write(ctx, []zinniamast.Write{{
		Item:   item,
		Expect: expect,
	}})
	if err != nil {
		return err
	}
	item.Revision = expect + 1
	_, err = l.observe(item, l.config.Now())
	return err
}

func (l *Lease) key() zinniamast.Key {
	return zinniamast.Key{
		Partition: Partition,
		Sort:      l.config.Name,
	}
}

// Status is what operators see of a lease.
type Status struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// Status returns this node's view of the lease.
func (l *Lease) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{
		Name:   l.config.Name,
		State:  l.machine.Current(),
		Holder: l.record.Holder,
		Fence:  l.record.Fence,
	}
}
