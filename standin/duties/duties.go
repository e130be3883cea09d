// Package duties is a stand-in for the platform's calls that one node at a time
// owes: it keeps what it accepted.
package duties

import (
	"context"
	"sync"

	"zinniamast"
)

// Call is one accepted call.
type Call struct {
	Fence  uint64
	Report *zinniamast.UsageReport
	Order  *zinniamast.ScaleOrder
}

// Duties is the stand-in.
type Duties struct {
	mu    sync.Mutex
	calls []Call
	// fails is what the next calls answer; nil accepts.
	fails error
}

var _ zinniamast.Duties = (*Duties)(nil)

// Fail lets calls fail from now on; nil accepts again.
func (d *Duties) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = err
}

// Calls returns what was accepted.
func (d *Duties) Calls() []Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Call(nil), d.calls...)
}

func (d *Duties) accept(c Call) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fails != nil {
		return d.fails
	}
	d.calls = append(d.calls, c)
	return nil
}

// Report implements zinniamast.Duties.
func (d *Duties) Report(_ context.Context, fence uint64, report zinniamast.UsageReport) error {
	return d.accept(Call{
		Fence:  fence,
		Report: &report,
	})
}

// Scale implements zinniamast.Duties.
func (d *Duties) Scale(_ context.Context, fence uint64, order zinniamast.ScaleOrder) error {
	return d.accept(Call{
		Fence: fence,
		Order: &order,
	})
}
