// Package roster lists the entry instances in the platform's table, so that a
// node can find and count the others.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinniamast"
)

// Partition is the table partition that holds the instances.
const Partition = "entry"

const (
	// listLimit bounds the number of instances read. It is ten times the size of
	// the largest fleet, to include instances that no longer exist and are not
	// retired yet.
	listLimit = 4000
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
	// retryDelay is the pause after a failed announcement.
	retryDelay = 500 * time.Millisecond
)

// Config describes this instance and how it reads the roster.
type Config struct {
	Table zinniamast.Table
	// ID, FailureDomain and Address describe this instance; Address is
	// host:port of its peer listener.
	ID            string
	FailureDomain string
	Address       string
	// IsFirstStart means that the whole deployment starts for the first time, so that all
	// instances announce themselves at once.
	IsFirstStart bool
	// Offset returns this instance's time of day minus the store's clock; false
	// while that is not known.
	Offset func() (time.Duration, bool)
	// OnOffsets, if set, is called with the offsets of all instances for each new
	// roster.
	OnOffsets func(offsets []time.Duration)
	// JoinDelay is the time from this instance's first read of the roster until the others know it.
	JoinDelay time.Duration
	// Logger logs failures and retired instances; nil means slog's default.
	Logger *slog.Logger
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Roster implements zinniamast.InstanceList.
type Roster struct {
	config Config
	// instances are those of the latest roster, and isListed reports whether this one is
	// among them.
	instances atomic.Pointer[[]zinniamast.Instance]
	isListed  atomic.Bool

	mu        sync.Mutex
	announced bool
	entries   []Entry
	// arrival is what the first read of the table told, and isRead reports whether it has
	// ended. predecessor is the revision of this instance's item in it.
	arrival     Arrival
	isRead      bool
	predecessor uint64
	// earlier are the instances of the first read, and joinsUntil when the others know this one, if
	// it has joined them.
	earlier    []zinniamast.Instance
	joinsUntil time.Time

	// silentSince holds the time since which each silent instance of this failure
	// domain has been silent; only Retire uses it.
	silentSince map[string]time.Time
}

var _ zinniamast.InstanceList = (*Roster)(nil)

// record is one instance in the table.
type record struct {
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// OffsetMS is the instance's time of day minus the store's clock at its start.
	OffsetMS int64 `json:"offset_ms"`
}

// New returns an empty roster; Announce adds this instance.
func New(config Config) *Roster {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Roster{
		config:      config,
		silentSince: map[string]time.Time{},
	}
}

// Instances returns the instances of the latest roster; none before the first one.
// The slice is shared and must not be modified.
func (r *Roster) Instances() []zinniamast.Instance {
	if instances := r.instances.Load(); instances != nil {
		return *instances
	}
	return nil
}

// Announced reports whether this instance has added itself to the roster.
func (r *Roster) Announced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced
}

// Announce adds this instance to the roster, and retries until that succeeds or
// ctx ends.
func (r *Roster) Announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.announce(ctx)
		if err == nil {
			r.mu.Lock()
			r.announced = true
			r.mu.Unlock()
			return
		}
		r.config.Logger.Debug("announcing instance failed, retrying", "cause", err)
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

func key(id string) zinniamast.Key {
	return zinniamast.Key{
		Partition: Partition,
		Sort:      id,
	}
}

func (r *Roster) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, ok := r.config.Offset()
	if !ok {
		return errors.New("roster: store's clock is not known yet")
	}
	value, err := json.Marshal(record{
		FailureDomain: r.config.FailureDomain,
		Address:       r.config.Address,
		OffsetMS:      offset.Milliseconds(),
	})
	if err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	err = r.write(ctx, value, r.Revision())
	if !errors.Is(err, zinniamast.ErrConflict) {
		return err
	}
	known, err := r.config.Table.Get(ctx, key(r.config.ID))
	if err != nil && !errors.Is(err, zinniamast.ErrNotFound) {
		return err
	}
	return r.write(ctx, value, known.Revision)
}

func (r *Roster) write(ctx context.Context, value []byte, expect uint64) error {
	return r.config.Table.Write(ctx, []zinniamast.Write{{
		Item: zinniamast.Item{
			Key:   key(r.config.ID),
			Value: value,
		},
		Expect: expect,
	}})
}

// Revision returns the revision of this instance's item in the latest roster, or zero
// if it is not listed.
func (r *Roster) Revision() uint64 {
	for _, entry := range r.Entries() {
		if entry.ID == r.config.ID {
			return entry.Revision
		}
	}
	return 0
}

