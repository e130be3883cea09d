package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"zinniamast/standin/replica"
)

const (
	// rateLimit is the requests per second that a replica in need names.
	rateLimit = 2
	// limitDuration is how long it names them, and contactTime the time from then on
	// within which all instances must know.
	limitDuration = 14 * time.Second
	contactTime   = 3 * time.Second
	// limitWindow is the time over which requests are counted. The replica may get
	// limitOverage times what it names, and limitSlack more.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// RunLimited runs a deployment of which one replica names a rate limit for a time, while
// instances are reloaded, stopped and started one after the other. The summary has a
// violation if the replica gets more than it allows, from all instances together, or none
// at all, or if an instance keeps to the limit after its end.
func RunLimited(tb testing.TB, c Config) Summary {
	tb.Helper()
	d := newDeployment(tb, c)
	inNeed := d.replicas[0]
	var from, until time.Time
	s := d.soak(c.Seed, func() []string {
		time.Sleep(time.Second)
		inNeed.SetRateLimit(rateLimit)
		from = time.Now()
		d.restartInTurn(from.Add(limitDuration))
		inNeed.SetRateLimit(0)
		until = time.Now()
		time.Sleep(recoveryTime)
		return nil
	})
	most := mostInWindow(inNeed, from.Add(contactTime), until)
	if float64(most) > limitOverage*rateLimit*limitWindow.Seconds()+limitSlack {
		s.addViolation("%s got %d requests in %v, at %v a second", inNeed.ID, most, limitWindow, rateLimit)
	}
	if during := received(inNeed, from.Add(contactTime), until); during == 0 {
		s.addViolation("%s got no request while it named a limit", inNeed.ID)
	}
	for _, n := range d.nodes {
		lines := n.limitLines()
		if len(lines) > 0 && !strings.Contains(lines[len(lines)-1], "no more") {
			s.addViolation("%s keeps to the limit %v after its end: %v", n.name, recoveryTime, lines)
		}
	}
	s.Faults = append(s.Faults, fmt.Sprintf("%s named a limit of %v a second for %v: at most %d in %v", inNeed.ID, rateLimit, until.Sub(from).Round(time.Millisecond), most, limitWindow))
	return s
}

// limitLines returns the log lines of an instance's process on limits that start and end.
func (n *node) limitLines() (found []string) {
	for line := range strings.Lines(n.process.Logs()) {
		if strings.Contains(line, "limits its requests") {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// restartInTurn reloads each instance and stops and starts it again, one after the other,
// and returns at the given time.
func (d *deployment) restartInTurn(until time.Time) {
	for _, n := range d.nodes {
		from := time.Now()
		n.process.Hangup()
		n.process.Terminate()
		_ = n.process.Wait(stopTimeout) // The process logs how it ended.
		d.startNode(n)
		d.waitReady(n)
		d.recordNodeFault(n, from)
		if time.Now().After(until) {
			return
		}
	}
	time.Sleep(time.Until(until))
}

// received returns the number of requests that a replica received within a period.
func received(r *replica.Replica, from, until time.Time) int {
	count := 0
	for _, run := range r.Runs() {
		if !run.Received.Before(from) && run.Received.Before(until) {
			count++
		}
	}
	return count
}

// mostInWindow returns the most requests that a replica received in any window of a period.
func mostInWindow(r *replica.Replica, from, until time.Time) int {
	most := 0
	for _, run := range r.Runs() {
		at := run.Received
		if !at.Before(from) && at.Before(until) {
			end := at.Add(limitWindow)
			if end.After(until) {
				end = until
			}
			most = max(most, received(r, at, end))
		}
	}
	return most
}
