package claims_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/standin/platform"
)

// Faults of the table on one write.
const (
	faultNone = iota
	// faultAnswerLost loses the response of a write that took effect.
	faultAnswerLost
	// faultWriteLost loses the write before it takes effect.
	faultWriteLost
	// faultDelayed reports an error and lets the write take effect later.
	faultDelayed
	// faultDuplicated delivers the write a second time, later.
	faultDuplicated
	// faultThrottled refuses the write with ErrThrottled.
	faultThrottled
	faultCount
)

var errBroken = errors.New("connection broken")

// faultyTable is the table that all nodes share. It applies the faults to writes
// in order; later writes succeed.
type faultyTable struct {
	inner     zinniamast.Table
	objects   *faultyObjects
	faults    []int
	lateDelay time.Duration

	mu         sync.Mutex
	faultsUsed int
}

func newFaultyTable(faults []int, lateDelay time.Duration) *faultyTable {
	return &faultyTable{
		inner:     platform.New(platform.Config{}).Table,
		objects:   newFaultyObjects(nil),
		faults:    faults,
		lateDelay: lateDelay,
	}
}

func (t *faultyTable) nextFault() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faultsUsed >= len(t.faults) {
		return faultNone
	}
	t.faultsUsed++
	return t.faults[t.faultsUsed-1]
}

// deliverLate delivers a write after lateDelay, even if its sender has died.
func (t *faultyTable) deliverLate(writes []zinniamast.Write) {
	go func() {
		time.Sleep(t.lateDelay)
		t.inner.Write(context.Background(), writes)
	}()
}

// link is the connection of one node to the table; it has outages and can be
// killed.
type link struct {
	table *faultyTable

	mu      sync.Mutex
	outages []outage
	start   time.Time
	dead    bool
}

// outage is a period, since the link was created, in which a node does not reach
// the table.
type outage struct {
	from, until time.Duration
}

func newLink(t *faultyTable, outages ...outage) *link {
	return &link{
		table:   t,
		outages: outages,
		start:   time.Now(),
	}
}

// kill cuts the link permanently.
func (l *link) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
}

func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return true
	}
	now := time.Since(l.start)
	for _, c := range l.outages {
		if now >= c.from && now < c.until {
			return true
		}
	}
	return false
}

func (l *link) Get(ctx context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	time.Sleep(time.Millisecond)
	if l.isDown() {
		return zinniamast.Item{}, errBroken
	}
	return l.table.inner.Get(ctx, key)
}

func (l *link) Query(ctx context.Context, partition, after string, limit int) ([]zinniamast.Item, error) {
	if l.isDown() {
		return nil, errBroken
	}
	return l.table.inner.Query(ctx, partition, after, limit)
}

func (l *link) Write(ctx context.Context, writes []zinniamast.Write) error {
	time.Sleep(time.Millisecond)
	if l.isDown() {
		return errBroken
	}
	switch l.table.nextFault() {
	case faultAnswerLost:
		l.table.inner.Write(ctx, writes)
		return errBroken
	case faultWriteLost:
		return errBroken
	case faultDelayed:
		l.table.deliverLate(writes)
		return errBroken
	case faultDuplicated:
		l.table.deliverLate(writes)
		return l.table.inner.Write(ctx, writes)
	case faultThrottled:
		return zinniamast.ErrThrottled
	default:
		return l.table.inner.Write(ctx, writes)
	}
}
