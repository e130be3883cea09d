package queue

import (
	"slices"
	"time"
)

const (
	// lookInterval is the time between two looks for a place while requests wait.
	lookInterval = 50 * time.Millisecond
	// looksPerRound bounds the requests that look for a place at one time. One that finds none
	// may be bound to a software version, or to replicas that it has not asked yet.
	looksPerRound = 4
	// minTrialInterval and maxTrialInterval bound the time between two trials after a rejected
	// one. It doubles with each rejection, and ends with a trial that is not rejected.
	minTrialInterval = 50 * time.Millisecond
	maxTrialInterval = 800 * time.Millisecond
	// A class goes first while it has less than minClassShare of all places and is served less
	// than starvedShare as often as all requests.
	minClassShare = 0.1
	starvedShare  = 0.5
	// foundTime is how long no request is refused by a forecast after one has found a place that
	// no request of this node had freed.
	foundTime = 500 * time.Millisecond
	// minBacklog is the number of requests ahead from which a forecast may refuse a request.
	// With fewer, one place that becomes free elsewhere proves the forecast wrong.
	minBacklog = 2
	// initialWork and meanWorkWeight are the first value and the least weight of one request in
	// the mean time of a request at a replica, in seconds.
	initialWork    = 0.5
	meanWorkWeight = 0.05
	// calmAfter is how long no request must have waited for a shortage to end. Nodes that send
	// anywhere again sooner are rejected, and short again.
	calmAfter = 10 * time.Second
)

// service is the queue of one service. The queue's lock guards it.
type service struct {
	queue   *Queue
	name    string
	classes [classCount]class
	waiting int

	// ends and starts count the requests that have ended at a replica and that replicas have
	// taken.
	ends   rate
	starts rate
	// meanWork is the mean time of a request at a replica, in seconds, and ended the number of
	// requests that it is the mean of.
	meanWork float64
	ended    int

	// looking reports whether the next look is scheduled. round counts the looks, and looks the
	// requests that looked in this one.
	looking bool
	round   uint64
	looks   int
	// foundAt is when a request last began at a replica whose place no request had freed.
	foundAt time.Time
	// trialAt is when the next trial is allowed.
	trialAt       time.Time
	trialInterval time.Duration
	// shortSince is when requests began to wait; zero while capacity suffices. waitedAt is when
	// one last did.
	shortSince time.Time
	waitedAt   time.Time
	// calming reports whether the end of the shortage is scheduled.
	calming bool
	// firstAt is when the first request arrived, and told is the demand as it was told last.
	firstAt time.Time
	told    classDemands
	// published is this node's last report, by which it counts itself in the division of the places.
	published report
	// uneven is how long the weights of the nodes have differed by more than evenDemand.
	uneven lasting
	// part is this node's part of the places of the service, and of the turns in which
	// organisations catch up with one that has used more.
	part float64
	// reports holds the demands of other nodes, and askedAt is when one last told its own.
	reports map[string]report
	askedAt time.Time
}

// class is the requests of one class.
type class struct {
	// lines holds the requests that wait, by organisation.
	lines   map[string]*line
	waiting int
	arrived decaying
	served  decaying
	// begun counts the requests that replicas have taken.
	begun int
	// refusals and starvations are the times in which the class is refused, and goes first as it
	// is starved.
	refusals    period
	starvations period
	// asked counts the requests that arrived, for the demand.
	asked decaying
}

// line is the requests of one organisation that wait, in their order.
type line struct {
	entries []*Entry
}

func newService(q *Queue, name string) *service {
	s := &service{
		queue:    q,
		name:     name,
		meanWork: initialWork,
		part:     1,
	}
	for i := range s.classes {
		s.classes[i].arrived.constant = decayTime
		s.classes[i].served.constant = decayTime
		s.classes[i].asked.constant = demandTime
	}
	return s
}

