package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"zinniamast/prefix"
	"zinniamast/request"
)

// chatCall holds the fields of a chat-completions body that the stand-in reads.
type chatCall struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
	RequestID string          `json:"request_id"`
	Resume    []int32         `json:"resume_token_ids"`
	KV        struct {
		ID string `json:"id"`
	} `json:"kv_transfer_params"`
}

// crashMarker in a prompt crashes the replica that runs it.
const crashMarker = "[crash]"

const maxChatBody = 64 << 20

func (e *Engine) serveChat(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxChatBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body")
		return
	}
	var call chatCall
	if err := json.Unmarshal(body, &call); err != nil {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	if !e.admit(w, &call) {
		return
	}
	faults, broken := e.state()
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	go func() {
		select {
		case <-broken:
			cancel()
		case <-ctx.Done():
		}
	}()
	if faults.Hang {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if e.acquire(ctx, call.Priority) != nil {
		panic(http.ErrAbortHandler)
	}
	defer e.release()
	if bytes.Contains(call.Messages, []byte(crashMarker)) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if !e.stream(ctx, w, &call, faults, cancel) {
		panic(http.ErrAbortHandler)
	}
}

// admit refuses a request that the replica cannot accept and reports whether
// the request may run.
func (e *Engine) admit(w http.ResponseWriter, call *chatCall) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Leaving {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return false
	}
	if e.faults.Full {
		refuse(w, http.StatusTooManyRequests, "full")
		return false
	}
	if len(e.models) > 0 && !slices.Contains(e.models, call.Model) {
		refuse(w, http.StatusNotFound, "model_not_loaded")
		return false
	}
	answerSeed := seed(call.Messages)
	for i, id := range call.Resume {
		if token(answerSeed, i).ID != id {
			e.counts.BadResumes++
			refuse(w, http.StatusBadRequest, "bad_resume")
			return false
		}
	}
	return true
}

// crash drops all connections and caches, as a crashed process does.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Crashes++
	e.dropConnections()
}

// begin registers the attempt and computes the cost of its prompt.
func (e *Engine) begin(call *chatCall, cancel func()) (running *sequence, prompt, cached int, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prompt = request.EstimateTokens(call.Messages)
	answerSeed := seed(call.Messages)
	known := prompt + len(call.Resume)
	cached = e.cache.coveredTokens(answerSeed)
	hashes := prefix.Hashes(nil, call.Messages)
	for i, hash := range hashes {
		if e.cache.coveredTokens(hash) > 0 {
			cached = max(cached, prefix.Tokens(i))
		}
	}
	// Engines share KV cache blocks with sequences that are still running.
	for _, other := range e.running {
		if other.seed == answerSeed {
			cached = max(cached, other.tokens)
		}
	}
	if handle, ok := e.imported[call.KV.ID]; ok && call.KV.ID != "" {
		cached = max(cached, handle.Tokens)
	}
	cached = min(cached, known)
	e.counts.Started++
	e.runs[answerSeed]++
	e.counts.PromptComputed += known - cached
	if len(call.Resume) > 0 {
		e.counts.ResumeComputed += known - cached
	}
	for i, hash := range hashes {
		e.cachePrefix(hash, prefix.Tokens(i))
	}
	running = &sequence{
		seed:   answerSeed,
		tokens: known,
		cancel: cancel,
	}
	e.running[call.RequestID] = running
	wait = e.config.FirstToken + time.Duration(known-cached)*e.config.PerPromptToken
	return running, prompt, cached, wait
}

// end removes the attempt and keeps its tokens in the cache, as engines do.
func (e *Engine) end(call *chatCall, running *sequence, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, call.RequestID)
	e.cachePrefix(running.seed, running.tokens)
	if complete {
		e.counts.Finished++
	}
}

// stream sends the answer; it returns false if the connection must be dropped.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, call *chatCall, faults Faults, cancel func()) bool {
	running, prompt, cached, wait := e.begin(call, cancel)
	complete := false
	defer func() { e.end(call, running, complete) }()
	if !sleep(ctx, wait) {
		return false
	}
	length := answerLength(running.seed, call.MaxTokens)
	out := newChunkWriter(w, call, faults)
	for i := len(call.Resume); i < length; i++ {
		if faults.CutAfter > 0 && i >= faults.CutAfter {
			return false
		}
		if i > len(call.Resume) && !sleep(ctx, e.config.BetweenTokens) {
			return false
		}
		// The token is counted as cached before it is sent, because the caller may
		// resume with it as soon as it arrives.
		e.mu.Lock()
		running.tokens++
		e.mu.Unlock()
		if out.token(token(running.seed, i), i) != nil {
			return false
		}
		e.mu.Lock()
		e.counts.Produced++
		e.mu.Unlock()
	}
	finish := "stop"
	if length < naturalLength(running.seed) {
		finish = "length"
	}
	complete = out.end(finish, prompt, length, cached) == nil
	return complete
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// chunkWriter writes server-sent events.
type chunkWriter struct {
	w      http.ResponseWriter
	flush  func() error
	id     string
	repeat bool
	buffer []byte
}

func newChunkWriter(w http.ResponseWriter, call *chatCall, faults Faults) *chunkWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	id := call.RequestID
	if faults.Crossed {
		id = "another-attempt"
	}
	return &chunkWriter{
		w:      w,
		flush:  http.NewResponseController(w).Flush,
		id:     id,
		repeat: faults.Repeat,
	}
}

func (c *chunkWriter) token(t Token, index int) error {
	b := append(c.buffer[:0], `data: {"id":"`...)
	b = append(b, c.id...)
	b = append(b, `","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":`...)
	b = strconv.AppendQuote(b, t.Text)
	b = append(b, `},"token_index":`...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, `,"token_ids":[`...)
	b = strconv.AppendInt(b, int64(t.ID), 10)
	b = append(b, "],\"finish_reason\":null}]}\n\n"...)
	c.buffer = b
	if c.repeat {
		if _, err := c.w.Write(b); err != nil {
			return err
		}
	}
	if _, err := c.w.Write(b); err != nil {
		return err
	}
	return c.flush()
}

func (c *chunkWriter) end(finish string, prompt, completion, cached int) error {
	var b strings.Builder
	fmt.Fprintf(&b, `data: {"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":%q}]}`+"\n\n", c.id, finish)
	fmt.Fprintf(&b, `data: {"id":%q,"object":"chat.completion.chunk","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`+"\n\n",
		c.id, prompt, completion, prompt+completion, cached)
	b.WriteString("data: [DONE]\n\n")
	if _, err := io.WriteString(c.w, b.String()); err != nil {
		return err
	}
	return c.flush()
}
