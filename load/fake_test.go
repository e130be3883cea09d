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

// fakeAnswer is the model of the fake node; each prompt has a different answer.
func fakeAnswer(messages []byte, maxTokens int) string {
	return strings.Repeat(fmt.Sprintf("w%x ", xxh3.Hash(messages)), min(maxTokens, 12))
}

// fakeNode answers like a node, with the faults that its fields configure.
type fakeNode struct {
	mu        sync.Mutex
	runsByKey map[string]int
	tries     map[string]int
	// runsByMessages counts model runs like the stand-in engine.
	runsByMessages map[uint64]int
	// cutFirst breaks the first stream under each key after three tokens.
	cutFirst bool
	// hangFirst sends no answer to the first try under each key.
	hangFirst bool
	// cutCleanly ends a cut stream without an error, but also without a finish reason.
	cutCleanly bool
	// refuseFirst is the JSON with which the first try under each key is refused.
	refuseFirst string
	// closeFirst closes the connection of the first try under each key.
	closeFirst bool
	// isStoreDown refuses every request as a node does while the table is unavailable.
	isStoreDown bool
	// markedSendings and unmarkedSendings count posts with a correct
	// Zinniamast-First-Sending header, by whether it is set; wrongHeaders counts
	// the requests on which it is incorrect.
	markedSendings, unmarkedSendings, wrongHeaders int
	// runRefused counts a run for each refused booking.
	runRefused bool
	// runTwice counts two runs for each booking.
	runTwice bool
	// mangle changes an answer's text.
	mangle func(text string) string
}

func newFakeNode() *fakeNode {
	return &fakeNode{
		runsByKey:      map[string]int{},
		tries:          map[string]int{},
		runsByMessages: map[uint64]int{},
		mangle:         func(text string) string { return text },
	}
}

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/standin/counts" {
		_ = json.NewEncoder(w).Encode(map[string]any{"keys": f.runsByKey, "messages": f.runsByMessages})
		return
	}
	key := r.Header.Get("Idempotency-Key")
	f.tries[key]++
	first := r.Header.Get("Zinniamast-First-Sending") == "true"
	switch {
	case first != (r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/services/") && f.tries[key] == 1):
		f.wrongHeaders++
	case first:
		f.markedSendings++
	case r.Method == http.MethodPost:
		f.unmarkedSendings++
	}
	if f.closeFirst && f.tries[key] == 1 {
		panic(http.ErrAbortHandler)
	}
	if f.isStoreDown {
		f.refuseStoreDown(w, first)
		return
	}
	if f.refuseFirst != "" && f.tries[key] == 1 {
		if f.runRefused && r.Method == http.MethodPost {
			f.runsByKey[key]++
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, f.refuseFirst)
		return
	}
	if f.hangFirst && f.tries[key] == 1 {
		f.mu.Unlock()
		// The server detects a closed connection only after the body is read.
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

// refuseStoreDown refuses a request with "not run" if the caller marks it as the
// first sending under its key, else with "unknown".
func (f *fakeNode) refuseStoreDown(w http.ResponseWriter, first bool) {
	ran := "unknown"
	if first {
		ran = "not_run"
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, `{"error":{"message":"no table","reason":"store_unavailable","ran":%q}}`, ran)
}

func (f *fakeNode) book(w http.ResponseWriter, r *http.Request, key string) {
	body, _ := io.ReadAll(r.Body)
	f.runsByKey[key]++
	if f.runTwice {
		f.runsByKey[key]++
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
	f.runsByMessages[engine.MessagesHash(body.Messages)]++
	text := f.mangle(fakeAnswer(body.Messages, body.MaxTokens))
	if !body.Stream {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"choices":[{"finish_reason":"stop","message":{"content":%q}}]}`, text)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range strings.SplitAfter(text, " ") {
		if f.cutFirst && i == 3 && f.tries[key] == 1 {
			if f.cutCleanly {
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