// Entry is an instance on the roster.
type Entry struct {
	ID            string
	FailureDomain string
	Address       string
	// Offset is its time of day minus the store's clock at its start.
	Offset time.Duration
	// Revision is the revision of its item in the table.
	Revision uint64
}

// Arrival tells how this process came into the fleet.
type Arrival string

const (
	// ArrivalUnknown means that the table could not be read when the process started.
	ArrivalUnknown Arrival = "unknown"
	// ArrivalFirst means that no instance had been announced before.
	ArrivalFirst Arrival = "first"
	// ArrivalRestarted means that an earlier process of this instance had been announced.
	ArrivalRestarted Arrival = "restarted"
	// ArrivalJoined means that only other instances had been announced.
	ArrivalJoined Arrival = "joined"
)

// Arrival returns how this process came into the fleet, which its first Read determines.
func (r *Roster) Arrival() Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isRead {
		return ArrivalUnknown
	}
	return r.arrival
}

// Predecessor returns the revision under which the process of this instance before this one
// announced itself; zero if there was none.
func (r *Roster) Predecessor() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.predecessor
}

// recordArrival records what the first read of the table tells about this process.
func (r *Roster) recordArrival(entries []Entry, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRead {
		return
	}
	r.isRead = true
	own := slices.IndexFunc(entries, r.isOwn)
	switch {
	case err != nil:
		r.arrival = ArrivalUnknown
	case own >= 0:
		r.arrival = ArrivalRestarted
		r.predecessor = entries[own].Revision
	case len(entries) == 0 || r.config.IsFirstStart:
		r.arrival = ArrivalFirst
	default:
		r.arrival = ArrivalJoined
		r.earlier = instancesOf(entries)
		r.joinsUntil = r.config.Now().Add(r.config.JoinDelay)
	}
	r.config.Logger.Info("roster read for the first time", "instance", r.config.ID, "arrival", r.arrival, "instances", len(entries), "cause", err)
}

// isOwn reports whether an entry is that of this instance.
func (r *Roster) isOwn(entry Entry) bool { return entry.ID == r.config.ID }

// Read reads the roster from the table and stores it.
func (r *Roster) Read(ctx context.Context) ([]Entry, error) {
	entries, err := r.read(ctx)
	r.recordArrival(entries, err)
	if err != nil {
		return nil, err
	}
	r.Set(entries)
	return entries, nil
}

// read reads the roster from the table.
func (r *Roster) read(ctx context.Context) ([]Entry, error) {
	items, err := r.config.Table.Query(ctx, Partition, "", listLimit)
	if err != nil {
		return nil, fmt.Errorf("roster: %w", err)
	}
	entries := make([]Entry, 0, len(items))
	for _, item := range items {
		var known record
		if err := json.Unmarshal(item.Value, &known); err != nil {
			r.config.Logger.Warn("roster entry unreadable", "instance", item.Key.Sort, "cause", err)
			continue
		}
		entries = append(entries, Entry{
			ID:            item.Key.Sort,
			FailureDomain: known.FailureDomain,
			Address:       known.Address,
			Offset:        time.Duration(known.OffsetMS) * time.Millisecond,
			Revision:      item.Revision,
		})
	}
	return entries, nil
}

// Set stores a roster that was read by this or another node.
func (r *Roster) Set(entries []Entry) {
	instances := instancesOf(entries)
	offsets := make([]time.Duration, 0, len(entries))
	for _, entry := range entries {
		offsets = append(offsets, entry.Offset)
	}
	r.mu.Lock()
	r.entries = entries
	r.mu.Unlock()
	r.instances.Store(&instances)
	r.isListed.Store(slices.ContainsFunc(entries, r.isOwn))
	if r.config.OnOffsets != nil {
		r.config.OnOffsets(offsets)
	}
}

func instancesOf(entries []Entry) []zinniamast.Instance {
	instances := make([]zinniamast.Instance, 0, len(entries))
	for _, entry := range entries {
		instances = append(instances, zinniamast.Instance{
			ID:            entry.ID,
			FailureDomain: entry.FailureDomain,
			Role:          "entry",
			Address:       entry.Address,
		})
	}
	return instances
}

// Established returns the instances that know each other: those of the latest roster, or, while this
// one has just joined them, those that were there before it.
func (r *Roster) Established() []zinniamast.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.Now().Before(r.joinsUntil) {
		return r.earlier
	}
	return r.Instances()
}

// IsListed reports whether this instance is on the latest roster.
func (r *Roster) IsListed() bool { return r.isListed.Load() }

// Entries returns the entries of the latest roster.
func (r *Roster) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries
}

// List implements zinniamast.InstanceList with the latest roster, without a call to
// the table.
func (r *Roster) List(context.Context) ([]zinniamast.Instance, error) {
	return r.Instances(), nil
}
