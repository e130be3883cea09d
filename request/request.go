// Package request holds the life of one accepted request and the tokens it
// has produced so far, whoever is attached to it.
package request

import (
	"sync"
	"time"

	"github.com/looplab/fsm"

	"zinniamast"
)

// Class is a priority class.
type Class string

// The priority classes, first served first.
const (
	// ClassUrgent is for one-line answers that a person waits for.
	ClassUrgent Class = "urgent"
	// ClassNormal is for quick questions; it is the default.
	ClassNormal Class = "normal"
	// ClassBulk is for long summaries and sheets.
	ClassBulk Class = "bulk"
)

// Priority returns the number engines order by; lower runs first.
func (c Class) Priority() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassBulk:
		return 2
	default:
		return 1
	}
}

// Call is what a caller asked of a model, as accepted.
type Call struct {
	// ID is unique to the request in the whole fleet.
	ID string `json:"id"`
	// Organisation is the caller's.
	Organisation string `json:"organisation"`
	// Key is the caller's idempotency key; empty if it gave none.
	Key string `json:"key"`
	// Fingerprint is the hash of the organisation and the body.
	Fingerprint uint64 `json:"fingerprint"`
	// Model is the model deployment.
	Model string `json:"model"`
	// Class is the priority class.
	Class Class `json:"class"`
	// Accepted is when the first node accepted the request.
	Accepted time.Time `json:"accepted"`
	// Deadline is when the answer is worthless.
	Deadline time.Time `json:"deadline"`
	// Messages is the JSON array of messages.
	Messages []byte `json:"messages"`
	// Parameters holds the remaining sampling fields as a JSON object.
	Parameters []byte `json:"parameters"`
	// MaxTokens bounds the whole answer.
	MaxTokens int `json:"max_tokens"`
	// PromptTokens is an estimate of the prompt's length until the engine has told it.
	PromptTokens int `json:"prompt_tokens"`
}

// Usage counts tokens of a whole answer.
type Usage struct {
	// Prompt is the prompt's length.
	Prompt int `json:"prompt"`
	// Completion is the answer's length.
	Completion int `json:"completion"`
	// Cached is how many prompt tokens came from a prefix cache.
	Cached int `json:"cached"`
	// Recomputed is how many tokens were computed again because an attempt ended early.
	Recomputed int `json:"recomputed"`
}

// Request is one accepted request. Its methods are safe for concurrent use.
type Request struct {
	// Call is what was asked; it does not change.
	Call Call

	mu       sync.Mutex
	machine  *fsm.FSM
	ids      []int32
	text     []byte
	ends     []int32
	finish   string
	usage    Usage
	refusal  *zinniamast.Refusal
	movedTo  string
	upstream string
	attempt  string
	// resumed is how many tokens stood when the attempt began.
	resumed   int
	watchers  []*Watcher
	attached  int
	detached  time.Time
	delivered bool
	// epoch rises when the request goes on from an older copy than its callers
	// may have seen; restarted is how many tokens that copy had.
	epoch     int
	restarted int
	// hops is how often the request was handed from node to node.
	hops  int
	ended time.Time
	done  chan struct{}
}

// New returns an accepted request.
func New(call Call) *Request {
	return &Request{
		Call:    call,
		machine: newMachine(),
		done:    make(chan struct{}),
	}
}

// State returns the current state.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State(r.machine.Current())
}

// Done is closed when the request is whole, failed or moved.
func (r *Request) Done() <-chan struct{} { return r.done }

// Begin records an attempt; it reports false if the request has already ended.
func (r *Request) Begin(attempt, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !step(r.machine, EventDispatch) {
		return false
	}
	r.attempt = attempt
	r.upstream = upstream
	r.resumed = len(r.ids)
	return true
}

// Resuming says whether the attempt is to go on from tokens of an earlier one and
// has given none yet: its upstream may not have begun, and may hold no cache of them.
func (r *Request) Resuming() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Current() == string(StateRunning) && r.resumed > 0 && len(r.ids) == r.resumed
}

// Retry records that the attempt ended without a whole answer.
func (r *Request) Retry(attempt string, recomputed int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt || !step(r.machine, EventRetry) {
		return false
	}
	r.usage.Recomputed += recomputed
	return true
}

// Append adds tokens of the current attempt at the given position and wakes
// the watchers. Tokens of another attempt, repeated tokens and tokens past a
// gap are refused: an answer is never a mixture of two attempts, and a late
// or crossed chunk cannot reach the caller.
func (r *Request) Append(attempt string, index int, ids []int32, text []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt || index != len(r.ids) || r.machine.Current() != string(StateRunning) {
		return false
	}
	r.ids = append(r.ids, ids...)
	r.text = append(r.text, text...)
	for range ids {
		r.ends = append(r.ends, int32(len(r.text)))
	}
	r.wake()
	return true
}

// Finish records the engine's end mark.
func (r *Request) Finish(attempt, finish string, usage Usage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt || !step(r.machine, EventFinish) {
		return false
	}
	r.finish = finish
	usage.Completion = len(r.ids)
	usage.Recomputed = r.usage.Recomputed
	r.usage = usage
	r.end()
	return true
}

// Fail ends the request in a refusal.
func (r *Request) Fail(refusal *zinniamast.Refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !step(r.machine, EventFail) {
		return false
	}
	r.refusal = refusal
	r.end()
	return true
}

