package caller_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/attempt"
	"zinniamast/blackboard"
	"zinniamast/caller"
	"zinniamast/config"
	"zinniamast/engine"
	"zinniamast/limits"
	"zinniamast/request"
	"zinniamast/retry"
	"zinniamast/routing"
	standin "zinniamast/standin/engine"
	"zinniamast/standin/memnet"
)

// testServer is a caller.Server on loopback, with one stand-in engine as upstream.
type testServer struct {
	url      string
	board    *blackboard.Board
	engine   *standin.Engine
	dropNext func()
}

type noQuarantine struct{}

func (noQuarantine) CheckRetry(uint64) (bool, error)           { return false, nil }
func (noQuarantine) Check(uint64) (bool, error)                { return false, nil }
func (noQuarantine) ReplicasToAvoid(uint64, []string) []string { return nil }
func (noQuarantine) AttemptWrites(string, uint64)              {}
func (noQuarantine) AttemptStarted(string, uint64)             {}
func (noQuarantine) AttemptEnded(string, uint64, bool)         {}
func (noQuarantine) ReplicaCrashed(string)                     {}

// noPeers is a Locator of a node without peers.
type noPeers struct{}

func (noPeers) Find(context.Context, caller.Query) request.Reader { return nil }
func (noPeers) Enter(context.Context, caller.Query) (request.Reader, *zinniamast.Refusal) {
	return nil, nil
}
func (noPeers) Follow(string, caller.Query) request.Reader { return nil }
func (noPeers) RegisterOrphan(caller.Query)                {}

func newTestServer(t testing.TB) *testServer {
	t.Helper()
	return newTestServerWithPeers(t, noPeers{})
}

// newTestServerWithPeers starts a server that finds requests of other nodes through
// peers.
func newTestServerWithPeers(t testing.TB, peers caller.Locator) *testServer {
	t.Helper()
	s := &testServer{
		board: blackboard.New(),
		engine: standin.New(standin.Config{
			BetweenTokens: 2 * time.Millisecond,
		}),
	}
	upstream := httptest.NewServer(s.engine)
	t.Cleanup(upstream.Close)
	s.board.Upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      "engine-0",
			Service: "summary",
			Started: time.Now(),
		},
		Engine: engine.New(engine.Config{
			ID:      "engine-0",
			Address: upstream.URL,
		}),
	})
	hash := sha256.Sum256([]byte("key"))
	parsed, err := config.Parse(fmt.Appendf(nil, `{"defaults": {"max_body": "64KiB"},
		"organisations": [{"name": "north", "key_hashes": ["%s"]}],
		"models": [{"name": "summary"}], "services": []}`, hex.EncodeToString(hash[:])))
	if err != nil {
		t.Fatal(err)
	}
	s.board.Configuration.Apply(&blackboard.Version{
		Number: 1,
		Config: parsed,
	})
	logger := slog.New(slog.DiscardHandler)
	registry := prometheus.NewRegistry()
	runner := attempt.New(attempt.Config{
		Board: s.board,
		Router: routing.New(routing.Config{
			Board: s.board,
		}),
		Retry:      retry.New(retry.Config{}),
		Quarantine: noQuarantine{},
		Logger:     logger,
		Metrics:    attempt.NewMetrics(registry),
	})
	server := httptest.NewServer(s.dropping(caller.New(caller.Config{
		Board:  s.board,
		Runner: runner,
		Limiter: limits.New(limits.Config{
			Board: s.board,
		}),
		Locator:  peers,
		Stopping: func() bool { return false },
		Context:  t.Context(),
		Logger:   logger,
		Metrics:  caller.NewMetrics(registry),
	})))
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

