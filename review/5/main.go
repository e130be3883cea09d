// Command 5 shows that a request that crashes the replicas that run it reaches replica after replica
// where the service has its replicas in one failure domain.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"zinniamast/review/harness"
)

const (
	entries  = 2
	replicas = 8
	slots    = 6
	work     = 60 * time.Millisecond
	length   = 20 * time.Second
	interval = 4 * time.Second
	// poisonInterval is the time from one attempt of the crashing request to the next.
	poisonInterval = 700 * time.Millisecond
	timeBudget     = 1500 * time.Millisecond
	// backAfter is the time from a crash to the start of the next process, and silence that
	// after which the entry of the crashed one is removed: three heartbeats.
	backAfter = 3 * time.Second
	silence   = 3600 * time.Millisecond
	// contact is contactMs, and maxRetries what the rule allows after it.
	contact    = 3 * time.Second
	maxRetries = 3
)

const (
	zone    = "zone-a"
	service = "booking"
	poison  = "one seat, and a name that no replica can read"
)

const configuration = `{"version":1,
	"routes":[{"name":"book","hostname":"review.example","prefix":"/book/","routeType":"unsafe","timeoutMs":800,"sloMs":300,
		"priority":0,"service":"booking","maxAttempts":1,"anonymous":false}],
	"services":[{"name":"booking","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"acme","apiKeys":["k1"]}]}`

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run() (int, error) {
	record := harness.NewRecord()
	defer func() { _ = record.Write() }()
	d, err := harness.New(harness.Config{
		Entries:       entries,
		Zones:         []string{zone},
		Configuration: configuration,
		Root:          "../..",
	})
	if err != nil {
		return harness.ExitFailed, err
	}
	defer d.Close()
	s := &script{
		record:     record,
		deployment: d,
		requester:  harness.NewRequester(record, timeBudget),
	}
	for range replicas {
		if err := s.startReplica(); err != nil {
			return harness.ExitFailed, err
		}
	}
	if err := d.Start(); err != nil {
		return harness.ExitFailed, err
	}
	s.play()
	return s.check(), nil
}

// script is the state of the play.
type script struct {
	record     *harness.Record
	deployment *harness.Deployment
	requester  *harness.Requester

	mu      sync.Mutex
	started int
	ended   bool
	// arrivals are the times at which the crashing request began to run, and ids the IDs of the
	// requesters' attempts.
	arrivals []time.Time
	ids      []string
}

// startReplica starts a process of a replica, with an ID of its own.
func (s *script) startReplica() error {
	s.mu.Lock()
	r := &harness.Replica{
		ID:      fmt.Sprintf("i-%d", s.started),
		Service: service,
		Slots:   slots,
		Record:  s.record,
	}
	s.started++
	s.mu.Unlock()
	r.Run = func(request *http.Request) harness.Answer {
		body, _ := io.ReadAll(request.Body)
		if string(body) == poison {
			s.recordPoison(r, request.Header.Get("Zinniamast-Request-Id"))
		}
		return harness.Answer{
			Status: http.StatusOK,
			Body:   "booked",
			Work:   work,
		}
	}
	if err := r.Listen(); err != nil {
		return err
	}
	s.deployment.AddReplica(r, zone)
	return nil
}

// recordPoison records that a replica has begun to run the crashing request, which ends it.
func (s *script) recordPoison(r *harness.Replica, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	s.ids = append(s.ids, id)
	s.record.Add("replica %s begins to run the crashing request %s, run %d", r.ID, id, len(s.arrivals))
	if !harness.HasTrouble() {
		return
	}
	r.Crash()
	time.AfterFunc(silence, func() { s.deployment.Store.Remove("servers", r.ID) })
	time.AfterFunc(backAfter, func() {
		s.mu.Lock()
		ended := s.ended
		s.mu.Unlock()
		if ended {
			return
		}
		if err := s.startReplica(); err != nil {
			s.record.Add("a replica could not start again: %v", err)
		}
	})
}

// play sends the crashing request again and again, at one entry after the other, beside others.
func (s *script) play() {
	var loads sync.WaitGroup
	for _, e := range s.deployment.Entries {
		loads.Add(1)
		go func() {
			defer loads.Done()
			n := 0
			harness.Every(interval, length, func() {
				s.mu.Lock()
				n++
				body := fmt.Sprintf("seat %d", n)
				s.mu.Unlock()
				s.requester.Send(e.Frontend, http.MethodPost, "/book/seat", body)
			})
		}()
	}
	turn := 0
	harness.Every(poisonInterval, length, func() {
		s.mu.Lock()
		e := s.deployment.Entries[turn%entries]
		turn++
		s.mu.Unlock()
		s.requester.Send(e.Frontend, http.MethodPost, "/book/seat", poison)
	})
	loads.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// check counts the retries of the crashing request that reached a replica and that a requester, and so
// a machine, sent later than contactMs after the third crash.
func (s *script) check() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := map[string]time.Time{}
	for _, reply := range s.requester.Replies() {
		sent[reply.ID] = reply.Sent
	}
	retries := 0
	for i, id := range s.ids {
		if i > 2 && sent[id].Sub(s.arrivals[2]) > contact {
			retries++
		}
	}
	crashes := len(s.arrivals)
	if !harness.HasTrouble() {
		crashes, retries = 0, 0
	}
	statuses := map[int]int{}
	for _, reply := range s.requester.Replies() {
		statuses[reply.Status]++
	}
	result := fmt.Sprintf("requests by status: %v; crashes: %d; retries that reached a replica later than %v after the third: %d",
		statuses, crashes, contact, retries)
	s.record.Add("%s", result)
	fmt.Println(result)
	if retries > maxRetries {
		return harness.ExitBroken
	}
	return harness.ExitHeld
}
