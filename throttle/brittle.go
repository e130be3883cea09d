package throttle

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// brittleLifetime is how long a service counts as brittle after one of its replicas last said
// so. Replicas that are used say so with each answer.
const brittleLifetime = 10 * time.Second

// A node holds a fixed part of the places of each brittle replica and sends no more requests
// than it has places: it needs no message to know that there is room, and is rejected only if
// all nodes together hold more places than the replica has. A replica may have less room than
// it lists, by how much is known only from its rejections. So the nodes begin with a part of
// the places, and a node that needs more tries its others one by one: each place has a turn of
// its own, so that no two nodes try one at the same moment.
const (
	// initialPlaces is the part of a replica's slots that the nodes use without a trial.
	initialPlaces = 0.5
	// defaultSlots is assumed of a replica that does not list its slots.
	defaultSlots = 4
	// trialsAfter is the time from which all places are tried. A replica may have less room
	// from some seconds after it first says that it is brittle.
	trialsAfter = 3500 * time.Millisecond
	// triedShare is the part of the rejections that a replica bears that trials may cause.
	triedShare = 0.5
	// initialTurns is the number of turns of which one is for the places used without a trial.
	initialTurns = 4
	// keepTried is how long a place that was tried is kept without being used.
	keepTried = 6 * time.Second
	// shareInterval is how often a node looks at which nodes there are.
	shareInterval = time.Second
)

// brittleService is a service some of whose replicas are brittle.
type brittleService struct {
	// since is when this node first read that a replica is brittle, and heardAt when it last
	// did.
	since   time.Time
	heardAt time.Time
	// maxRejections is the lowest number that one of them named.
	maxRejections int
	replicas      map[string]*brittleReplica
	// surplus is how many more of the replicas that have answered are brittle than sound.
	surplus int
}

// brittleness is what the last answer of a replica said, as a summand of a service's surplus.
type brittleness int

const (
	unheard brittleness = 0
	brittle brittleness = 1
	sound   brittleness = -1
)

// brittleReplica is what this node knows of one start of a replica of such a service.
type brittleReplica struct {
	started time.Time
	state   brittleness
	// maxRejections is the number of rejections in a second that the replica bears, and
	// namedAt when it last named it.
	maxRejections int
	namedAt       time.Time
	// rejectedAt holds the times of its rejections of this node's requests in the last second.
	rejectedAt []time.Time

	slots int
	// share is this node's share of the places, as of sharedAt.
	share    Share
	sharedAt time.Time
	// allowed is the number of requests that this node may have at the replica. usedAt is when
	// it last had as many, and triedTurn the number of the turn in which it last tried one more.
	allowed   int
	usedAt    time.Time
	triedTurn int
}

// limitBrittle adds the brittle replicas of a service that may not get a request now. The caller
// holds the lock.
func (t *Throttle) limitBrittle(service string, now time.Time, available *zinniamast.Availability) {
	s := t.brittleService(service, now)
	if s == nil {
		return
	}
	for _, u := range t.config.Upstreams.Of(service) {
		r := t.brittleReplica(s, u, now)
		switch {
		case r == nil || int(u.Inflight()) < r.allowed:
		case s.mayTry(r, now):
			available.Spare = append(available.Spare, u.Instance.ID)
		default:
			available.Blocked = append(available.Blocked, u.Instance.ID)
			available.FreesPlace = available.FreesPlace || r.allowed > 0
		}
	}
}

// beginBrittle takes a place for a request to a replica, or tries one, and returns false if
// there is none. The caller holds the lock.
func (t *Throttle) beginBrittle(u *blackboard.Upstream, now time.Time) bool {
	s := t.brittleService(u.Instance.Service, now)
	if s == nil {
		return true
	}
	r := t.brittleReplica(s, u, now)
	if r == nil {
		return true
	}
	running := int(u.Inflight())
	if running >= r.allowed {
		if !s.mayTry(r, now) {
			return false
		}
		r.triedTurn = s.turn(r, now)
	}
	if running+1 >= r.allowed {
		r.usedAt = now
	}
	return true
}

// brittleService returns the state of a service that has brittle replicas, or nil. The caller
// holds the lock.
func (t *Throttle) brittleService(service string, now time.Time) *brittleService {
	s := t.services[service]
	if s != nil && now.Sub(s.heardAt) > brittleLifetime {
		delete(t.services, service)
		return nil
	}
	return s
}

