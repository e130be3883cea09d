package zinniamast

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform that callers distinguish. After any other error, the
// effect of a write is unknown: it may have been applied and its answer lost.
var (
	// ErrConflict means that a write's condition did not hold. Nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrNotFound means that there is no such item, object or instance.
	ErrNotFound = errors.New("not found")
	// ErrThrottled means that the platform rate-limited the call. Nothing was changed.
	ErrThrottled = errors.New("throttled")
	// ErrUnavailable means that the call was not sent, because the platform is
	// known to be unavailable. Nothing was changed.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOversized means that a write exceeds a limit of the platform. Nothing was changed.
	ErrOversized = errors.New("too large for the platform")
	// ErrRefused means that the cloud refused to start an instance. Nothing was changed.
	ErrRefused = errors.New("start refused")
)

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one item with strong consistency. It returns ErrNotFound if there is none.
	Get(ctx context.Context, key Key) (Item, error)
	// Query reads at most limit items of one partition, in the order of their sort
	// keys.
	Query(ctx context.Context, partition string, after string, limit int) ([]Item, error)
	// Write applies all writes or none. ErrConflict is returned as a
	// *ConflictError that lists the writes that failed.
	Write(ctx context.Context, writes []Write) error
}

// Limits of one write to the table.
const (
	// MaxWrites is the maximum number of items that one Write may change.
	MaxWrites = 100
	// MaxValue is the maximum size of an item's value, in bytes.
	MaxValue = 300 << 10
)

// CheckWrites returns ErrOversized if the writes exceed the table's limits.
func CheckWrites(writes []Write) error {
	if len(writes) > MaxWrites {
		return ErrOversized
	}
	for _, w := range writes {
		if len(w.Item.Value) > MaxValue {
			return ErrOversized
		}
	}
	return nil
}

// Key identifies an item.
type Key struct {
	// Partition groups the items that one Query reads.
	Partition string
	// Sort orders items within the partition.
	Sort string
}

// Item is one stored value with its revision.
type Item struct {
	// Key identifies the item.
	Key Key
	// Value is the content, at most MaxValue bytes.
	Value []byte
	// Revision is 1 after the first write and increases by one with each write.
	Revision uint64
	// Expires is the time after which the platform may delete the item. Zero means never.
	Expires time.Time
	// Token is unique to the write that produced this revision. Reading it back
	// shows whether a write whose answer was lost took effect. Package tablebudget
	// sets it.
	Token string
}

// Write is one conditional write.
type Write struct {
	// Item is the new content. Its Revision is ignored.
	Item Item
	// Delete removes the item instead.
	Delete bool
	// Expect is the revision that the stored item must have. Zero means that no
	// item may exist.
	Expect uint64
}

// ConflictError lists the writes whose condition did not hold.
type ConflictError struct {
	// Failed holds the indexes of the failed writes.
	Failed []int
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// ObjectStore stores objects that are too large for the table.
type ObjectStore interface {
	// Put stores a complete object.
	Put(ctx context.Context, name string, content []byte) error
	// Get reads a complete object. It returns ErrNotFound if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object. Removing a missing one is not an error.
	Delete(ctx context.Context, name string) error
}

// Market is the purchasing model of an instance.
type Market string

// The cloud's two markets.
const (
	Reclaimable Market = "reclaimable"
	OnDemand    Market = "on_demand"
)

// Cloud starts and stops instances.
type Cloud interface {
	// Offers lists the instances that can be bought now, with their prices.
	Offers(ctx context.Context) ([]Offer, error)
	// Start buys an instance. Repeating the call with the same token returns the
	// same instance. The role may include the service, as in "engine/draft".
	Start(ctx context.Context, token string, offer Offer, role string) (Instance, error)
	// Stop returns an instance to the cloud. Stopping a missing one is not an error.
	Stop(ctx context.Context, id string) error
	// Notices lists the announced reclaims that have not happened yet.
	Notices(ctx context.Context) ([]Notice, error)
}

// Offer is a machine class in one failure domain and market.
type Offer struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Market        Market `json:"market"`
	// Price is per hour, in the platform's currency.
	Price float64 `json:"price"`
}

// Notice announces that the cloud will reclaim an instance.
type Notice struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// List returns all instances known to the platform, including leaving ones.
	List(ctx context.Context) ([]Instance, error)
}

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Market        Market `json:"market"`
	// Role is "entry", "engine" or "service".
	Role string `json:"role"`
	// Service is the model deployment or plain service that the instance runs.
	Service string `json:"service"`
	// Address is the base URL of an upstream, or the host:port of an entry
	// instance's peer listener.
	Address string `json:"address"`
	// Version is the version of the software of an upstream; empty if unknown.
	Version string `json:"version"`
	// Leaving means that a stop of the instance is announced.
	Leaving bool `json:"leaving"`
	// LeavesAt is the time at which an announced stop takes effect. It is zero if unknown.
	LeavesAt time.Time `json:"leaves_at,omitzero"`
	// Started is the start time. It increases with each start of an instance under
	// the same ID.
	Started time.Time `json:"started"`
}

// WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Size returns the size of a model's weights in bytes.
	Size(ctx context.Context, model string) (int64, error)
	// Permit reserves a share of the store's rate before an engine is asked to
	// load a model. It returns ErrThrottled if no share is available now.
	Permit(ctx context.Context, model string) error
}