// insert adds an entry to those that wait.
func (s *service) insert(e *Entry, now time.Time) {
	s.recordWait(e, now)
	c := &s.classes[e.class]
	if c.lines == nil {
		c.lines = map[string]*line{}
	}
	l, ok := c.lines[e.request.Organisation]
	if !ok {
		l = &line{}
		c.lines[e.request.Organisation] = l
	}
	i, _ := slices.BinarySearchFunc(l.entries, e, (*Entry).compare)
	l.entries = slices.Insert(l.entries, i, e)
	c.waiting++
	s.waiting++
	s.queue.waiting++
	s.queue.bytes += int64(e.request.Bytes)
	s.waitingGauge(e).Inc()
	s.waitedAt = now
	if s.shortSince.IsZero() {
		s.shortSince = now
		s.queue.config.Logger.Info("requests wait for capacity", "service", s.name, "class", e.class, "ends_per_second", s.ends.perSecond(now))
	}
	s.scheduleLook()
}

// compare orders the entries of an organisation: by deadline, and then by arrival.
func (e *Entry) compare(other *Entry) int {
	if byDeadline := e.request.Deadline.Compare(other.request.Deadline); byDeadline != 0 {
		return byDeadline
	}
	return int(int64(e.sequence - other.sequence))
}

// remove removes an entry from those that wait.
func (s *service) remove(e *Entry) {
	c := &s.classes[e.class]
	l := c.lines[e.request.Organisation]
	i := slices.Index(l.entries, e)
	l.entries = slices.Delete(l.entries, i, i+1)
	if len(l.entries) == 0 {
		delete(c.lines, e.request.Organisation)
	}
	c.waiting--
	s.waiting--
	s.queue.waiting--
	s.queue.bytes -= int64(e.request.Bytes)
	s.waitingGauge(e).Dec()
}

// next returns the entry that goes next among those that match; nil if there is none.
func (s *service) next(now time.Time, matches func(*Entry) bool) *Entry {
	if starved := s.starvedClass(now); starved >= 0 {
		if e := s.nextOf(starved, matches); e != nil {
			s.recordStarved(starved, now)
			return e
		}
	}
	for i := range s.classes {
		if e := s.nextOf(i, matches); e != nil {
			return e
		}
	}
	return nil
}

// nextOf returns the entry of a class that goes next: the first that matches of the organisation
// that has used least.
func (s *service) nextOf(class int, matches func(*Entry) bool) *Entry {
	var best *Entry
	least := 0.0
	for organisation, l := range s.classes[class].lines {
		i := slices.IndexFunc(l.entries, matches)
		if i < 0 {
			continue
		}
		used := s.queue.config.Usage.Used(s.name, organisation)
		if best == nil || used < least || used == least && l.entries[i].compare(best) < 0 {
			best, least = l.entries[i], used
		}
	}
	return best
}

// starvedClass returns the most urgent class of those that wait and are served much less often
// than all requests, or -1. With strict priorities alone, a flood of urgent requests would starve
// the other classes.
func (s *service) starvedClass(now time.Time) int {
	for i := range s.classes {
		if s.classes[i].waiting > 0 && s.isStarved(i, now) {
			return i
		}
	}
	return -1
}

// isStarved reports whether a class is served much less often than all requests.
func (s *service) isStarved(class int, now time.Time) bool {
	arrived, served := 0.0, 0.0
	for i := range s.classes {
		arrived += s.classes[i].arrived.at(now)
		served += s.classes[i].served.at(now)
	}
	c := &s.classes[class]
	own := c.served.at(now)
	return own < minClassShare*served && own*arrived < starvedShare*served*c.arrived.at(now)
}

// grantFreed gives the place at a replica to the next entry, but not to the given one, which
// could not use it.
func (s *service) grantFreed(replica string, except *Entry) {
	e := s.next(time.Now(), func(e *Entry) bool { return e != except && e.passed != replica })
	if e == nil {
		return
	}
	s.grant(e, Turn{
		Replica: replica,
	})
}

// grantLook lets the next entry that has not looked in this round look for a replica.
func (s *service) grantLook() {
	if s.looks >= looksPerRound {
		return
	}
	e := s.next(time.Now(), func(e *Entry) bool { return e.round != s.round })
	if e == nil {
		return
	}
	e.round = s.round
	s.looks++
	s.grant(e, Turn{})
}

// grant ends an entry's wait with a turn.
func (s *service) grant(e *Entry, t Turn) {
	s.remove(e)
	e.turn, e.hasTurn = t, true
	e.granted <- grant{
		turn: t,
	}
}

