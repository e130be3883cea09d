package caller_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// maxDeadline is the longest deadline that the fuzzer sends, so that each request
// ends soon.
const maxDeadline = 300 * time.Millisecond

// FuzzChatBody sends arbitrary bodies with arbitrary key, class, deadline and
// last-event headers. The caller must always receive an answer or a well-formed
// refusal, and a body that is not a JSON object must never be accepted.
func FuzzChatBody(f *testing.F) {
	f.Add([]byte(`{"model":"summary","max_tokens":1,"messages":[{"role":"user","content":"a"}]}`), "k", "normal", "1s", "")
	f.Add([]byte(`{"model":"summary","stream":true,"max_tokens":2,"messages":[{}],"n":1,"stream_options":{"include_usage":true}}`), "", "", "", "X:0:1")
	f.Add([]byte(`{"messages":[1e400],"max_tokens":-1,"n":"1"}`), "", "bulk", "-1s", "a:-1:9999999999999999999")
	f.Add([]byte(strings.Repeat("[", 2000)), "", "urgent", "9999999h", "::")
	f.Add([]byte("{\"model\":\"\\ud800\",\"messages\":[\"\x00\"]}"), "\x7f", "", "1ns", "")
	s := newTestServer(f)
	f.Fuzz(func(t *testing.T, body []byte, key, class, deadline, last string) {
		// Long answers would only slow the fuzzer down.
		if wait, err := time.ParseDuration(deadline); deadline == "" || err == nil && wait > maxDeadline {
			deadline = maxDeadline.String()
		}
		request, err := http.NewRequest(http.MethodPost, s.url+"/v1/chat/completions", strings.NewReader(string(body)))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer key")
		for name, value := range map[string]string{
			"Idempotency-Key":     key,
			"Zinniamast-Class":    class,
			"Zinniamast-Deadline": deadline,
			"Last-Event-ID":       last,
		} {
			if value != "" && isHeaderValue(value) {
				request.Header.Set(name, value)
			}
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatalf("sending the request: %v", err)
		}
		defer func() { _ = response.Body.Close() }()
		raw, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatalf("reading the answer: %v", err)
		}
		checkAnswer(t, response.StatusCode, raw, body)
	})
}

// isHeaderValue reports whether a client can send value in a header.
func isHeaderValue(value string) bool {
	return !strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// checkAnswer checks that a refusal is well-formed, and that a request which was
// answered had a JSON object as its body.
func checkAnswer(t *testing.T, status int, raw, body []byte) {
	t.Helper()
	if status == http.StatusOK {
		var object map[string]json.RawMessage
		if err := json.Unmarshal(body, &object); err != nil {
			t.Fatalf("accepted a body that is not a JSON object: %v", err)
		}
		return
	}
	var refusal struct {
		Error struct {
			Reason string `json:"reason"`
			Ran    string `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal(raw, &refusal); err != nil || refusal.Error.Reason == "" || refusal.Error.Ran == "" {
		t.Fatalf("status %d without a well-formed refusal: %s", status, raw)
	}
}
