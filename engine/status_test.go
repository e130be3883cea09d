package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/engine"
)

// If an engine rejects the request itself, every other engine would reject it too,
// so the failure is final and keeps the engine's reason for the caller. A status
// about the engine's own condition leads to a failure that may be retried.
func TestEngineStatuses(t *testing.T) {
	for status, want := range map[int]zinniamast.Failure{
		http.StatusBadRequest:          zinniamast.FailureInvalid,
		http.StatusUnprocessableEntity: zinniamast.FailureInvalid,
		http.StatusForbidden:           zinniamast.FailureInvalid,
		http.StatusGone:                zinniamast.FailureInvalid,
		http.StatusNotFound:            zinniamast.FailureRefused,
		http.StatusServiceUnavailable:  zinniamast.FailureRefused,
		http.StatusInternalServerError: zinniamast.FailureError,
	} {
		check := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(`{"error":{"code":"x","message":"the reason"}}`))
		}))
		client := engine.New(engine.Config{
			ID:      "e-1",
			Address: server.URL,
		})
		_, err := client.Generate(context.Background(), zinniamast.GenerateCall{
			Attempt: "a",
			Model:   "m",
		})
		failure := zinniamast.AsUpstreamError(err)
		check.True(failure != nil)
		check.Equal(failure.Failure, want)
		check.True(strings.Contains(failure.Cause.Error(), "the reason"))
		server.Close()
	}
}
