package soak

import (
	"fmt"
	"net/http"
	"strings"
)

// Summary is what a soak saw.
type Summary struct {
	// Faults are what was injected, with their times.
	Faults []string
	// Requests were sent, and Served answered with success; Refused were
	// answered with a promise that they have not run.
	Requests int
	Served   int
	Refused  int
	// Broken are the promises that did not hold, a line each.
	Broken []string
}

// check compares what callers got with what replicas ran.
func (c *crowd) check() Summary {
	s := Summary{
		Requests: len(c.outcomes),
	}
	ran := map[string]int{}
	for _, r := range c.deployment.replicas {
		for _, run := range r.Runs() {
			if !c.deployment.sent(run.ID) {
				s.broke("a request %q ran that nobody sent", run.ID)
			}
			if run.Body != bodyOf(run.ID) {
				s.broke("%s ran with the body %q", run.ID, run.Body)
			}
			if !run.Refused {
				ran[run.ID]++
			}
		}
	}
	for i := range c.outcomes {
		s.judge(&c.outcomes[i], ran[c.outcomes[i].id])
	}
	return s
}

// judge judges one request that replicas ran so many times.
func (s *Summary) judge(o *outcome, ran int) {
	if o.unsafe && ran > 1 {
		s.broke("%s ran %d times", o.id, ran)
	}
	switch o.status {
	case http.StatusOK:
		s.Served++
		if o.err == nil && !strings.HasSuffix(o.body, "ran "+o.id) {
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
