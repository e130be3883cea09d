package queue

import (
	"time"
)

// refusalCause is why a request was refused. It is a metric label.
type refusalCause string

const (
	causeNotInTime    refusalCause = "not_in_time"
	causeQueueFull    refusalCause = "queue_full"
	causeTooManyAhead refusalCause = "too_many_ahead"
)

// message returns what callers are told.
func (c refusalCause) message() string {
	switch c {
	case causeQueueFull:
		return "too many requests wait"
	case causeTooManyAhead:
		return "too many requests wait before this one"
	default:
		return "no replica had a place in time"
	}
}

// period is a time in which a class is refused or goes first as it is starved. It ends once that
// has not happened for calmAfter: single requests between would begin and end it many times a
// second.
type period struct {
	since time.Time
	last  time.Time
	count int
}

// add counts an event and reports whether a period begins with it.
func (p *period) add(now time.Time) (begins bool) {
	begins = p.count == 0
	if begins {
		p.since = now
	}
	p.last = now
	p.count++
	return begins
}

// recordRefusal counts a refusal of an entry's class.
func (s *service) recordRefusal(e *Entry, cause refusalCause, now time.Time) {
	q := s.queue
	q.metrics.refused.WithLabelValues(s.name, classLabel(e.class), q.organisationLabel(e.request.Organisation), string(cause)).Inc()
	c := &s.classes[e.class]
	if c.refusals.add(now) {
		q.config.Logger.Info("class is refused", "service", s.name, "class", e.class, "organisation", e.request.Organisation,
			"reason", string(cause), "waiting", s.waiting, "waiting_in_class", c.waiting, "ends_per_second", s.ends.perSecond(now))
		s.scheduleEnd(&c.refusals, e.class, "class is refused no more")
	}
}

// recordStarved counts a turn of a starved class, if a more urgent class waits.
func (s *service) recordStarved(class int, now time.Time) {
	urgent := 0
	for i := range class {
		urgent += s.classes[i].waiting
	}
	if urgent == 0 {
		return
	}
	c := &s.classes[class]
	if c.starvations.add(now) {
		s.queue.config.Logger.Info("starved class goes first", "service", s.name, "class", class,
			"waiting_in_class", c.waiting, "waiting_more_urgent", urgent, "ends_per_second", s.ends.perSecond(now))
		s.scheduleEnd(&c.starvations, class, "class is starved no more")
	}
}

// scheduleEnd schedules the end of a period, which is logged.
func (s *service) scheduleEnd(p *period, class int, message string) {
	time.AfterFunc(calmAfter-time.Since(p.last), func() {
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		if time.Since(p.last) < calmAfter {
			s.scheduleEnd(p, class, message)
			return
		}
		s.queue.config.Logger.Info(message, "service", s.name, "class", class, "requests", p.count, "lasted", p.last.Sub(p.since).Round(time.Millisecond))
		*p = period{}
	})
}

// ahead is the number of entries that wait and go before an entry.
type ahead struct {
	// urgent are of more urgent classes, own of the same class and organisation, and others of
	// the same class and other organisations.
	urgent int
	own    int
	others int
}

func (a ahead) total() int { return a.urgent + a.own + a.others }

// begun is the number of a service's requests that replicas have taken, by class relative to that
// of an entry.
type begun struct {
	urgent   int
	same     int
	deferred int
}

// begun returns what has begun so far.
func (s *service) begun(class int) (b begun) {
	for i := range s.classes {
		switch {
		case i < class:
			b.urgent += s.classes[i].begun
		case i == class:
			b.same += s.classes[i].begun
		default:
			b.deferred += s.classes[i].begun
		}
	}
	return b
}

// wait is what is known of an entry's waits.
type wait struct {
	// waited is the time of all waits that have ended.
	waited time.Duration
	// began is when the first one began, and ahead and begun are those of that moment.
	began time.Time
	ahead ahead
	begun begun
}

// recordWait records that an entry waits from now on. The caller adds it to the line afterwards.
func (s *service) recordWait(e *Entry, now time.Time) {
	if !e.wait.began.IsZero() {
		return
	}
	e.wait.began = now
	e.wait.ahead = s.aheadOf(e, now)
	e.wait.begun = s.begun(e.class)
	q := s.queue
	q.metrics.hadToWait.WithLabelValues(s.name, classLabel(e.class), q.organisationLabel(e.request.Organisation)).Inc()
}

// Waiting describes how a request has waited so far.
type Waiting struct {
	// Waited is the time of all its waits. Between them it looked for a replica.
	Waited time.Duration
	// Position is its position in the queue as the first wait began, from 1; zero if it has not
	// waited. It is AheadUrgent requests of more urgent classes, AheadOwn of its class and
	// organisation and AheadOthers of its class that were before it.
	Position    int
	AheadUrgent int
	AheadOwn    int
	AheadOthers int
	// BegunUrgent, BegunSame and BegunDeferred count the requests of more urgent classes, of its
	// own and of less urgent ones that replicas have taken from this node since then.
	BegunUrgent   int
	BegunSame     int
	BegunDeferred int
}

// Waiting returns how the request has waited so far.
func (e *Entry) Waiting() Waiting {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	w := &e.wait
	if w.began.IsZero() {
		return Waiting{}
	}
	now := e.service.begun(e.class)
	return Waiting{
		Waited:        w.waited,
		Position:      w.ahead.total() + 1,
		AheadUrgent:   w.ahead.urgent,
		AheadOwn:      w.ahead.own,
		AheadOthers:   w.ahead.others,
		BegunUrgent:   now.urgent - w.begun.urgent,
		BegunSame:     now.same - w.begun.same,
		BegunDeferred: now.deferred - w.begun.deferred,
	}
}

// recordWaited records that a wait has ended.
func (e *Entry) recordWaited(took time.Duration) {
	e.queue.metrics.waited.Observe(took.Seconds())
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	e.wait.waited += took
}
