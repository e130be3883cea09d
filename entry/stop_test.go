package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"zinniamast/standin/replica"
)

// callWithin sends a request with a time budget by a client, and returns its status and Retry-After.
func (f *fleet) callWithin(client *http.Client, name, path, budgetMs string) (status int, retryAfter string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.settings[name].Frontend+path, strings.NewReader("x"))
	f.is.NoErr(err)
	request.Host = "models.example"
	request.Header.Set("Zinniamast-Request-Id", "r-1")
	request.Header.Set("Zinniamast-Deadline-Ms", budgetMs)
	request.Header.Set("Api-Key", "k")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	f.is.NoErr(err)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Guards against requests that are taken late in a stop and cut at its end with an unknown outcome.
func TestRequestThatMayOutlastStopIsNotBegun(t *testing.T) {
	f := newFleet(t)
	f.stopTimeout = 4 * time.Second
	f.start("edge-1")
	f.waitUntilServed("edge-1", "/pay/x")
	kept := &http.Client{
		Transport: &http.Transport{},
	}
	defer kept.CloseIdleConnections()
	status, _ := f.callWithin(kept, "edge-1", "/pay/x", "4500")
	f.is.Equal(status, http.StatusOK)
	stopped := make(chan struct{})
	stop := f.stops["edge-1"]
	go func() {
		defer close(stopped)
		stop()
	}()
	defer func() { <-stopped }()
	f.waitFor(time.Second, "edge-1 stops", func() bool { return !f.isReady("edge-1") })
	f.replica.SetBehaviour(replica.Behaviour{
		Delay: 500 * time.Millisecond,
	})
	before := len(f.replica.Runs())
	fresh := &http.Client{
		Transport: &http.Transport{},
	}
	defer fresh.CloseIdleConnections()
	for _, client := range []*http.Client{kept, fresh} {
		status, retryAfter := f.callWithin(client, "edge-1", "/pay/x", "4500")
		f.is.Equal(status, http.StatusServiceUnavailable)
		f.is.True(retryAfter != "")
	}
	f.is.Equal(len(f.replica.Runs()), before)
	status, _ = f.callWithin(http.DefaultClient, "edge-1", "/pay/x", "1500") // ends before the stop does
	f.is.Equal(status, http.StatusOK)
}
