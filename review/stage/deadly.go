package stage

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Deadly is the body of the request that crashes each replica that begins to run it.
const Deadly = "deadly order"

const (
	// restart is how long a crashed replica is away.
	restart = 3 * time.Second
	// contact is contactMs, and allowedArrivals the arrivals that BUDGET allows after that.
	contact         = 3 * time.Second
	allowedArrivals = 3
	// runTime is how long a request runs before its answer, or before its replica crashes.
	runTime = 30 * time.Millisecond
	// soundEvery is the time between two sound requests.
	soundEvery = 50 * time.Millisecond
)

// AnswerOrders runs a request. A deadly one crashes the replica.
func AnswerOrders(w http.ResponseWriter, _ *http.Request, run *Run) bool {
	time.Sleep(runTime)
	if run.Body == Deadly {
		return false
	}
	WriteText(w, "done")
	return true
}

// WithOthers calls play while crashed replicas boot again and another tenant sends sound requests.
func (s *Stage) WithOthers(replicas []*Replica, send func(machine *Machine, id, body string) Answer, play func()) {
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { s.bootCrashed(replicas, stop) })
	others.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(soundEvery):
			}
			go send(s.Machines[i%len(s.Machines)], fmt.Sprintf("sound-%d", i), fmt.Sprintf("order %d", i))
		}
	})
	play()
	close(stop)
	others.Wait()
}

// bootCrashed boots crashed replicas again until stop is closed.
func (s *Stage) bootCrashed(replicas []*Replica, stop chan struct{}) {
	var boots sync.WaitGroup
	defer boots.Wait()
	seen := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, r := range replicas {
			if crashes := r.crashes(); crashes > seen[r.ID] {
				seen[r.ID] = crashes
				s.Record("replica %s has crashed", r.ID)
				boots.Go(func() {
					time.Sleep(restart)
					r.Boot()
				})
			}
		}
	}
}

// crashes returns how often a deadly request has crashed the replica.
func (r *Replica) crashes() int {
	count := 0
	for _, run := range r.Runs() {
		if run.isDeadly() && !run.EndedAt.IsZero() {
			count++
		}
	}
	return count
}

func (r *Run) isDeadly() bool { return r.Body == Deadly && !r.IsRefused }

// BreaksCrashBudget reports whether deadly requests have reached replicas in more than three
// arrivals later than contactMs after the third crash.
func (s *Stage) BreaksCrashBudget() bool {
	var arrivals []Run
	for _, run := range s.Runs() {
		if run.isDeadly() {
			arrivals = append(arrivals, run)
		}
	}
	slices.SortFunc(arrivals, func(a, b Run) int { return a.At.Compare(b.At) })
	late := 0
	for i, run := range arrivals {
		isLate := i >= 3 && run.At.Sub(arrivals[2].EndedAt) > contact
		if isLate {
			late++
		}
		s.Record("arrival %d: %s at %s for the tenant %q, %.3f s after the first, later than contactMs after the third crash: %v", i+1,
			run.ID, run.Replica, run.Tenant, run.At.Sub(arrivals[0].At).Seconds(), isLate)
	}
	s.Record("%d arrivals later than contactMs after the third crash, %d are allowed", late, allowedArrivals)
	return late > allowedArrivals
}
