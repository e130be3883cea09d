package zinniamast

import (
	"context"
	"time"
)

// RolloutOrder is an operator's order to move the requests of a service to replicas of
// another software version.
type RolloutOrder struct {
	Service string
	// Version is the software version to which the requests move.
	Version string
	// Within is the time in which the rollout is to be completed.
	Within time.Duration
	// Revision is the platform's revision of the order. A later order has a higher one.
	Revision uint64
	// IsWithdrawn means that the order was deleted.
	IsWithdrawn bool
}

// RolloutState is the state of a rollout as operators are told.
type RolloutState string

// The states of a rollout. The last two are final.
const (
	RolloutInProgress RolloutState = "in_progress"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// IsFinal reports whether the rollout has ended.
func (s RolloutState) IsFinal() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RolloutRecord is what lasts of the newest rollout of a service.
type RolloutRecord struct {
	Service string
	// Version and Order are the version and the revision of the order that it follows.
	Version string
	Order   uint64
	State   RolloutState
	// Leader is the node that wrote the record, and Fence its fencing number.
	Leader string
	Fence  uint64
	// Started is the true time at which a leader first saw the order.
	Started time.Time
	// Answers is the number of answers that the new version had given when the record was
	// written.
	Answers float64
	// IsTrusted reports whether they spoke for the version.
	IsTrusted bool
	// Usual are the old versions' failures by route while they were healthy.
	Usual []RouteFailures
	// Condemned lists the versions that proved bad, the latest one last, and Abandoned those
	// whose rollouts ended before it was known whether they are good.
	Condemned []string
	Abandoned []string
	// Revision is the revision of the record; zero if there is none yet.
	Revision uint64
}

// RouteFailures counts the answers of a route and the failed ones among them.
type RouteFailures struct {
	// Route is a hash of the route's name.
	Route   uint32  `json:"route"`
	Answers float64 `json:"answers"`
	Failed  float64 `json:"failed"`
}

// Rollouts keeps the records of rollouts and tells operators their states.
type Rollouts interface {
	// ReadRollouts returns the records of all services.
	ReadRollouts(ctx context.Context) ([]RolloutRecord, error)
	// WriteRollout replaces the record of the given revision and tells operators its state,
	// both or neither, and returns the new revision. It returns ErrConflict if the record has
	// another revision.
	WriteRollout(ctx context.Context, record RolloutRecord) (revision uint64, err error)
}
