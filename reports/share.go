package reports

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
	"zinniamast/demand"
)

// Source reads the load report of a replica.
type Source interface {
	Load(ctx context.Context, upstream *blackboard.Upstream) (zinniamast.LoadReport, error)
}

// Query is a query for the reports of another node.
type Query struct {
	// FailureDomain restricts the answer to its replicas; empty means all.
	FailureDomain string
	Position      uint64
	Wait          time.Duration
	// Node is the querying node, and Loads its own load; both are empty if it belongs
	// to another failure domain.
	Node  string
	Loads demand.Loads
	// Rollouts are the querying node's reports on rollouts. The answer contains those of its
	// failure domain, or of all if IsJudge is set.
	Rollouts []canary.NodeReport
	IsJudge  bool
}

// Rollouts collects what nodes report on rollouts; package canary implements it.
type Rollouts interface {
	// Report returns this node's reports, and IsJudge whether it needs those of all nodes.
	Report() []canary.NodeReport
	IsJudge() bool
	// IsActive reports whether a rollout is in progress.
	IsActive() bool
	// ReceiveNode records the reports of a node of this failure domain, and SumDomain sums
	// them up.
	ReceiveNode(node string, reports []canary.NodeReport)
	SumDomain()
	// Domains returns the sums of one failure domain, or of all if it is empty, and
	// ReceiveDomains records them.
	Domains(failureDomain string) []canary.DomainReport
	ReceiveDomains(reports []canary.DomainReport)
}

// Peer fetches reports from another node.
type Peer interface {
	FetchReports(ctx context.Context, query Query) (Answer, error)
}

// Config configures a Sharer.
type Config struct {
	// Node is this instance's name.
	Node string
	// FailureDomain is this node's failure domain; FailureDomains lists all.
	FailureDomain  string
	FailureDomains []string
	Upstreams      *blackboard.Upstreams
	Source         Source
	// Reader returns the node that reads this failure domain's replicas; nil means
	// this node.
	Reader func() Peer
	// Contacts returns the nodes of another failure domain, the most suitable first.
	Contacts func(failureDomain string) []Peer
	// IsPlain reports whether a service's replicas send no load reports.
	IsPlain func(service string) bool
	// Demand is the load of the services, sent together with the reports.
	Demand *demand.Demand
	// Rollouts are sent together with the reports; nil means that there are none.
	Rollouts Rollouts
	// OnReport receives each new report.
	OnReport func(replica string, report zinniamast.LoadReport)
	// Logger logs replicas and nodes that do not answer; nil means slog.Default.
	Logger *slog.Logger
}

// Sharer reads reports from replicas or fetches them from other nodes.
//
// When 91 nodes send 570 prompts a second to 60 replicas, each node knows only
// its own six a second. Load that nodes send each other is four seconds old at
// that size, longer than a request runs, so prompts go to full replicas while
// others are idle. Instead, one node of each failure domain reads each of its
// replicas every 0.3 s, which costs 3 readings a second per replica whatever the
// number of nodes.
type Sharer struct {
	config Config
	board  *Board
	// lastRead is the ID of the replica that was read last, if they are read in turns.
	lastRead string
}

// New returns a sharer without any reports; Run starts it.
func New(config Config) *Sharer {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Rollouts == nil {
		config.Rollouts = canary.New(canary.Config{
			Upstreams: config.Upstreams,
		})
	}
	return &Sharer{
		config: config,
		board:  NewBoard(),
	}
}

// Answer answers the query of another node.
func (s *Sharer) Answer(ctx context.Context, query Query) Answer {
	if query.Node != "" {
		s.config.Demand.ReceiveNode(query.Node, query.Loads)
		s.config.Rollouts.ReceiveNode(query.Node, query.Rollouts)
	}
	answer := s.board.Since(ctx, query.FailureDomain, query.Position, min(query.Wait, maxQueryWait))
	answer.Demand = s.config.Demand.Domains(query.FailureDomain)
	asked := query.FailureDomain
	if query.Node != "" && !query.IsJudge {
		// Others may know this node of the failure domain and not its reader.
		asked = s.config.FailureDomain
	}
	answer.Rollouts = s.config.Rollouts.Domains(asked)
	return answer
}

