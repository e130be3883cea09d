package entry

import (
	"context"
	"time"

	"zinniamast"
	"zinniamast/origin"
	"zinniamast/roster"
)

const (
	// originsName is the RPC service name of the origins of streams.
	originsName = "Origins"
	// maxReplicaAge is the time without an answer of the store after which this instance may
	// not know the newest replicas. An idle feed answers every second.
	maxReplicaAge = 3 * time.Second
)

// buildOrigins builds the directory of the software versions at which streams began.
func (e *Entry) buildOrigins() error {
	e.versions = origin.NewVersions(origin.VersionsConfig{
		Upstreams:    e.board.Upstreams,
		Table:        e.table,
		IsFirstStart: func() bool { return e.roster.Arrival() == roster.ArrivalFirst },
		Check:        e.lease.Check,
		Logger:       e.config.Logger,
	})
	e.origins = origin.New(origin.Config{
		Upstreams: e.board.Upstreams,
		Versions:  e.versions,
		Holders:   e.originHolders,
		Put:       e.putOrigins,
		Find:      e.findOrigin,
		IsFresh:   func() bool { return e.follower.HasHeard(maxReplicaAge) },
		HeardAt:   e.follower.HeardAt,
		Table:     e.table,
		Instance:  e.config.Settings.Instance,
		Nodes:     func() int { return len(e.roster.Instances()) },
		Logger:    e.config.Logger,
	})
	return e.peerServer.RegisterPeer(originsName, &OriginReceiver{
		directory: e.origins,
	})
}

// originHolders returns up to count other instances that hold the origin of a stream. Those
// that are known to be gone come last.
func (e *Entry) originHolders(stream string, count int) []zinniamast.Instance {
	var alive, gone []zinniamast.Instance
	for _, instance := range e.roster.Holders(stream, 2*count+1) {
		member, known := e.board.Members.Get(instance.ID)
		switch {
		case instance.ID == e.config.Settings.Instance:
		case known && (member.Dead || member.Leaving):
			gone = append(gone, instance)
		default:
			alive = append(alive, instance)
		}
	}
	all := append(alive, gone...)
	return all[:min(count, len(all))]
}

// putOrigins tells another instance the origins that it holds.
func (e *Entry) putOrigins(ctx context.Context, address string, origins []origin.Origin) error {
	return e.peerPool.Call(ctx, address, originsName+".Put", origins, &struct{}{})
}

// findOrigin asks another instance for the origin of a stream.
func (e *Entry) findOrigin(ctx context.Context, address string, query origin.Query) (origin.Answer, error) {
	var answer origin.Answer
	err := e.peerPool.Call(ctx, address, originsName+".Find", query, &answer)
	return answer, err
}

// OriginReceiver serves the calls of other instances for the origins of streams.
type OriginReceiver struct {
	directory *origin.Directory
}

// Put holds origins for another instance.
func (r *OriginReceiver) Put(origins []origin.Origin, _ *struct{}) error {
	r.directory.Hold(origins)
	return nil
}

// Find returns what this instance knows of the origin of a stream.
func (r *OriginReceiver) Find(query origin.Query, answer *origin.Answer) error {
	*answer = r.directory.Answer(query)
	return nil
}
