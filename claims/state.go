package claims

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
)

// State is a state of a claim; docs/design/0301-claims.md shows the table.
type State string

// The states of a claim.
const (
	// StateFree means that nothing has run under the key, or that there is no claim.
	StateFree State = "free"
	// StateHeld means that one node alone may send the call, until its deadline.
	StateHeld State = "held"
	// StateUnknown means that the call was sent and its outcome is not known.
	StateUnknown State = "unknown"
	// StateRan means that the call ran and its answer is not known.
	StateRan State = "ran"
	// StateDone means that the call ran and its answer is kept.
	StateDone State = "done"
)

// isOpen says whether the outcome is not known yet.
func (s State) isOpen() bool { return s == StateHeld || s == StateUnknown }

// Event moves a claim from one state to another.
type Event string

// The events of a claim.
const (
	// EventClaim comes when a node takes the key.
	EventClaim Event = "claim"
	// EventRelease comes when it is proven that nothing ran or will run.
	EventRelease Event = "release"
	// EventLose comes when the holder cannot tell whether the call ran.
	EventLose Event = "lose"
	// EventRun comes when it is proven that the call ran.
	EventRun Event = "run"
	// EventAnswer comes with the whole answer.
	EventAnswer Event = "answer"
)

// transitions is the whole table. There is no way from held to held: a claim
// is never taken over, so a holder that was paused can wake at any time.
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

// errNoTransition means that the table has no such step.
var errNoTransition = errors.New("claims: no such transition")

// nextState returns the state that an event leads to.
func nextState(state State, event Event) (State, error) {
	machine := fsm.NewFSM(string(state), transitions, fsm.Callbacks{})
	if err := machine.Event(context.Background(), string(event)); err != nil {
		return state, errNoTransition
	}
	return State(machine.Current()), nil
}
