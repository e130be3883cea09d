package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast/blackboard"
	"zinniamast/membership"
	"zinniamast/rollout"
)

// ServiceName is the net/rpc name under which a Receiver is registered.
const ServiceName = "Operator"

// Limits of one call and its answer.
const (
	callTimeout       = 10 * time.Second
	maxHistoryEntries = 200
	maxUpstreams      = 10000
)

// Config configures a Receiver. A function is nil if the node lacks the part
// that it reads.
type Config struct {
	// Node is the ID of this node, and FailureDomain its failure domain.
	Node          string
	FailureDomain string
	// Board holds the node's tables of members and upstreams.
	Board *blackboard.Board
	// Rollout stores and distributes configuration changes.
	Rollout *rollout.Rollout
	// Members is the node's membership.
	Members *membership.Membership
	// Leases returns the current leases of the fleet.
	Leases func(ctx context.Context) ([]Lease, error)
	// Unknowns returns the calls whose outcome is unknown.
	Unknowns func(ctx context.Context) ([]UnknownCall, error)
	// Resolve records the outcome of a call whose outcome is unknown.
	Resolve func(ctx context.Context, decision ResolveArgs) error
	// Held returns the quarantined requests, and Free releases one of them.
	Held func() []HeldRequest
	Free func(free FreeArgs) error
	// Scarcity returns the recent refusals and the shares.
	Scarcity func() (refused []RefusedRequests, shares []Share)
	// Refusals returns the number of refusals by reason.
	Refusals func() map[string]uint64
	// Explain returns the history of a request as text, for status -why.
	Explain func(ctx context.Context, request string) (string, error)
}

// Receiver serves the calls of operators. It is registered with
// peer.Server.RegisterOperator.
type Receiver struct {
	config Config
}

// NewReceiver returns a Receiver.
func NewReceiver(config Config) *Receiver {
	return &Receiver{
		config: config,
	}
}

// GetConfigArgs is the argument of Receiver.GetConfig.
type GetConfigArgs struct {
	// Number is the number of the version. Zero means the newest.
	Number uint64
}

// HistoryArgs is the argument of Receiver.History.
type HistoryArgs struct {
	// UpTo is the number of the last version. Zero means the newest.
	UpTo uint64
	// Limit is the maximum number of entries.
	Limit int
}

// HistoryReply holds history entries, newest last.
type HistoryReply struct {
	Entries []rollout.Entry
}

// VersionsArgs is the argument of Receiver.Versions.
type VersionsArgs struct {
	// FailureDomain restricts the answer to one failure domain. Empty means all.
	FailureDomain string
}

// VersionsReply holds the version in force at each node.
type VersionsReply struct {
	Nodes []rollout.NodeVersion
}

// StatusArgs is the argument of Receiver.Status.
type StatusArgs struct {
	// Versions requests the configuration version of every node as well.
	Versions bool
}

// ExplainArgs is the argument of Receiver.Explain.
type ExplainArgs struct {
	// Request is the ID of the request.
	Request string
}

// ExplainReply holds the history of a request as text.
type ExplainReply struct {
	Text string
}

// callContext returns the context of one call.
func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// PutConfig submits a configuration change.
func (r *Receiver) PutConfig(put rollout.Put, reply *rollout.PutReply) error {
	*reply = r.config.Rollout.Put(context.Background(), put)
	return nil
}

// GetConfig returns a complete configuration version.
func (r *Receiver) GetConfig(args GetConfigArgs, reply *rollout.Entry) error {
	ctx, cancel := callContext()
	defer cancel()
	entry, err := r.config.Rollout.Get(ctx, args.Number)
	if err != nil {
		return fmt.Errorf("version %d: %w", args.Number, err)
	}
	if entry == nil {
		return fmt.Errorf("there is no configuration yet")
	}
	*reply = *entry
	return nil
}

// History returns entries of the configuration history.
func (r *Receiver) History(args HistoryArgs, reply *HistoryReply) error {
	ctx, cancel := callContext()
	defer cancel()
	entries, err := r.config.Rollout.History(ctx, args.UpTo, min(max(args.Limit, 1), maxHistoryEntries))
	reply.Entries = entries
	return err
}

