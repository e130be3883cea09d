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
	peerKey     = "0123456789abcdef0123456789abcdef"
	waitStep    = 10 * time.Millisecond
	waitTimeout = 20 * time.Second
)

// fleet holds three nodes in three failure domains and four engines, in one process
// over loopback.
type fleet struct {
	platform *platform.Platform
	engines  []*engine.Engine
	nodes    []*node.Node
	done     []chan error
	stop     []context.CancelFunc

	mu         sync.Mutex
	longestGap time.Duration
}

// recordGap records the longest wait between two tokens that any caller saw.
func (f *fleet) recordGap(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longestGap = max(f.longestGap, wait)
}

// betweenTokens is the time between two tokens. It is longer in short mode, in which the race
// detector slows the tests down: with 200 tokens a second each, 40 streams need more processor time
// than a busy machine has, and no notice is long enough to hand them over.
func betweenTokens() time.Duration {
	if testing.Short() {
		return 20 * time.Millisecond
	}
	return 5 * time.Millisecond
}

// tokensIn returns the number of tokens that an engine produces in a time.
func tokensIn(length time.Duration) int { return int(length / betweenTokens()) }

// fleetConfig configures a fleet.
type fleetConfig struct {
	stopTimeout   time.Duration
	betweenTokens time.Duration
	// wrapEngine returns the handler of an engine; nil means the engine itself.
	wrapEngine func(next http.Handler) http.Handler
}

func startFleet(t *testing.T, stopTimeout time.Duration) *fleet {
	t.Helper()
	return startFleetWith(t, fleetConfig{
		stopTimeout:   stopTimeout,
		betweenTokens: betweenTokens(),
	})
}

func startFleetWith(t *testing.T, c fleetConfig) *fleet {
	t.Helper()
	if c.wrapEngine == nil {
		c.wrapEngine = func(next http.Handler) http.Handler { return next }
	}
	f := &fleet{}
	var instances []zinniamast.Instance
	for i := range 4 {
		e := engine.New(engine.Config{
			BetweenTokens: c.betweenTokens,
		})
		server := httptest.NewServer(c.wrapEngine(e))
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
				StopTimeout:   config.Duration(c.stopTimeout),
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
	// A node that outlives its test keeps calling ports that other tests may use by then.
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
		waitFor(t, func() bool { return len(n.Board().Members.All()) == 3 && len(n.Board().Upstreams.All()) == 4 })
	}
	reply := f.nodes[0].PutConfiguration(t.Context(), raw, "test", "the test's own")
	if reply.Outcome != rollout.InForce || len(reply.Nodes) != 3 {
		t.Fatalf("configuration is not in force: %+v", reply)
	}
	return f
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(waitStep) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
	}
}

// receivedStream is the part of a streamed answer that a caller has received.
type receivedStream struct {
	text       string
	lastEvent  string
	isComplete bool
	// longestGap is the longest wait between two tokens, also across reconnects, and last
	// is when the latest token came.
	longestGap time.Duration
	last       time.Time
}

// read reads a stream, or the rest of it, from a node.
func (r *receivedStream) read(ctx context.Context, n *node.Node, body, key string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Address()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set(caller.HeaderKey, key)
	if r.lastEvent != "" {
		q.Header.Set(caller.HeaderLastEvent, r.lastEvent)
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
		r.parseLine(lines.Text())
	}
	return lines.Err()
}

func (r *receivedStream) parseLine(line string) {
	if event, ok := strings.CutPrefix(line, "id: "); ok {
		r.lastEvent = event
		return
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		r.isComplete = true
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
			r.longestGap = max(r.longestGap, now.Sub(r.last))
		}
		r.last = now
	}
}

// stream sends a long request to the first node and continues at the others until the
// answer is complete. It returns how often the stream broke.
func (f *fleet) stream(t *testing.T, i, prompt, tokens int) (breaks int) {
	body := fmt.Sprintf(`{"model":"summary","stream":true,"max_tokens":%d,"messages":%s}`, tokens, messages(prompt))
	var r receivedStream
	deadline := time.Now().Add(waitTimeout)
	for at := 0; !r.isComplete; at = 1 + at%2 {
		if time.Now().After(deadline) {
			t.Errorf("stream %d is not complete after %d breaks", i, breaks)
			return breaks
		}
		if err := r.read(t.Context(), f.nodes[at], body, fmt.Sprint("key-", i)); err != nil || !r.isComplete {
			breaks++
		}
	}
	f.recordGap(r.longestGap)
	want := engine.Text(engine.Answer(messages(prompt), tokens))
	if r.text != want {
		t.Errorf("stream %d: got %d bytes that differ from the expected answer of %d bytes", i, len(r.text), len(want))
	}
	return breaks
}

