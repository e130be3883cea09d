package forward_test

import (
	"net/http"
	"testing"
)

// Guards against a request that another service runs, or without its key, as an escaped slash in its path passes for a slash when the route is chosen.
func TestEscapedSlashSelectsNoOtherRoute(t *testing.T) {
	for path, status := range map[string]int{
		"/get/x%2Fy":   http.StatusOK,
		"/get/x%2fy":   http.StatusOK,
		"/%67et/x%20y": http.StatusOK,
		"/get%2Fx":     http.StatusNotFound,
		"/get%2fx/y":   http.StatusNotFound,
		"/get%252Fx":   http.StatusNotFound,
		"//get/x":      http.StatusNotFound,
	} {
		f := newFixture(t, 1)
		got := f.do(f.request(http.MethodGet, path, ""))
		if got.status != status {
			t.Errorf("%s: status %d, want %d", path, got.status, status)
		}
		f.is.Equal(f.runCount() == 1, status == http.StatusOK)
		for _, run := range f.replicas[0].Runs() {
			f.is.Equal(run.Target, path)
		}
	}
}
