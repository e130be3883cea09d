package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"zinniamast"
)

// Run competes for the lease and renews it until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := l.runOnce(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	l.release(context.WithoutCancel(ctx))
}

// runOnce polls or renews the lease once and returns the delay until the next round.
func (l *Lease) runOnce(ctx context.Context) time.Duration {
	l.mu.Lock()
	isWatching := l.states.Is(stateWatching)
	l.mu.Unlock()
	if isWatching {
		return l.watch(ctx)
	}
	if l.renew(ctx) {
		return l.jitter(l.config.Term / renewDivisor)
	}
	return l.jitter(l.config.Term / retryDivisor)
}

// jitter returns a random duration between 3/4 and 5/4 of d, so that nodes do not
// call the table at the same time.
func (l *Lease) jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// watch reads the lease, acquires it if it is available, and returns the delay
// until the next poll. Each write follows a read, so that of many candidates one
// writes and the others observe the new holder.
func (l *Lease) watch(ctx context.Context) time.Duration {
	rank := 0
	if l.config.Rank != nil {
		rank = l.config.Rank()
	}
	poll := l.jitter(l.config.Term/pollDivisor) * time.Duration(pollFactor(rank))
	isOurs, err := l.read(ctx)
	if err != nil {
		return poll
	}
	if isOurs {
		l.transition(eventTake)
		return 0
	}
	available, wait := l.canAcquire(l.config.Now())
	switch {
	case !available && rank < fullRateRanks:
		return min(poll, max(wait, time.Millisecond))
	case !available:
		// Each poll finds a new renewal and a whole term to wait for. A candidate
		// that polled at the end of that wait would poll once a term, whatever its
		// rank.
		return poll
	}
	l.acquire(ctx)
	return l.jitter(l.config.Term / renewDivisor)
}

// pollFactor returns the factor by which a candidate of the given rank polls more
// rarely than the first one.
//
// With a term of 3.5 s, 91 candidates that all poll at the same rate read the
// table 23 times a second while the holder is healthy. With intervals by rank
// they read it 3.3 times a second, and the rate grows only with the logarithm of
// the number of candidates. In return, if the first three candidates fail
// together, the next one needs two polls, 5 to 10 s, to find that the lease is
// available.
func pollFactor(rank int) int {
	if rank < fullRateRanks {
		return 1
	}
	return min(rank, maxPollFactor)
}

// read reads the lease from the table and reports whether its record is one of
// this session's writes.
func (l *Lease) read(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Term/renewDivisor)
	defer cancel()
	item, err := l.config.Table.Get(ctx, l.key())
	if err != nil && !errors.Is(err, zinniamast.ErrNotFound) {
		return false, err
	}
	return l.observe(item, l.config.Now())
}

// acquire writes this node as the new holder, with the next fencing number.
func (l *Lease) acquire(ctx context.Context) {
	l.mu.Lock()
	next := record{
		Holder:  l.config.Holder,
		Session: l.session,
		Fence:   l.record.Fence + 1,
		TermMS:  l.config.Term.Milliseconds(),
		Former:  l.recentHoldersWithLast(l.config.Now()),
	}
	l.takeoverDelay = rand.N(l.config.Term / 4)
	l.mu.Unlock()
	if l.writeWithTimeout(ctx, next) == nil {
		l.transition(eventTake)
	}
}

// renew writes the same holder again and reports whether the write succeeded.
// After an error it reads the item back: this node's own token there means that
// the renewal took effect.
func (l *Lease) renew(ctx context.Context) bool {
	l.mu.Lock()
	same := l.record
	same.Former = l.recentHolders(l.config.Now())
	l.mu.Unlock()
	err := l.writeWithTimeout(ctx, same)
	if err == nil {
		l.transition(eventTake)
		return true
	}
	isOurs, readErr := l.read(ctx)
	if readErr == nil && !isOurs && l.isOtherSession() {
		l.transition(eventLose)
		return false
	}
	if _, err := l.Check(0); err != nil {
		l.transition(eventLapse)
	}
	return false
}

// isOtherSession reports whether the record observed last is not of this session.
func (l *Lease) isOtherSession() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Session != l.session
}

// writeWithTimeout writes a record with a timeout that is a fraction of the term, so
// that time for a retry remains if the table does not answer.
func (l *Lease) writeWithTimeout(ctx context.Context, r record) error {
	ctx, cancel := context.WithTimeout(ctx, l.config.Term/renewDivisor)
	defer cancel()
	return l.write(ctx, r)
}

// release lets the next holder take over at once. The local state changes before
// the write is sent, since this node must not act once the release may have taken
// effect.
func (l *Lease) release(ctx context.Context) {
	l.mu.Lock()
	isWatching := l.states.Is(stateWatching)
	released := record{
		Fence:  l.record.Fence,
		TermMS: l.record.TermMS,
		Former: l.recentHoldersWithLast(l.config.Now()),
	}
	l.mu.Unlock()
	if isWatching {
		return
	}
	l.transition(eventLose)
	if err := l.writeWithTimeout(ctx, released); err != nil {
		l.config.Logger.Info("releasing lease failed, its term has to expire", "name", l.config.Name, "cause", err)
	}
}