// Versions returns the configuration version in force at every node.
func (r *Receiver) Versions(args VersionsArgs, reply *VersionsReply) error {
	ctx, cancel := callContext()
	defer cancel()
	for _, node := range r.config.Rollout.Versions(ctx) {
		if args.FailureDomain == "" || node.FailureDomain == args.FailureDomain {
			reply.Nodes = append(reply.Nodes, node)
		}
	}
	return nil
}

// Explain returns the history of a request as text.
func (r *Receiver) Explain(args ExplainArgs, reply *ExplainReply) error {
	if r.config.Explain == nil {
		return fmt.Errorf("this node keeps no stories of requests")
	}
	ctx, cancel := callContext()
	defer cancel()
	text, err := r.config.Explain(ctx, args.Request)
	reply.Text = text
	return err
}

// Status returns the node's view of the fleet. A part that cannot be read is
// listed in Failures, and the others are returned.
func (r *Receiver) Status(args StatusArgs, reply *Status) error {
	ctx, cancel := callContext()
	defer cancel()
	*reply = Status{
		Node:          r.config.Node,
		FailureDomain: r.config.FailureDomain,
		Now:           time.Now(),
		Isolated:      r.config.Members.Isolated(),
		ConfigCurrent: r.config.Rollout.IsCurrent(),
		Members:       r.members(),
		Domains:       r.config.Members.Domains(),
		Upstreams:     r.upstreams(),
	}
	if r.config.Refusals != nil {
		reply.Refusals = r.config.Refusals()
	}
	if r.config.Scarcity != nil {
		reply.RefusedRecently, reply.Shares = r.config.Scarcity()
	}
	if r.config.Held != nil {
		reply.Held = r.config.Held()
	}
	var err error
	if r.config.Leases != nil {
		if reply.Leases, err = r.config.Leases(ctx); err != nil {
			reply.Failures = append(reply.Failures, fmt.Sprintf("leases: %v", err))
		}
	}
	if r.config.Unknowns != nil {
		if reply.Unknowns, err = r.config.Unknowns(ctx); err != nil {
			reply.Failures = append(reply.Failures, fmt.Sprintf("unknowns: %v", err))
		}
	}
	if args.Versions {
		reply.Versions = r.config.Rollout.Versions(ctx)
	}
	return nil
}

func (r *Receiver) members() []Member {
	var members []Member
	for _, m := range r.config.Board.Members.All() {
		state := "alive"
		if m.Leaving {
			state = "leaving"
		}
		if m.Dead {
			state = "dead"
		}
		members = append(members, Member{
			ID:            m.ID,
			FailureDomain: m.FailureDomain,
			Address:       m.Address,
			Incarnation:   m.Incarnation,
			Weight:        m.Weight,
			State:         state,
			Heard:         m.Heard,
			ConfigVersion: m.ConfigVersion,
		})
	}
	return members
}

func (r *Receiver) upstreams() []Upstream {
	var upstreams []Upstream
	for _, u := range r.config.Board.Upstreams.All() {
		upstreams = append(upstreams, Upstream{
			ID:            u.Instance.ID,
			FailureDomain: u.Instance.FailureDomain,
			Service:       u.Instance.Service,
			Leaving:       u.Leaving(),
			LeavesAt:      u.LeavesAt(),
			Inflight:      u.Inflight(),
		})
	}
	slices.SortFunc(upstreams, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return upstreams[:min(len(upstreams), maxUpstreams)]
}

// CountsByLabel sums a counter by the values of one of its labels. It implements
// Config.Refusals.
func CountsByLabel(gatherer prometheus.Gatherer, name, label string) map[string]uint64 {
	counts := map[string]uint64{}
	families, err := gatherer.Gather()
	if err != nil {
		return counts
	}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, pair := range metric.GetLabel() {
				if pair.GetName() == label {
					counts[pair.GetValue()] += uint64(metric.GetCounter().GetValue())
				}
			}
		}
	}
	return counts
}
