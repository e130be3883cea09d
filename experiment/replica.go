package experiment

import (
	"slices"
	"time"

	"zinniamast"
)

// Speed is the performance model of an instance class: a step computes one token
// for each running sequence and up to ChunkTokens prompt tokens of the queue.
type Speed struct {
	// StepBase, PerSequence and PerPromptToken add up to the duration of a step.
	StepBase       time.Duration
	PerSequence    time.Duration
	PerPromptToken time.Duration
	// ChunkTokens bounds the prompt tokens computed in one step.
	ChunkTokens int
	// MaxSequences bounds the sequences of the batch.
	MaxSequences int
	// CacheTokens bounds the prefix cache.
	CacheTokens  int
	PricePerHour float64
}

// replica models one replica in virtual time.
type replica struct {
	zinniamast.Engine
	world    *world
	instance zinniamast.Instance
	speed    Speed
	waiting  []*job
	running  []*job
	cache    *blockCache
	stepping bool
	leaving  bool
	removed  bool
	started  time.Time
	stopped  time.Time
	// reports holds recent load reports. They are recorded every second and read
	// with the lag of the scenario.
	reports []zinniamast.LoadReport
}

// job is one attempt of a request at a replica.
type job struct {
	request   *request
	attemptID string
	node      *node
	replica   *replica
	// cacheChecked means that the prefix cache was looked up; remaining is the
	// number of tokens still to compute.
	cacheChecked bool
	cached       int
	remaining    int
	// emitted is the number of tokens that this attempt produced.
	emitted    int
	sent       time.Time
	firstToken time.Time
	ended      bool
}

// submit queues a job by priority, then by arrival.
func (r *replica) submit(j *job) {
	at, _ := slices.BinarySearchFunc(r.waiting, j, func(a, b *job) int {
		if a.request.class <= b.request.class {
			return -1
		}
		return 1
	})
	r.waiting = slices.Insert(r.waiting, at, j)
	r.step()
}

// step starts the next step, if any job is queued or running.
func (r *replica) step() {
	if r.stepping || r.removed || len(r.waiting)+len(r.running) == 0 {
		return
	}
	r.stepping = true
	prompt := r.prefill()
	took := r.speed.StepBase + time.Duration(len(r.running))*r.speed.PerSequence +
		time.Duration(prompt)*r.speed.PerPromptToken
	r.world.after(took, r.stepEnd)
}

// prefill assigns the prompt tokens of this step to the jobs at the head of the
// queue and returns how many it assigned.
func (r *replica) prefill() int {
	budget := r.speed.ChunkTokens
	room := r.speed.MaxSequences - len(r.running)
	for _, j := range r.waiting {
		if budget == 0 || room <= 0 {
			break
		}
		if !j.cacheChecked {
			j.cacheChecked = true
			j.cached = min(r.cache.lookup(j.request.hashes), j.request.promptTokens)
			j.remaining = max(1, j.request.promptTokens+j.request.produced-j.cached)
			r.world.countComputed(j)
		}
		part := min(budget, j.remaining)
		j.remaining -= part
		budget -= part
		room--
	}
	return r.speed.ChunkTokens - budget
}

func (r *replica) stepEnd() {
	r.stepping = false
	if r.removed {
		return
	}
	running := r.running[:0]
	for _, j := range r.running {
		if j.ended {
			continue
		}
		j.emitted++
		j.request.recordToken(r.world.now)
		if j.request.produced >= j.request.answerTokens {
			r.world.finish(j)
			continue
		}
		running = append(running, j)
	}
	r.running = running
	r.admit()
	r.step()
}

// admit moves jobs whose prefill is complete into the batch, with their first token.
func (r *replica) admit() {
	waiting := r.waiting[:0]
	for _, j := range r.waiting {
		switch {
		case j.ended:
		case j.cacheChecked && j.remaining == 0:
			r.cache.add(j.request.hashes)
			j.emitted = 1
			j.firstToken = r.world.now
			r.running = append(r.running, j)
			j.request.recordToken(r.world.now)
			r.world.observeFirstToken(j)
		default:
			waiting = append(waiting, j)
		}
	}
	r.waiting = waiting
}

// recordLoad records a load report, which nodes read with a lag.
func (r *replica) recordLoad(now time.Time) {
	queued := 0
	for _, j := range r.waiting {
		if j.cacheChecked {
			queued += j.remaining
		} else {
			queued += j.request.promptTokens
		}
	}
	r.reports = append(r.reports, zinniamast.LoadReport{
		At:           now,
		Running:      len(r.running),
		Waiting:      len(r.waiting),
		QueuedTokens: queued,
	})
	if len(r.reports) > 16 {
		r.reports = r.reports[1:]
	}
}

// delayedReport returns the newest report that is at least as old as the lag.
func (r *replica) delayedReport(now time.Time, lag time.Duration) zinniamast.LoadReport {
	for i := len(r.reports) - 1; i >= 0; i-- {
		if now.Sub(r.reports[i].At) >= lag {
			return r.reports[i]
		}
	}
	return zinniamast.LoadReport{}
}
