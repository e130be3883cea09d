package reports

import (
	"context"
	"sync"
	"time"

	"zinniamast/canary"
	"zinniamast/demand"
	"zinniamast/feedindex"
)

// Report is the load that a replica reported.
type Report struct {
	Replica string
	// FailureDomain is the replica's failure domain.
	FailureDomain string
	// Age is the time since the report was read; it is relative because nodes share
	// no clock.
	Age time.Duration
	// Running is the number of requests in the batch, Waiting the number of queued
	// ones.
	Running int
	Waiting int
	// QueuedTokens is the approximate number of prompt tokens not yet computed.
	QueuedTokens int
}

// Answer is a node's answer to the query of another.
type Answer struct {
	Reports []Report
	// Position is where the next query continues.
	Position uint64
	// Demand is the load of the failure domains asked for.
	Demand map[string]demand.DomainLoad
	// Rollouts are the reports on rollouts, see Query.
	Rollouts []canary.DomainReport
}

// boardEntry is a report with the time of its reading by this node's clock.
type boardEntry struct {
	report Report
	readAt time.Time
}

func (e boardEntry) isExpired(now time.Time) bool { return now.Sub(e.readAt) > reportExpiry }

// Board holds the newest known report of each replica.
type Board struct {
	mu      sync.Mutex
	reports map[string]boardEntry
	// positions orders the replicas by the board's position at which their reports were stored.
	positions *feedindex.Index[string]
	position  uint64
	// sweptAt is when the expired reports were last removed.
	sweptAt time.Time
	// changed is closed and replaced on each change.
	changed chan struct{}
}

// reportExpiry is the age from which a report is meaningless: its replica no
// longer exists, or no node can reach it.
const reportExpiry = 5 * time.Second

// sweepInterval is how often expired reports are removed from memory. They are not part of
// answers before that either.
const sweepInterval = time.Second

// NewBoard returns an empty board. Its positions start at the current time, so
// that a position from before a restart of the node is never taken for one of
// this board.
func NewBoard() *Board {
	return &Board{
		reports:   map[string]boardEntry{},
		positions: feedindex.New[string](),
		position:  uint64(time.Now().UnixNano()),
		changed:   make(chan struct{}),
	}
}

// Put stores reports and returns those that are newer than the known ones.
func (b *Board) Put(reports []Report) []Report {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var newer []Report
	for _, r := range reports {
		at := now.Add(-r.Age)
		if known, ok := b.reports[r.Replica]; ok && !at.After(known.readAt) {
			continue
		}
		newer = append(newer, r)
		b.reports[r.Replica] = boardEntry{
			report: r,
			readAt: at,
		}
		b.positions.Put(r.Replica, b.position+1)
	}
	if len(newer) == 0 {
		return nil
	}
	b.position++
	b.removeExpired(now)
	close(b.changed)
	b.changed = make(chan struct{})
	return newer
}

// removeExpired removes expired reports once in each sweepInterval; the caller holds the lock.
func (b *Board) removeExpired(now time.Time) {
	if now.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = now
	for id, e := range b.reports {
		if e.isExpired(now) {
			delete(b.reports, id)
			b.positions.Delete(id)
		}
	}
}

// Examined returns how many reports were looked at for all answers.
func (b *Board) Examined() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.positions.Examined()
}

// Since returns the reports stored after a position, of one failure domain or of
// all if failureDomain is empty. If there are none, it waits up to wait for the
// first. A position outside the range of this board returns all reports at once.
func (b *Board) Since(ctx context.Context, failureDomain string, position uint64, wait time.Duration) Answer {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		answer, changed := b.since(failureDomain, position)
		if len(answer.Reports) > 0 {
			return answer
		}
		position = answer.Position
		select {
		case <-changed:
		case <-timeout.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}

func (b *Board) since(failureDomain string, position uint64) (Answer, <-chan struct{}) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if position > b.position {
		position = 0
	}
	answer := Answer{
		Position: b.position,
	}
	for id := range b.positions.After(position) {
		e := b.reports[id]
		if e.isExpired(now) || failureDomain != "" && e.report.FailureDomain != failureDomain {
			continue
		}
		r := e.report
		r.Age = now.Sub(e.readAt)
		answer.Reports = append(answer.Reports, r)
	}
	return answer, b.changed
}
