package soak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"zinniamast/standin/replica"
)

// Summary is the result of a soak.
type Summary struct {
	// Faults lists the injected faults with their start times.
	Faults []string
	// Requests counts the requests sent, Served those that got a complete answer,
	// and Refused those whose refusal states that they have not run.
	Requests int
	Served   int
	Refused  int
	// Unanswered counts the requests that ended without an answer for an acceptable
	// reason, by that reason.
	Unanswered map[lossReason]int
	// Resumed counts the streams that callers resumed, and WentOn those that brought further
	// events.
	Resumed int
	WentOn  int
	// Cut compares instances that were cut off from all replicas with the others.
	Cut CutSummary
	// Violations describes the violated guarantees, one line each.
	Violations []string
}

// check compares the answers that callers received with the requests that replicas ran.
func (c *callerPool) check() Summary {
	s := Summary{
		Requests:   len(c.outcomes),
		Unanswered: map[lossReason]int{},
	}
	ran := map[string]executions{}
	for _, r := range c.deployment.allReplicas() {
		for _, run := range r.Runs() {
			if !c.deployment.wasSent(run.ID) {
				s.addViolation("request %q ran without having been sent: at %s, %s %s, %v", run.ID, r.ID, run.Method, run.Target, run.Header)
			}
			if run.Body != requestBody(run.ID) {
				s.addViolation("%s ran with the body %q", run.ID, run.Body)
			}
			if !run.Refused {
				ran[run.ID] = ran[run.ID].add(r, run)
			}
		}
	}
	for i := range c.outcomes {
		o := &c.outcomes[i]
		s.checkOutcome(o, ran[o.id].runs)
		if o.err == nil {
			continue
		}
		reason := c.deployment.acceptableLossReason(o, ran[o.id])
		if reason == "" {
			s.addViolation("%s%s", o.describeLoss(ran[o.id]), o.node.logLines(o.id))
			continue
		}
		s.Unanswered[reason]++
	}
	c.checkCuts(&s)
	c.checkVersions(&s)
	c.deployment.checkRepeats(&s)
	return s
}

// executions are the runs of one request on all replicas.
type executions struct {
	runs int
	// latest is the newest run that a replica answered under its own identity and
	// without a server error, and replica is that replica. Other answers give no
	// information on how a started answer ended.
	latest  *replica.Run
	replica *replica.Replica
}

// add adds a run.
func (w executions) add(r *replica.Replica, run *replica.Run) executions {
	w.runs++
	if run.Behaviour.Faulty() {
		return w
	}
	if w.latest == nil || run.Received.After(w.latest.Received) {
		w.latest, w.replica = run, r
	}
	return w
}

// closeRaceWindow is the time after sending within which a connection may end
// without an answer, because the instance may have closed it before it read the
// request. It is the minimum that deployments allow.
const closeRaceWindow = 200 * time.Millisecond

// lossReason is the reason why a request may end without a complete answer or a
// status. It is empty if there is no acceptable reason.
type lossReason string

const (
	callerTimedOut    lossReason = "the caller's time was up"
	connectionRefused lossReason = "not connected"
	requestNotRead    lossReason = "not read"
	instanceDown      lossReason = "instance killed or paused"
	replicaBrokeOff   lossReason = "replica broke off"
)

// acceptableLossReason returns the reason that makes the loss of a request
// acceptable. A stop, a reload, a new configuration, a store fault and a replica
// that pauses or answers late are not acceptable reasons.
func (d *deployment) acceptableLossReason(o *outcome, w executions) lossReason {
	elapsed := o.ended.Sub(o.sent)
	switch {
	case elapsed >= budget:
		return callerTimedOut
	case d.wasDisturbed(o.node, o.sent, o.ended):
		return instanceDown
	case o.isNotConnected():
		return connectionRefused
	case w.runs == 0 && elapsed <= closeRaceWindow:
		return requestNotRead
	case w.latest == nil:
		return ""
	case w.latest.Behaviour.Breaks() || d.wasDisturbed(d.linkOf(w.replica), w.latest.Received, o.ended):
		return replicaBrokeOff
	default:
		return ""
	}
}

// isNotConnected reports whether no instance listened for the request.
func (o *outcome) isNotConnected() bool { return errors.Is(o.err, syscall.ECONNREFUSED) }

// describeLoss describes a lost request and its latest run.
func (o *outcome) describeLoss(w executions) string {
	line := fmt.Sprintf("%s (%s) was lost at %s after %v, run %d times: status %d, %v", o.id, o.path, o.node.name,
		o.ended.Sub(o.sent).Round(time.Millisecond), w.runs, o.status, o.err)
	if w.latest == nil {
		return line
	}
	b := w.latest.Behaviour
	return fmt.Sprintf("%s; last by %s for %v, which begins after %v and pauses for %v after event %d", line, w.replica.ID,
		o.ended.Sub(w.latest.Received).Round(time.Millisecond), b.Delay, b.Pause, b.PauseAfter)
}

// checkOutcome checks the answer of one request that replicas ran the given number of
// times.
func (s *Summary) checkOutcome(o *outcome, ran int) {
	if o.unsafe && ran > 1 {
		s.addViolation("%s ran %d times", o.id, ran)
	}
	switch o.status {
	case http.StatusOK:
		if o.err != nil {
			break
		}
		s.Served++
		if !o.isComplete() {
			s.addViolation("%s got the answer %q", o.id, o.body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.Refused++
		if o.unsafe && ran > 0 {
			s.addViolation("%s was refused as not run, but it ran", o.id)
		}
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusForbidden:
		s.addViolation("%s got status %d for a request that the configuration allows", o.id, o.status)
	}
}

func (s *Summary) addViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

// isComplete reports whether an answer that ended without an error belongs to this
// request and is complete. A complete stream has each event once and in order.
func (o *outcome) isComplete() bool {
	if o.path != streamPath {
		return strings.HasSuffix(o.body, "ran "+o.id)
	}
	var events strings.Builder
	for i := 1; i <= replica.StreamEvents; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i, replica.EventData(true, o.id, i))
	}
	return o.body == events.String()
}

// checkRecovered checks the state after all faults have ended: removed replicas
// receive no more requests, and every instance has the newest configuration in force.
func (d *deployment) checkRecovered(before map[*replica.Replica]int) []string {
	var s Summary
	for r, runs := range before {
		if now := len(r.Runs()); now > runs {
			s.addViolation("%s got %d requests long after it was removed", r.ID, now-runs)
		}
	}
	for _, n := range d.nodes {
		if status := d.probe(n, versionPath(d.version)); status != http.StatusOK {
			s.addViolation("%s answers %d on the newest route", n.name, status)
		}
		if status := d.probe(n, versionPath(d.version-1)); d.version > 1 && status != http.StatusNotFound {
			s.addViolation("%s answers %d on a route that was removed", n.name, status)
		}
	}
	return s.Violations
}