// Move records the peer that has acknowledged holding the request.
func (r *Request) Move(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !step(r.machine, EventMove) {
		return false
	}
	r.movedTo = peer
	r.end()
	return true
}

// end closes the request; the caller holds the lock.
func (r *Request) end() {
	r.ended = time.Now()
	close(r.done)
	r.wake()
}

// wake tells every watcher that something is new; the caller holds the lock.
func (r *Request) wake() {
	for _, w := range r.watchers {
		select {
		case w.ready <- struct{}{}:
		default:
		}
	}
}

// Snapshot is a plain copy of a request, enough for a peer to go on with it.
type Snapshot struct {
	Call      Call                `json:"call"`
	State     State               `json:"state"`
	IDs       []int32             `json:"ids"`
	Text      []byte              `json:"text"`
	Ends      []int32             `json:"ends"`
	Finish    string              `json:"finish"`
	Usage     Usage               `json:"usage"`
	Refusal   *zinniamast.Refusal `json:"refusal"`
	MovedTo   string              `json:"moved_to"`
	Upstream  string              `json:"upstream"`
	Attempt   string              `json:"attempt"`
	Delivered bool                `json:"delivered"`
	Epoch     int                 `json:"epoch"`
	Restarted int                 `json:"restarted"`
	Hops      int                 `json:"hops"`
	Ended     time.Time           `json:"ended"`
}

// Snapshot copies the request.
func (r *Request) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{
		Call:      r.Call,
		State:     State(r.machine.Current()),
		IDs:       append([]int32(nil), r.ids...),
		Text:      append([]byte(nil), r.text...),
		Ends:      append([]int32(nil), r.ends...),
		Finish:    r.finish,
		Usage:     r.usage,
		Refusal:   r.refusal,
		MovedTo:   r.movedTo,
		Upstream:  r.upstream,
		Attempt:   r.attempt,
		Delivered: r.delivered,
		Epoch:     r.epoch,
		Restarted: r.restarted,
		Hops:      r.hops,
		Ended:     r.ended,
	}
}

// Bytes returns the memory that the snapshot holds, about.
func (s *Snapshot) Bytes() int {
	return len(s.Call.Messages) + len(s.Call.Parameters) + len(s.Text) + 4*len(s.IDs) + 4*len(s.Ends)
}

// Restore returns the request that a snapshot describes, ready for the next
// attempt if it had not ended.
func Restore(s Snapshot) *Request {
	r := New(s.Call)
	r.ids = s.IDs
	r.text = s.Text
	r.ends = s.Ends
	r.usage = s.Usage
	r.epoch = s.Epoch
	r.restarted = s.Restarted
	r.hops = s.Hops
	r.delivered = s.Delivered
	switch s.State {
	case StateWhole:
		r.finish = s.Finish
		r.machine.SetState(string(StateWhole))
		r.end()
	case StateFailed:
		r.refusal = s.Refusal
		r.machine.SetState(string(StateFailed))
		r.end()
	}
	return r
}

// Extend adds to a snapshot the tokens that a later one has beyond it.
func (s *Snapshot) Extend(later Snapshot, from int) {
	s.IDs = append(s.IDs[:from], later.IDs...)
	start := int32(0)
	if from > 0 {
		start = s.Ends[from-1]
	}
	s.Text = append(s.Text[:start], later.Text...)
	s.Ends = append(s.Ends[:from], later.Ends...)
	later.IDs, later.Text, later.Ends = s.IDs, s.Text, s.Ends
	later.Call = s.Call
	*s = later
}

// After returns what Extend needs beyond the first tokens: no body, and ends
// that still count from the start of the whole text.
func (s Snapshot) After(from int) Snapshot {
	start := int32(0)
	if from > 0 {
		start = s.Ends[from-1]
	}
	s.Call.Messages = nil
	s.Call.Parameters = nil
	s.IDs = s.IDs[from:]
	s.Text = s.Text[start:]
	s.Ends = s.Ends[from:]
	return s
}

// Older marks a snapshot as possibly older than what callers have seen.
// Tokens produced after it may differ from those a caller holds, and an answer
// must not be a mixture; a caller from an earlier epoch can go on only from a
// token that this copy has.
func (s *Snapshot) Older() {
	s.Epoch++
	s.Restarted = len(s.IDs)
}

// Accepts says whether a caller that holds tokens of the given epoch can go on here.
func (r *Request) Accepts(epoch, from int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		return from <= len(r.ids)
	}
	return from <= r.restarted
}

// Hops returns how often the request was handed from node to node.
func (r *Request) Hops() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hops
}

// Produced returns copies of the token identifiers produced so far.
func (r *Request) Produced() []int32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int32(nil), r.ids...)
}

// Progress returns how many tokens stand in the buffer and where the current attempt runs.
func (r *Request) Progress() (tokens int, upstream, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ids), r.upstream, r.attempt
}

// Bytes returns the memory that the request holds, about.
func (r *Request) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.Call.Messages) + len(r.Call.Parameters) + cap(r.text) + 4*cap(r.ids) + 4*cap(r.ends)
}

// Ended returns when the request ended, or the zero time, and whether anybody
// may still come for its answer.
func (r *Request) Ended() (at time.Time, wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended, r.attached > 0 || r.Call.Key != "" || !r.delivered
}
