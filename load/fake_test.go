package load_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/zeebo/xxh3"

	"zinniamast/standin/engine"
)

// fakeAnswer is the fake node's model: every prompt has its own answer.
func fakeAnswer(messages []byte, maxTokens int) string {
	return strings.Repeat(fmt.Sprintf("w%x ", xxh3.Hash(messages)), min(maxTokens, 12))
}

// fakeNode answers as a node would, and breaks promises when told to.
type fakeNode struct {
	mu   sync.Mutex
	keys map[string]int
	seen map[string]int
	// messages counts model runs as the stand-in engine does.
	messages map[uint64]int
	// cut breaks the first stream under each key after some tokens.
	cut bool
	// hang answers nothing on the first try under each key.
	hang bool
	// stopCleanly ends a cut stream as if it were whole, but for the finish reason.
	stopCleanly bool
	// refuseFirst refuses the first try under each key with this JSON.
	refuseFirst string
	// closeFirst closes the connection of the first try under each key.
	closeFirst bool
	// outage refuses bookings for want of the table, as a node would.
	outage bool
	// vouched and unvouched count bookings by whether this was the key's first
	// sending and whether its caller said so; wrongly counts the rest.
	vouched, unvouched, wrongly int
	// runRefused counts a run for each refused booking.
	runRefused bool
	// runTwice counts two runs for each booking.
	runTwice bool
	// mangle changes an answer's text.
	mangle func(text string) string
}

func newFakeNode() *fakeNode {
	return &fakeNode{
		keys:     map[string]int{},
		seen:     map[string]int{},
		messages: map[uint64]int{},
		mangle:   func(text string) string { return text },
	}
}

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/standin/counts" {
		_ = json.NewEncoder(w).Encode(map[string]any{"keys": f.keys, "messages": f.messages})
		return
	}
	key := r.Header.Get("Idempotency-Key")
	f.seen[key]++
	first := r.Header.Get("Zinniamast-First-Sending") == "true"
	switch {
	case first != (r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/services/") && f.seen[key] == 1):
		f.wrongly++
	case first:
		f.vouched++
	case r.Method == http.MethodPost:
		f.unvouched++
	}
	if f.closeFirst && f.seen[key] == 1 {
		panic(http.ErrAbortHandler)
	}
	if f.outage {
		f.refuseForStore(w, first)
		return
	}
	if f.refuseFirst != "" && f.seen[key] == 1 {
		if f.runRefused && r.Method == http.MethodPost {
			f.keys[key]++
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, f.refuseFirst)
		return
	}
	if f.hang && f.seen[key] == 1 {
		f.mu.Unlock()
		// Only a body that was read lets the server see its caller go away.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		f.mu.Lock()
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/chat"):
		f.chat(w, r, key)
	case r.Method == http.MethodGet:
		name := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		_ = json.NewEncoder(w).Encode(map[string]string{"name": name, "query": r.URL.RawQuery})
	default:
		f.book(w, r, key)
	}
}

// refuseForStore refuses a booking; "not run" is said where the caller vouches.
func (f *fakeNode) refuseForStore(w http.ResponseWriter, first bool) {
	ran := "unknown"
	if first {
		ran = "not_run"
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, `{"error":{"message":"no table","reason":"store_unavailable","ran":%q}}`, ran)
}

func (f *fakeNode) book(w http.ResponseWriter, r *http.Request, key string) {
	body, _ := io.ReadAll(r.Body)
	f.keys[key]++
	if f.runTwice {
		f.keys[key]++
	}
	_ = json.NewEncoder(w).Encode(map[string]string{"body": string(body)})
}

func (f *fakeNode) chat(w http.ResponseWriter, r *http.Request, key string) {
	var body struct {
		Messages  json.RawMessage `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
		Stream    bool            `json:"stream"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.messages[engine.MessagesHash(body.Messages)]++
	text := f.mangle(fakeAnswer(body.Messages, body.MaxTokens))
	if !body.Stream {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"choices":[{"finish_reason":"stop","message":{"content":%q}}]}`, text)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range strings.SplitAfter(text, " ") {
		if f.cut && i == 3 && f.seen[key] == 1 {
			if f.stopCleanly {
				return
			}
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	_, _ = io.WriteString(w, "data: {\"choices\":[],\"usage\":{\"total_tokens\":9,\"recomputed_tokens\":2}}\n\ndata: [DONE]\n\n")
}
