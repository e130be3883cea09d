package replica

import (
	"net/http"
	"strconv"
	"time"
)

// Condition is the trouble that a replica is in and that its answers name.
type Condition struct {
	// Slots is the number of requests that it takes at once; zero means any number.
	Slots int
	// IsBrittle lets the replica say that it fails if it rejects more than MaxRejections
	// requests in a second, and Fails lets it do so.
	IsBrittle     bool
	MaxRejections int
	Fails         bool
	// RestFor is the rest that it asks for when it rejects a request; zero for none.
	RestFor time.Duration
	// IsLeaving lets it say that it leaves.
	IsLeaving bool
}

// failedFor is how long a replica that failed resets all connections.
const failedFor = 2 * time.Second

// SetCondition sets the condition from now on.
func (r *Replica) SetCondition(c Condition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.condition = c
}

// Failures returns how often the replica failed as it had to reject too much.
func (r *Replica) Failures() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures
}

// nameCondition names the condition in an answer. The caller holds the lock.
func (r *Replica) nameCondition(header http.Header) {
	if r.condition.IsBrittle {
		header.Set("Server-Brittle", strconv.Itoa(r.condition.MaxRejections))
	}
	if r.condition.IsLeaving {
		header.Set("Server-Leaving", "1")
	}
	if r.rateLimit > 0 {
		header.Set("Server-Limit", strconv.FormatFloat(r.rateLimit, 'g', -1, 64))
	}
}

// takeSlot takes a slot for a run, or makes the run one that is rejected or reset. The caller
// holds the lock.
func (r *Replica) takeSlot(run *Run, header http.Header) {
	now := run.Received
	switch {
	case now.Before(r.failedUntil):
		run.Behaviour = Behaviour{
			Reset: true,
		}
	case r.condition.Slots > 0 && r.running >= r.condition.Slots:
		run.Behaviour = Behaviour{
			NotRun: true,
		}
		run.Refused = true
		run.RestFor = r.condition.RestFor
		if run.RestFor > 0 {
			header.Set("Retry-After", strconv.FormatFloat(run.RestFor.Seconds(), 'g', -1, 64))
		}
		r.reject(now)
	}
	r.running++
}

// reject counts a rejection, under which a brittle replica may fail. The caller holds the lock.
func (r *Replica) reject(now time.Time) {
	recent := r.rejections[:0]
	for _, at := range r.rejections {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	r.rejections = append(recent, now)
	if r.condition.Fails && len(r.rejections) > r.condition.MaxRejections {
		r.failures++
		r.failedUntil = now.Add(failedFor)
		r.rejections = nil
	}
}

// freeSlot frees the slot of a run.
func (r *Replica) freeSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
