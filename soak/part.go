package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniamast/processtest"
	"zinniamast/standin/caller"
	"zinniamast/standin/replica"
)

const (
	// crashingPart is a part of a prompt that crashes replicas, and crashPause the time
	// between two requests with it.
	crashingPart = "badbad"
	crashPause   = 100 * time.Millisecond
	// crashDuration is how long requests with it come, and backAfter the time after which a
	// crashed replica is back.
	crashDuration = 16 * time.Second
	backAfter     = 1500 * time.Millisecond
	// allowedCrashes crashes of a part may pass, and allowedLateSends of its requests may
	// reach replicas later than contactTime after them.
	allowedCrashes   = 5
	allowedLateSends = 3
)

// RunCrashingPart runs a deployment whose replicas crash when they get a request with one part
// in its prompt, while such requests come, no two alike, and instances are reloaded, stopped
// and started one after the other. The summary has a violation if such requests go on reaching
// replicas.
func RunCrashingPart(tb testing.TB, c Config) Summary {
	tb.Helper()
	d := newDeployment(tb, c)
	crashes := &crashLog{}
	for i, r := range d.replicas {
		r.CrashingPart = crashingPart
		r.Crash = func() { d.crash(crashes, d.links[i]) }
	}
	s := d.soak(c.Seed, func() []string {
		time.Sleep(time.Second)
		until := time.Now().Add(crashDuration)
		var done sync.WaitGroup
		done.Go(func() { d.sendCrashing(rand.New(rand.NewPCG(c.Seed, 1)), until) })
		d.restartInTurn(until)
		done.Wait()
		time.Sleep(recoveryTime)
		return nil
	})
	at := crashes.times()
	late := 0
	if len(at) >= allowedCrashes {
		for _, r := range d.replicas {
			late += crashingRuns(r, at[allowedCrashes-1].Add(contactTime))
		}
	}
	if late > allowedLateSends {
		s.addViolation("requests with a part under which %d replicas had crashed reached replicas %d times more; %d crashed in all", allowedCrashes, late, len(at))
	}
	s.Faults = append(s.Faults, fmt.Sprintf("%d replicas crashed, %d late sends", len(at), late))
	return s
}

// crashLog holds the times of crashes.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *crashLog) add(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, at)
}

// times returns the times in order.
func (l *crashLog) times() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	sorted := slices.Clone(l.at)
	slices.SortFunc(sorted, time.Time.Compare)
	return sorted
}

// crash breaks the connections of a replica, which is back later.
func (d *deployment) crash(crashes *crashLog, link *processtest.Link) {
	now := time.Now()
	crashes.add(now)
	link.Cut()
	time.AfterFunc(backAfter, func() {
		link.Heal()
		d.recordDisturbance(link, now)
	})
}

// sendCrashing sends requests with the crashing part to random instances, no two alike. They
// are not judged.
func (d *deployment) sendCrashing(random *rand.Rand, until time.Time) {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
		Timeout: budget,
	}
	var done sync.WaitGroup
	for ; time.Now().Before(until); time.Sleep(crashPause) {
		id := d.newRequestID()
		n := d.nodes[random.IntN(len(d.nodes))]
		done.Go(func() {
			request, err := caller.Request{
				ID:      id,
				Address: n.frontendAddress,
				Host:    host,
				Path:    streamPath,
				Key:     key,
				Budget:  budget,
				Body:    requestBody(id),
				Prompt:  commonPart + ":600," + crashingPart + ":300," + strings.TrimPrefix(id, "r-") + ":50",
			}.HTTP()
			if err != nil {
				return
			}
			response, err := client.Do(request)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
	done.Wait()
}

// crashingRuns returns the number of requests with the crashing part that reached a replica
// later than at a time.
func crashingRuns(r *replica.Replica, after time.Time) int {
	count := 0
	for _, run := range r.Runs() {
		if run.Received.After(after) && run.HasPart(crashingPart) {
			count++
		}
	}
	return count
}
