package stage

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Cloud is the platform's API, which takes the calls of the duties.
type Cloud struct {
	server *httptest.Server

	mu    sync.Mutex
	calls []DutyCall
}

// DutyCall is a call that the platform has accepted.
type DutyCall struct {
	At     time.Time
	Path   string
	Holder string
	Fence  uint64
	Body   map[string]any
}

func newCloud() *Cloud {
	c := &Cloud{}
	c.server = httptest.NewServer(c)
	return c
}

// Address returns host:port.
func (c *Cloud) Address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// Close stops the platform's API.
func (c *Cloud) Close() {
	c.server.CloseClientConnections()
	c.server.Close()
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := DutyCall{
		At:     time.Now(),
		Path:   r.URL.Path,
		Holder: r.Header.Get("Zinniamast-Duty-Holder"),
	}
	call.Fence, _ = strconv.ParseUint(r.Header.Get("Zinniamast-Fencing-Token"), 10, 64)
	if err := json.NewDecoder(r.Body).Decode(&call.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
	w.WriteHeader(http.StatusOK)
}

// Calls returns the accepted calls.
func (c *Cloud) Calls() []DutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]DutyCall(nil), c.calls...)
}