// passOn gives the turn of an entry that sent no request on it to another one.
func (s *service) passOn(e *Entry) {
	if !e.hasTurn {
		return
	}
	e.hasTurn = false
	if e.turn.Replica != "" {
		e.passed = e.turn.Replica
		s.grantFreed(e.turn.Replica, e)
		return
	}
	s.grantLook()
}

// scheduleLook schedules the next look unless it is scheduled.
func (s *service) scheduleLook() {
	if s.looking {
		return
	}
	s.looking = true
	time.AfterFunc(lookInterval, s.look)
}

// look lets requests look for a place, and refuses those that wait in vain.
func (s *service) look() {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	now := time.Now()
	s.looking = false
	if s.waiting == 0 {
		s.awaitCalm(now)
		return
	}
	s.waitedAt = now
	s.refuseVain(now)
	s.round++
	s.looks = 0
	s.grantLook()
	s.scheduleLook()
}

// awaitCalm schedules the end of a shortage, at which no request has waited for calmAfter.
func (s *service) awaitCalm(now time.Time) {
	if s.calming || s.shortSince.IsZero() {
		return
	}
	s.calming = true
	time.AfterFunc(calmAfter-now.Sub(s.waitedAt), s.endShortage)
}

// endShortage ends a shortage if no request has waited for calmAfter.
func (s *service) endShortage() {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	now := time.Now()
	s.calming = false
	if s.waiting > 0 {
		return // the next look without waiting requests schedules it again
	}
	if now.Sub(s.waitedAt) < calmAfter {
		s.awaitCalm(now)
		return
	}
	s.queue.config.Logger.Info("capacity suffices again", "service", s.name, "short_for", now.Sub(s.shortSince).Round(time.Millisecond))
	s.shortSince = time.Time{}
}

// refuseVain refuses the last requests of each organisation that wait in vain.
func (s *service) refuseVain(now time.Time) {
	for i := range s.classes {
		for _, l := range s.classes[i].lines {
			for len(l.entries) > 0 {
				last := l.entries[len(l.entries)-1]
				if !s.waitsInVain(last, now) {
					break
				}
				s.remove(last)
				last.granted <- grant{
					refusal: s.refusal(last, now, causeTooManyAhead),
				}
			}
		}
	}
}

// waitsInVain reports whether an entry is known not to have its turn in time.
func (s *service) waitsInVain(e *Entry, now time.Time) bool {
	if now.Sub(s.foundAt) < foundTime || s.aheadOf(e, now).total() < minBacklog {
		return false
	}
	return now.Add(s.expectedWait(e, now)).After(e.request.StartBy)
}

// aheadOf returns the number of entries that wait and go before an entry.
func (s *service) aheadOf(e *Entry, now time.Time) (a ahead) {
	if !s.isStarved(e.class, now) {
		for i := range e.class {
			a.urgent += s.classes[i].waiting
		}
	}
	c := &s.classes[e.class]
	if l, ok := c.lines[e.request.Organisation]; ok {
		a.own, _ = slices.BinarySearchFunc(l.entries, e, (*Entry).compare)
	}
	if len(c.lines) == 0 {
		return a
	}
	used := s.queue.config.Usage.Used(s.name, e.request.Organisation)
	for organisation, l := range c.lines {
		if organisation == e.request.Organisation {
			continue
		}
		// Turns alternate once both organisations have used the same. All nodes give turns, in
		// proportion to their parts of the places.
		lead := s.part * (used - s.queue.config.Usage.Used(s.name, organisation)) / max(s.meanWork, minMeanWork)
		a.others += int(min(max(float64(a.own)+lead, 0), float64(len(l.entries))))
	}
	return a
}

// minMeanWork keeps the mean work above zero, in seconds.
const minMeanWork = 1e-3

// expectedWait returns the time until an entry's turn; zero if it is unknown.
func (s *service) expectedWait(e *Entry, now time.Time) time.Duration {
	turns := max(s.ends.perSecond(now), s.starts.perSecond(now))
	if turns == 0 {
		return 0
	}
	others := 0.0
	for i := range e.class {
		others += s.classes[i].arrived.at(now) / decayTime.Seconds()
	}
	own := max(turns-others, minClassShare*turns)
	return time.Duration(float64(s.aheadOf(e, now).total()+1) / own * float64(time.Second))
}
