// Package origin remembers the software version of the replica that began each stream. What
// two versions write does not fit together, so a stream goes on only at its own version,
// also at an instance that never saw it.
package origin

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// retention is how long an origin is kept. It exceeds the time in which a caller resumes
	// a stream.
	retention = time.Minute
	// maxOrigins bounds the origins that one instance keeps.
	maxOrigins = 100_000
	// holderCount is the number of instances that hold an origin, and maxAskedHolders how
	// many are asked for it: not all instances know the same ones.
	holderCount     = 2
	maxAskedHolders = 2 * holderCount
	// findTimeout bounds asking the holders, and putTimeout telling them.
	findTimeout = 250 * time.Millisecond
	putTimeout  = time.Second
	// newsTimeout bounds the wait for the next news of replicas, which come every second, and
	// newsInterval is the time between two looks for them.
	newsTimeout  = 1500 * time.Millisecond
	newsInterval = 25 * time.Millisecond
	// flushInterval is how long origins are collected before they are sent to their holders.
	flushInterval = 20 * time.Millisecond
	// observeInterval is the interval at which the versions of all replicas are recorded, and
	// refreshInterval that at which streams are told whose service has several since.
	observeInterval = 2 * time.Second
	refreshInterval = 250 * time.Millisecond
)

// Config configures a Directory.
type Config struct {
	Upstreams *blackboard.Upstreams
	// Versions are the versions that have served; nil means those that Upstreams has had
	// since the directory was created.
	Versions *Versions
	// Holders returns up to count other instances that hold the origin of a stream, the
	// first one first; nil means none.
	Holders func(stream string, count int) []zinniamast.Instance
	// Put tells an instance the origins that it holds, and Find asks it for one.
	Put  func(ctx context.Context, address string, origins []Origin) error
	Find func(ctx context.Context, address string, query Query) (Answer, error)
	// IsFresh reports whether Upstreams has heard of the newest replicas; nil means always.
	IsFresh func() bool
	// HeardAt is the time up to which Upstreams has heard of all replicas; nil means always now.
	HeardAt func() time.Time
	// Table keeps the origins of this instance's streams in the item of Instance; nil means that
	// they are lost with the process.
	Table    zinniamast.Table
	Instance string
	// Nodes returns the number of instances that write to the table; nil means one.
	Nodes func() int
	// Logger logs holders that do not answer; nil means slog's default.
	Logger *slog.Logger
}

// Origin is the software version at which a stream of a service began.
type Origin struct {
	Service string
	// Stream is the ID of the caller's attempt that brought the first event.
	Stream  string
	Version string
}

// Query asks for the origin of a stream.
type Query struct {
	Service string
	Stream  string
}

// Answer is what an instance knows of the version at which a stream began.
type Answer struct {
	Version string
	// IsKnown means that Version is the stream's, as far as the instance knows, and IsRecorded that
	// it is recorded. Otherwise it is the only version that the instance knows.
	IsKnown    bool
	IsRecorded bool
	// IsStale means that the instance may not have heard of a newer version.
	IsStale bool
	// HasSeveral means that the instance knows of several versions, and not which one is the
	// stream's.
	HasSeveral bool
}

// Directory keeps the origins of this instance's streams, and of those that it holds for
// other instances.
//
// An origin is told to its holders only while the service has several versions. If it has
// had one version for as long as streams last, each stream began at it, and neither the
// streams nor their resumption cost a call.
type Directory struct {
	config Config

	mu sync.Mutex
	// own holds the streams that this instance passes on or that broke off here, and held
	// those that it holds for others.
	own  map[string]record
	held map[string]record
	// queued holds the origins that are to be sent, by the address of the holder.
	queued map[string][]Origin
	wake   chan struct{}
}

// record is an origin that is kept until it expires.
type record struct {
	origin  Origin
	expires time.Time
	// isTold reports whether the holders were told.
	isTold bool
}

// New returns an empty directory.
func New(config Config) *Directory {
	if config.Versions == nil {
		config.Versions = NewVersions(VersionsConfig{
			Upstreams:    config.Upstreams,
			IsFirstStart: func() bool { return true },
		})
	}
	if config.Holders == nil {
		config.Holders = func(string, int) []zinniamast.Instance { return nil }
	}
	if config.IsFresh == nil {
		config.IsFresh = func() bool { return true }
	}
	if config.HeardAt == nil {
		config.HeardAt = time.Now
	}
	if config.Nodes == nil {
		config.Nodes = func() int { return 1 }
	}
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Directory{
		config: config,
		own:    map[string]record{},
		held:   map[string]record{},
		queued: map[string][]Origin{},
		wake:   make(chan struct{}, 1),
	}
}

// Began records that a replica of a software version began a stream, or went on with it.
func (d *Directory) Began(service, stream, version string) {
	isSole := d.config.Versions.hasOne(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	put(d.own, Origin{
		Service: service,
		Stream:  stream,
		Version: version,
	})
	if !isSole {
		d.tell(stream)
	}
}

// Ended forgets a stream of this instance, whose caller has received all of it.
func (d *Directory) Ended(stream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.own, stream)
}

// Hold keeps origins for other instances.
func (d *Directory) Hold(origins []Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, origin := range origins {
		put(d.held, origin)
	}
}

// put keeps an origin. A full map loses those that have expired, and then arbitrary ones.
func put(records map[string]record, origin Origin) {
	now := time.Now()
	if len(records) >= maxOrigins {
		dropped := 0
		for stream, r := range records {
			if now.After(r.expires) || dropped < maxOrigins/10 {
				delete(records, stream)
				dropped++
			}
		}
	}
	records[origin.Stream] = record{
		origin:  origin,
		expires: now.Add(retention),
	}
}

