package handoff

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"zinniamast/caller"
	"zinniamast/request"
)

// Errors that end the reading of an answer at a peer.
var (
	// ErrLost means that the peer cannot continue the answer.
	ErrLost = merry.Sentinel("peer does not hold the answer")
	// ErrUnreachable means that the peer has not answered for relaySilenceTimeout.
	ErrUnreachable = merry.Sentinel("peer holding the answer is unreachable")
)

const (
	// relayPollWait is how long one poll waits at the peer for new tokens.
	relayPollWait = time.Second
	// relayCallMargin is the time that a poll may take in addition to its wait.
	relayCallMargin = time.Second
	// relaySilenceTimeout is how long a peer may fail to answer before its readers fail.
	relaySilenceTimeout = 3 * time.Second
	// relayJoinDelay lets readers that are added together join one poll. A
	// cancelled poll still waits at the peer, and the peer bounds the calls of one
	// connection, so polls must not be cancelled for every single reader.
	relayJoinDelay = 20 * time.Millisecond
	// relayRetryDelay is the wait before a failed call is retried.
	relayRetryDelay = 50 * time.Millisecond
)

// relay reads all answers that callers of this node follow at one peer, with one
// call at a time. It runs only while it has readers or deliveries to report.
type relay struct {
	exchange *Exchange
	peer     string

	mu        sync.Mutex
	readers   map[*remoteReader]bool
	delivered []string
	running   bool
	cancel    context.CancelFunc
}

// remoteReader implements request.Reader for an answer at a peer.
type remoteReader struct {
	relay *relay
	query caller.Query
	ready chan struct{}

	// The relay's lock guards the fields below.
	parts []request.Progress
	err   error
}

// relayTo returns the relay of a peer.
func (x *Exchange) relayTo(peer string) *relay {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.relays[peer]
	if !ok {
		l = &relay{
			exchange: x,
			peer:     peer,
			readers:  map[*remoteReader]bool{},
		}
		x.relays[peer] = l
	}
	return l
}

// addReader adds a reader and starts the relay if it is not running.
func (l *relay) addReader(query caller.Query) *remoteReader {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &remoteReader{
		relay: l,
		query: query,
		ready: make(chan struct{}, 1),
	}
	l.readers[r] = true
	if l.cancel != nil {
		// The poll in flight does not include this reader.
		l.cancel()
	}
	if !l.running {
		l.running = true
		go l.run()
	}
	return r
}

// run polls until no readers and no deliveries remain.
func (l *relay) run() {
	lastReply := time.Now()
	for {
		ctx, args, ok := l.nextPoll()
		if !ok {
			return
		}
		var reply ReadReply
		err := l.exchange.config.Transport.Call(ctx, l.peer, ServiceName+".Read", args, &reply)
		interrupted := ctx.Err() == context.Canceled
		l.cancel()
		switch {
		case err == nil:
			lastReply = time.Now()
			l.distribute(reply.Parts)
		case interrupted:
			l.requeueDelivered(args.Delivered)
			time.Sleep(relayJoinDelay)
		case time.Since(lastReply) > relaySilenceTimeout:
			l.failUnreachable()
			lastReply = time.Now()
		default:
			l.requeueDelivered(args.Delivered)
			time.Sleep(relayRetryDelay)
		}
	}
}

// requeueDelivered queues again the deliveries that a failed poll was to report.
func (l *relay) requeueDelivered(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delivered = append(l.delivered, ids...)
}

// nextPoll returns the context and the arguments of the next poll, or false if
// the relay has nothing more to do.
func (l *relay) nextPoll() (context.Context, ReadArgs, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := l.exchange.config.Context.Err() != nil
	if ended {
		l.failReaders(ErrUnreachable)
	}
	if ended || len(l.readers) == 0 && len(l.delivered) == 0 {
		l.running = false
		return nil, ReadArgs{}, false
	}
	args := ReadArgs{
		Wait:      relayPollWait,
		Delivered: l.delivered,
	}
	if len(l.readers) == 0 {
		args.Wait = 0
	}
	l.delivered = nil
	for r := range l.readers {
		args.Wants = append(args.Wants, newWant(r.query))
	}
	ctx, cancel := context.WithTimeout(l.exchange.config.Context, relayPollWait+relayCallMargin)
	l.cancel = cancel
	return ctx, args, true
}

// distribute passes each part to the readers of its answer. Several callers may
// follow one answer from different tokens; a reader ignores a part that does not
// begin at the token it needs next.
func (l *relay) distribute(parts []Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		for r := range l.readers {
			if r.query.ID != part.ID {
				continue
			}
			r.accept(part)
		}
	}
}

// accept stores a part for the reader; the caller holds the relay's lock.
func (r *remoteReader) accept(part Part) {
	switch {
	case part.Lost:
		r.err = ErrLost
		delete(r.relay.readers, r)
	case part.Progress.Index != r.query.From:
		return
	default:
		r.parts = append(r.parts, part.Progress)
		r.query.From += len(part.Progress.Ends)
		r.query.Epoch = part.Progress.Epoch
		if part.Progress.Ended() {
			delete(r.relay.readers, r)
		}
	}
	r.signal()
}

func (r *remoteReader) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// failUnreachable fails all readers because the peer does not answer.
func (l *relay) failUnreachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failReaders(ErrUnreachable)
}

// failReaders ends all readers with an error and drops the queued deliveries;
// the caller holds the lock.
func (l *relay) failReaders(err error) {
	for r := range l.readers {
		r.err = err
		r.signal()
	}
	clear(l.readers)
	l.delivered = nil
}

// Request implements request.Reader.
func (r *remoteReader) Request() string { return r.query.ID }

// Read implements request.Reader.
func (r *remoteReader) Read(ctx context.Context, progress *request.Progress) error {
	for {
		if done, err := r.popPart(progress); done {
			return err
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// popPart removes the oldest part, if there is one, and reports whether the read
// is done.
func (r *remoteReader) popPart(progress *request.Progress) (bool, error) {
	r.relay.mu.Lock()
	defer r.relay.mu.Unlock()
	if len(r.parts) > 0 {
		*progress = r.parts[0]
		r.parts = r.parts[1:]
		return true, nil
	}
	return r.err != nil, r.err
}

// Close implements request.Reader.
func (r *remoteReader) Close(delivered bool) {
	l := r.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.readers, r)
	if !delivered {
		return
	}
	l.delivered = append(l.delivered, r.query.ID)
	if !l.running {
		l.running = true
		go l.run()
	}
}