// brittleReplica returns the state of a replica of such a service, or nil if the replica is
// sound. A replica that has not answered since counts as brittle if most of the others are: one
// that comes back after it failed says nothing before its first answer. The caller holds the
// lock.
func (t *Throttle) brittleReplica(s *brittleService, u *blackboard.Upstream, now time.Time) *brittleReplica {
	r := s.replica(&u.Instance)
	if r.state == sound || r.state == unheard && s.surplus <= 0 {
		return nil
	}
	if r.slots == 0 {
		r.slots = max(1, u.Slots)
		if u.Slots == 0 {
			r.slots = defaultSlots
		}
		if r.state == unheard {
			r.maxRejections = s.maxRejections
		}
	}
	isNew := r.sharedAt.IsZero()
	if now.Sub(r.sharedAt) >= shareInterval {
		r.share, r.sharedAt = t.config.Share(u.Instance.ID), now
	}
	base := r.base()
	running := int(u.Inflight())
	if isNew || r.allowed > base && running < r.allowed && now.Sub(r.usedAt) > keepTried {
		r.allowed = base
	}
	r.allowed = min(r.allowed, r.share.Of(r.slots))
	return r
}

// initial returns the number of places that the nodes use without a trial.
func (r *brittleReplica) initial() int { return max(1, int(initialPlaces*float64(r.slots))) }

// base returns how many of them are this node's.
func (r *brittleReplica) base() int { return r.share.Of(r.initial()) }

// setState records what the last answer of a replica said.
func (s *brittleService) setState(r *brittleReplica, state brittleness) {
	s.surplus += int(state) - int(r.state)
	r.state = state
}

// turnLength returns the time in which one place of the replica may be tried.
func (r *brittleReplica) turnLength() time.Duration {
	return time.Duration(float64(time.Second) / (triedShare * float64(r.maxRejections)))
}

// turn returns the number of the present turn.
func (s *brittleService) turn(r *brittleReplica, now time.Time) int {
	return int(now.Sub(s.since) / r.turnLength())
}

// placeInTurn returns the place that may be tried in a turn. Most turns are those of the places
// that are not used without a trial; the others have some turns, as their node may have lost them.
func (r *brittleReplica) placeInTurn(turn int) int {
	initial := r.initial()
	cycle := turn / initialTurns
	if turn%initialTurns == 0 || initial == r.slots {
		return cycle % initial
	}
	return initial + (turn-cycle-1)%(r.slots-initial)
}

// mayTry reports whether this node may use one place more than is allowed. Only the first half of
// a turn counts, as the nodes' turns do not begin at quite the same time.
func (s *brittleService) mayTry(r *brittleReplica, now time.Time) bool {
	if r.maxRejections == 0 || r.allowed >= r.share.Of(r.slots) {
		return false
	}
	length := r.turnLength()
	turn := s.turn(r, now)
	if turn == r.triedTurn || now.Sub(s.since)%length >= length/2 {
		return false
	}
	place := r.placeInTurn(turn)
	return r.share.Holds(place) && (now.Sub(s.since) >= trialsAfter || r.mayTryEarly(place))
}

// mayTryEarly reports whether a place may be tried before the room may have shrunk. The replica
// may then reject a request for each place that is used beyond its room, all at once.
func (r *brittleReplica) mayTryEarly(place int) bool {
	if place < r.initial() {
		return r.allowed < r.base()
	}
	return place < r.initial()+int(triedShare*float64(r.maxRejections))
}

// recordTaken records that the replica took a request that was sent at the given time.
func (r *brittleReplica) recordTaken(s *brittleService, running int, sent time.Time) {
	if r.slots > 0 && sent.After(s.since) && running > r.allowed {
		r.allowed = min(running, r.share.Of(r.slots))
	}
}

// recordFull records that the replica had no room for one of this node's running requests.
func (r *brittleReplica) recordFull(running int) {
	if r.slots > 0 {
		r.allowed = max(0, min(r.allowed, running-1))
	}
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
	s := t.brittleService(instance.Service, now)
	if s == nil && !feedback.Condition.IsBrittle {
		return
	}
	if s == nil {
		s = &brittleService{
			since:         now,
			maxRejections: feedback.Condition.MaxRejections,
			replicas:      map[string]*brittleReplica{},
		}
		t.services[instance.Service] = s
	}
	r := s.replica(instance)
	if feedback.Condition.IsBrittle {
		s.heardAt = now
		r.namedAt = now
		r.maxRejections = feedback.Condition.MaxRejections
		s.maxRejections = min(s.maxRejections, r.maxRejections)
		if r.state != brittle {
			t.config.Logger.Info("replica is brittle", "replica", instance.ID, "service", instance.Service, "max_rejections", r.maxRejections)
		}
		s.setState(r, brittle)
	} else if sent.After(r.namedAt) && sent.After(s.since) {
		if r.state == brittle {
			t.config.Logger.Info("replica is brittle no more", "replica", instance.ID, "service", instance.Service)
		}
		s.setState(r, sound)
	}
	if feedback.Rejected && r.state == brittle {
		t.recordRejection(upstream, r, now)
		r.recordFull(int(upstream.Inflight()))
	} else if !feedback.Rejected {
		r.recordTaken(s, int(upstream.Inflight()), sent)
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
	if ok && !r.started.Equal(instance.Started) {
		s.setState(r, unheard)
		ok = false
	}
	if !ok {
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
