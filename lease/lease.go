// Package lease elects at most one node at a time to act for the fleet, by a
// lease with fencing numbers in the platform's table.
//
// The holder measures its term from before it sent its last renewal. A candidate
// measures from after it read a revision that then stays unchanged. Each uses
// its own clock only, so wrong wall clocks do no harm; the margin between the two
// measurements allows for clocks that run at different speeds.
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

// Partition is the table partition that holds the leases.
const Partition = "lease"

// The default term, the divisors of the term that give the intervals, and the
// bounds of the poll interval by rank.
const (
	defaultTerm = 15 * time.Second
	// marginDivisor divides the term into the safety margin: the holder stops that
	// much earlier and candidates wait that much longer, so that clocks may
	// differ in speed by a tenth.
	marginDivisor = 8
	renewDivisor  = 3
	retryDivisor  = 12
	pollDivisor   = 2
	// fullRateRanks candidates poll at the usual interval; the others wait up to
	// maxPollFactor times as long between polls.
	fullRateRanks = 3
	maxPollFactor = 64
)

// Config configures a Lease.
type Config struct {
	// Table is the platform's table.
	Table zinniamast.Table
	// Name identifies the lease.
	Name string
	// Holder names this node's instance and is the same after each restart.
	Holder string
	// Term is how long a lease lasts without renewal; zero means 15 seconds.
	Term time.Duration
	// Rank returns how many other candidates come before this one; nil means
	// none. Candidates with a high rank poll rarely: many nodes that all read the
	// lease at the full rate load the table more than its holder does.
	Rank func() int
	// Logger logs each state change; nil means slog's default.
	Logger *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Lease is one node's view of one lease.
type Lease struct {
	config  Config
	session string

	// mu guards the fields below; no table call is made while it is held.
	mu     sync.Mutex
	states *fsm.FSM
	// item is the table item as last read or written; record is its content.
	item   zinniamast.Item
	record record
	// observedAt is when this node first observed item.Revision.
	observedAt time.Time
	// validFrom is when this node began to send its last write that took effect.
	validFrom time.Time
	// sentAt maps the tokens of this node's writes to when their sending began.
	sentAt map[string]time.Time
	// takeoverDelay is a random extra delay before a take-over, different on each node.
	takeoverDelay time.Duration
}

// record is the lease in the table.
type record struct {
	// Holder names the holder's instance; empty means that the lease was released.
	Holder string `json:"holder"`
	// Session is unique to one start of one holder; empty means that the lease was
	// released.
	Session string `json:"session"`
	// Fence is the fencing number. It rises by one with each new holder and never
	// falls, since the item is never deleted.
	Fence uint64 `json:"fence"`
	// TermMS is the holder's term in milliseconds. Candidates wait for the longer
	// of it and their own term, so that changing the term is safe.
	TermMS int64 `json:"term_ms"`
	// Former lists the instances that held the lease within about the last term,
	// the most recent one last.
	Former []formerHolder `json:"former,omitempty"`
}

// New returns a lease that is not held; Run competes for it.
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
		states:  newStateMachine(),
		sentAt:  map[string]time.Time{},
	}
}

// Check returns the fencing number if this node may act for at least need from
// now, and ErrNotHeld otherwise. Callers check before each use: a holder that was
// paused past its term is detected here, since its clock went on.
func (l *Lease) Check(need time.Duration) (uint64, error) {
	now := l.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states.Is(stateHeld) && elapsed(now, l.validFrom)+need < l.usableTerm() {
		return l.record.Fence, nil
	}
	return 0, ErrNotHeld
}

// Guard returns the fencing number and a context that ends after need, within
// the time for which this node may act under the lease.
func (l *Lease) Guard(ctx context.Context, need time.Duration) (context.Context, context.CancelFunc, uint64, error) {
	fence, err := l.Check(need)
	if err != nil {
		return nil, nil, 0, err
	}
	guarded, cancel := context.WithTimeout(ctx, need)
	return guarded, cancel, fence, nil
}

// usableTerm returns how long the holder may act after it began to send a write.
func (l *Lease) usableTerm() time.Duration { return l.config.Term - l.config.Term/marginDivisor }

// elapsed returns the time from then to now on this node's own clock. The monotonic
// clock may stand still while an instance is suspended, and the wall clock may
// jump. The longer of the two durations can end a lease too early but never too
// late.
func elapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// observe records an item read from or written to the table, and reports whether
// it is one of this session's writes.
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
		// A store that recovered may return an old answer; acting on it could shorten a wait.
		return false, merry.Errorf("lease %s: table revision went back from %d to %d",
			l.config.Name, l.item.Revision, item.Revision)
	}
	if item.Revision != l.item.Revision || l.observedAt.IsZero() {
		l.item, l.record, l.observedAt = item, r, now
	}
	if r.Session != l.session {
		return false, nil
	}
	began, ok := l.sentAt[item.Token]
	if ok {
		// This write took effect, whether or not its answer arrived; the term
		// counts from when its sending began.
		l.validFrom = began
		l.sentAt = map[string]time.Time{item.Token: began}
	}
	return ok, nil
}

// canAcquire reports whether a candidate may acquire the lease now, and otherwise how
// long to wait.
func (l *Lease) canAcquire(now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.reacquireDelay(now)
	if l.record.Session != "" {
		wait = max(wait, l.expiryDelay()+l.takeoverDelay-now.Sub(l.observedAt))
	}
	return wait <= 0, max(wait, 0)
}

// expiryDelay returns the time without a renewal after which a holder has certainly
// stopped acting: the longer of its term and this node's, plus the margin. The
// caller holds the lock.
func (l *Lease) expiryDelay() time.Duration {
	term := max(l.config.Term, time.Duration(min(l.record.TermMS, math.MaxInt64/int64(time.Millisecond)))*time.Millisecond)
	return term + term/marginDivisor
}

// write replaces the item observed last by a new record; a nil error means that
// the write took effect.
func (l *Lease) write(ctx context.Context, r record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return merry.Prepend(err, "lease")
	}
	token := rand.Text()
	began := l.config.Now()
	l.mu.Lock()
	expect := l.item.Revision
	// A write sent more than two terms ago cannot make the lease usable any more;
	// its token is dropped so that tokens do not accumulate in an hour's outage.
	maps.DeleteFunc(l.sentAt, func(_ string, sent time.Time) bool { return elapsed(began, sent) > 2*l.config.Term })
	l.sentAt[token] = began
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

// Status is the state of a lease as shown to operators.
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
		State:  l.states.Current(),
		Holder: l.record.Holder,
		Fence:  l.record.Fence,
	}
}
