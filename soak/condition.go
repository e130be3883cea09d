package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"zinniamast/standin/replica"
)

// The replicas of RunConditions have conditionSlots slots each, take brittleSlots requests from
// contactTime after they first say that they are brittle, and answer after conditionDelay.
const (
	conditionSlots  = 4
	brittleSlots    = 3
	brittleBears    = 2
	conditionDelay  = 150 * time.Millisecond
	brittleDuration = 14 * time.Second
	// allowedFailures and a tenth of the replicas may fail in one brittle time.
	allowedFailures = 2
	// restAsked is the rest that a full replica asks for. An instance must keep it from
	// restNoted on, but for restSlack requests.
	restAsked = 2 * time.Second
	restNoted = 500 * time.Millisecond
	restSlack = 2
	// leavingNoted is how long requests may reach a replica from an instance after it has said
	// there that it leaves.
	leavingNoted = 500 * time.Millisecond
)

// RunConditions runs a deployment whose replicas are brittle together for a time, of which one asks
// for rest and one says that it leaves, while instances are reloaded, stopped and started one
// after the other and links to replicas are reset. The summary has a violation if replicas fail
// too often, or if an instance sends more into a rest or to the leaving replica than is allowed.
func RunConditions(tb testing.TB, c Config) Summary {
	tb.Helper()
	c.slots = conditionSlots
	d := newDeployment(tb, c)
	for _, r := range d.replicas {
		r.SetBehaviour(replica.Behaviour{
			Delay: conditionDelay,
		})
	}
	d.setConditions(replica.Condition{
		Slots: conditionSlots,
	})
	s := d.soak(c.Seed, func() []string {
		time.Sleep(time.Second)
		d.setConditions(replica.Condition{
			Slots:         conditionSlots,
			IsBrittle:     true,
			MaxRejections: brittleBears,
		})
		until := time.Now().Add(brittleDuration)
		shrink := time.AfterFunc(contactTime, func() {
			d.setConditions(replica.Condition{
				Slots:         brittleSlots,
				IsBrittle:     true,
				Fails:         true,
				MaxRejections: brittleBears,
			})
		})
		defer shrink.Stop()
		d.restartWhileLinksReset(until, c.Seed, 0)
		d.setConditions(replica.Condition{
			Slots: conditionSlots,
		})
		time.Sleep(recoveryTime)
		return nil
	})
	failures := 0
	for _, r := range d.replicas {
		failures += r.Failures()
		d.checkRests(&s, r)
		d.checkLeaving(&s, r)
	}
	if failures > allowedFailures+len(d.replicas)/10 {
		s.addViolation("brittle replicas failed %d times", failures)
	}
	s.Faults = append(s.Faults, fmt.Sprintf("brittle replicas failed %d times", failures))
	return s
}

// setConditions sets the condition of all replicas. Besides, the first one asks for rest, and the
// second one leaves while it is brittle.
func (d *deployment) setConditions(c replica.Condition) {
	for i, r := range d.replicas {
		own := c
		if i == 0 {
			own.RestFor = restAsked
		}
		own.IsLeaving = i == 1 && c.IsBrittle
		r.SetCondition(own)
	}
}

// restartWhileLinksReset restarts all instances in turn while links are reset, and returns when both
// have ended: the faults of all links are recorded then.
func (d *deployment) restartWhileLinksReset(until time.Time, seed uint64, duration time.Duration) {
	var resets sync.WaitGroup
	resets.Go(func() { d.resetLinks(until, seed, duration) })
	d.restartInTurn(until)
	resets.Wait()
}

// resetLinks resets the links to one replica after the other until a given time. Each resets what
// comes back within the given duration.
func (d *deployment) resetLinks(until time.Time, seed uint64, duration time.Duration) {
	const resetInterval = 1500 * time.Millisecond
	for i := int(seed); time.Now().Add(resetInterval).Before(until); i++ {
		time.Sleep(resetInterval)
		link, from := d.links[i%len(d.links)], time.Now()
		link.Reset()
		time.Sleep(duration)
		link.Clear()
		d.recordDisturbance(link, from)
	}
}

// checkRests checks that instances kept the rests that a replica asked for, unless they were
// restarted meanwhile.
func (d *deployment) checkRests(s *Summary, r *replica.Replica) {
	runs := r.Runs()
	for i, asked := range runs {
		if asked.RestFor == 0 {
			continue
		}
		from, until := asked.Received.Add(restNoted), asked.Received.Add(asked.RestFor)
		n, count := d.askedNode(asked.ID), 0
		for _, run := range runs[i:] {
			if run.Received.After(from) && run.Received.Before(until) && d.askedNode(run.ID) == n {
				count++
			}
		}
		if count > restSlack && !d.wasRestarted(n, asked.Received, until) {
			s.addViolation("%s got %d requests of %s in its rest", r.ID, count, n.name)
		}
	}
}

// checkLeaving checks that instances sent nothing to a replica that had told them that it leaves,
// unless they were restarted since.
func (d *deployment) checkLeaving(s *Summary, r *replica.Replica) {
	told := map[*node]time.Time{}
	for _, run := range r.Runs() {
		n := d.askedNode(run.ID)
		at, ok := told[n]
		if ok && run.Received.Sub(at) > leavingNoted && !d.wasRestarted(n, at, run.Received) {
			s.addViolation("%s got %s of %s %v after it had said that it leaves", r.ID, run.ID, n.name, run.Received.Sub(at))
		}
		if run.IsLeaving && !run.Behaviour.Reset && (!ok || d.wasRestarted(n, at, run.Received)) {
			told[n] = run.Received.Add(conditionDelay)
		}
	}
}

// askedNode returns the instance that a request was sent to.
func (d *deployment) askedNode(id string) *node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.askedNodes[id]
}

// wasRestarted reports whether an instance was restarted within a period.
func (d *deployment) wasRestarted(n *node, from, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.nodeFaults {
		if f.target == n && !f.from.After(until) && !f.until.Before(from) {
			return true
		}
	}
	return false
}