// dropping wraps handler so that, after a call of dropNext, the connection of the
// next request is closed while the request runs.
func (s *testServer) dropping(handler http.Handler) http.Handler {
	drop := false
	s.dropNext = func() { drop = true }
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !drop {
			handler.ServeHTTP(w, q)
			return
		}
		drop = false
		ctx, cancel := context.WithTimeout(q.Context(), 20*time.Millisecond)
		defer cancel()
		handler.ServeHTTP(httptest.NewRecorder(), q.WithContext(ctx))
		panic(http.ErrAbortHandler)
	})
}

func (s *testServer) post(t *testing.T, header map[string]string, body string) *http.Response {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer key")
	for name, value := range header {
		q.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { answer.Body.Close() })
	return answer
}

const chatBody = `{"model":"summary","max_tokens":80,"messages":[{"role":"user","content":"clauses"}]}`

func TestRefusalsCarryReason(t *testing.T) {
	s := newTestServer(t)
	tests := map[string]struct {
		header map[string]string
		body   string
		status int
		reason zinniamast.Reason
	}{
		"unknown key":     {map[string]string{"Authorization": "Bearer no"}, chatBody, 401, zinniamast.ReasonUnauthorised},
		"not JSON":        {nil, `{"model":`, 400, zinniamast.ReasonMalformed},
		"no messages":     {nil, `{"model":"summary","messages":[]}`, 400, zinniamast.ReasonMalformed},
		"two answers":     {nil, `{"model":"summary","n":2,"messages":[1]}`, 400, zinniamast.ReasonMalformed},
		"duplicate field": {nil, `{"model":"summary","messages":[1],"model":"other"}`, 400, zinniamast.ReasonMalformed},
		"unknown model":   {nil, `{"model":"other","messages":[1]}`, 404, zinniamast.ReasonUnknownModel},
		"oversized":       {nil, `{"model":"summary","messages":["` + strings.Repeat("x", 70<<10) + `"]}`, 413, zinniamast.ReasonOversized},
		"class":           {map[string]string{caller.HeaderClass: "first"}, chatBody, 400, zinniamast.ReasonMalformed},
		"deadline":        {map[string]string{caller.HeaderDeadline: "-1s"}, chatBody, 504, zinniamast.ReasonPastDeadline},
		"last event":      {map[string]string{caller.HeaderLastEvent: "x:1"}, chatBody, 400, zinniamast.ReasonMalformed},
		"lost request":    {map[string]string{caller.HeaderLastEvent: "x:0:1"}, chatBody, 410, zinniamast.ReasonRequestLost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := s.post(t, test.header, test.body)
			var content struct {
				Error struct {
					Reason  zinniamast.Reason `json:"reason"`
					Ran     zinniamast.Ran    `json:"ran"`
					Message string            `json:"message"`
				} `json:"error"`
			}
			is.NoErr(json.NewDecoder(answer.Body).Decode(&content))
			is.Equal(answer.StatusCode, test.status)
			is.Equal(content.Error.Reason, test.reason)
			is.True(content.Error.Message != "")
		})
	}
	is.New(t).Equal(s.engine.Counts().Started, 0) // no refused request ran
}

// Guards against refusing every API key as unknown, at which callers give up, while
// a node that has just started has no configuration yet. The refusal must say that
// nothing ran and ask for a retry.
func TestStartingNodeAsksForRetry(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	server := caller.New(caller.Config{
		Board:   blackboard.New(),
		Logger:  slog.New(slog.DiscardHandler),
		Metrics: caller.NewMetrics(prometheus.NewRegistry()),
	})
	server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody)))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(recorder.Body.String(), `"reason":"starting","ran":"not_run"`))
	is.Equal(recorder.Header().Get("X-Should-Retry"), "true")

	// The booking may have run earlier through another node. The refusal says "not
	// run" only if the caller asserts that nothing has run under its key.
	for first, ran := range map[string]string{"": "unknown", "true": "not_run"} {
		booking := httptest.NewRequest(http.MethodPost, "/services/booking/reservations", nil)
		booking.Header.Set(caller.HeaderKey, "cage-7")
		booking.Header.Set(caller.HeaderFirst, first)
		recorder = httptest.NewRecorder()
		server.ServeHTTP(recorder, booking)
		is.True(strings.Contains(recorder.Body.String(), `"ran":"`+ran+`"`))
	}
}

