package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/retry"
	"zinniamast/roster"
)

// firstRosterDelay is the time in which the instances of a deployment that starts for the
// first time have announced themselves and have read the roster.
const firstRosterDelay = 2 * rosterStartInterval

// lateArrival bounds the time from a repeated send to its arrival at the replica.
const lateArrival = time.Second

// retryNodes returns the number of entry instances that share the slack of the retry budget,
// including those that are partitioned from this one. It is zero while this instance is not
// on the roster: the others do not leave it a share then.
func (e *Entry) retryNodes() int {
	if !e.roster.IsListed() {
		return 0
	}
	return len(e.roster.Instances())
}

// retriesEarnedFrom returns the time from which no window contains sends of this instance's
// process before this one.
func (e *Entry) retriesEarnedFrom() time.Time {
	switch e.roster.Arrival() {
	case roster.ArrivalFirst, roster.ArrivalJoined:
		return e.created
	default:
		return e.created.Add(e.config.Settings.Bounds.RetryWindow + lateArrival)
	}
}

// retriesSharedFrom returns the time from which the other instances have left this one its
// share of the slack for a whole window.
func (e *Entry) retriesSharedFrom() time.Time {
	window := e.config.Settings.Bounds.RetryWindow
	switch e.roster.Arrival() {
	case roster.ArrivalFirst:
		return e.created.Add(firstRosterDelay)
	case roster.ArrivalRestarted:
		return e.created.Add(window + lateArrival)
	default:
		// The others learn of this instance within the first window.
		return e.created.Add(2 * window)
	}
}

// buildRetries builds the retry budget and keeps those that other instances hand over.
func (e *Entry) buildRetries() error {
	bounds := e.config.Settings.Bounds
	e.retries = retry.NewWindow(retry.WindowConfig{
		Ratio:      bounds.RetryRatio,
		Slack:      bounds.RetrySlack,
		Window:     bounds.RetryWindow,
		Nodes:      e.retryNodes,
		EarnedFrom: e.retriesEarnedFrom,
		SharedFrom: e.retriesSharedFrom,
		Logger:     e.config.Logger,
	})
	return e.peerServer.RegisterPeer(retryKeeperName, &RetryKeeper{
		keeper: retry.NewKeeper(bounds.RetryWindow),
	})
}

const (
	// retryKeeperName is the RPC service name of the retry budgets that instances keep for
	// each other.
	retryKeeperName = "RetryKeeper"
	// retryKeepers is the number of instances that keep the budget of a stopping one, and
	// maxAskedKeepers how many its next process asks: it may not know which were alive.
	retryKeepers    = 4
	maxAskedKeepers = 2 * retryKeepers
	// handOverTimeout and takeOverTimeout bound the calls to them. A stopping instance has
	// less time than a starting one.
	handOverTimeout = 150 * time.Millisecond
	takeOverTimeout = time.Second
)

// RetryKeeper serves the calls of other instances that stop or have started again.
type RetryKeeper struct {
	keeper *retry.Keeper
}

// RetryHandover is the retry budget of a process. The process is named by the revision under
// which it is on the roster.
type RetryHandover struct {
	Instance string
	Process  uint64
	Handover retry.Handover
	// Age is the time since the handover, and IsKept reports whether there is one.
	Age    time.Duration
	IsKept bool
}

// Put keeps a retry budget.
func (k *RetryKeeper) Put(handover RetryHandover, _ *struct{}) error {
	k.keeper.Put(handover.Instance, handover.Process, handover.Handover)
	return nil
}

// Take returns the retry budget that a process has handed over.
func (k *RetryKeeper) Take(of RetryHandover, reply *RetryHandover) error {
	reply.Handover, reply.Age, reply.IsKept = k.keeper.Take(of.Instance, of.Process)
	return nil
}

// handOverRetries hands the retry budget of this process over to the next one.
func (e *Entry) handOverRetries(ctx context.Context) {
	handover := RetryHandover{
		Instance: e.config.Settings.Instance,
		Process:  e.roster.Revision(),
		Handover: e.retries.HandOver(),
	}
	if handover.Process == 0 {
		return
	}
	// The instance may have used up the time to stop.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	var calls sync.WaitGroup
	kept := 0
	for _, keeper := range e.roster.Holders(handover.Instance, maxAskedKeepers) {
		if keeper.ID == handover.Instance {
			continue
		}
		if member, known := e.board.Members.Get(keeper.ID); kept == retryKeepers || known && (member.Dead || member.Leaving) {
			continue
		}
		kept++
		calls.Go(func() {
			if err := e.peerPool.Call(ctx, keeper.Address, retryKeeperName+".Put", handover, &struct{}{}); err != nil {
				e.config.Logger.Debug("failed to hand over retry budget", "peer", keeper.ID, "cause", err)
			}
		})
	}
	calls.Wait()
}

// takeOverRetries takes over the retry budget of the process before this one. This process is
// announced before: a later one then asks for the budget of this process and not for the same
// one again.
func (e *Entry) takeOverRetries(ctx context.Context) {
	of := RetryHandover{
		Instance: e.config.Settings.Instance,
		Process:  e.roster.Predecessor(),
	}
	if of.Process == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	keepers := slices.DeleteFunc(e.roster.Holders(of.Instance, maxAskedKeepers), func(keeper zinniamast.Instance) bool {
		return keeper.ID == of.Instance
	})
	answers := make(chan RetryHandover, len(keepers))
	for _, keeper := range keepers {
		go func() {
			var answer RetryHandover
			if err := e.peerPool.Call(ctx, keeper.Address, retryKeeperName+".Take", of, &answer); err != nil {
				e.config.Logger.Debug("failed to take over retry budget", "peer", keeper.ID, "cause", err)
			}
			answers <- answer
		}()
	}
	for range keepers {
		if answer := <-answers; answer.IsKept {
			e.retries.TakeOver(answer.Handover, answer.Age)
			e.config.Logger.Info("retry budget taken over", "instance", of.Instance, "age", answer.Age.Round(time.Millisecond))
			return
		}
	}
}
