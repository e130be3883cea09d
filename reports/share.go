package reports

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/demand"
)

// Source reads one replica's report.
type Source interface {
	Load(ctx context.Context, upstream *blackboard.Upstream) (zinniamast.LoadReport, error)
}

// Ask is a node's question to another.
type Ask struct {
	// FailureDomain restricts the answer to its replicas; empty means all.
	FailureDomain string
	Position      uint64
	Wait          time.Duration
	// Node asks, and Loads are what it is asked itself; empty where it is of
	// another failure domain.
	Node  string
	Loads demand.Loads
}

// Peer is another node's board.
type Peer interface {
	TellReports(ctx context.Context, ask Ask) (Told, error)
}

// Config says who reads and who hears.
type Config struct {
	// Node is this instance's name.
	Node string
	// FailureDomain is this node's, and FailureDomains are all.
	FailureDomain  string
	FailureDomains []string
	Upstreams      *blackboard.Upstreams
	Source         Source
	// Reader returns the node that reads this failure domain's replicas; nil
	// means that this node does.
	Reader func() Peer
	// Contact returns a node of another failure domain, or nil if none is known.
	Contact func(failureDomain string) Peer
	// Plain says whether a service's replicas tell no load.
	Plain func(service string) bool
	// Demand is what the nodes are asked, which travels with the reports.
	Demand *demand.Demand
	// Hear takes in each new report.
	Hear func(replica string, report zinniamast.LoadReport)
	// Logger hears of readers that do not answer; nil means slog's default.
	Logger *slog.Logger
}

// Sharer reads reports or hears them from others.
//
// Load: 91 nodes send 570 prompts a second to 60 replicas. Each alone knows of
// its own six a second, and what nodes told each other of theirs was four
// seconds old at that size, longer than a request runs; prompts met full
// replicas beside idle ones. A reading of each replica each 0.3 s, by one node
// of its failure domain, costs 3 questions a second and replica whatever the
// number of nodes.
type Sharer struct {
	config Config
	board  *Board
}

// New returns a sharer that knows nothing; Run starts it.
func New(config Config) *Sharer {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Sharer{
		config: config,
		board:  NewBoard(),
	}
}

// Tell answers another node.
func (s *Sharer) Tell(ctx context.Context, ask Ask) Told {
	if ask.Node != "" {
		s.config.Demand.HearNode(ask.Node, ask.Loads)
	}
	told := s.board.Since(ctx, ask.FailureDomain, ask.Position, min(ask.Wait, longestWait))
	told.Demand = s.config.Demand.Domains(ask.FailureDomain)
	return told
}

const (
	// askWait is how long a node is asked to wait for a report; while replicas
	// live there is one each readInterval.
	askWait = time.Second
	// longestWait bounds what others may ask for.
	longestWait = 2 * time.Second
	// askTimeout is when a node counts as silent.
	askTimeout = 1300 * time.Millisecond
	// againAfter is the pause after a question that failed.
	againAfter = 500 * time.Millisecond
)

// Run reads and asks until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.own(ctx) })
	for _, domain := range s.config.FailureDomains {
		if domain != s.config.FailureDomain {
			loops.Go(func() { s.other(ctx, domain) })
		}
	}
	loops.Wait()
}

// own reads this failure domain's replicas, or hears of all from the node that does.
func (s *Sharer) own(ctx context.Context) {
	position := uint64(0)
	for ctx.Err() == nil {
		peer := s.config.Reader()
		if peer == nil {
			s.config.Demand.Sum()
			s.readAll(ctx)
			pause(ctx, readInterval)
			continue
		}
		position = s.ask(ctx, peer, Ask{
			Position: position,
			Node:     s.config.Node,
			Loads:    s.config.Demand.Own(),
		})
	}
}

// other hears another failure domain's reports for this one, if this node reads.
func (s *Sharer) other(ctx context.Context, domain string) {
	position := uint64(0)
	for ctx.Err() == nil {
		var peer Peer
		if s.config.Reader() == nil {
			peer = s.config.Contact(domain)
		}
		if peer == nil {
			pause(ctx, againAfter)
			continue
		}
		position = s.ask(ctx, peer, Ask{
			FailureDomain: domain,
			Position:      position,
		})
	}
}

// ask takes in what a peer tells and returns where to go on. A position that
// another peer gave is harmless: it gets too much or, once, nothing new.
func (s *Sharer) ask(ctx context.Context, peer Peer, ask Ask) uint64 {
	asked, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ask.Wait = askWait
	told, err := peer.TellReports(asked, ask)
	if err != nil {
		s.config.Logger.Debug("no reports told", "failure_domain", ask.FailureDomain, "cause", err)
		pause(ctx, againAfter)
		return 0
	}
	s.take(told.Reports)
	for domain, demand := range told.Demand {
		s.config.Demand.HearDomain(domain, demand)
	}
	return told.Position
}

// take puts reports on the board and passes new ones on.
func (s *Sharer) take(reports []Report) {
	now := time.Now()
	for _, r := range s.board.Put(reports) {
		s.config.Hear(r.Replica, zinniamast.LoadReport{
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