// Answer returns what this instance knows of the origin of a stream without asking others.
func (d *Directory) Answer(query Query) Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, records := range []map[string]record{d.own, d.held} {
		if r, ok := records[query.Stream]; ok && r.origin.Service == query.Service && time.Now().Before(r.expires) {
			return Answer{
				Version:    r.origin.Version,
				IsKnown:    true,
				IsRecorded: true,
			}
		}
	}
	version, ok := d.config.Versions.Sole(query.Service)
	return Answer{
		Version:    version,
		IsKnown:    ok,
		IsStale:    ok && !d.config.IsFresh(),
		HasSeveral: !d.config.Versions.hasOne(query.Service),
	}
}

// Find returns the software version at which a stream began. It returns false if neither
// this instance nor the holders of the origin know it.
//
// An instance that was cut off or stood still for a moment does not know that it has missed a new
// version. So the only version that it knows counts if a holder confirms it and none contradicts. If no holder answers,
// it counts if no other one is in the next news of replicas.
func (d *Directory) Find(ctx context.Context, service, stream string) (version string, ok bool) {
	query := Query{
		Service: service,
		Stream:  stream,
	}
	began := time.Now()
	own := d.Answer(query)
	holders := d.config.Holders(stream, maxAskedHolders)
	if own.IsRecorded || len(holders) == 0 {
		return own.Version, own.IsKnown
	}
	asking, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan *Answer, len(holders))
	for _, holder := range holders {
		go func() {
			answer, err := d.config.Find(asking, holder.Address, query)
			if err != nil {
				d.config.Logger.Debug("holder of a stream's origin failed", "peer", holder.ID, "cause", err)
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	tally := tally{
		own:     own,
		sole:    own,
		isSplit: own.HasSeveral,
	}
	isAlone := true
	for range holders {
		answer := <-answers
		if answer == nil {
			continue
		}
		if answer.IsRecorded {
			return answer.Version, true
		}
		isAlone = false
		tally.add(*answer)
	}
	if isAlone && d.awaitNews(ctx, began) {
		own = d.Answer(query)
		return own.Version, own.IsKnown
	}
	return tally.version()
}

// awaitNews waits until this instance has heard of all replicas up to a time, for newsTimeout at most,
// and reports whether it has.
func (d *Directory) awaitNews(ctx context.Context, upTo time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	for d.config.HeardAt().Before(upTo) {
		select {
		case <-time.After(newsInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// tally combines the answers of instances that have no record of a stream.
type tally struct {
	// own is the answer of this instance.
	own Answer
	// sole is the only version that they know, and isSplit reports whether they know of several.
	sole    Answer
	isSplit bool
	// isProven reports whether a holder vouches for the version.
	isProven bool
}

// add adds the answer of a holder. One that knows nothing yet does not count.
func (t *tally) add(answer Answer) {
	t.isSplit = t.isSplit || answer.HasSeveral
	if !answer.IsKnown {
		return
	}
	if t.sole.IsKnown && t.sole.Version != answer.Version {
		t.isSplit = true
	}
	// A holder that may be behind vouches only for what this instance knows by itself.
	t.isProven = t.isProven || !answer.IsStale || t.own.IsKnown
	if !t.sole.IsKnown {
		t.sole = answer
	}
}

// version returns the version on which the instances agree; false if there is none.
func (t *tally) version() (version string, ok bool) {
	if t.isSplit || !t.isProven {
		return "", false
	}
	return t.sole.Version, true
}

// tell queues the origin of a stream of this instance for its holders. The caller holds the
// lock.
func (d *Directory) tell(stream string) {
	holders := d.config.Holders(stream, holderCount)
	r := d.own[stream]
	r.isTold = len(holders) > 0
	d.own[stream] = r
	for _, holder := range holders {
		d.queued[holder.Address] = append(d.queued[holder.Address], r.origin)
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run sends origins to their holders, and stores them, until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	go d.keepStored(ctx)
	observe, refresh := time.NewTicker(observeInterval), time.NewTicker(refreshInterval)
	defer observe.Stop()
	defer refresh.Stop()
	for {
		select {
		case <-d.wake:
			select {
			case <-time.After(flushInterval):
			case <-ctx.Done():
				return
			}
			d.flush(ctx)
		case <-observe.C:
			d.config.Versions.Observe()
		case <-refresh.C:
			d.refresh()
		case <-ctx.Done():
			return
		}
	}
}

// refresh forgets what has expired, and tells the origins of the streams that began before
// their service had several versions.
func (d *Directory) refresh() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, records := range []map[string]record{d.own, d.held} {
		for stream, r := range records {
			if now.After(r.expires) {
				delete(records, stream)
			}
		}
	}
	for stream, r := range d.own {
		if !r.isTold && !d.config.Versions.hasOne(r.origin.Service) {
			d.tell(stream)
		}
	}
}

// flush sends the queued origins, all holders at once.
func (d *Directory) flush(ctx context.Context) {
	d.mu.Lock()
	queued := d.queued
	d.queued = map[string][]Origin{}
	d.mu.Unlock()
	for address, origins := range queued {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, putTimeout)
			defer cancel()
			if err := d.config.Put(ctx, address, origins); err != nil {
				d.config.Logger.Debug("failed to tell the origins of streams", "peer", address, "cause", err)
			}
		}()
	}
}
