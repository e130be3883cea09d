package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// An engineer on call has only logs and metrics: how long the store takes, how
// long requests wait here and how long streams pause are told, also before the
// first complaint.
func TestMetricsTell(t *testing.T) {
	f := newFleet(t)
	f.start("edge-1")
	f.served("edge-1", "/pay/x")
	var text string
	f.within(2*time.Second, "metrics", func() bool {
		response, err := http.Get("http://" + f.at["edge-1"].Ready + "/metrics")
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
			t.Errorf("no %s", line)
		}
	}
}
