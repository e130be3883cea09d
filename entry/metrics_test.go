package entry_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against a missing metric for the duration of store calls, the queueing time
// of requests or pauses in streams, which operators need to diagnose latency. The
// series for pauses must exist before the first pause.
func TestStoreAndForwardMetrics(t *testing.T) {
	f := newFleet(t)
	f.start("edge-1")
	f.waitUntilServed("edge-1", "/pay/x")
	lines := []string{
		`zinniamast_store_call_seconds_count{call="rows-get",outcome="answered"}`,
		`zinniamast_store_call_seconds_count{call="rows-tx",outcome="answered"}`,
		"zinniamast_forward_queued_seconds_count 1",
		"zinniamast_forward_first_seconds_count 1",
		"zinniamast_forward_pause_seconds_count 0",
	}
	var missing []string
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("metrics lack the lines %q", missing)
		}
	})
	// A store call that still runs, and an answer that its caller has just read, are counted later.
	f.waitFor(2*time.Second, "metrics have all lines", func() bool {
		text := f.metrics("edge-1")
		missing = slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return strings.Contains(text, line) })
		return len(missing) == 0
	})
}

// metrics returns the metrics of an instance; empty if it does not answer.
func (f *fleet) metrics(name string) string {
	response, err := http.Get("http://" + f.settings[name].Ready + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(body)
}
