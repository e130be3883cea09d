package claims

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
)

// State is a state of a claim; docs/design/0301-claims.md shows the transitions.
type State string

// The states of a claim.
const (
	// StateFree means that no call has run under the key, or that there is no claim.
	StateFree State = "free"
	// StateHeld means that only the holder may send the call, until its deadline.
	StateHeld State = "held"
	// StateUnknown means that the call was sent and its outcome is not known.
	StateUnknown State = "unknown"
	// StateRan means that the call ran and its answer is not known.
	StateRan State = "ran"
	// StateDone means that the call ran and returned its complete answer, which
	// is stored unless it was too large.
	StateDone State = "done"
)

// isOpen reports whether the outcome is not known yet.
func (s State) isOpen() bool { return s == StateHeld || s == StateUnknown }

// Event moves a claim from one state to another.
type Event string

// The events of a claim.
const (
	// EventClaim occurs when a node acquires the key.
	EventClaim Event = "claim"
	// EventRelease occurs when it is proven that the call did not and will not run.
	EventRelease Event = "release"
	// EventLose occurs when the holder does not know whether the call ran.
	EventLose Event = "lose"
	// EventRun occurs when it is proven that the call ran.
	EventRun Event = "run"
	// EventAnswer occurs when the complete answer has been received.
	EventAnswer Event = "answer"
)

// transitions lists all transitions. There is none from held to held: a claim is
// never transferred, because a paused holder can resume at any time.
var transitions = fsm.Events{
	{
		Name: string(EventClaim),
		Src:  []string{string(StateFree)},
		Dst:  string(StateHeld),
	},
	{
		Name: string(EventRelease),
		Src:  []string{string(StateHeld), string(StateUnknown)},
		Dst:  string(StateFree),
	},
	{
		Name: string(EventLose),
		Src:  []string{string(StateHeld)},
		Dst:  string(StateUnknown),
	},
	{
		Name: string(EventRun),
		Src:  []string{string(StateHeld), string(StateUnknown)},
		Dst:  string(StateRan),
	},
	{
		Name: string(EventAnswer),
		Src:  []string{string(StateHeld), string(StateUnknown), string(StateRan)},
		Dst:  string(StateDone),
	},
}

// errNoTransition means that the event is not allowed in the state.
var errNoTransition = errors.New("claims: event not allowed in this state")

// nextState returns the state after an event.
func nextState(state State, event Event) (State, error) {
	machine := fsm.NewFSM(string(state), transitions, fsm.Callbacks{})
	if err := machine.Event(context.Background(), string(event)); err != nil {
		return state, errNoTransition
	}
	return State(machine.Current()), nil
}
