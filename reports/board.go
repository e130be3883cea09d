package reports

import (
	"context"
	"sync"
	"time"

	"zinniamast/demand"
)

// Report is what a replica said of its load.
type Report struct {
	Replica string
	// FailureDomain is the replica's.
	FailureDomain string
	// Age is how old the reading is; nodes share no clock.
	Age time.Duration
	// Running is the number of requests in the batch and Waiting that of those queued.
	Running int
	Waiting int
	// QueuedTokens is the number of prompt tokens not yet computed, about.
	QueuedTokens int
}

// Told is one node's answer to another.
type Told struct {
	Reports []Report
	// Position is where the next question goes on.
	Position uint64
	// Demand is what the failure domains asked for are asked.
	Demand map[string]demand.Told
}

// kept is a report with this node's time of the reading.
type kept struct {
	report Report
	at     time.Time
	// position is the board's when it came.
	position uint64
}

// Board holds the newest report of each replica that this node knows.
type Board struct {
	mu       sync.Mutex
	reports  map[string]kept
	position uint64
	// changed is closed and renewed with each change.
	changed chan struct{}
}

// forgetAfter is when a report says nothing any more; its replica is gone, or
// nobody reaches it.
const forgetAfter = 5 * time.Second

// NewBoard returns an empty board. Its positions begin with the time, so that a
// position of the node's last life is none of this one's.
func NewBoard() *Board {
	return &Board{
		reports:  map[string]kept{},
		position: uint64(time.Now().UnixNano()),
		changed:  make(chan struct{}),
	}
}

// Put takes reports in and returns those that are newer than what was known.
func (b *Board) Put(reports []Report) []Report {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var fresh []Report
	for _, r := range reports {
		at := now.Add(-r.Age)
		if known, ok := b.reports[r.Replica]; ok && !at.After(known.at) {
			continue
		}
		fresh = append(fresh, r)
		b.reports[r.Replica] = kept{
			report:   r,
			at:       at,
			position: b.position + 1,
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	b.position++
	b.forget(now)
	close(b.changed)
	b.changed = make(chan struct{})
	return fresh
}

// forget drops old reports; the caller holds the lock.
func (b *Board) forget(now time.Time) {
	for id, k := range b.reports {
		if now.Sub(k.at) > forgetAfter {
			delete(b.reports, id)
		}
	}
}

// Since returns the reports that came after a position, of one failure domain
// or of all where none is named. It waits for one; a position that is not of
// this board gets all at once.
func (b *Board) Since(ctx context.Context, failureDomain string, position uint64, wait time.Duration) Told {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		told, changed := b.since(failureDomain, position)
		if len(told.Reports) > 0 {
			return told
		}
		select {
		case <-changed:
		case <-timeout.C:
			return told
		case <-ctx.Done():
			return told
		}
	}
}

func (b *Board) since(failureDomain string, position uint64) (Told, <-chan struct{}) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if position > b.position {
		position = 0
	}
	told := Told{
		Position: b.position,
	}
	for _, k := range b.reports {
		if k.position <= position || failureDomain != "" && k.report.FailureDomain != failureDomain {
			continue
		}
		r := k.report
		r.Age = now.Sub(k.at)
		told.Reports = append(told.Reports, r)
	}
	return told, b.changed
}
