package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniamast/standin/replica"
)

const (
	// rolloutVersion is the software version that a rollout moves requests to, and
	// rolloutWithin the time that the operator gives it.
	rolloutVersion = "v3"
	rolloutWithin  = 16 * time.Second
	// rolloutLimit is the time from the order until a rollout must have ended, with the
	// faults of its first seconds.
	rolloutLimit = 35 * time.Second
	// exposureShare and exposureSlack are the bounds of the settings.
	exposureShare = 0.1
	exposureSlack = 50
	// endSettleTime is the time from the end of a rollout until nothing reaches a version
	// that was rolled back.
	endSettleTime = time.Second
)

// RunRollout orders a rollout under faults, of a version that is bad or good, and checks that
// it ends as it must: a bad version is rolled back before it has had more requests than the
// bound, and no request is lost when the replicas of the old versions stop.
func RunRollout(tb testing.TB, c Config, isBad bool) Summary {
	tb.Helper()
	d := newDeployment(tb, c)
	r := &rolloutRun{
		deployment: d,
		ordered:    time.Now(),
	}
	s := d.soak(c.Seed, func() []string {
		d.store.Put("op", "rollout/svc", fmt.Appendf(nil, `{"service":"svc","to":%q,"durationS":%g}`, rolloutVersion, rolloutWithin.Seconds()))
		for i := range replicasPerDomain * len(failureDomains) {
			id := fmt.Sprintf("i-%d", len(d.allReplicas()))
			d.addReplica(id, failureDomains[i%len(failureDomains)], rolloutVersion)
			if isBad {
				d.allReplicas()[len(d.allReplicas())-1].SetBehaviour(replica.Behaviour{
					Status: http.StatusInternalServerError,
				})
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.FaultDuration)
		defer cancel()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.watch()
		}()
		injected := d.injectRolloutFaults(ctx, c)
		<-ended
		time.Sleep(endSettleTime)
		return append(injected, r.story()...)
	})
	r.check(&s, isBad)
	return s
}

// injectRolloutFaults injects the faults that leave the versions of the replicas, and how
// good they are, to the rollout.
func (d *deployment) injectRolloutFaults(ctx context.Context, c Config) []string {
	c.keepsReplicas = true
	return d.injectFaults(ctx, c)
}

// changesReplicas reports whether a fault replaces replicas or changes how they answer.
func (f fault) changesReplicas() bool {
	return f.name == "replica leaves" || f.name == "replica misbehaves"
}

// rolloutRun is what was seen of a rollout.
type rolloutRun struct {
	deployment *deployment
	ordered    time.Time
	// states are the states in the order in which operators read them, and endedAt is when
	// the last one began.
	states  []string
	endedAt time.Time
}

// watch reads the state until it is final, and then stops the replicas that end with it.
func (r *rolloutRun) watch() {
	d := r.deployment
	for deadline := r.ordered.Add(rolloutLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		state := r.read()
		if state != "" && (len(r.states) == 0 || r.states[len(r.states)-1] != state) {
			r.states = append(r.states, state)
			r.endedAt = time.Now()
		}
		if state == "completed" {
			d.stopVersions(func(version string) bool { return version != rolloutVersion })
		}
		if state == "completed" || state == "rolled_back" {
			return
		}
	}
}

// read returns the state that operators read; empty if there is none.
func (r *rolloutRun) read() string {
	for _, row := range r.deployment.store.Rows("status", "") {
		var status struct {
			State string `json:"state"`
		}
		if row.Key == "rollout/svc" && json.Unmarshal(row.Value, &status) == nil {
			return status.State
		}
	}
	return ""
}

// stopVersions stops replicas without notice, and deletes their entries.
func (d *deployment) stopVersions(matches func(version string) bool) {
	for _, r := range d.allReplicas() {
		if matches(d.versionOf(r.ID)) {
			r.Close()
			d.store.Remove("servers", r.ID)
			d.mu.Lock()
			d.removed = append(d.removed, r)
			d.mu.Unlock()
		}
	}
}

// story tells how the rollout went, with the lines of its leaders.
func (r *rolloutRun) story() []string {
	var lines []string
	for _, n := range r.deployment.nodes {
		for _, p := range append(slices.Clone(n.previous), n.process) {
			for line := range strings.Lines(p.Logs()) {
				if strings.Contains(line, `msg="rollout`) {
					lines = append(lines, "\n\t"+n.name+" "+strings.TrimSpace(line))
				}
			}
		}
	}
	slices.Sort(lines)
	return append(lines, fmt.Sprintf("rollout: %s, ended after %v", strings.Join(r.states, ", "), r.endedAt.Sub(r.ordered).Round(time.Millisecond)))
}

// check checks how the rollout ended.
func (r *rolloutRun) check(s *Summary, isBad bool) {
	want := []string{"in_progress", "completed"}
	if isBad {
		want[1] = "rolled_back"
	}
	if !slices.Equal(r.states, want) {
		s.addViolation("the rollout's states were %v instead of %v", r.states, want)
	}
	if !isBad {
		return
	}
	arrivals, late := 0, 0
	for _, each := range r.deployment.allReplicas() {
		if r.deployment.versionOf(each.ID) != rolloutVersion {
			continue
		}
		for _, run := range each.Runs() {
			arrivals++
			if run.Received.After(r.endedAt.Add(endSettleTime)) {
				late++
			}
		}
	}
	if bound := exposureShare*float64(s.Requests) + exposureSlack; float64(arrivals) > bound {
		s.addViolation("the bad version got %d of %d requests", arrivals, s.Requests)
	}
	if late > 0 {
		s.addViolation("the bad version got %d requests after it was rolled back", late)
	}
}
