package tablebudget

import (
	"context"
	"errors"
	"time"

	"zinniamast"
)

// Get implements zinniamast.Table.
func (p *Client) Get(ctx context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	return p.WithRole(RoleOther).Get(ctx, key)
}

// Query implements zinniamast.Table.
func (p *Client) Query(ctx context.Context, partition string, after string, limit int) ([]zinniamast.Item, error) {
	return p.WithRole(RoleOther).Query(ctx, partition, after, limit)
}

// Write implements zinniamast.Table. An error that is none of the root
// package's errors means that the outcome is unknown: the write may have taken
// effect or may still do so; see resolve.
func (p *Client) Write(ctx context.Context, writes []zinniamast.Write) error {
	return p.WithRole(RoleOther).Write(ctx, writes)
}

// WithRole returns a view of the Client whose requests are counted under the name.
func (p *Client) WithRole(name string) zinniamast.Table {
	return &roleView{
		client: p,
		name:   name,
	}
}

// RoleOther is the role of requests made without a role.
const RoleOther = "other"

type roleView struct {
	client *Client
	name   string
}

// Get implements zinniamast.Table.
func (r *roleView) Get(ctx context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	var item zinniamast.Item
	err := r.client.read(ctx, r.name, func(ctx context.Context) (err error) {
		item, err = r.client.config.Table.Get(ctx, key)
		return err
	})
	return item, err
}

// Query implements zinniamast.Table.
func (r *roleView) Query(ctx context.Context, partition string, after string, limit int) ([]zinniamast.Item, error) {
	var items []zinniamast.Item
	err := r.client.read(ctx, r.name, func(ctx context.Context) (err error) {
		items, err = r.client.config.Table.Query(ctx, partition, after, limit)
		return err
	})
	return items, err
}

// Write implements zinniamast.Table.
func (r *roleView) Write(ctx context.Context, writes []zinniamast.Write) error {
	return r.client.write(ctx, r.name, writes)
}

// read makes one rate-limited read.
func (p *Client) read(ctx context.Context, role string, f func(context.Context) error) error {
	if !p.breaker.isClosed() {
		p.metrics.countRefusal(refusedUnavailable)
		return zinniamast.ErrUnavailable
	}
	ctx, cancel := p.withDeadline(ctx)
	defer cancel()
	if p.reads.Wait(ctx) != nil {
		p.metrics.countRefusal(refusedBudget)
		return zinniamast.ErrThrottled
	}
	p.metrics.reads.WithLabelValues(role).Inc()
	return p.send(ctx, f)
}

// send makes one request within CallTimeout and records its result in the breaker.
func (p *Client) send(ctx context.Context, f func(context.Context) error) error {
	limited, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
	defer cancel()
	began := time.Now()
	err := f(limited)
	elapsed := time.Since(began)
	p.observeLatency(elapsed)
	switch {
	case !isOutcomeUnknown(err):
		p.breaker.recordSuccess()
	case ctx.Err() == nil || elapsed >= minCountedWait:
		p.breaker.recordFailure()
	}
	return err
}

// minCountedWait is the time after which a request counts as a failure although
// its caller's context ended. If such requests never counted, a table that
// hangs would not open the breaker for callers with deadlines below CallTimeout;
// if all counted, callers that cancel early would open it on a healthy table.
const minCountedWait = 200 * time.Millisecond

// observeLatency updates the smoothed latency; an update lost between two
// concurrent requests is harmless.
func (p *Client) observeLatency(elapsed time.Duration) {
	latency := p.latencyNanos.Load()
	p.latencyNanos.Store(latency + (int64(elapsed)-latency)/8)
}

// latency returns the smoothed latency of requests to the table.
func (p *Client) latency() time.Duration { return time.Duration(p.latencyNanos.Load()) }

// isOutcomeUnknown reports whether it is unknown after err if the request took effect.
func isOutcomeUnknown(err error) bool {
	return err != nil &&
		!errors.Is(err, zinniamast.ErrConflict) &&
		!errors.Is(err, zinniamast.ErrNotFound) &&
		!errors.Is(err, zinniamast.ErrThrottled) &&
		!errors.Is(err, zinniamast.ErrUnavailable)
}
