// Package registry follows the platform's store and keeps what this node
// believes of the configuration and the replicas.
package registry

import (
	"context"
	"errors"
	"time"

	"zinniamast/routes"
)

// ErrHistoryGone means that a feed cannot go on from a position; the table is
// to be read whole.
var ErrHistoryGone = errors.New("history gone")

// Source is the store's two tables that this node follows.
type Source interface {
	// ReadReplicas lists all replicas.
	ReadReplicas(ctx context.Context) (ReplicaChanges, error)
	// FollowReplicas waits for changes after a position; no change in time is no error.
	FollowReplicas(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error)
	// ReadConfig returns the newest configuration; Config is nil if there is none.
	ReadConfig(ctx context.Context) (ConfigChange, error)
	// FollowConfig waits for a change after a position; no change in time is no error.
	FollowConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error)
}

// ReplicaChanges are entries as they stand, or as they changed, in order.
type ReplicaChanges struct {
	Changes []ReplicaChange
	// Position is where a feed goes on.
	Position uint64
}

// ReplicaChange is one entry's state.
type ReplicaChange struct {
	ID string
	// Version rises with each change of any entry.
	Version uint64
	// Replica is nil where the entry is gone or names no replica to use.
	Replica *Replica
	// Unreadable says why an entry that is there names no replica to use.
	Unreadable string
}

// Replica is what an entry says of one start of a replica.
type Replica struct {
	ID      string
	Service string
	// Address is host:port.
	Address       string
	FailureDomain string
	// Started tells two starts under one ID apart.
	Started time.Time
	// Slots is how many requests it runs at once.
	Slots    int
	Draining bool
	// LeavesIn is how long after the entry's change the replica goes away; zero if unknown.
	LeavesIn time.Duration
	// Reclaimable replicas may be taken away a failure domain at a time.
	Reclaimable bool
}

// ConfigChange is the newest configuration.
type ConfigChange struct {
	// Config is nil where nothing changed or nothing was written.
	Config *routes.Config
	// Position is where a feed goes on.
	Position uint64
}
