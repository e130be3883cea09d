package request

import (
	"context"

	"github.com/looplab/fsm"
)

// State is a state in the lifecycle of a request.
type State string

// The states of a request; docs/ARCHITECTURE.md shows the same table.
const (
	// StateAccepted means that the node is responsible for the request.
	StateAccepted State = "accepted"
	// StateRunning means that an attempt may have reached an upstream.
	StateRunning State = "running"
	// StateWaiting means that an attempt has failed and the next has not begun.
	StateWaiting State = "waiting"
	// StateMoved means that a peer has acknowledged holding the request.
	StateMoved State = "moved"
	// StateWhole means that the buffer holds the complete answer.
	StateWhole State = "whole"
	// StateFailed means that the request has ended with a refusal.
	StateFailed State = "failed"
)

// Event moves a request from one state to another.
type Event string

// The events in the lifecycle of a request.
const (
	EventDispatch Event = "dispatch"
	EventRetry    Event = "retry"
	EventMove     Event = "move"
	EventFinish   Event = "finish"
	EventFail     Event = "fail"
)

// transitions is the transition table of a request. No event leads out of a final
// state, so that an answer which arrives after the end cannot change the outcome.
var transitions = fsm.Events{
	{
		Name: string(EventDispatch),
		Src:  []string{string(StateAccepted), string(StateWaiting)},
		Dst:  string(StateRunning),
	},
	{
		Name: string(EventRetry),
		Src:  []string{string(StateRunning)},
		Dst:  string(StateWaiting),
	},
	{
		Name: string(EventMove),
		Src:  []string{string(StateAccepted), string(StateRunning), string(StateWaiting)},
		Dst:  string(StateMoved),
	},
	{
		Name: string(EventFinish),
		Src:  []string{string(StateRunning)},
		Dst:  string(StateWhole),
	},
	{
		Name: string(EventFail),
		Src:  []string{string(StateAccepted), string(StateRunning), string(StateWaiting)},
		Dst:  string(StateFailed),
	},
}

// newStateMachine returns the state machine of one request. Creating it takes a few
// microseconds, and it changes state per attempt, never per token;
// docs/design/0002-request-life.md has the figures.
func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(string(StateAccepted), transitions, fsm.Callbacks{})
}

// step applies event to machine. It returns false if the current state has no
// transition for the event.
func step(machine *fsm.FSM, event Event) bool {
	return machine.Event(context.Background(), string(event)) == nil
}
