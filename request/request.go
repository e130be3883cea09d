// Package request holds the state of an accepted request and the tokens that it has
// produced so far, independently of the callers that are attached to it.
package request

import (
	"sync"
	"time"

	"github.com/looplab/fsm"

	"zinniamast"
)

// Class is a priority class.
type Class string

// The priority classes, highest priority first.
const (
	// ClassUrgent is for one-line answers for which a person waits.
	ClassUrgent Class = "urgent"
	// ClassNormal is for quick questions; it is the default.
	ClassNormal Class = "normal"
	// ClassBulk is for long answers, such as summaries and sheets.
	ClassBulk Class = "bulk"
)

// Priority returns the priority that is sent to engines; lower values run first.
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

// Call is the accepted call of a caller to a model.
type Call struct {
	// ID is the request ID, unique in the whole fleet.
	ID string `json:"id"`
	// Organisation is the organisation of the caller.
	Organisation string `json:"organisation"`
	// Key is the idempotency key, empty if the caller sent none.
	Key string `json:"key"`
	// Fingerprint is the hash of the organisation and the body.
	Fingerprint uint64 `json:"fingerprint"`
	// Model is the name of the model deployment.
	Model string `json:"model"`
	// Class is the priority class.
	Class Class `json:"class"`
	// Accepted is when the first node accepted the request.
	Accepted time.Time `json:"accepted"`
	// Deadline is the time after which the answer is of no use to the caller.
	Deadline time.Time `json:"deadline"`
	// Messages is the JSON array of messages.
	Messages []byte `json:"messages"`
	// PromptParts are hashes of the messages except the last one, which other prompts may
	// share.
	PromptParts []uint64 `json:"prompt_parts,omitempty"`
	// Parameters is a JSON object with the remaining fields of the body, such as the
	// sampling parameters.
	Parameters []byte `json:"parameters"`
	// MaxTokens is the maximum number of tokens of the answer, over all attempts.
	MaxTokens int `json:"max_tokens"`
	// PromptTokens is the estimated length of the prompt, used until the engine
	// reports the actual length.
	PromptTokens int `json:"prompt_tokens"`
}

// Usage holds the token counts of a complete answer.
type Usage struct {
	// Prompt is the number of prompt tokens.
	Prompt int `json:"prompt"`
	// Completion is the number of tokens of the answer.
	Completion int `json:"completion"`
	// Cached is the number of prompt tokens that came from a prefix cache.
	Cached int `json:"cached"`
	// Recomputed is the number of tokens that were computed again because an attempt
	// ended early.
	Recomputed int `json:"recomputed"`
}

// Request is one accepted request. Its methods are safe for concurrent use.
type Request struct {
	// Call is the accepted call; it does not change.
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
	// version is the software version of the replica that produced the first tokens.
	version string
	// resumedTokens is the number of tokens in the buffer when the current attempt
	// began.
	resumedTokens int
	watchers      []*Watcher
	attached      int
	detached      time.Time
	delivered     bool
	// epoch is incremented when the request continues from a copy that may be older
	// than the tokens its callers have received; restarted is the number of tokens
	// in that copy.
	epoch     int
	restarted int
	// hops is the number of times that the request was handed to another node.
	hops  int
	ended time.Time
	done  chan struct{}
}

// New returns a request in the state StateAccepted.
func New(call Call) *Request {
	return &Request{
		Call:    call,
		machine: newStateMachine(),
		done:    make(chan struct{}),
	}
}

// State returns the current state.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State(r.machine.Current())
}

// Done returns a channel that is closed when the request is complete, failed or
// moved.
func (r *Request) Done() <-chan struct{} { return r.done }

// Begin records the start of an attempt. It returns false if another attempt is
// running or the request has already ended.
func (r *Request) Begin(attempt, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !step(r.machine, EventDispatch) {
		return false
	}
	r.attempt = attempt
	r.upstream = upstream
	r.resumedTokens = len(r.ids)
	return true
}

// Resuming reports whether the current attempt continues from tokens of an earlier
// attempt and has not produced any itself. Its upstream may not have begun yet and
// may not hold the earlier tokens in its KV cache.
func (r *Request) Resuming() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Current() == string(StateRunning) && r.resumedTokens > 0 && len(r.ids) == r.resumedTokens
}

// Retry records that the attempt ended without a complete answer, with the number of
// tokens that have to be computed again.
func (r *Request) Retry(attempt string, recomputed int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt || !step(r.machine, EventRetry) {
		return false
	}
	r.usage.Recomputed += recomputed
	return true
}

