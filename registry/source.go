// Package registry follows the platform's store and keeps this node's view of the
// configuration and the replicas up to date.
package registry

import (
	"context"
	"errors"
	"time"

	"zinniamast"
	"zinniamast/routes"
)

// ErrHistoryDropped means that a feed cannot continue from a position and the full
// table has to be read.
var ErrHistoryDropped = errors.New("history gone")

// Source provides the two tables of the store that this node follows.
type Source interface {
	// ReadReplicas returns the full list of replicas.
	ReadReplicas(ctx context.Context) (ReplicaChanges, error)
	// FollowReplicas waits for changes after a position; it returns no error if
	// there is none in time.
	FollowReplicas(ctx context.Context, position uint64, wait time.Duration) (ReplicaChanges, error)
	// ReadConfig returns the newest configuration; Config is nil if there is none.
	ReadConfig(ctx context.Context) (ConfigChange, error)
	// FollowConfig waits for a change after a position; it returns no error if
	// there is none in time.
	FollowConfig(ctx context.Context, position uint64, wait time.Duration) (ConfigChange, error)
}

// ReplicaChanges is a full list of entries, or the changes after a position in
// order.
type ReplicaChanges struct {
	Changes []ReplicaChange
	// Position is where a feed continues.
	Position uint64
	// Age is the time since the store's answer that a peer passes on; zero from the store itself.
	Age time.Duration
}

// ReplicaChange is the state of one entry after a change.
type ReplicaChange struct {
	ID string
	// Version rises with each change of any entry.
	Version uint64
	// Replica is nil if the entry was removed or names no usable replica.
	Replica *Replica
	// Unreadable is the reason why an existing entry names no usable replica.
	Unreadable string
}

// Replica is the description of one start of a replica in its entry.
type Replica struct {
	ID      string
	Service string
	// Address is host:port.
	Address       string
	FailureDomain string
	// Started distinguishes two starts under the same ID.
	Started time.Time
	// Slots is how many requests the replica runs at once.
	Slots    int
	Draining bool
	// LeavesIn is how long after the entry's change the replica goes away; zero if unknown.
	LeavesIn time.Duration
	// Reclaimable means that the platform may reclaim the replica, a whole failure
	// domain at a time.
	Reclaimable bool
	// Version is the version of the replica's software; empty if unknown.
	Version string
}

// ConfigChange is what operators have written: the newest configuration, and the orders
// that have changed.
type ConfigChange struct {
	// Config is nil if nothing changed or no configuration was written.
	Config *routes.Config
	Orders []zinniamast.RolloutOrder
	// IsWhole means that there are no other orders.
	IsWhole bool
	// Unreadable are the reasons why some entries name no order.
	Unreadable []string
	// Position is where a feed continues.
	Position uint64
	// Age is the time since the store's answer that a peer passes on; zero from the store itself.
	Age time.Duration
}
