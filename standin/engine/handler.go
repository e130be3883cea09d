package engine

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"zinniamast"
)

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/standin/faults" {
		e.serveFaults(w, q)
		return
	}
	if q.URL.Path == "/standin/ran" {
		writeJSON(w, e.Counts())
		return
	}
	if q.URL.Path == "/standin/counts" {
		writeJSON(w, e.Runs())
		return
	}
	faults, _ := e.state()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	switch q.URL.Path {
	case "/v1/chat/completions":
		e.serveChat(w, q)
	case "/v1/cancel":
		e.serveCancel(w, q)
	case "/load":
		writeJSON(w, e.load())
	case "/cache_events":
		e.serveEvents(w, q)
	case "/kv/export":
		e.serveExport(w, q)
	case "/kv/import":
		e.serveImport(w, q)
	case "/kv/pull":
		e.servePull(w, q)
	case "/orders":
		e.serveOrder(w, q)
	default:
		http.NotFound(w, q)
	}
}

func (e *Engine) serveFaults(w http.ResponseWriter, q *http.Request) {
	var faults Faults
	if !readJSON(w, q, &faults) {
		return
	}
	e.SetFaults(faults)
}

func (e *Engine) serveCancel(w http.ResponseWriter, q *http.Request) {
	var order struct {
		RequestID string `json:"request_id"`
	}
	if !readJSON(w, q, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if running, ok := e.running[order.RequestID]; ok {
		running.cancel()
	}
}

// load returns the load report, which is renewed once it is ReportLag old.
func (e *Engine) load() zinniamast.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.report.At) >= e.config.ReportLag {
		e.report = zinniamast.LoadReport{
			At:      now,
			Running: len(e.running),
			Waiting: len(e.waiting),
			Models:  append([]string(nil), e.models...),
			Leaving: e.faults.Leaving,
		}
	}
	return e.report
}

func (e *Engine) serveEvents(w http.ResponseWriter, q *http.Request) {
	var after struct {
		After uint64 `json:"after"`
	}
	if !readJSON(w, q, &after) {
		return
	}
	e.mu.Lock()
	events := []zinniamast.CacheEvent{}
	for _, event := range e.events {
		dropped := e.faults.EventGap && event.Sequence%2 == 0
		if event.Sequence > after.After && !dropped {
			events = append(events, event)
		}
	}
	e.mu.Unlock()
	if len(events) < minGzipEvents || !strings.Contains(q.Header.Get("Accept-Encoding"), "gzip") {
		writeJSON(w, events)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	// If this fails, the client receives a truncated body, which it detects.
	_ = json.NewEncoder(compressed).Encode(events)
	_ = compressed.Close()
}

func (e *Engine) serveOrder(w http.ResponseWriter, q *http.Request) {
	var order zinniamast.Order
	if !readJSON(w, q, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFence && order.Fence < e.fence {
		e.counts.StaleOrders++
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.models = withoutModel(e.models, order.Model)
	if order.Action == "load" {
		e.models = append(e.models, order.Model)
	}
}

func withoutModel(models []string, model string) []string {
	remaining := []string{}
	for _, m := range models {
		if m != model {
			remaining = append(remaining, m)
		}
	}
	return remaining
}

// minGzipEvents is the number of events from which compression is worthwhile.
const minGzipEvents = 8

const maxControlBody = 1 << 20

func readJSON(w http.ResponseWriter, q *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxControlBody)).Decode(target)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// If this fails, the client receives a truncated body, which it detects.
	_ = json.NewEncoder(w).Encode(value)
}

// refuse writes an error in the format of the protocol.
func refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"error": map[string]string{
			"code":    code,
			"message": code,
		},
	})
}
