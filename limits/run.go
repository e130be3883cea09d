package limits

import (
	"context"
	"time"
)

// tickInterval is how often Run checks whether usage is due to be published.
const tickInterval = 250 * time.Millisecond

// Run publishes the organisations' usage to other nodes until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Tick()
		}
	}
}

// Tick publishes usage if it is due; Run calls it every tickInterval.
func (l *Limiter) Tick() { l.accounts.Tick() }
