package request

import (
	"context"
	"time"

	"zinniamast"
)

// Watcher reads the answer of a request from a given token on. It is used by one
// goroutine. A slow watcher needs no additional memory, because all watchers read
// the same buffer.
type Watcher struct {
	request *Request
	ready   chan struct{}
	next    int
}

// Progress holds the tokens and state that a watcher has not read yet.
type Progress struct {
	// Index is the position of the first new token.
	Index int
	// Text is the text of the new tokens. Read reuses the slice that it is given.
	Text []byte
	// Ends are the offsets in Text at which the new tokens end.
	Ends []int32
	// State is the state of the request after these tokens.
	State State
	// Finish is the finish reason of a complete answer.
	Finish string
	// Usage holds the token counts of a complete answer.
	Usage Usage
	// Refusal is the refusal of a failed request.
	Refusal *zinniamast.Refusal
	// MovedTo is the peer that holds the request after it was moved.
	MovedTo string
	// Epoch is incremented when the request continues from a copy that may be older
	// than the tokens its callers have received.
	Epoch int
}

// Watch attaches a watcher that starts at the given token.
func (r *Request) Watch(from int) *Watcher {
	ready := make(chan struct{}, 1)
	ready <- struct{}{}
	return r.WatchOn(from, ready)
}

// WatchOn attaches a watcher that signals new progress on ready. The channel may be
// shared between watchers and must have a buffer for one signal.
func (r *Request) WatchOn(from int, ready chan struct{}) *Watcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := &Watcher{
		request: r,
		ready:   ready,
		next:    from,
	}
	r.watchers = append(r.watchers, w)
	r.attached++
	return w
}

// Close detaches the watcher. Delivered means that its caller has received the
// complete answer.
func (w *Watcher) Close(delivered bool) {
	r := w.request
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.watchers {
		if other == w {
			r.watchers = append(r.watchers[:i], r.watchers[i+1:]...)
			r.attached--
			r.detached = time.Now()
			break
		}
	}
	r.delivered = r.delivered || delivered
}

// Request returns the ID of the request that the watcher reads.
func (w *Watcher) Request() string { return w.request.Call.ID }

// Read waits for new progress and stores it in progress, whose slices it reuses.
func (w *Watcher) Read(ctx context.Context, progress *Progress) error {
	select {
	case <-w.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.Poll(progress)
	return nil
}

// Poll stores the current progress without waiting; it may hold no new tokens.
func (w *Watcher) Poll(progress *Progress) {
	r := w.request
	r.mu.Lock()
	defer r.mu.Unlock()
	progress.Index = w.next
	progress.Text = progress.Text[:0]
	progress.Ends = progress.Ends[:0]
	if w.next < len(r.ids) {
		start := int32(0)
		if w.next > 0 {
			start = r.ends[w.next-1]
		}
		progress.Text = append(progress.Text, r.text[start:]...)
		for _, end := range r.ends[w.next:] {
			progress.Ends = append(progress.Ends, end-start)
		}
		w.next = len(r.ids)
	}
	progress.State = State(r.machine.Current())
	progress.Finish = r.finish
	progress.Usage = r.usage
	progress.Refusal = r.refusal
	progress.MovedTo = r.movedTo
	progress.Epoch = r.epoch
}

// Ended reports whether this request produces no more tokens on this node.
func (p *Progress) Ended() bool {
	return p.State == StateWhole || p.State == StateFailed || p.State == StateMoved
}

// Orphaned reports whether no watcher is attached and no caller has received the
// complete answer.
func (r *Request) Orphaned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attached == 0 && !r.delivered
}

// OrphanedFor reports whether the request has been orphaned for at least the given
// time. A peer that reads on behalf of a caller detaches briefly between its calls,
// so that Orphaned may be true although the caller still waits.
func (r *Request) OrphanedFor(wait time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attached == 0 && !r.delivered && time.Since(r.detached) >= wait
}

// Reader reads an answer from this node or from the peer that holds the request.
type Reader interface {
	// Request returns the ID of the request that is read.
	Request() string
	// Read waits for new progress and stores it in progress, whose slices it reuses.
	Read(ctx context.Context, progress *Progress) error
	// Close detaches the reader. Delivered means that the caller has received the
	// complete answer.
	Close(delivered bool)
}

var _ Reader = (*Watcher)(nil)
