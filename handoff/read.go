package handoff

import (
	"time"

	"zinniamast/caller"
	"zinniamast/request"
)

const (
	// maxReadWait bounds how long a read waits for new tokens.
	maxReadWait = 2 * time.Second
	// maxHeldReadWait bounds the wait of a read that includes a held request. Its
	// Start call arrives within a round trip, and a caller would notice a longer
	// wait as a stall.
	maxHeldReadWait = 20 * time.Millisecond
)

// Want names an answer and the first token that its reader lacks.
type Want struct {
	ID           string
	Organisation string
	From         int
	Epoch        int
}

func newWant(query caller.Query) Want {
	return Want{
		ID:           query.ID,
		Organisation: query.Organisation,
		From:         query.From,
		Epoch:        query.Epoch,
	}
}

// ReadArgs asks for the new tokens of several answers at once, so that one call
// carries everything that one peer reads from another.
type ReadArgs struct {
	Wants []Want
	// Wait is how long to wait if no answer has progressed.
	Wait time.Duration
	// Delivered lists requests whose callers have received the whole answer.
	Delivered []string
}

// ReadReply holds the parts of the answers that have progressed.
type ReadReply struct {
	Parts []Part
}

// Part is the progress of one answer.
type Part struct {
	ID string
	// Lost reports that this node cannot continue the answer from the wanted token.
	Lost     bool
	Progress request.Progress
}

// Read is a long poll for the progress of answers.
func (r *Receiver) Read(args ReadArgs, reply *ReadReply) error {
	x := r.exchange
	for _, id := range args.Delivered {
		if q := x.config.Board.Requests.Get(id); q != nil {
			q.Watch(0).Close(true)
		}
	}
	wait := min(args.Wait, maxReadWait)
	ready := make(chan struct{}, 1)
	watchers := make([]*request.Watcher, 0, len(args.Wants))
	defer func() {
		for _, w := range watchers {
			w.Close(false)
		}
	}()
	for _, wanted := range args.Wants {
		// The held requests are checked first. A request is added to the running
		// ones before it is removed from the held ones, so this order always finds
		// it in one of them. In the opposite order a request that started between
		// the two checks would be found in neither and reported as lost.
		held := x.isHeld(wanted.ID)
		q := x.config.Board.Requests.Get(wanted.ID)
		if q == nil && held {
			wait = min(wait, maxHeldReadWait)
			continue
		}
		if q == nil || q.Call.Organisation != wanted.Organisation || !q.CanResume(wanted.Epoch, wanted.From) {
			reply.Parts = append(reply.Parts, Part{
				ID:   wanted.ID,
				Lost: true,
			})
			continue
		}
		watchers = append(watchers, q.WatchOn(wanted.From, ready))
	}
	timeout := time.After(wait)
	for {
		for _, w := range watchers {
			if part, progressed := pollWatcher(w); progressed {
				reply.Parts = append(reply.Parts, part)
			}
		}
		if len(reply.Parts) > 0 || args.Wait == 0 {
			return nil
		}
		select {
		case <-ready:
		case <-timeout:
			return nil
		case <-x.config.Context.Done():
			return nil
		}
	}
}

// pollWatcher returns the progress of one watcher and reports whether there is any.
func pollWatcher(w *request.Watcher) (Part, bool) {
	part := Part{
		ID: w.Request(),
	}
	w.Poll(&part.Progress)
	return part, len(part.Progress.Ends) > 0 || part.Progress.Ended()
}

// HeldCount returns how many held requests wait here for their Start call.
func (x *Exchange) HeldCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.held)
}

// isHeld reports whether a request waits here for its Start call.
func (x *Exchange) isHeld(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.held[id]
	return ok
}
