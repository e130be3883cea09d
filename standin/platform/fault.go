package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"zinniamast"
	"zinniamast/config"
)

// The names of the services for which faults can be set.
const (
	ServiceTable   = "table"
	ServiceObjects = "objects"
	ServiceCloud   = "cloud"
	ServiceList    = "list"
	ServiceWeights = "weights"
)

// Errors that an HTTP caller sees as a broken connection.
var (
	// ErrDown means that the service is unreachable and the call had no effect.
	ErrDown = errors.New("stand-in: down")
	// ErrLost means that the write took effect but its answer was lost.
	ErrLost = errors.New("stand-in: answer lost")
)

// Fault is the set of faults of one service.
type Fault struct {
	// Down fails every call before it has an effect.
	Down bool `json:"down,omitempty"`
	// Slow delays every call.
	Slow config.Duration `json:"slow,omitempty"`
	// LoseAnswers is the number of next writes whose connection is broken after
	// they take effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Throttle refuses every call as throttled.
	Throttle bool `json:"throttle,omitempty"`
	// Stale answers every read with the state at the time the fault was set.
	Stale bool `json:"stale,omitempty"`
	// RefuseStarts lists the failure domains in which no instance can be started;
	// "*" means all.
	RefuseStarts []string `json:"refuse_starts,omitempty"`
}

// SetFault replaces the faults of one service.
func (p *Platform) SetFault(service string, fault Fault) error {
	g, ok := p.gates[service]
	if !ok {
		return fmt.Errorf("no service %q", service)
	}
	g.mu.Lock()
	changed := g.fault.Stale != fault.Stale
	g.fault = fault
	onStaleChange := g.onStaleChange
	g.mu.Unlock()
	if changed && onStaleChange != nil {
		onStaleChange(fault.Stale)
	}
	return nil
}

// currentFault returns the active faults of the service.
func (g *gate) currentFault() Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault
}

// admit applies the delays, faults and rate limit that precede the effect of a
// call.
func (g *gate) admit(ctx context.Context, limit *rate.Limiter, cost int) error {
	fault := g.currentFault()
	if wait := g.delay + time.Duration(fault.Slow); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if g.currentFault().Down {
		return ErrDown
	}
	if fault.Throttle || (limit != nil && !limit.AllowN(time.Now(), min(cost, limit.Burst()))) {
		g.mu.Lock()
		g.tally.throttled++
		g.mu.Unlock()
		return zinniamast.ErrThrottled
	}
	return nil
}

// admitRead counts one read and admits it.
func (g *gate) admitRead(ctx context.Context, limit *rate.Limiter) error {
	g.mu.Lock()
	g.tally.reads++
	g.mu.Unlock()
	return g.admit(ctx, limit, 1)
}

// admitWrite counts one write and admits it.
func (g *gate) admitWrite(ctx context.Context, limit *rate.Limiter, cost int) error {
	g.mu.Lock()
	g.tally.writes++
	g.mu.Unlock()
	return g.admit(ctx, limit, cost)
}

// completeWrite counts the items that a write changed and returns ErrLost if the
// answer is to be lost.
func (g *gate) completeWrite(items int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tally.items += uint64(items)
	if g.fault.LoseAnswers > 0 {
		g.fault.LoseAnswers--
		g.tally.lost++
		return ErrLost
	}
	return nil
}
