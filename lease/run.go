package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"zinniamast"
)

// Run competes for the lease and renews it until ctx ends; then it releases it.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := l.round(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	l.release(context.WithoutCancel(ctx))
}

// round does what is due and returns how long nothing is due.
func (l *Lease) round(ctx context.Context) time.Duration {
	l.mu.Lock()
	watching := l.machine.Is(stateWatching)
	l.mu.Unlock()
	if watching {
		return l.watch(ctx)
	}
	if l.renew(ctx) {
		return l.jitter(l.config.Term / renewShare)
	}
	return l.jitter(l.config.Term / againShare)
}

// jitter returns between 3/4 and 5/4 of d, so that nodes do not call together.
func (l *Lease) jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// watch reads the lease and takes it if it is free. The read comes before each
// write, so that of many candidates one writes and the others see it.
func (l *Lease) watch(ctx context.Context) time.Duration {
	rank := 0
	if l.config.Rank != nil {
		rank = l.config.Rank()
	}
	poll := l.jitter(l.config.Term/pollShare) * time.Duration(paceOf(rank))
	ours, err := l.read(ctx)
	if err != nil {
		return poll
	}
	if ours {
		l.step(eventTake)
		return 0
	}
	free, wait := l.free(l.config.Now())
	switch {
	case !free && rank < firstRanks:
		return min(poll, max(wait, time.Millisecond))
	case !free:
		// Each look finds a renewal and a whole term to wait for; a candidate that
		// came back for its end would look once a term, whatever its pace.
		return poll
	}
	l.take(ctx)
	return l.jitter(l.config.Term / renewShare)
}

// paceOf is how many times as rarely as the first a candidate looks.
//
// Load: with 91 candidates that look alike the table is read 23 times a second
// for a holder that is well. So paced it is read 3.3 times (measured in virtual
// time with a term of 3.5 s), and the sum grows with the logarithm of the
// candidates only. The price: where the first three are dead together, the next
// one needs two looks, 5 to 10 s, to find that the lease is free.
func paceOf(rank int) int {
	if rank < firstRanks {
		return 1
	}
	return min(rank, lastPace)
}

// read observes the table and reports whether the record is ours.
func (l *Lease) read(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Term/renewShare)
	defer cancel()
	item, err := l.config.Table.Get(ctx, l.key())
	if err != nil && !errors.Is(err, zinniamast.ErrNotFound) {
		return false, err
	}
	return l.observe(item, l.config.Now())
}

// take writes a new holder with the next fencing number.
func (l *Lease) take(ctx context.Context) {
	l.mu.Lock()
	next := record{
		Holder:  l.config.Holder,
		Session: l.session,
		Fence:   l.record.Fence + 1,
		TermMS:  l.config.Term.Milliseconds(),
		Former:  l.followed(l.config.Now()),
	}
	l.patience = rand.N(l.config.Term / 4)
	l.mu.Unlock()
	if l.send(ctx, next) == nil {
		l.step(eventTake)
	}
}

// renew writes the same holder again and reports whether that stands. What its answer leaves open the next
// round reads: our own token there means that the renewal stood.
func (l *Lease) renew(ctx context.Context) bool {
	l.mu.Lock()
	same := l.record
	same.Former = l.aged(l.config.Now())
	l.mu.Unlock()
	err := l.send(ctx, same)
	if err == nil {
		l.step(eventTake)
		return true
	}
	ours, readErr := l.read(ctx)
	if readErr == nil && !ours && l.foreign() {
		l.step(eventLose)
		return false
	}
	if _, err := l.Check(0); err != nil {
		l.step(eventLapse)
	}
	return false
}

// foreign says whether the record seen last is another's.
func (l *Lease) foreign() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Session != l.session
}

// send writes within a part of the term, so that a hanging table leaves time to try again.
func (l *Lease) send(ctx context.Context, r record) error {
	ctx, cancel := context.WithTimeout(ctx, l.config.Term/renewShare)
	defer cancel()
	return l.write(ctx, r)
}

// release lets the next holder take over at once. The local state goes first:
// nobody here may act once the release may have taken effect.
func (l *Lease) release(ctx context.Context) {
	l.mu.Lock()
	watching := l.machine.Is(stateWatching)
	released := record{
		Fence:  l.record.Fence,
		TermMS: l.record.TermMS,
		Former: l.followed(l.config.Now()),
	}
	l.mu.Unlock()
	if watching {
		return
	}
	l.step(eventLose)
	if err := l.send(ctx, released); err != nil {
		l.config.Logger.Info("lease not released, its term has to pass", "name", l.config.Name, "cause", err)
	}
}
