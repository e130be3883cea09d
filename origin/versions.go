package origin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// Partition is the table partition with the versions of each service.
const Partition = "versions"

// VersionsConfig configures Versions.
type VersionsConfig struct {
	Upstreams *blackboard.Upstreams
	// Table keeps the versions for processes that start later.
	Table zinniamast.Table
	// IsFirstStart reports whether nothing has served before this process.
	IsFirstStart func() bool
	// Check returns an error unless this instance is the one that writes the table.
	Check func(need time.Duration) (fence uint64, err error)
	// Logger logs failures of the table; nil means slog's default.
	Logger *slog.Logger
}

// Versions are the software versions of each service that have served within the retention.
//
// A process that starts does not know which versions served before it. It reads them from
// the table, where one instance keeps them; a set of versions changes a few times in a
// rollout, and so few writes suffice.
type Versions struct {
	config  VersionsConfig
	created time.Time

	mu sync.Mutex
	// seen holds when each version was last among the replicas of a service, and newest the
	// list of them that was seen last.
	seen   map[string]map[string]time.Time
	newest map[string][]*blackboard.Upstream
	// isRead reports whether all versions in the table were read.
	isRead bool
	// written are the versions in the table with the revisions of their items.
	written map[string]writtenVersions
}

type writtenVersions struct {
	versions []string
	revision uint64
}

// versionsItem is the value of a service's item.
type versionsItem struct {
	Versions []string `json:"versions"`
}

// NewVersions returns the versions that the replicas have now.
func NewVersions(config VersionsConfig) *Versions {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	v := &Versions{
		config:  config,
		created: time.Now(),
		seen:    map[string]map[string]time.Time{},
		newest:  map[string][]*blackboard.Upstream{},
		written: map[string]writtenVersions{},
	}
	v.Observe()
	return v
}

// Observe records the versions of all replicas.
func (v *Versions) Observe() {
	all := v.config.Upstreams.All()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, u := range all {
		v.see(u.Instance.Service, u.Instance.Version, now)
	}
	for _, versions := range v.seen {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
	}
}

// see records that a version of a service serves. The caller holds the lock.
func (v *Versions) see(service, version string, now time.Time) {
	if v.seen[service] == nil {
		v.seen[service] = map[string]time.Time{}
	}
	v.seen[service][version] = now
}

// recent returns the versions of a service within the retention, as far as they are known.
// The caller holds the lock.
func (v *Versions) recent(service string) []string {
	if all := v.config.Upstreams.Of(service); !isSameList(all, v.newest[service]) {
		now := time.Now()
		for _, u := range all {
			v.see(service, u.Instance.Version, now)
		}
		v.newest[service] = all
	}
	return slices.Sorted(maps.Keys(v.seen[service]))
}

// isSameList reports whether two slices are the same one. A changed list of replicas is a new
// slice.
func isSameList(a, b []*blackboard.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// hasOne reports whether only one version of a service is known.
func (v *Versions) hasOne(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.recent(service)) <= 1
}

// Sole returns the only version of a service that has served within the retention. It
// returns false if there were several, or if those before the start of this process are not
// known.
func (v *Versions) Sole(service string) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	recent := v.recent(service)
	if len(recent) != 1 || !v.isComplete() {
		return "", false
	}
	return recent[0], true
}

// isComplete reports whether all versions within the retention are known. The caller holds
// the lock.
func (v *Versions) isComplete() bool {
	return v.isRead || v.config.IsFirstStart() || time.Since(v.created) > retention
}

// readTimeout bounds one call to the table, and writeInterval is the time between two checks
// whether it is up to date.
const (
	readTimeout   = 2 * time.Second
	writeInterval = time.Second
	// maxServices bounds the services that are read.
	maxServices = 1000
)

// Read reads the versions that served before this process started.
func (v *Versions) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, err := v.config.Table.Query(ctx, Partition, "", maxServices)
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now, isWhole := time.Now(), len(items) > 0
	for _, item := range items {
		var known versionsItem
		if err := json.Unmarshal(item.Value, &known); err != nil {
			v.config.Logger.Warn("versions of a service unreadable", "service", item.Key.Sort, "cause", err)
			isWhole = false
		}
		for _, version := range known.Versions {
			if _, isSeen := v.seen[item.Key.Sort][version]; !isSeen {
				v.see(item.Key.Sort, version, now)
			}
		}
		v.written[item.Key.Sort] = writtenVersions{
			versions: known.Versions,
			revision: item.Revision,
		}
	}
	v.isRead = v.isRead || isWhole
	return nil
}

// ReadUntilDone reads the versions until that succeeds or ctx ends.
func (v *Versions) ReadUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		err := v.Read(ctx)
		if err == nil {
			return
		}
		v.config.Logger.Debug("failed to read the versions of services", "cause", err)
		select {
		case <-time.After(writeInterval):
		case <-ctx.Done():
		}
	}
}

// Run keeps the table up to date until ctx ends, while this instance is the one that writes it.
func (v *Versions) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(writeInterval):
		case <-ctx.Done():
			return
		}
		if _, err := v.config.Check(readTimeout); err != nil {
			continue
		}
		if err := v.writeChanges(ctx); err != nil {
			v.config.Logger.Debug("failed to write the versions of services", "cause", err)
		}
	}
}

// writeChanges writes the items of the services whose versions have changed. If another
// instance has written them since, they are read again.
func (v *Versions) writeChanges(ctx context.Context) error {
	changed := v.changed()
	if len(changed) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := v.config.Table.Write(ctx, changed)
	if err == nil || errors.Is(err, zinniamast.ErrConflict) {
		// The revisions of the items are needed for the next write.
		return errors.Join(err, v.Read(ctx))
	}
	return err
}

// changed returns the writes that bring the table up to date.
func (v *Versions) changed() []zinniamast.Write {
	v.mu.Lock()
	defer v.mu.Unlock()
	var writes []zinniamast.Write
	for service := range v.seen {
		recent := v.recent(service)
		written, ok := v.written[service]
		if len(recent) == 0 || ok && slices.Equal(recent, written.versions) || len(writes) == zinniamast.MaxWrites {
			continue
		}
		value, err := json.Marshal(versionsItem{
			Versions: recent,
		})
		if err != nil {
			continue // A list of texts can always be encoded.
		}
		writes = append(writes, zinniamast.Write{
			Item: zinniamast.Item{
				Key: zinniamast.Key{
					Partition: Partition,
					Sort:      service,
				},
				Value: value,
			},
			Expect: written.revision,
		})
	}
	return writes
}
