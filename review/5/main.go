// Command 5 shows that an entry goes on sending requests to a replica that has said that it leaves,
// after two other entries of its zone have lost the platform's store.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"zinniamast/review/harness"
	"zinniamast/roster"
)

const (
	entries  = 3
	replicas = 8
	slots    = 6
	work     = 20 * time.Millisecond
	// interval is the time between two requests at each entry.
	interval   = 10 * time.Millisecond
	timeBudget = 2500 * time.Millisecond

	// rounds cuts come, each for cutTime and roundTime after the one before.
	rounds    = 9
	cutTime   = 4 * time.Second
	roundTime = 10 * time.Second
	// In each round leaving replicas leave, one after the other: leavePause after the cut, and
	// after each other. Each serves for lingerTime after the store has its report, which is
	// drainMs and a little longer.
	leaving    = 2
	leavePause = 10 * time.Millisecond
	drainTime  = 2 * time.Second
	lingerTime = 3 * time.Second
)

const configuration = `{"version":1,
	"routes":[{"name":"book","hostname":"review.example","prefix":"/book/","routeType":"unsafe","timeoutMs":1200,"sloMs":150,
		"priority":0,"service":"booking","maxAttempts":1,"anonymous":false}],
	"services":[{"name":"booking","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"acme","apiKeys":["k1"]}]}`

// zone is the zone of all entries and replicas.
const zone = "zone-a"

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// script is the state of the play.
type script struct {
	record     *harness.Record
	deployment *harness.Deployment
	requester  *harness.Requester
	started    int

	mu       sync.Mutex
	replicas []*harness.Replica
	// acked holds when the store acknowledged that a replica leaves.
	acked map[string]time.Time
	// runs are the requests that a replica got after that, and sentTo the entries that got the
	// requests of the requesters.
	runs   []leavingRun
	sentTo map[string]string
}

// leavingRun is a request that a leaving replica got.
type leavingRun struct {
	id, replica string
	after       time.Duration
}

func run() (int, error) {
	record := harness.NewRecord()
	defer func() { _ = record.Write() }()
	d, err := harness.New(harness.Config{
		Entries:       entries,
		Zones:         []string{zone},
		Configuration: configuration,
		Root:          "../..",
		HasLinks:      true,
	})
	if err != nil {
		return harness.ExitFailed, err
	}
	defer d.Close()
	s := &script{
		record:     record,
		deployment: d,
		requester:  harness.NewRequester(record, timeBudget),
		acked:      map[string]time.Time{},
		sentTo:     map[string]string{},
	}
	for range replicas {
		if err := s.addReplica(); err != nil {
			return harness.ExitFailed, err
		}
	}
	if err := d.Start(); err != nil {
		return harness.ExitFailed, err
	}
	return s.play()
}

// addReplica starts a replica.
func (s *script) addReplica() error {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("i-%d", s.started)
	s.mu.Unlock()
	r := &harness.Replica{
		ID:      id,
		Service: "booking",
		Slots:   slots,
		Record:  s.record,
		Run: func(r *http.Request) harness.Answer {
			s.recordRun(id, r.Header.Get("Zinniamast-Request-Id"))
			return harness.Answer{
				Status: http.StatusOK,
				Body:   "booked",
				Work:   work,
			}
		},
	}
	if err := r.Listen(); err != nil {
		return err
	}
	s.deployment.AddReplica(r, zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas = append(s.replicas, r)
	return nil
}

func (s *script) recordRun(replica, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if acked, ok := s.acked[replica]; ok {
		s.runs = append(s.runs, leavingRun{
			id:      id,
			replica: replica,
			after:   time.Since(acked),
		})
	}
}

// play sends requests to all entries while replicas are replaced and links are cut.
func (s *script) play() (int, error) {
	// The entries of a zone hear of replicas from the first one by rank, or else from the next.
	ranked := slices.Clone(s.deployment.Entries)
	slices.SortFunc(ranked, func(a, b *harness.Entry) int {
		if roster.Rank(a.Name) > roster.Rank(b.Name) {
			return -1
		}
		return 1
	})
	cut, calm := ranked[:2], ranked[2]
	s.record.Add("cut off from the store in each round: %s and %s; never: %s", cut[0].Name, cut[1].Name, calm.Name)
	var loads sync.WaitGroup
	for _, e := range s.deployment.Entries {
		loads.Go(func() {
			harness.Every(interval, rounds*roundTime, func() {
				reply := s.requester.Send(e.Frontend, http.MethodPost, "/book/seat", "one")
				s.mu.Lock()
				defer s.mu.Unlock()
				s.sentTo[reply.ID] = e.Name
			})
		})
	}
	var failure error
	for range rounds {
		if err := s.round(cut); err != nil && failure == nil {
			failure = err
		}
	}
	loads.Wait()
	if failure != nil {
		return harness.ExitFailed, failure
	}
	return s.check(calm.Name), nil
}

// round replaces some replicas just after the cut.
func (s *script) round(cut []*harness.Entry) error {
	end := time.After(roundTime)
	for range leaving {
		if err := s.addReplica(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	if harness.HasTrouble() {
		for _, e := range cut {
			e.Link.SetCut(true)
		}
		s.record.Add("%s and %s are cut off from the store", cut[0].Name, cut[1].Name)
	}
	heal := time.After(cutTime)
	for range leaving {
		time.Sleep(leavePause)
		s.leave()
	}
	<-heal
	for _, e := range cut {
		e.Link.SetCut(false)
	}
	s.record.Add("the cut has healed")
	<-end
	return nil
}

// leave lets the oldest replica leave.
func (s *script) leave() {
	s.mu.Lock()
	r := s.replicas[0]
	s.replicas = s.replicas[1:]
	s.mu.Unlock()
	acked := s.deployment.Drain(r, zone)
	s.mu.Lock()
	s.acked[r.ID] = acked
	s.mu.Unlock()
	s.record.Add("the store acknowledges that replica %s leaves", r.ID)
	time.AfterFunc(lingerTime, func() {
		r.Close()
		s.deployment.Remove(r)
		s.record.Add("replica %s ends", r.ID)
	})
}

// check counts the requests that reached a leaving replica too late from the entry that was never
// cut off.
func (s *script) check(calm string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	late, latest, statuses := 0, time.Duration(0), map[int]int{}
	for _, reply := range s.requester.Replies() {
		statuses[reply.Status]++
	}
	for _, r := range s.runs {
		if s.sentTo[r.id] != calm || r.after <= drainTime {
			continue
		}
		late++
		latest = max(latest, r.after)
		s.record.Add("DRAIN: request %s, sent to %s, reached replica %s %v after that was known to leave", r.id, calm, r.replica, r.after.Round(time.Millisecond))
	}
	result := fmt.Sprintf("requests by status: %v; from the entry that was in touch, later than %v after the ack: %d, the last %v after it", statuses, drainTime, late, latest.Round(time.Millisecond))
	s.record.Add("%s", result)
	fmt.Println(result)
	if late > 0 {
		return harness.ExitBroken
	}
	return harness.ExitHeld
}
