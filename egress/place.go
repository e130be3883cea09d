package egress

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// A request that finds no place at a replica here may be sent through another instance that has an
// unused one. Which instances hold places follows from the shares of throttle.Owners; whether one
// is unused at the moment, only its instance knows.

const (
	// MaxDetourBytes bounds the body of a request that is sent through another instance for its
	// place. A peer that has none answers before it has read the body, of which net/http reads
	// this much on so that the answer is not lost.
	MaxDetourBytes = 256 << 10
	// minNoPlace and maxNoPlace bound how long a peer that had no unused place is not asked
	// again. The time doubles with each.
	minNoPlace = 50 * time.Millisecond
	maxNoPlace = 400 * time.Millisecond
	// From the missesBeforePause-th peer in a row without an unused place on, no peer is asked
	// for minPause, doubled with each further one up to maxPause: when all places are in use,
	// each request would otherwise cost two handshakes.
	missesBeforePause = 2
	minPause          = 25 * time.Millisecond
	maxPause          = 200 * time.Millisecond
	// offerTime is how long the offer of another place holds.
	offerTime = 100 * time.Millisecond
	// maxReplicasLooked bounds the replicas whose holders are determined for one request.
	maxReplicasLooked = 8
	// detoursEnd is the time without a request through another instance's place after which
	// the end of them is logged.
	detoursEnd = 10 * time.Second
	// maxNoPlaceEntries bounds the peers that are remembered to have had no place.
	maxNoPlaceEntries = 4096
)

// Place is a place at a replica that was taken for a peer's request.
type Place struct {
	// OnAnswer receives the head of the replica's answer.
	OnAnswer func(response *http.Response)
	// Release gives the place back when the request has ended.
	Release func()
}

// errNoInstance is the cause of a detour whose instance or replica has gone.
var errNoInstance = errors.New("egress: the instance or the replica has gone")

// FindDetour returns a way to one of the given replicas of a service through another instance that
// holds places there, and false if none is to be asked now.
func (e *Egress) FindDetour(service string, replicas []string) (zinniamast.Detour, bool) {
	if e.config.Holders == nil || len(replicas) == 0 {
		return zinniamast.Detour{}, false
	}
	now := time.Now()
	detour, ok, mayAsk := e.detours.takeOffer(service, replicas, now)
	if ok || !mayAsk {
		return detour, ok
	}
	peers := map[string]Peer{}
	for _, peer := range e.config.Peers() {
		peers[peer.ID] = peer
	}
	first := rand.IntN(len(replicas))
	for i := range min(len(replicas), maxReplicasLooked) {
		upstream := e.config.Upstreams.Get(replicas[(first+i)%len(replicas)])
		if upstream == nil {
			continue
		}
		holders := slices.DeleteFunc(e.config.Holders(upstream), func(id string) bool {
			peer, isAlive := peers[id]
			return !isAlive || e.detours.isWithoutPlace(peer, upstream, now)
		})
		if len(holders) > 0 {
			return zinniamast.Detour{
				Upstream: upstream.Instance.ID,
				Node:     holders[rand.IntN(len(holders))],
			}, true
		}
	}
	return zinniamast.Detour{}, false
}

// SendDetour sends a request through another instance to a replica, if that instance has an unused
// place there. The error is of kind zinniamast.FailureNoPlace if it has none, or cannot be reached:
// nothing has run then.
func (e *Egress) SendDetour(ctx context.Context, detour zinniamast.Detour, request *http.Request) (*http.Response, error) {
	upstream := e.config.Upstreams.Get(detour.Upstream)
	peers := e.config.Peers()
	i := slices.IndexFunc(peers, func(peer Peer) bool { return peer.ID == detour.Node })
	if upstream == nil || i < 0 {
		return nil, noPlace(detour, errNoInstance)
	}
	start := time.Now()
	response, unfitFor, err := e.sendThrough(ctx, peers[i], upstream, request, headerPlace)
	if unfitFor != "" {
		e.metrics.placeAsks.WithLabelValues(relayNoPlace).Inc()
		isReached := !isDialFailure(err)
		e.detours.recordMiss(peers[i], upstream.Instance.Service, unfitFor, isReached)
		e.config.Logger.Debug("peer has no place", "service", upstream.Instance.Service, "replica", detour.Upstream, "peer", detour.Node, "cause", err)
		return nil, noPlace(detour, err)
	}
	if err != nil {
		e.metrics.placeAsks.WithLabelValues(relayFailed).Inc()
		if failure := zinniamast.AsUpstreamError(err); failure != nil && isPeerLost(failure.Failure) {
			e.detours.recordMiss(peers[i], upstream.Instance.Service, upstream.Instance.Service, false)
		}
	} else {
		e.metrics.placeAsks.WithLabelValues(relayAnswered).Inc()
		e.recordTaken(peers[i], upstream)
	}
	e.logRelayed(request, upstream, peers[i], time.Since(start), err)
	return response, err
}

// isPeerLost reports whether a failure may be that of the peer or of the link to it.
func isPeerLost(failure zinniamast.Failure) bool {
	switch failure {
	case zinniamast.FailureRelay, zinniamast.FailureTimeout, zinniamast.FailureStopped:
		return true
	}
	return false
}

// noPlace returns the error of a request that the instance of a detour did not take.
func noPlace(detour zinniamast.Detour, cause error) *zinniamast.UpstreamError {
	return &zinniamast.UpstreamError{
		Failure:  zinniamast.FailureNoPlace,
		Upstream: detour.Upstream,
		Cause:    cause,
	}
}

