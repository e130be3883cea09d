package entry

import (
	"context"

	"zinniamast"
	"zinniamast/platform"
	"zinniamast/reports"
)

// reportsName is the name under which nodes tell each other replicas' reports.
const reportsName = "Reports"

// shareReports builds what knows the replicas' load.
func (e *Entry) shareReports() error {
	s := e.config.Settings
	e.reports = reports.New(reports.Config{
		Node:           s.Instance,
		FailureDomain:  s.FailureDomain,
		FailureDomains: s.FailureDomains,
		Upstreams:      e.board.Upstreams,
		Source:         platform.Reports{},
		Reader:         e.reportReader,
		Contact:        e.reportContact,
		IsPlain:        e.isPlain,
		Demand:         e.demand,
		OnReport:       e.heardReport,
		Logger:         e.config.Logger,
	})
	return e.peers.RegisterPeer(reportsName, &ReportTeller{sharer: e.reports})
}

// heardReport passes a report on to the policy, if it takes them.
func (e *Entry) heardReport(replica string, report zinniamast.LoadReport) {
	if e.reported != nil {
		e.reported(replica, report)
	}
}

// reportContact returns any living node of another failure domain.
func (e *Entry) reportContact(failureDomain string) reports.Peer {
	for _, member := range e.board.Members.All() {
		if member.FailureDomain == failureDomain && !member.Dead && !member.Leaving {
			return neighbour{
				entry:   e,
				address: member.Address,
			}
		}
	}
	return nil
}

// ReportTeller answers other nodes.
type ReportTeller struct {
	sharer *reports.Sharer
}

// Since answers the reports after a position.
func (t *ReportTeller) Since(ask reports.Query, reply *reports.Answer) error {
	*reply = t.sharer.Answer(context.Background(), ask)
	return nil
}
