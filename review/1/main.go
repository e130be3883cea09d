// Command 1 shows that a request of an unsafe route runs twice when a faulty replica sends its
// refusal of it a second time, late.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"

	"zinniamast/review/harness"
)

// The load: replicas that each run slots requests at once for work, and the times between two
// requests at the busy entries and at the others. The requesters spread unevenly over the entries.
// All together send 0.95 times what the replicas can run, and burstFactor times as many in bursts.
const (
	entries      = 9
	busyEntries  = 2
	replicas     = 2
	faulty       = 1
	slots        = 4
	work         = 100 * time.Millisecond
	length       = 90 * time.Second
	busyInterval = 45 * time.Millisecond
	interval     = 220 * time.Millisecond
	timeBudget   = 2500 * time.Millisecond
)

// The bursts come with and without the disruption: x and for_s of burst in the site file.
const (
	burstFactor = 1.7
	burstLength = 3 * time.Second
	burstPeriod = 4 * time.Second
)

// garbleShare bounds the part of its answers that the faulty replica sends twice: x of garble,
// "extra late", in the site files. It sends refusals twice, and no other answers.
const garbleShare = 0.03

const configuration = `{"version":1,
	"routes":[{"name":"book","hostname":"review.example","prefix":"/book/","routeType":"unsafe","timeoutMs":2500,"sloMs":1000,
		"priority":0,"service":"booking","maxAttempts":1,"anonymous":false}],
	"services":[{"name":"booking","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
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
		Configuration: configuration,
		Root:          "../..",
	})
	if err != nil {
		return harness.ExitFailed, err
	}
	defer d.Close()
	all, err := startReplicas(d, record)
	if err != nil {
		return harness.ExitFailed, err
	}
	if err := d.Start(); err != nil {
		return harness.ExitFailed, err
	}
	requester := harness.NewRequester(record, timeBudget)
	bursts := harness.Bursts{
		Factor: burstFactor,
		Length: burstLength,
		Period: burstPeriod,
	}
	var loads sync.WaitGroup
	for i, e := range d.Entries {
		pause := interval
		if i < busyEntries {
			pause = busyInterval
		}
		loads.Add(1)
		go func() {
			defer loads.Done()
			harness.EveryWithBursts(pause, length, bursts, func() { requester.Send(e.Frontend, http.MethodPost, "/book/seat", "one seat") })
		}()
	}
	loads.Wait()
	time.Sleep(time.Second)
	return check(record, requester, all), nil
}

// startReplicas starts the replicas, of which the first ones are faulty.
func startReplicas(d *harness.Deployment, record *harness.Record) ([]*harness.Replica, error) {
	var started []*harness.Replica
	for i := range replicas {
		r := &harness.Replica{
			ID:      fmt.Sprintf("i-%d", i),
			Service: "booking",
			Slots:   slots,
			Record:  record,
			Run: func(*http.Request) harness.Answer {
				return harness.Answer{
					Status: http.StatusOK,
					Body:   "booked",
					Work:   time.Duration((0.5 + rand.Float64()) * float64(work)),
				}
			},
		}
		if i < faulty && harness.HasTrouble() {
			r.RepeatShare = garbleShare
		}
		if err := r.Listen(); err != nil {
			return nil, err
		}
		d.AddReplica(r, harness.Zones[i%len(harness.Zones)])
		started = append(started, r)
	}
	return started, nil
}

// check compares what ran with what the requester was told.
func check(record *harness.Record, requester *harness.Requester, all []*harness.Replica) int {
	runs := map[string]int{}
	for _, r := range all {
		for id, count := range r.Runs() {
			runs[id] += count
		}
	}
	twice, refused := 0, 0
	statuses := map[int]int{}
	for _, reply := range requester.Replies() {
		statuses[reply.Status]++
		if runs[reply.ID] > 1 {
			twice++
			record.Add("TWICE: request %s has run %d times", reply.ID, runs[reply.ID])
		}
		if (reply.Status == http.StatusTooManyRequests || reply.Status == http.StatusServiceUnavailable) && runs[reply.ID] > 0 {
			refused++
			record.Add("REFUSED: request %s was answered %d and has run", reply.ID, reply.Status)
		}
	}
	record.Add("requests by status: %v; run more than once: %d; answered 429 or 503 and run: %d", statuses, twice, refused)
	fmt.Printf("requests by status: %v; run more than once: %d; answered 429 or 503 and run: %d\n", statuses, twice, refused)
	if twice+refused > 0 {
		return harness.ExitBroken
	}
	return harness.ExitHeld
}