// Guards against a second run when the connection of a common client library breaks
// and the library retries by itself, without an idempotency key. The retry must
// receive the answer of the first run.
func TestRetryWithoutKeyJoinsFirstRun(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	s.dropNext()
	client := openai.NewClient(option.WithBaseURL(s.url+"/v1"), option.WithAPIKey("key"))
	params := openai.ChatCompletionNewParams{
		Model:     "summary",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("clauses")},
		MaxTokens: openai.Int(80),
	}
	answer, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	messages, err := json.Marshal(params.Messages)
	is.NoErr(err)
	is.Equal(answer.Choices[0].Message.Content, standin.Text(standin.Answer(messages, 80)))
	is.Equal(s.engine.Counts().Started, 1)
}

// Guards against lost or repeated tokens when a caller loses its stream halfway. With
// the ID of the last event the answer continues with the next token; with only the
// key it starts again from the first token; with another body the key is refused.
func TestCallerResumesStream(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	header := map[string]string{caller.HeaderKey: "k"}
	stream := `{"stream":true,` + chatBody[1:]
	first := s.post(t, header, stream)
	lines := bufio.NewScanner(first.Body)
	id, text := "", ""
	for lines.Scan() && len(text) < 100 {
		readLine(lines.Text(), &id, &text)
	}
	first.Body.Close()
	again := s.post(t, map[string]string{caller.HeaderLastEvent: id}, stream)
	rest, err := io.ReadAll(again.Body)
	is.NoErr(err)
	for line := range strings.SplitSeq(string(rest), "\n") {
		readLine(line, &id, &text)
	}
	want := standin.Text(standin.Answer([]byte(`[{"role":"user","content":"clauses"}]`), 80))
	is.Equal(text, want)
	is.True(strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
	whole := s.post(t, header, stream)
	all, err := io.ReadAll(whole.Body)
	is.NoErr(err)
	text = ""
	for line := range strings.SplitSeq(string(all), "\n") {
		readLine(line, &id, &text)
	}
	is.Equal(text, want)
	is.Equal(s.post(t, header, strings.Replace(chatBody, "80", "81", 1)).StatusCode, 422)
	is.Equal(s.engine.Counts().Started, 1)
}

// readLine extracts the event ID and the text from one line of a stream.
func readLine(line string, id, text *string) {
	if value, ok := strings.CutPrefix(line, "id: "); ok {
		*id = value
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
		*text += chunk.Choices[0].Delta.Content
	}
}

// Guards against a caller that sends its body in small pieces and occupies a
// connection for longer than the body timeout. The request must be refused, and the
// timeout must not interrupt an answer that takes longer.
func TestSlowBodyIsRefused(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		stop := network.Serve("node:80", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if _, refusal := caller.ReadBody(w, q, 1000); refusal != nil {
				caller.WriteRefusal(w, refusal)
				return
			}
			time.Sleep(2 * time.Minute)
			is.NoErr(q.Context().Err())
		}))
		client := &http.Client{Transport: network.Transport()}
		slow, feed := io.Pipe()
		go func() {
			for range 20 {
				// The node stops reading after the body timeout; later writes fail.
				_, _ = feed.Write([]byte("x"))
				time.Sleep(10 * time.Second)
			}
			feed.Close()
		}()
		answer, err := client.Post("http://node:80/", "text/plain", slow)
		if err == nil {
			is.Equal(answer.StatusCode, http.StatusBadRequest)
			answer.Body.Close()
		}
		answer, err = client.Post("http://node:80/", "text/plain", strings.NewReader("whole"))
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusOK)
		answer.Body.Close()
		client.CloseIdleConnections()
		stop()
		time.Sleep(10 * time.Minute)
	})
}
