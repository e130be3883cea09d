package soak

import (
	"context"
	"testing"
	"time"

	"zinniamast/standin/replica"
)

// Config says what is soaked.
type Config struct {
	// Seed draws the faults and the callers' choices.
	Seed uint64
	// Instances is how many entry instances there are.
	Instances int
	// Faults is for how long faults are injected.
	Faults time.Duration
}

// retries is what a deployment allows of repeated sends, in each window of the settings.
type retries struct {
	ratio float64
	slack int
}

// retries is plenty with half of the seeds. With the others some replicas that
// misbehave use it up.
func (c Config) retries() retries {
	if c.Seed/2%2 == 0 {
		return retries{
			ratio: 0.2,
			slack: 58,
		}
	}
	return retries{
		ratio: 0.01,
		slack: 4,
	}
}

const (
	// recovery is how long after the last fault the system is given.
	recovery = 6 * time.Second
	// calm is for how long callers send after it.
	calm = 2 * time.Second
)

// Run soaks a deployment and checks it. With every other seed all instances lose
// power after the last fault. The second summary is that of the calm seconds
// after all faults have ended.
func Run(tb testing.TB, c Config) (faulty, calmed Summary) {
	tb.Helper()
	d := newDeployment(tb, c)
	faulty = d.soak(c.Seed, func() []string {
		ctx, cancel := context.WithTimeout(context.Background(), c.Faults)
		defer cancel()
		return d.misbehave(ctx, c.Seed)
	})
	if c.Seed%2 == 0 {
		d.losePower()
	}
	time.Sleep(recovery)
	before := map[*replica.Replica]int{}
	for _, r := range d.left {
		before[r] = len(r.Runs())
	}
	calmed = d.soak(c.Seed+1, func() []string {
		time.Sleep(calm)
		return nil
	})
	calmed.Broken = append(calmed.Broken, d.settled(before)...)
	return faulty, calmed
}

// soak lets callers send while something is done, and checks what came of it.
func (d *deployment) soak(seed uint64, do func() []string) Summary {
	c := &crowd{
		deployment: d,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(ctx, seed)
	}()
	did := do()
	cancel()
	<-ended
	s := c.check()
	s.Faults = did
	return s
}
