package stage

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// cloud is the platform's API, which accepts all calls of the duties.
type cloud struct {
	server *httptest.Server
}

func newCloud() *cloud {
	accept := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // A caller that has left needs no answer.
		w.WriteHeader(http.StatusOK)
	}
	return &cloud{
		server: httptest.NewServer(http.HandlerFunc(accept)),
	}
}

// address returns host:port.
func (c *cloud) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *cloud) close() {
	c.server.CloseClientConnections()
	c.server.Close()
}
