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

// Summary is what a soak saw.
type Summary struct {
	// Faults are what was injected, with their times.
	Faults []string
	// Requests were sent, and Served got a whole answer; Refused were
	// answered with a promise that they have not run.
	Requests int
	Served   int
	Refused  int
	// Excused ended without an answer for a reason that excuses it; counted by reason.
	Excused map[excuse]int
	// Broken are the promises that did not hold, a line each.
	Broken []string
}

// check compares what callers got with what replicas ran.
func (c *crowd) check() Summary {
	s := Summary{
		Requests: len(c.outcomes),
		Excused:  map[excuse]int{},
	}
	ran := map[string]work{}
	for _, r := range c.deployment.all() {
		for _, run := range r.Runs() {
			if !c.deployment.sent(run.ID) {
				s.broke("a request %q ran that nobody sent: at %s, %s %s, %v", run.ID, r.ID, run.Method, run.Target, run.Header)
			}
			if run.Body != bodyOf(run.ID) {
				s.broke("%s ran with the body %q", run.ID, run.Body)
			}
			if !run.Refused {
				ran[run.ID] = ran[run.ID].add(r, run)
			}
		}
	}
	for i := range c.outcomes {
		o := &c.outcomes[i]
		s.judge(o, ran[o.id].runs)
		if o.err == nil {
			continue
		}
		why := c.deployment.excuse(o, ran[o.id])
		if why == "" {
			s.broke("%s%s", o.loss(ran[o.id]), o.node.logsOf(o.id))
			continue
		}
		s.Excused[why]++
	}
	return s
}

// work is what replicas did for one request.
type work struct {
	runs int
	// last is the newest run by a replica that answers for itself, and replica where
	// it was. What another one answers tells nothing of how a begun answer ended.
	last    *replica.Run
	replica *replica.Replica
}

// add counts a run.
func (w work) add(r *replica.Replica, run *replica.Run) work {
	w.runs++
	if run.Behaviour.Faulty() {
		return w
	}
	if w.last == nil || run.Received.After(w.last.Received) {
		w.last, w.replica = run, r
	}
	return w
}

// lossSlack is how soon a connection may end on a request that has just been sent:
// the instance may have closed it before it read the request. It is the least that
// deployments allow.
const lossSlack = 200 * time.Millisecond

// excuse is why a request may end without a whole answer or a status; empty if
// it may not.
type excuse string

const (
	timeUp       excuse = "the caller's time was up"
	notConnected excuse = "not connected"
	notRead      excuse = "not read"
	instanceDown excuse = "instance killed or paused"
	replicaBroke excuse = "replica broke off"
)

// excuse judges a request that ended so. A stop, a reload, a new configuration, a
// fault of the store and a replica's silence excuse nothing.
func (d *deployment) excuse(o *outcome, w work) excuse {
	elapsed := o.ended.Sub(o.sent)
	switch {
	case elapsed >= budget:
		return timeUp
	case d.disturbed(o.node, o.sent, o.ended):
		return instanceDown
	case errors.Is(o.err, syscall.ECONNREFUSED):
		return notConnected
	case w.runs == 0 && elapsed <= lossSlack:
		return notRead
	case w.last == nil:
		return ""
	case w.last.Behaviour.Breaks() || d.disturbed(d.linkOf(w.replica), w.last.Received, o.ended):
		return replicaBroke
	default:
		return ""
	}
}

// loss tells what is known of a lost request.
func (o *outcome) loss(w work) string {
	line := fmt.Sprintf("%s (%s) was lost at %s after %v, run %d times: status %d, %v", o.id, o.path, o.node.name,
		o.ended.Sub(o.sent).Round(time.Millisecond), w.runs, o.status, o.err)
	if w.last == nil {
		return line
	}
	b := w.last.Behaviour
	return fmt.Sprintf("%s; last by %s for %v, which begins after %v and pauses for %v after event %d", line, w.replica.ID,
		o.ended.Sub(w.last.Received).Round(time.Millisecond), b.Delay, b.Pause, b.PauseAfter)
}

// judge judges one request that replicas ran so many times.
func (s *Summary) judge(o *outcome, ran int) {
	if o.unsafe && ran > 1 {
		s.broke("%s ran %d times", o.id, ran)
	}
	switch o.status {
	case http.StatusOK:
		if o.err != nil {
			break
		}
		s.Served++
		if !o.whole() {
			s.broke("%s got the answer %q", o.id, o.body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.Refused++
		if o.unsafe && ran > 0 {
			s.broke("%s was told that it has not run, and ran", o.id)
		}
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusForbidden:
		s.broke("%s got status %d for what the configuration allows", o.id, o.status)
	}
}

func (s *Summary) broke(format string, args ...any) {
	s.Broken = append(s.Broken, fmt.Sprintf(format, args...))
}

// whole says whether an answer that ended well is the caller's own and whole: of
// a stream each event once and in order.
func (o *outcome) whole() bool {
	if o.path != streamPath {
		return strings.HasSuffix(o.body, "ran "+o.id)
	}
	var events strings.Builder
	for i := 1; i <= replica.StreamEvents; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i, replica.EventData(true, o.id, i))
	}
	return o.body == events.String()
}

// settled checks what must hold once all faults are over: replicas that left get
// nothing more, and every instance has the newest configuration in force.
func (d *deployment) settled(before map[*replica.Replica]int) []string {
	var s Summary
	for r, runs := range before {
		if now := len(r.Runs()); now > runs {
			s.broke("%s got %d requests long after it left", r.ID, now-runs)
		}
	}
	for _, n := range d.nodes {
		if status := d.probe(n, pathOf(d.version)); status != http.StatusOK {
			s.broke("%s answers %d on the newest route", n.name, status)
		}
		if status := d.probe(n, pathOf(d.version-1)); d.version > 1 && status != http.StatusNotFound {
			s.broke("%s answers %d on a route that was dropped", n.name, status)
		}
	}
	return s.Broken
}
