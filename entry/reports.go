package entry

import (
	"context"

	"zinniamast"
	"zinniamast/platform"
	"zinniamast/reports"
	"zinniamast/roster"
)

// reportsName is the RPC service name under which nodes exchange replicas' load reports.
const reportsName = "Reports"

// buildReports builds the sharing of the replicas' load reports.
func (e *Entry) buildReports() error {
	s := e.config.Settings
	e.reports = reports.New(reports.Config{
		Node:           s.Instance,
		FailureDomain:  s.FailureDomain,
		FailureDomains: s.FailureDomains,
		Upstreams:      e.board.Upstreams,
		Source:         platform.Reports{},
		Reader:         e.reportReader,
		Contacts:       e.reportContacts,
		IsPlain:        e.isPlain,
		Demand:         e.demand,
		Rollouts:       e.rollouts,
		OnReport:       e.handleReport,
		Logger:         e.config.Logger,
	})
	return e.peerServer.RegisterPeer(reportsName, &ReportReceiver{sharer: e.reports})
}

// handleReport passes a load report to the routing policy, if the policy uses them.
func (e *Entry) handleReport(replica string, report zinniamast.LoadReport) {
	if e.onReport != nil {
		e.onReport(replica, report)
	}
}

// reportContacts returns the instances of a failure domain, the likely reader first.
func (e *Entry) reportContacts(failureDomain string) []reports.Peer {
	var contacts []reports.Peer
	for _, address := range roster.Contacts(failureDomain, e.roster.Instances(), e.board.Members.All()) {
		contacts = append(contacts, peerClient{
			entry:   e,
			address: address,
		})
	}
	return contacts
}

// ReportReceiver serves load reports to other nodes.
type ReportReceiver struct {
	sharer *reports.Sharer
}

// Since returns the reports after a position.
func (r *ReportReceiver) Since(query reports.Query, reply *reports.Answer) error {
	*reply = r.sharer.Answer(context.Background(), query)
	return nil
}
