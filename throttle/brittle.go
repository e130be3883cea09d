package throttle

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// brittleLifetime is how long a service counts as brittle after one of its replicas last said
// so. Replicas that are used say so with each answer.
const brittleLifetime = 10 * time.Second

// brittleService is a service some of whose replicas are brittle.
type brittleService struct {
	// since is when this node first read that a replica is brittle, and heardAt when it last
	// did.
	since    time.Time
	heardAt  time.Time
	replicas map[string]*brittleReplica
}

// brittleReplica is what this node knows of one start of a replica of such a service.
type brittleReplica struct {
	started   time.Time
	isBrittle bool
	// maxRejections is the number of rejections in a second that the replica bears, and
	// namedAt when it last named it.
	maxRejections int
	namedAt       time.Time
	// rejectedAt holds the times of its rejections of this node's requests in the last second.
	rejectedAt []time.Time
}

// recordBrittle records whether a replica said that it is brittle, and whether it rejected a
// request for want of room. An answer that does not say so ends it only if the request was sent
// after the replica last said so, as answers may overtake each other.
func (t *Throttle) recordBrittle(upstream *blackboard.Upstream, sent time.Time, feedback zinniamast.Feedback) {
	instance := &upstream.Instance
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logIgnored(instance, feedback.Unreadable)
	s := t.services[instance.Service]
	if s != nil && now.Sub(s.heardAt) > brittleLifetime {
		delete(t.services, instance.Service)
		s = nil
	}
	if s == nil && !feedback.Condition.IsBrittle {
		return
	}
	if s == nil {
		s = &brittleService{
			since:    now,
			replicas: map[string]*brittleReplica{},
		}
		t.services[instance.Service] = s
	}
	r := s.replica(instance)
	if feedback.Condition.IsBrittle {
		s.heardAt = now
		r.namedAt = now
		r.maxRejections = feedback.Condition.MaxRejections
		if !r.isBrittle {
			t.config.Logger.Info("replica is brittle", "replica", instance.ID, "service", instance.Service, "max_rejections", r.maxRejections)
		}
		r.isBrittle = true
	} else if sent.After(r.namedAt) {
		if r.isBrittle {
			t.config.Logger.Info("replica is brittle no more", "replica", instance.ID, "service", instance.Service)
		}
		r.isBrittle = false
	}
	if feedback.Rejected && r.isBrittle {
		t.recordRejection(upstream, r, now)
	}
}

// recordRejection counts and logs that a brittle replica rejected a request of this node. The
// caller holds the lock.
func (t *Throttle) recordRejection(upstream *blackboard.Upstream, r *brittleReplica, now time.Time) {
	recent := r.rejectedAt[:0]
	for _, at := range r.rejectedAt {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	r.rejectedAt = append(recent, now)
	t.rejections.WithLabelValues(rejectionsLabel(len(r.rejectedAt), r.maxRejections)).Inc()
	t.config.Logger.Info("brittle replica rejected request", "replica", upstream.Instance.ID, "max_rejections", r.maxRejections,
		"in_last_second", len(r.rejectedAt), "running_here", upstream.Inflight())
}

// The labels of rejections by the number in that second that this node alone has caused.
const (
	rejectionsFew  = "under_half"
	rejectionsNear = "half_or_more"
	rejectionsOver = "over"
)

func rejectionsLabel(count, bound int) string {
	switch {
	case count > bound:
		return rejectionsOver
	case 2*count >= bound:
		return rejectionsNear
	}
	return rejectionsFew
}

// replica returns the state of a start of a replica.
func (s *brittleService) replica(instance *zinniamast.Instance) *brittleReplica {
	r, ok := s.replicas[instance.ID]
	if !ok || !r.started.Equal(instance.Started) {
		r = &brittleReplica{
			started: instance.Started,
		}
		s.replicas[instance.ID] = r
	}
	return r
}

// maxIgnored bounds the replicas that are remembered to have sent an ignored header.
const maxIgnored = 1000

// logIgnored logs a header that was ignored, once for each start of a replica. The caller holds
// the lock.
func (t *Throttle) logIgnored(instance *zinniamast.Instance, header string) {
	if header == "" || t.ignored[instance.ID].Equal(instance.Started) {
		return
	}
	if len(t.ignored) >= maxIgnored {
		clear(t.ignored)
	}
	t.ignored[instance.ID] = instance.Started
	t.config.Logger.Warn("header of a replica ignored", "replica", instance.ID, "header", header)
}
