// Package duties is a stand-in for the calls to the platform that one node at a
// time has to make; it records the calls that it accepts.
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
	// err is the result of the next calls; nil accepts them.
	err error
}

var _ zinniamast.Duties = (*Duties)(nil)

// Fail makes calls fail with err from now on; nil accepts them again.
func (d *Duties) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = err
}

// Calls returns the accepted calls.
func (d *Duties) Calls() []Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Call(nil), d.calls...)
}

func (d *Duties) accept(c Call) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return d.err
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