const (
	// queryWait is how long another node may wait for a report before it answers;
	// while replicas run there is one every readInterval.
	queryWait = time.Second
	// rolloutQueryWait is queryWait while a rollout is in progress, whose counts are to
	// arrive soon.
	rolloutQueryWait = 300 * time.Millisecond
	// maxQueryWait bounds the wait that other nodes may ask for.
	maxQueryWait = 2 * time.Second
	// queryTimeout is the time after which an unanswered query counts as failed.
	queryTimeout = 1300 * time.Millisecond
	// retryDelay is the pause after a failed query of the reader, after all contacts of
	// a failure domain have failed, or while there is no node to query.
	retryDelay = 500 * time.Millisecond
)

// Run reads replicas and queries other nodes until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.shareOwnDomain(ctx) })
	for _, domain := range s.config.FailureDomains {
		if domain != s.config.FailureDomain {
			loops.Go(func() { s.shareOtherDomain(ctx, domain) })
		}
	}
	loops.Wait()
}

// shareOwnDomain reads this failure domain's replicas, or fetches all reports
// from the node that does.
func (s *Sharer) shareOwnDomain(ctx context.Context) {
	position := uint64(0)
	for ctx.Err() == nil {
		peer := s.config.Reader()
		if peer == nil {
			s.config.Demand.SumDomain()
			s.config.Rollouts.SumDomain()
			s.readAll(ctx)
			pause(ctx, readInterval)
			continue
		}
		answer, err := s.query(ctx, peer, Query{
			Position: position,
			Node:     s.config.Node,
			Loads:    s.config.Demand.Own(),
			Rollouts: s.config.Rollouts.Report(),
			IsJudge:  s.config.Rollouts.IsJudge(),
		})
		position = answer.Position
		if err != nil {
			pause(ctx, retryDelay)
		}
	}
}

// shareOtherDomain fetches another failure domain's reports if this node is the
// reader of its own. It queries one contact until that fails or knows nothing of its
// failure domain, and then the next.
func (s *Sharer) shareOtherDomain(ctx context.Context, domain string) {
	position := uint64(0)
	failures := 0
	for ctx.Err() == nil {
		var contacts []Peer
		if s.config.Reader() == nil {
			contacts = s.config.Contacts(domain)
		}
		if len(contacts) == 0 {
			pause(ctx, retryDelay)
			continue
		}
		answer, err := s.query(ctx, contacts[failures%len(contacts)], Query{
			FailureDomain: domain,
			Position:      position,
		})
		position = answer.Position
		_, known := answer.Demand[domain]
		knowsRollouts := !s.config.Rollouts.IsActive() || len(answer.Rollouts) > 0
		if err == nil && known && knowsRollouts {
			continue
		}
		failures++
		if failures%len(contacts) == 0 {
			pause(ctx, retryDelay)
		}
	}
}

// query stores the answer of a peer and returns it. Continuing from a position that
// came from another peer is harmless: the answer contains reports that are known
// already or, once, no new ones.
func (s *Sharer) query(ctx context.Context, peer Peer, query Query) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	query.Wait = queryWait
	if s.config.Rollouts.IsActive() {
		query.Wait = rolloutQueryWait
	}
	answer, err := peer.FetchReports(ctx, query)
	if err != nil {
		s.config.Logger.Debug("fetching load reports from another node failed", "failure_domain", query.FailureDomain, "cause", err)
		return Answer{}, err
	}
	s.apply(answer.Reports)
	for domain, load := range answer.Demand {
		s.config.Demand.ReceiveDomain(domain, load)
	}
	s.config.Rollouts.ReceiveDomains(answer.Rollouts)
	return answer, nil
}

// apply stores reports on the board and passes the new ones to Config.OnReport.
func (s *Sharer) apply(reports []Report) {
	now := time.Now()
	for _, r := range s.board.Put(reports) {
		s.config.OnReport(r.Replica, zinniamast.LoadReport{
			At:           now.Add(-r.Age),
			Running:      r.Running,
			Waiting:      r.Waiting,
			QueuedTokens: r.QueuedTokens,
		})
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
