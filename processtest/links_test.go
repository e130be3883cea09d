package processtest_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/load"
	"zinniamast/processtest"
	"zinniamast/standin/engine"
)

// TestSlowLinks delays one node's link to the platform by 300 ms and the links to
// one failure domain's upstreams by 60 ms, and for a second resets every connection
// to an engine as soon as it answers. Model requests may be slower but must be
// complete. Bookings must run once or be refused correctly.
func TestSlowLinks(t *testing.T) {
	fleet := startFleet(t, processtest.FleetConfig{})
	modelRun := fleet.StartLoad(load.Config{
		Rate:     20,
		Duration: 3 * time.Second,
		Seed:     12,
		Mix:      modelMix,
	})
	serviceRun := fleet.StartLoad(load.Config{
		Rate:     15,
		Duration: 3 * time.Second,
		Seed:     13,
		Mix:      serviceMix,
		Deadline: 10 * time.Second,
	})
	fleet.Nodes[0].Platform.Delay(300 * time.Millisecond)
	for _, u := range fleet.Upstreams {
		if u.Instance.FailureDomain == processtest.ThreeDomains[1] {
			u.Link.Delay(60 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	fleet.Upstreams[0].Link.Reset()
	time.Sleep(time.Second)
	fleet.Upstreams[0].Link.Clear()
	checkAllComplete(t, modelRun.Report())
	checkNoViolations(t, serviceRun.Report())
}

// event is one received server-sent event.
type event struct {
	id   string
	data string
}

// readEvents sends a streamed request and reads at most limit events, or all if limit is 0.
func readEvents(t *testing.T, base, body, lastEvent string, limit int) []event {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+processtest.Key)
	if lastEvent != "" {
		request.Header.Set("Last-Event-ID", lastEvent)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var events []event
	current := event{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() && (limit == 0 || len(events) < limit) {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			current.id = id
		}
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			current.data = data
			events = append(events, current)
			current = event{}
		}
	}
	return events
}

// joinContent returns the joined content of events.
func joinContent(events []event) string {
	var joined strings.Builder
	for _, e := range events {
		_, after, found := strings.Cut(e.data, `"content":"`)
		if content, _, ended := strings.Cut(after, `"`); found && ended {
			joined.WriteString(content)
		}
	}
	return joined.String()
}

// TestLastEventID breaks a caller's connection during a stream. The caller resumes
// after its last event at a second node, which locates the running request. Then
// the first node is stopped, and the caller reads the rest at the third. It guards
// against repeated and missing tokens: the three parts joined must be the answer.
func TestLastEventID(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, processtest.FleetConfig{
		Engine: engine.Config{
			FirstToken:    10 * time.Millisecond,
			BetweenTokens: 20 * time.Millisecond,
		},
	})
	const tokens = 200
	messages := ""
	for try := 0; messages == "" || len(engine.Answer([]byte(messages), 0)) < tokens; try++ {
		messages = fmt.Sprintf(`[{"role":"user","content":"go on %d"}]`, try)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, processtest.Model, tokens, messages)
	first := readEvents(t, fleet.Nodes[0].Callers.URL(), body, "", 20)
	is.Equal(len(first), 20)
	second := readEvents(t, fleet.Nodes[1].Callers.URL(), body, first[len(first)-1].id, 20)
	is.Equal(len(second), 20)
	fleet.Nodes[0].Terminate()
	third := readEvents(t, fleet.Nodes[2].Callers.URL(), body, second[len(second)-1].id, 0)
	is.True(len(third) > 0)
	is.Equal(third[len(third)-1].data, "[DONE]")
	want := engine.Text(engine.Answer([]byte(messages), tokens))
	is.Equal(joinContent(first)+joinContent(second)+joinContent(third), want)
	produced := 0
	for _, u := range fleet.Upstreams {
		if u.Engine != nil {
			produced += u.Engine.Counts().Produced
		}
	}
	t.Logf("tokens=%d produced=%d", tokens, produced)
	// Each part continued the same generation. A cancelled attempt may produce a
	// few more tokens before the engine receives the cancellation.
	is.True(produced <= tokens+20)
}