// waitUntilIdle waits until no engine runs a request, so that the engines' counts include all
// that callers have read.
func (f *fleet) waitUntilIdle(t *testing.T) {
	t.Helper()
	waitFor(t, func() bool {
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

// finishedAttempts counts, by key, the attempts from which nodes received a complete answer. A
// peer that was handed a complete answer holds a copy and has no attempt.
func (f *fleet) finishedAttempts() map[string]int {
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

// checkFinishedOnce checks that nodes received each of the first streams completely from
// exactly one attempt.
func (f *fleet) checkFinishedOnce(t *testing.T, streams int) {
	t.Helper()
	want := map[string]int{}
	for i := range streams {
		want[fmt.Sprint("key-", i)] = 1
	}
	is.New(t).Equal(f.finishedAttempts(), want)
}

// messages returns the messages of one stream's prompt.
func messages(prompt int) []byte {
	return fmt.Appendf(nil, `[{"role":"user","content":"contract %d"}]`, prompt)
}

// An answer of longAnswer takes longer than any notice in these tests, and none takes longer than
// longestAnswer.
const (
	longAnswer    = 4500 * time.Millisecond
	longestAnswer = 5 * time.Second
)

// longPrompts returns prompts whose answers outlast the notice. An answer that ends
// during its handoff may be counted twice as finished by the engines, since the node
// that hands it over has not read the end mark. If no answer ends then, the count of
// finished attempts is exact.
func longPrompts(streams int) []int {
	var prompts []int
	for prompt := 0; len(prompts) < streams; prompt++ {
		if tokens := tokensIn(longAnswer); len(engine.Answer(messages(prompt), tokens)) == tokens {
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// Guards against answers that are lost or recomputed when an entry instance with 40
// open streams is reclaimed on two seconds of notice, before the streams end. Callers
// read through it until it stops and then reconnect to other nodes. Each receives one
// gapless answer, and nothing is recomputed, since the attempts continue on the same
// replicas.
func TestReclaimedNodeLosesNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	var group sync.WaitGroup
	for i, prompt := range longPrompts(40) {
		group.Go(func() { f.stream(t, i, prompt, tokensIn(longestAnswer)) })
	}
	waitFor(t, func() bool { return f.counts().Started == 40 })
	f.platform.Cloud.Reclaim("node-0", 2*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	f.waitUntilIdle(t)
	counts := f.counts()
	t.Logf("%+v, longest gap %s", counts, f.longestGap)
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.Started, 80)
	is.Equal(counts.Finished, 40)
	is.Equal(counts.ResumeComputed, 0)
	f.checkFinishedOnce(t, 40)
}

// Guards against answers that are lost or mostly recomputed when a whole failure
// domain is reclaimed on three seconds of notice: its entry instance and the engines
// that run most of the streams. Streams move to other engines with their KV caches
// while the node is already handing its requests over. Each caller receives one
// gapless answer, and far fewer tokens are recomputed than by starting over.
func TestReclaimedFailureDomainLosesNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	var group sync.WaitGroup
	for i, prompt := range longPrompts(40) {
		group.Go(func() { f.stream(t, i, prompt, tokensIn(longestAnswer)) })
	}
	waitFor(t, func() bool { return f.counts().Started == 40 })
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
	f.waitUntilIdle(t)
	counts := f.counts()
	t.Logf("%d tokens recomputed, starting over %d, longest gap %s", counts.ResumeComputed, startOver, f.longestGap)
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.Finished, 40)
	f.checkFinishedOnce(t, 40)
	is.True(counts.ResumeComputed*2 < startOver)
}

// Guards against a node that ignores a reclaim notice of two seconds during a planned
// stop with minutes to drain. It must hand its requests over at the notice, since the
// drain would end long after the process is gone.
func TestReclaimedWhileStopping(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 5*time.Minute)
	var group sync.WaitGroup
	for i, prompt := range longPrompts(10) {
		group.Go(func() { f.stream(t, i, prompt, tokensIn(longestAnswer)) })
	}
	waitFor(t, func() bool { return f.counts().Started == 10 })
	f.stop[0]()
	f.platform.Cloud.Reclaim("node-0", 2*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	f.waitUntilIdle(t)
	is.Equal(f.counts().Started, 20)
	is.Equal(f.counts().Finished, 10)
	is.Equal(f.counts().ResumeComputed, 0)
	f.checkFinishedOnce(t, 10)
}

// Guards against interrupted streams at a planned stop: the node accepts no new
// requests and lets all streams end, and no caller sees a break.
func TestPlannedStopInterruptsNoStream(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 30*time.Second)
	var group sync.WaitGroup
	var breaks [20]int
	for i := range breaks {
		group.Go(func() { breaks[i] = f.stream(t, i, i, tokensIn(1500*time.Millisecond)) })
	}
	waitFor(t, func() bool { return f.counts().Started == len(breaks) })
	f.stop[0]()
	is.NoErr(<-f.done[0])
	group.Wait()
	is.Equal(breaks, [20]int{})
	f.waitUntilIdle(t)
	is.Equal(f.counts().Finished, len(breaks))
	f.checkFinishedOnce(t, len(breaks))
}