// takePlace takes a place for a peer's request. If there is none, it answers the request and
// returns nil.
func (e *Egress) takePlace(w http.ResponseWriter, upstream *blackboard.Upstream) *Place {
	place, other := e.config.TakePlace(upstream)
	if place == nil {
		if other != "" {
			w.Header().Set(headerOffer, other)
		}
		writeOutcome(w, outcomeNoPlace, "this instance has no unused place at the replica")
		return nil
	}
	e.metrics.placesGiven.Inc()
	return place
}

// releasePlace gives the place of a peer's request back.
func (e *Egress) releasePlace(place *Place) {
	e.metrics.placesGiven.Dec()
	place.Release()
}

// detours is what this instance knows of other instances' places.
type detours struct {
	mu sync.Mutex
	// noPlace holds the peers that had no unused place, by service and by replica.
	noPlace  map[unfitKey]rest
	services map[string]*detourService
}

// detourService is the state of the requests to one service through other instances' places.
type detourService struct {
	// misses counts the peers in a row that had no unused place, and pause is the time in which
	// none is asked.
	misses int
	pause  rest
	// offer is a place that a peer without one at the wanted replica has at another.
	offer     zinniamast.Detour
	offeredAt time.Time
	// usedAt is when a peer last took a request, and began when the first one did of those that
	// are less than detoursEnd apart; zero if there are none. taken counts them.
	usedAt time.Time
	began  time.Time
	taken  int
}

// service returns the state of a service. The caller holds the lock.
func (d *detours) service(name string) *detourService {
	if d.services == nil {
		d.services = map[string]*detourService{}
	}
	s := d.services[name]
	if s == nil {
		s = &detourService{}
		d.services[name] = s
	}
	return s
}

// takeOffer returns the last offer of a place at one of the replicas, once, and whether peers may
// be asked for other places.
func (d *detours) takeOffer(service string, replicas []string, now time.Time) (offer zinniamast.Detour, ok, mayAsk bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	offer = s.offer
	if offer.Upstream != "" && now.Sub(s.offeredAt) < offerTime && slices.Contains(replicas, offer.Upstream) {
		s.offer = zinniamast.Detour{}
		return offer, true, true
	}
	return zinniamast.Detour{}, false, !now.Before(s.pause.until)
}

// recordOffer records the replica at which a peer has an unused place; empty if at none. It
// reports whether there is one.
func (d *detours) recordOffer(service string, peer Peer, replica string) bool {
	if replica == "" {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	s.offer = zinniamast.Detour{
		Upstream: replica,
		Node:     peer.ID,
	}
	s.offeredAt = time.Now()
	return true
}

// isWithoutPlace reports whether a peer has just had no unused place for the service or replica.
func (d *detours) isWithoutPlace(peer Peer, upstream *blackboard.Upstream, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, target := range []string{upstream.Instance.Service, upstream.Instance.ID} {
		key := unfitKey{
			peer:   peer.ID,
			target: target,
		}
		if now.Before(d.noPlace[key].until) {
			return true
		}
	}
	return false
}

// recordMiss records that a peer did not take a request, for want of a place at a replica or at
// all replicas of the service, or that it could not be reached.
func (d *detours) recordMiss(peer Peer, service, target string, isReached bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if len(d.noPlace) >= maxNoPlaceEntries {
		clear(d.noPlace)
	}
	if d.noPlace == nil {
		d.noPlace = map[unfitKey]rest{}
	}
	key := unfitKey{
		peer:   peer.ID,
		target: target,
	}
	if !isReached {
		d.noPlace[key] = d.noPlace[key].nextSince(now, minUnfit, maxUnfit)
		return
	}
	d.noPlace[key] = d.noPlace[key].nextSince(now, minNoPlace, maxNoPlace)
	if target != service {
		return // it has a place at another replica
	}
	s := d.service(service)
	s.misses++
	if s.misses >= missesBeforePause {
		s.pause = s.pause.nextSince(now, minPause, maxPause)
	}
}

// nextSince is next, except that a rest that ended long ago does not count.
func (r rest) nextSince(now time.Time, shortest, longest time.Duration) rest {
	if now.Sub(r.until) > longest {
		r = rest{}
	}
	return r.next(shortest, longest)
}

// recordTaken records that a peer took a request for a place of its own, and logs it if it is the
// first one for a time.
func (e *Egress) recordTaken(peer Peer, upstream *blackboard.Upstream) {
	d, service := &e.detours, upstream.Instance.Service
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.noPlace, func(key unfitKey, _ rest) bool {
		return key.peer == peer.ID && (key.target == service || key.target == upstream.Instance.ID)
	})
	s := d.service(service)
	s.misses, s.pause = 0, rest{}
	s.usedAt = time.Now()
	s.taken++
	if s.began.IsZero() {
		s.began, s.taken = s.usedAt, 1
		e.config.Logger.Info("requests relayed to places of other instances", "service", service, "replica", upstream.Instance.ID, "peer", peer.ID)
		time.AfterFunc(detoursEnd, func() { e.endDetours(service) })
	}
}

// endDetours logs the end of the requests through places of other instances, once there were none
// for detoursEnd.
func (e *Egress) endDetours(service string) {
	e.detours.mu.Lock()
	defer e.detours.mu.Unlock()
	s := e.detours.service(service)
	if left := detoursEnd - time.Since(s.usedAt); left > 0 {
		time.AfterFunc(left, func() { e.endDetours(service) })
		return
	}
	e.config.Logger.Info("no request relayed to places of other instances any more", "service", service, "relayed", s.taken,
		"lasted", s.usedAt.Sub(s.began).Round(time.Millisecond))
	s.began = time.Time{}
}
