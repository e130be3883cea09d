package soak

import (
	"context"
	"testing"
	"time"

	"zinniamast/standin/replica"
)

// Config configures a soak.
type Config struct {
	// Seed seeds the random faults and the callers' random choices.
	Seed uint64
	// Instances is the number of entry instances.
	Instances int
	// FaultDuration is the time for which faults are injected.
	FaultDuration time.Duration
	// OwnPaths gives each instance a failure domain and links to the replicas of its own,
	// which are cut as a further fault.
	OwnPaths bool

	// keepsReplicas leaves out the faults that replace replicas or change how they answer.
	keepsReplicas bool
	// slots is the number of slots that replicas list; zero means defaultSlots.
	slots int
	// configuration is the configuration of the deployment; empty means the one that all soaks
	// share. demands are the organisations that send at a rate; without any, all callers are of
	// one organisation and wait for each answer.
	configuration string
	demands       []demand
}

// retryBudget limits the retries of a deployment in each retry window of the settings.
type retryBudget struct {
	ratio float64
	slack int
}

// retryBudget returns an ample budget for half of the seeds. For the others it is
// small enough that a few misbehaving replicas exhaust it.
func (c Config) retryBudget() retryBudget {
	if c.Seed/2%2 == 0 {
		return retryBudget{
			ratio: 0.2,
			slack: 58,
		}
	}
	return retryBudget{
		ratio: 0.01,
		slack: 4,
	}
}

const (
	// recoveryTime is the time that the system gets to recover after the last fault.
	recoveryTime = 6 * time.Second
	// calmDuration is the time for which callers send after the recovery.
	calmDuration = 2 * time.Second
)

// Run soaks a deployment and checks it. With even seeds all instances are killed at
// once after the last fault, as in a power failure. The second summary covers the
// time after the recovery, without faults.
func Run(tb testing.TB, c Config) (withFaults, afterRecovery Summary) {
	tb.Helper()
	d := newDeployment(tb, c)
	withFaults = d.soak(c.Seed, func() []string {
		ctx, cancel := context.WithTimeout(context.Background(), c.FaultDuration)
		defer cancel()
		return d.injectFaults(ctx, c)
	})
	if c.Seed%2 == 0 {
		d.killAndRestartAll()
	}
	time.Sleep(recoveryTime)
	before := map[*replica.Replica]int{}
	for _, r := range d.removed {
		before[r] = len(r.Runs())
	}
	afterRecovery = d.soak(c.Seed+1, func() []string {
		time.Sleep(calmDuration)
		return nil
	})
	afterRecovery.Violations = append(afterRecovery.Violations, d.checkRecovered(before)...)
	return withFaults, afterRecovery
}

// soak runs callers while action runs, and checks their outcomes. action returns the
// descriptions of the faults that it injected.
func (d *deployment) soak(seed uint64, action func() []string) Summary {
	c := &callerPool{
		deployment: d,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(ctx, seed)
	}()
	injected := action()
	cancel()
	<-ended
	s := c.check()
	c.checkDemands(&s)
	s.Faults = append(s.Faults, injected...)
	return s
}