// Append adds tokens of the current attempt at the given position and notifies the
// watchers. It rejects tokens of another attempt, repeated tokens and tokens after a
// gap, so that an answer is never a mixture of two attempts, and a late or
// misdirected chunk cannot reach the caller.
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
	r.notifyLocked()
	return true
}

// Finish records that the engine has reported the end of the answer.
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
	r.endLocked()
	return true
}

// Fail ends the request with a refusal.
func (r *Request) Fail(refusal *zinniamast.Refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !step(r.machine, EventFail) {
		return false
	}
	r.refusal = refusal
	r.endLocked()
	return true
}

// Move ends the request on this node and records the peer that has acknowledged
// holding it.
func (r *Request) Move(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !step(r.machine, EventMove) {
		return false
	}
	r.movedTo = peer
	r.endLocked()
	return true
}

// endLocked records the end of the request and closes Done; the caller holds r.mu.
func (r *Request) endLocked() {
	r.ended = time.Now()
	close(r.done)
	r.notifyLocked()
}

// notifyLocked signals new progress to every watcher; the caller holds r.mu.
func (r *Request) notifyLocked() {
	for _, w := range r.watchers {
		select {
		case w.ready <- struct{}{}:
		default:
		}
	}
}

// Snapshot is a serialisable copy of a request, from which a peer can continue it.
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
	Version   string              `json:"version"`
	Delivered bool                `json:"delivered"`
	Epoch     int                 `json:"epoch"`
	Restarted int                 `json:"restarted"`
	Hops      int                 `json:"hops"`
	Ended     time.Time           `json:"ended"`
}

// Snapshot returns a copy of the request.
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
		Version:   r.version,
		Delivered: r.delivered,
		Epoch:     r.epoch,
		Restarted: r.restarted,
		Hops:      r.hops,
		Ended:     r.ended,
	}
}

// Bytes returns the approximate size of the snapshot in memory.
func (s *Snapshot) Bytes() int {
	return len(s.Call.Messages) + len(s.Call.Parameters) + len(s.Text) + 4*len(s.IDs) + 4*len(s.Ends)
}

// Restore returns the request of a snapshot. A request that had not ended is ready
// for its next attempt.
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
	r.version = s.Version
	switch s.State {
	case StateWhole:
		r.finish = s.Finish
		r.machine.SetState(string(StateWhole))
		r.endLocked()
	case StateFailed:
		r.refusal = s.Refusal
		r.machine.SetState(string(StateFailed))
		r.endLocked()
	}
	return r
}

// Extend updates the snapshot to the state of a later one that holds only the tokens
// after the first from, as After returns it.
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

// After returns a copy of the snapshot without the first from tokens, for use with
// Extend. The copy has no body, and its ends remain offsets into the whole text.
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

// MarkStale marks the snapshot as possibly older than the tokens that callers have
// received, by starting a new epoch. Tokens that are produced from now on may differ
// from those that a caller holds, and an answer must not be a mixture of both, so a
// caller of an earlier epoch can resume only from a token that this copy contains.
func (s *Snapshot) MarkStale() {
	s.Epoch++
	s.Restarted = len(s.IDs)
}

// CanResume reports whether a caller that has received the first from tokens in the
// given epoch can resume from this copy.
func (r *Request) CanResume(epoch, from int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch == r.epoch {
		return from <= len(r.ids)
	}
	return from <= r.restarted
}

// Hops returns the number of times that the request was handed to another node.
func (r *Request) Hops() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hops
}

// Produced returns a copy of the IDs of the tokens produced so far.
func (r *Request) Produced() []int32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int32(nil), r.ids...)
}

// Progress returns the number of tokens in the buffer, and the upstream and the ID of
// the current attempt.
func (r *Request) Progress() (tokens int, upstream, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ids), r.upstream, r.attempt
}

// SetVersion records the software version of the replica that produces the first tokens. It
// has no effect once there are some: the answer goes on at the version that began it.
func (r *Request) SetVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ids) == 0 {
		r.version = version
	}
}

// Version returns the software version at which the answer goes on; false if it has not
// begun.
func (r *Request) Version() (version string, hasBegun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, len(r.ids) > 0
}

// Bytes returns the approximate size of the request in memory.
func (r *Request) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.Call.Messages) + len(r.Call.Parameters) + cap(r.text) + 4*cap(r.ids) + 4*cap(r.ends)
}

// Ended returns when the request ended, or the zero time, and whether a caller may
// still fetch its answer.
func (r *Request) Ended() (at time.Time, wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended, r.attached > 0 || r.Call.Key != "" || !r.delivered
}
