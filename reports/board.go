package reports

import (
	"context"
	"slices"
	"sync"
	"time"

	"zinniamast/canary"
	"zinniamast/demand"
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

// boardEntry is the newest report of a replica.
type boardEntry struct {
	report Report
	// readAt is the time of its reading by this node's clock.
	readAt time.Time
	// stored is the batch with which it was stored.
	stored *batch
}

func (e *boardEntry) isExpired(now time.Time) bool { return now.Sub(e.readAt) > reportExpiry }

// batch is what one call of Put stored.
type batch struct {
	position uint64
	storedAt time.Time
	// entries may contain some that were stored again since with a later batch; current is
	// the number of the others.
	entries []*boardEntry
	current int
}

// take adds an entry that may be part of an earlier batch.
func (s *batch) take(e *boardEntry) {
	if e.stored == s {
		return
	}
	if e.stored != nil {
		e.stored.current--
		if e.stored.current == 0 {
			e.stored.entries = nil
		}
	}
	e.stored = s
	s.current++
	s.entries = append(s.entries, e)
}

// Board holds the newest known report of each replica.
type Board struct {
	mu      sync.Mutex
	reports map[string]*boardEntry
	// batches holds those of the last reportExpiry by ascending position, so that an answer
	// looks only at what was stored after the query's position.
	batches  []*batch
	position uint64
	examined uint64
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
		reports:  map[string]*boardEntry{},
		position: uint64(time.Now().UnixNano()),
		changed:  make(chan struct{}),
	}
}

// Put stores reports and returns those that are newer than the known ones.
func (b *Board) Put(reports []Report) []Report {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	stored := &batch{
		position: b.position + 1,
		storedAt: now,
		entries:  make([]*boardEntry, 0, len(reports)),
	}
	// Nearly always all are newer, and none needs to be copied.
	newer := reports
	for i, r := range reports {
		at := now.Add(-r.Age)
		e, ok := b.reports[r.Replica]
		if ok && !at.After(e.readAt) {
			if len(newer) == len(reports) {
				newer = slices.Clip(reports[:i])
			}
			continue
		}
		if len(newer) < len(reports) {
			newer = append(newer, r)
		}
		if !ok {
			e = &boardEntry{}
			b.reports[r.Replica] = e
		}
		e.report, e.readAt = r, at
		stored.take(e)
	}
	if len(stored.entries) == 0 {
		return nil
	}
	b.position++
	b.batches = append(b.batches, stored)
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
		}
	}
	// A report is read before it is stored.
	b.batches = slices.DeleteFunc(b.batches, func(stored *batch) bool {
		return stored.current == 0 || now.Sub(stored.storedAt) > reportExpiry
	})
}

// Examined returns how many reports were looked at for all answers.
func (b *Board) Examined() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.examined
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
	first, count := len(b.batches), 0
	for ; first > 0 && b.batches[first-1].position > position; first-- {
		count += len(b.batches[first-1].entries)
	}
	b.examined += uint64(count)
	if failureDomain == "" {
		answer.Reports = make([]Report, 0, min(count, len(b.reports)))
	}
	for _, stored := range b.batches[first:] {
		for _, e := range stored.entries {
			if e.stored != stored || e.isExpired(now) || failureDomain != "" && e.report.FailureDomain != failureDomain {
				continue
			}
			r := e.report
			r.Age = now.Sub(e.readAt)
			answer.Reports = append(answer.Reports, r)
		}
	}
	return answer, b.changed
}
