package service

import (
	"strings"
	"sync"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The faults that a stand-in can inject.
const (
	// Refuse answers that the request was not accepted; it does not run.
	Refuse Kind = "refuse"
	// Leave refuses the request as a leaving replica does.
	Leave Kind = "leave"
	// Hang neither runs nor answers the request until the caller disconnects.
	Hang Kind = "hang"
	// ResetBefore breaks the connection before the request runs.
	ResetBefore Kind = "reset_before"
	// ResetAfter runs the request and breaks the connection before any answer.
	ResetAfter Kind = "reset_after"
	// CutShort runs the request and breaks the connection in the middle of the answer.
	CutShort Kind = "cut_short"
	// Cross runs the request and answers with the ID of another attempt.
	Cross Kind = "cross"
	// Slow waits before it runs the request, and runs it even if the caller has
	// disconnected.
	Slow Kind = "slow"
	// Fail runs the request and answers 500.
	Fail Kind = "fail"
	// Crash crashes the replica.
	Crash Kind = "crash"
)

// Fault is one active fault.
type Fault struct {
	// Kind is the kind of the fault.
	Kind Kind `json:"kind"`
	// Times is the number of requests that it affects; zero means all.
	Times int `json:"times"`
	// Path is a prefix of the paths that it affects; empty means all.
	Path string `json:"path"`
	// Body is a text that the affected bodies contain; empty means all.
	Body string `json:"body"`
	// Wait is the delay of Slow, in milliseconds.
	Wait int `json:"wait_ms"`
}

// wait returns Wait as a duration.
func (f *Fault) wait() time.Duration { return time.Duration(f.Wait) * time.Millisecond }

// faults holds the active faults.
type faults struct {
	mu     sync.Mutex
	active []Fault
}

// set replaces all faults.
func (f *faults) set(active []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append([]Fault(nil), active...)
}

// consume returns the first fault that matches a request and uses up one of its
// times.
func (f *faults) consume(path, body string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.active {
		fault := &f.active[i]
		if fault.Times < 0 || !strings.HasPrefix(path, fault.Path) || !strings.Contains(body, fault.Body) {
			continue
		}
		if fault.Times > 0 {
			fault.Times--
			if fault.Times == 0 {
				fault.Times = -1
			}
		}
		return *fault
	}
	return Fault{}
}
