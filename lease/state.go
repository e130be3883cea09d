package lease

import (
	"context"

	"github.com/looplab/fsm"
)

// The states of a lease on one node.
const (
	// stateWatching means that another node may hold the lease.
	stateWatching = "watching"
	// stateHeld means that this node held the lease when it last wrote or read it;
	// Check reports whether it may act now.
	stateHeld = "held"
	// stateLapsed means that the term expired on this node and no other node is
	// known to have taken over.
	stateLapsed = "lapsed"
)

// The events of a lease on one node.
const (
	eventTake  = "take"
	eventLapse = "lapse"
	eventLose  = "lose"
)

func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(stateWatching, fsm.Events{
		{
			Name: eventTake,
			Src:  []string{stateWatching, stateLapsed},
			Dst:  stateHeld,
		},
		{
			Name: eventLapse,
			Src:  []string{stateHeld},
			Dst:  stateLapsed,
		},
		{
			Name: eventLose,
			Src:  []string{stateHeld, stateLapsed},
			Dst:  stateWatching,
		},
	}, fsm.Callbacks{})
}

// transition applies an event to the state machine and logs the transition.
func (l *Lease) transition(event string) {
	l.mu.Lock()
	from := l.states.Current()
	err := l.states.Event(context.Background(), event)
	to, fence, holder := l.states.Current(), l.record.Fence, l.record.Holder
	l.mu.Unlock()
	if err == nil {
		l.config.Logger.Info("lease", "name", l.config.Name, "from", from, "to", to, "fence", fence, "holder", holder)
	}
}
