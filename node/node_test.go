package node_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/caller"
	"zinniamast/config"
	"zinniamast/node"
	"zinniamast/request"
	"zinniamast/rollout"
	"zinniamast/settings"
	"zinniamast/standin/engine"
	"zinniamast/standin/platform"
)

const (
	peerKey  = "0123456789abcdef0123456789abcdef"
	waitStep = 10 * time.Millisecond
	patience = 20 * time.Second
)

// fleet is three nodes in three failure domains, in one process, over loopback.
type fleet struct {
	platform *platform.Platform
	engines  []*engine.Engine
	nodes    []*node.Node
	done     []chan error
	stop     []context.CancelFunc

	mu      sync.Mutex
	longest time.Duration
}

// gap notes the longest wait that any caller saw between two tokens.
func (f *fleet) gap(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longest = max(f.longest, wait)
}

func startFleet(t *testing.T, stopTimeout time.Duration) *fleet {
	t.Helper()
	return startFleetBehind(t, stopTimeout, func(h http.Handler) http.Handler { return h })
}

// startFleetBehind starts a fleet that reaches each engine through what a test puts before it.
func startFleetBehind(t *testing.T, stopTimeout time.Duration, before func(http.Handler) http.Handler) *fleet {
	t.Helper()
	f := &fleet{}
	var instances []zinniamast.Instance
	for i := range 4 {
		e := engine.New(engine.Config{
			BetweenTokens: 5 * time.Millisecond,
		})
		server := httptest.NewServer(before(e))
		t.Cleanup(server.Close)
		f.engines = append(f.engines, e)
		instances = append(instances, zinniamast.Instance{
			ID:            fmt.Sprint("engine-", i),
			FailureDomain: fmt.Sprint("domain-", i%3),
			Market:        zinniamast.Reclaimable,
			Role:          "engine",
			Service:       "summary",
			Address:       server.URL,
			Started:       time.Now(),
		})
	}
	f.platform = platform.New(platform.Config{
		Instances: instances,
	})
	hash := sha256.Sum256([]byte("key"))
	raw := fmt.Appendf(nil, `{"defaults": {}, "organisations": [{"name": "north", "key_hashes": ["%s"]}],
		"models": [{"name": "summary"}], "services": []}`, hex.EncodeToString(hash[:]))
	var peers []string
	for i := range 3 {
		n, err := node.New(node.Config{
			Settings: &settings.Settings{
				Instance:      fmt.Sprint("node-", i),
				FailureDomain: fmt.Sprint("domain-", i),
				Weight:        1,
				Listen:        "127.0.0.1:0",
				PeerListen:    "127.0.0.1:0",
				Peers:         peers,
				PeerKeys:      []string{peerKey},
				OperatorKeys:  []string{peerKey},
				StopTimeout:   config.Duration(stopTimeout),
				MemoryCap:     64 << 20,
				Platform: settings.Platform{
					WritesASec: 100,
					ReadsASec:  100,
				},
			},
			Platform: node.Platform{
				Table:   f.platform.Table,
				Objects: f.platform.Objects,
				Cloud:   f.platform.Cloud,
				List:    f.platform.Cloud,
				Weights: f.platform.Weights,
			},
			Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, n.PeerAddress())
		f.platform.Cloud.Add(zinniamast.Instance{
			ID:            fmt.Sprint("node-", i),
			FailureDomain: fmt.Sprint("domain-", i),
			Market:        zinniamast.Reclaimable,
			Role:          "entry",
			Address:       n.PeerAddress(),
			Started:       time.Now(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			done <- n.Run(ctx)
			close(done)
		}()
		f.nodes = append(f.nodes, n)
		f.stop = append(f.stop, cancel)
		f.done = append(f.done, done)
	}
	// A node that outlives its test goes on asking at ports that others have by then.
	t.Cleanup(func() {
		for _, stop := range f.stop {
			stop()
		}
		for _, done := range f.done {
			for range done {
			}
		}
	})
	for _, n := range f.nodes {
		until(t, func() bool { return len(n.Board().Members.All()) == 3 && len(n.Board().Upstreams.All()) == 4 })
	}
	reply := f.nodes[0].PutConfiguration(t.Context(), raw, "test", "the test's own")
	if reply.Outcome != rollout.InForce || len(reply.Nodes) != 3 {
		t.Fatalf("configuration is not in force: %+v", reply)
	}
	return f
}

func until(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(waitStep) {
		if time.Now().After(deadline) {
			t.Fatal("condition did not come true")
		}
	}
}

// reading is what a caller has of one streamed answer.
type reading struct {
	text  string
	event string
	whole bool
	// gap is the longest wait between two tokens, from the last one read.
	gap  time.Duration
	last time.Time
}

// read reads a stream, or what is left of it, from a node.
func (r *reading) read(ctx context.Context, n *node.Node, body, key string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Address()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set(caller.HeaderKey, key)
	if r.event != "" {
		q.Header.Set(caller.HeaderLastEvent, r.event)
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		r.line(lines.Text())
	}
	return lines.Err()
}

func (r *reading) line(line string) {
	if event, ok := strings.CutPrefix(line, "id: "); ok {
		r.event = event
		return
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		r.whole = true
		return
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
		r.text += chunk.Choices[0].Delta.Content
		now := time.Now()
		if !r.last.IsZero() {
			r.gap = max(r.gap, now.Sub(r.last))
		}
		r.last = now
	}
}

// stream sends a long request to the first node and goes on at the others
// until the answer is whole.
func (f *fleet) stream(t *testing.T, i, prompt, tokens int) (breaks int) {
	body := fmt.Sprintf(`{"model":"summary","stream":true,"max_tokens":%d,"messages":%s}`, tokens, messages(prompt))
	var r reading
	deadline := time.Now().Add(patience)
	for at := 0; !r.whole; at = 1 + at%2 {
		if time.Now().After(deadline) {
			t.Errorf("stream %d is not whole after %d breaks", i, breaks)
			return breaks
		}
		if err := r.read(t.Context(), f.nodes[at], body, fmt.Sprint("key-", i)); err != nil || !r.whole {
			breaks++
		}
	}
	f.gap(r.gap)
	want := engine.Text(engine.Answer(messages(prompt), tokens))
	if r.text != want {
		t.Errorf("stream %d: %d bytes are not its answer of %d", i, len(r.text), len(want))
	}
	return breaks
}

// settle waits until the engines have counted what callers have read already.
func (f *fleet) settle(t *testing.T) {
	t.Helper()
	until(t, func() bool {
		for _, e := range f.engines {
			if e.Running() > 0 {
				return false
			}
		}
		return true
	})
}

func (f *fleet) counts() (total engine.Counts) {
	for _, e := range f.engines {
		c := e.Counts()
		total.Started += c.Started
		total.ResumeComputed += c.ResumeComputed
		total.BadResumes += c.BadResumes
		total.Finished += c.Finished
		total.Produced += c.Produced
	}
	return total
}

// finishes counts, by key, the attempts that nodes took a whole answer from. A
// peer that was handed an answer already whole holds a copy and no attempt.
func (f *fleet) finishes() map[string]int {
	finishes := map[string]int{}
	for _, n := range f.nodes {
		for _, q := range n.Board().Requests.All() {
			if _, _, attempt := q.Progress(); attempt != "" && q.State() == request.StateWhole {
				finishes[q.Call.Key]++
			}
		}
	}
	return finishes
}

// finishOnce checks that nodes took each of the first streams whole from one attempt.
func (f *fleet) finishOnce(t *testing.T, streams int) {
	t.Helper()
	want := map[string]int{}
	for i := range streams {
		want[fmt.Sprint("key-", i)] = 1
	}
	is.New(t).Equal(f.finishes(), want)
}

// messages is the prompt of one stream.
func messages(prompt int) []byte {
	return fmt.Appendf(nil, `[{"role":"user","content":"contract %d"}]`, prompt)
}

// longAnswer is how many tokens an answer has at the least that runs beyond
// any notice here: 900 gaps of 5 ms are 4.5 s.
const longAnswer = 900

// longPrompts returns prompts whose answers run beyond the notice. An answer
// that ends while it is handed over may count twice as finished at the
// engines, whose end mark the giver has not read; where none ends, the count
// of attempts that finished is exact.
func longPrompts(streams int) []int {
	var prompts []int
	for prompt := 0; len(prompts) < streams; prompt++ {
		if len(engine.Answer(messages(prompt), longAnswer)) == longAnswer {
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// An entry instance with 40 open streams is reclaimed on two seconds of
// notice; the streams would run for longer. Callers read on through it until
// it goes, then come back to other nodes. Each reads one unbroken answer, and
// nothing is computed twice, since streams go on at the same replicas.
func TestReclaimedNodeLosesNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	var group sync.WaitGroup
	for i, prompt := range longPrompts(40) {
		group.Go(func() { f.stream(t, i, prompt, 1000) })
	}
	until(t, func() bool { return f.counts().Started == 40 })
	f.platform.Cloud.Reclaim("node-0", 2*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	f.settle(t)
	counts := f.counts()
	t.Logf("%+v, longest gap %s", counts, f.longest)
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.Started, 80)
	is.Equal(counts.Finished, 40)
	is.Equal(counts.ResumeComputed, 0)
	f.finishOnce(t, 40)
}

// A whole failure domain is reclaimed at once: its entry instance and the
// engines that run most of the streams, on three seconds of notice. Streams
// move off the engines with their caches while the node already hands its
// requests over; each caller reads one unbroken answer, and far less is
// computed again than by starting over.
func TestReclaimedFailureDomainLosesNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	var group sync.WaitGroup
	for i, prompt := range longPrompts(40) {
		group.Go(func() { f.stream(t, i, prompt, 1000) })
	}
	until(t, func() bool { return f.counts().Started == 40 })
	time.Sleep(500 * time.Millisecond)
	startOver := 0
	for _, q := range f.nodes[0].Board().Requests.All() {
		produced, at, _ := q.Progress()
		if at == "engine-0" || at == "engine-3" {
			startOver += q.Call.PromptTokens + produced
		}
	}
	f.platform.Cloud.ReclaimDomain("domain-0", 3*time.Second)
	is.NoErr(<-f.done[0])
	for _, i := range []int{0, 3} {
		f.engines[i].SetFaults(engine.Faults{Down: true})
	}
	group.Wait()
	f.settle(t)
	counts := f.counts()
	t.Logf("%d tokens recomputed, starting over %d, longest gap %s", counts.ResumeComputed, startOver, f.longest)
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.Finished, 40)
	f.finishOnce(t, 40)
	is.True(counts.ResumeComputed*2 < startOver)
}

// A node is stopped as planned, with minutes to drain, and then reclaimed on two
// seconds of notice. It must hand over at the notice: the drain would end long
// after the process is gone.
func TestReclaimedWhileStopping(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 5*time.Minute)
	var group sync.WaitGroup
	for i, prompt := range longPrompts(10) {
		group.Go(func() { f.stream(t, i, prompt, 1000) })
	}
	until(t, func() bool { return f.counts().Started == 10 })
	f.stop[0]()
	f.platform.Cloud.Reclaim("node-0", 2*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	f.settle(t)
	is.Equal(f.counts().Started, 20)
	is.Equal(f.counts().Finished, 10)
	is.Equal(f.counts().ResumeComputed, 0)
	f.finishOnce(t, 10)
}

// A node is stopped as planned. It takes no new requests, lets all streams
// end, and no caller sees a break.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	var group sync.WaitGroup
	var breaks [20]int
	for i := range breaks {
		group.Go(func() { breaks[i] = f.stream(t, i, i, 300) })
	}
	until(t, func() bool { return f.counts().Started == len(breaks) })
	f.stop[0]()
	is.NoErr(<-f.done[0])
	group.Wait()
	is.Equal(breaks, [20]int{})
	f.settle(t)
	is.Equal(f.counts().Finished, len(breaks))
	f.finishOnce(t, len(breaks))
}
