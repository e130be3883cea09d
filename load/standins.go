package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"zinniamast/checker"
)

// bookingPath is the path of bookings below the service's root.
const bookingPath = "/reservations"

// markerPrefix starts the part of a prompt that contains the request ID.
const markerPrefix = "request="

// marker makes every prompt and every lookup unique, so that runs are counted
// per request and an answer to another request is detected.
func marker(id string) string { return markerPrefix + id }

// lookupPath returns the path of a lookup; its query makes the answer unique.
func lookupPath(t *task) string {
	return "/lookups/" + t.rack + "?" + marker(t.ID)
}

// bookingBody returns the body of a booking.
func bookingBody(t *task) []byte {
	return []byte(fmt.Sprintf(`{"rack":%q,"request":%q}`, t.rack, t.ID))
}

// serviceAnswer is the part of the stand-in's answer that depends only on the request.
type serviceAnswer struct {
	Name  string `json:"name"`
	Query string `json:"query"`
	Body  string `json:"body"`
}

func (a serviceAnswer) text() string {
	return strings.TrimSpace(a.Name + " " + a.Query + " " + a.Body)
}

// expectedServiceAnswer returns the complete answer of the stand-in to a task.
func expectedServiceAnswer(t *task) string {
	if t.Kind == checker.KindLookup {
		return serviceAnswer{
			Name:  t.rack,
			Query: marker(t.ID),
		}.text()
	}
	return serviceAnswer{
		Body: string(bookingBody(t)),
	}.text()
}

// parseServiceAnswer removes the parts that differ from run to run. It returns
// any other text than an answer of the stand-in unchanged, which then does not match.
func parseServiceAnswer(raw []byte) string {
	var answer serviceAnswer
	if json.Unmarshal(raw, &answer) != nil {
		return string(raw)
	}
	return answer.text()
}

// standinCounts is the run counts of one stand-in of either kind.
type standinCounts struct {
	// Keys counts runs per idempotency key; only services have it.
	Keys map[string]int `json:"keys"`
	// Messages counts runs per hash of the messages; only engines have it.
	Messages map[uint64]int `json:"messages"`
}

// totalCounts is the sum of the run counts of all stand-ins.
type totalCounts struct {
	keys     map[string]int
	messages map[uint64]int
	// hasServices and hasEngines report whether any stand-in of the kind was read.
	hasServices bool
	hasEngines  bool
}

// runs returns how often a task ran, and false if no stand-in counts it.
func (c *totalCounts) runs(t *task) (int, bool) {
	switch {
	case t.messages != nil:
		return c.messages[t.hash], c.hasEngines
	case t.Kind == checker.KindBooking:
		return c.keys[t.Key], c.hasServices
	default:
		return 0, false
	}
}

// readRuns reads the run counts of every stand-in. Only one of several replicas
// that share a ledger may be listed, or their runs would be counted twice.
func readRuns(ctx context.Context, bases []string) (*totalCounts, error) {
	all := &totalCounts{
		keys:     map[string]int{},
		messages: map[uint64]int{},
	}
	for _, base := range bases {
		c, err := readCounts(ctx, base)
		if err != nil {
			return nil, err
		}
		all.add(c)
	}
	return all, nil
}

func (c *totalCounts) add(one *standinCounts) {
	for key, count := range one.Keys {
		// The node prefixes the caller's key with the organisation.
		if _, own, found := strings.Cut(key, ":"); found {
			key = own
		}
		c.keys[key] += count
	}
	for hash, count := range one.Messages {
		c.messages[hash] += count
	}
	c.hasServices = c.hasServices || one.Keys != nil
	c.hasEngines = c.hasEngines || one.Messages != nil
}

func readCounts(ctx context.Context, base string) (*standinCounts, error) {
	address, err := url.JoinPath(base, "standin", "counts")
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s", address, response.Status)
	}
	counted := &standinCounts{}
	return counted, json.NewDecoder(response.Body).Decode(counted)
}
