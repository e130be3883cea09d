package entry_test

import (
	"io"
	"net/http"
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
	var text string
	f.waitFor(2*time.Second, "metrics", func() bool {
		response, err := http.Get("http://" + f.settings["edge-1"].Ready + "/metrics")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		text = string(body)
		return err == nil
	})
	for _, line := range []string{
		`zinniamast_store_call_seconds_count{call="rows-get",outcome="answered"}`,
		`zinniamast_store_call_seconds_count{call="rows-tx",outcome="answered"}`,
		"zinniamast_forward_queued_seconds_count 1",
		"zinniamast_forward_first_seconds_count 1",
		"zinniamast_forward_pause_seconds_count 0",
	} {
		if !strings.Contains(text, line) {
			t.Errorf("metrics lack the line %s", line)
		}
	}
}
