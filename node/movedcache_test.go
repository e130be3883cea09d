package node_test

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowStart delays each request that resumes from a moved KV cache, like an engine
// that is busy when the request arrives.
func slowStart(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		q.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(`"kv_transfer_params"`)) {
			select {
			case <-time.After(300 * time.Millisecond):
			case <-q.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, q)
	})
}

// Guards against a moved KV cache that stays unused because the request was handed
// over before its new engine had started it.
func TestMovedCacheIsUsedAtHandover(t *testing.T) {
	is := is.New(t)
	const streams = 10
	f := startFleetWith(t, fleetConfig{
		stopTimeout:   30 * time.Second,
		betweenTokens: betweenTokens(),
		wrapEngine:    slowStart,
	})
	var group sync.WaitGroup
	for i, prompt := range longPrompts(streams) {
		group.Go(func() { f.stream(t, i, prompt, tokensIn(longestAnswer)) })
	}
	waitFor(t, func() bool { return f.counts().Started == streams })
	time.Sleep(500 * time.Millisecond)
	startOver := 0
	for _, q := range f.nodes[0].Board().Requests.All() {
		if produced, at, _ := q.Progress(); at == "engine-0" || at == "engine-3" {
			startOver += q.Call.PromptTokens + produced
		}
	}
	f.platform.Cloud.ReclaimDomain("domain-0", 3*time.Second)
	is.NoErr(<-f.done[0])
	group.Wait()
	f.waitUntilIdle(t)
	counts := f.counts()
	t.Logf("%d tokens recomputed, starting over %d, longest gap %s", counts.ResumeComputed, startOver, f.longestGap)
	is.Equal(counts.BadResumes, 0)
	is.Equal(counts.Finished, streams)
	f.checkFinishedOnce(t, streams)
	is.True(counts.ResumeComputed*2 < startOver)
}
