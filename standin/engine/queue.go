package engine

import (
	"context"
	"slices"
)

// waiter is an attempt that waits for a slot.
type waiter struct {
	priority int
	ready    chan struct{}
}

// acquire waits for a slot; lower priority numbers are served first.
func (e *Engine) acquire(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.freeSlots > 0 {
		e.freeSlots--
		e.mu.Unlock()
		return nil
	}
	w := &waiter{
		priority: priority,
		ready:    make(chan struct{}),
	}
	at, _ := slices.BinarySearchFunc(e.waiting, w, func(a, b *waiter) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, w)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		e.abandon(w)
		return ctx.Err()
	}
}

// abandon removes a waiter from the queue, or grants its slot to the next waiter
// if it has received one already.
func (e *Engine) abandon(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.waiting, w); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	e.grantSlot()
}

// release returns a slot.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grantSlot()
}

// grantSlot gives a slot to the next waiter, or frees it if none waits; the
// caller holds the lock.
func (e *Engine) grantSlot() {
	if len(e.waiting) == 0 {
		e.freeSlots++
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
