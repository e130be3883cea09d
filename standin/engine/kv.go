package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"zinniamast"
)

// serveExport answers with a handle to the KV cache of a running attempt and
// records it as exported.
func (e *Engine) serveExport(w http.ResponseWriter, q *http.Request) {
	var order struct {
		RequestID string `json:"request_id"`
	}
	if !readJSON(w, q, &order) {
		return
	}
	e.mu.Lock()
	running, ok := e.running[order.RequestID]
	if !ok {
		e.mu.Unlock()
		http.NotFound(w, q)
		return
	}
	handle := zinniamast.KVHandle{
		ID:     order.RequestID,
		Source: "http://" + q.Host,
		Tokens: running.tokens,
		Bytes:  int64(running.tokens) * e.config.KVBytesPerToken,
	}
	e.exported[handle.ID] = handle
	e.mu.Unlock()
	writeJSON(w, handle)
}

// serveImport pulls a KV cache from its source.
func (e *Engine) serveImport(w http.ResponseWriter, q *http.Request) {
	var handle zinniamast.KVHandle
	if !readJSON(w, q, &handle) {
		return
	}
	if err := e.pull(q.Context(), handle); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported[handle.ID] = handle
}

// pull transfers a KV cache from its source; it fails if the source is
// unreachable.
func (e *Engine) pull(ctx context.Context, handle zinniamast.KVHandle) error {
	body, err := json.Marshal(handle)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, handle.Source+"/kv/pull", bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := &http.Client{}
	if e.config.Client != nil {
		client.Transport = e.config.Client
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// servePull simulates sending a KV cache over the single link of this replica:
// it takes as long as the bytes would, and concurrent pulls run one at a time.
func (e *Engine) servePull(w http.ResponseWriter, q *http.Request) {
	var handle zinniamast.KVHandle
	if !readJSON(w, q, &handle) {
		return
	}
	select {
	case e.link <- struct{}{}:
		defer func() { <-e.link }()
	case <-q.Context().Done():
		return
	}
	transfer := time.Duration(float64(handle.Bytes) / float64(e.config.KVBytesASecond) * float64(time.Second))
	if !sleep(q.Context(), transfer) {
		panic(http.ErrAbortHandler)
	}
}
