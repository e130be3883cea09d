package routing

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"zinniamast"
)

// decisionRing is a ring buffer of recent decisions.
type decisionRing struct {
	ring []decision
	next int
}

// maxExplainedCandidates bounds the other candidates recorded per decision.
const maxExplainedCandidates = 8

type decision struct {
	request        string
	service        string
	at             time.Time
	reason         string
	chosen         candidateSnapshot
	others         [maxExplainedCandidates]candidateSnapshot
	otherCount     int
	candidateCount int
}

// candidateSnapshot is a copy of a candidate's predictions at the time of the decision.
type candidateSnapshot struct {
	id             string
	rank           rank
	firstToken     time.Duration
	betweenTokens  time.Duration
	completion     time.Duration
	cachedTokens   int
	uncachedTokens int
	running        float64
	cost           float64
	isHome         bool
}

func newSnapshot(c *candidate) candidateSnapshot {
	return candidateSnapshot{
		id:             c.replica.id,
		rank:           c.rank,
		firstToken:     c.firstToken,
		betweenTokens:  c.betweenTokens,
		completion:     c.completion,
		cachedTokens:   c.cachedTokens,
		uncachedTokens: c.uncachedTokens,
		running:        c.running,
		cost:           c.cost,
		isHome:         c.isHome,
	}
}

// record overwrites the oldest decision with a new one.
func (e *decisionRing) record(request *zinniamast.RouteRequest, now time.Time, candidates []candidate, best int, reason string) {
	if request.Request == "" {
		return
	}
	d := &e.ring[e.next%len(e.ring)]
	e.next++
	d.request = request.Request
	d.service = request.Service
	d.at = now
	d.reason = reason
	d.chosen = newSnapshot(&candidates[best])
	d.candidateCount = len(candidates)
	d.otherCount = 0
	for i := range candidates {
		if i == best || d.otherCount == maxExplainedCandidates {
			continue
		}
		d.others[d.otherCount] = newSnapshot(&candidates[i])
		d.otherCount++
	}
}

// rankNames describe the ranks in explanations and log messages.
var rankNames = [...]string{
	rankOnTarget:       "meets the target",
	rankWithinDeadline: "misses the target, meets the deadline",
	rankLate:           "misses the deadline",
	rankUnfit:          "leaves too soon or has not loaded the model",
	rankSilent:         "tells no load while others do",
	rankCircuitOpen:    "circuit open",
}

// reasonNames describe the reasons in explanations.
var reasonNames = map[string]string{
	choiceCheapest: "it is the cheapest that meets the target",
	choiceHome:     "it meets the target at the lowest price and is the prefix's home",
	choiceSoonest:  "it is the soonest of the cheapest that meet the target",
	choiceNoTarget: "none meets the target and it is the soonest",
	choiceProbe:    "all circuits are open and it was shunned longest",
	choiceAlone:    "the request is a suspect and the replica has the least at stake",
}

// Explain implements zinniamast.Router.
func (r *Router) Explain(request string) string {
	var text strings.Builder
	for _, d := range r.decisions(request) {
		d.write(&text)
	}
	return text.String()
}

// maxExplainedDecisions bounds the decisions in the explanation of one request.
const maxExplainedDecisions = 8

// decisions copies the last decisions about a request, oldest first, so that the
// explanation is formatted without holding the lock.
func (r *Router) decisions(request string) []decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []decision
	for i := max(0, r.recentDecisions.next-len(r.recentDecisions.ring)); i < r.recentDecisions.next; i++ {
		d := &r.recentDecisions.ring[i%len(r.recentDecisions.ring)]
		if d.request == request {
			found = append(found, *d)
		}
	}
	return found[max(0, len(found)-maxExplainedDecisions):]
}

func (d *decision) write(text *strings.Builder) {
	fmt.Fprintf(text, "%s %s went to %s: %s (%d candidates)\n",
		d.at.UTC().Format(time.RFC3339Nano), d.service, d.chosen.id, reasonNames[d.reason], d.candidateCount)
	d.chosen.write(text, "chosen")
	for i := range d.otherCount {
		d.others[i].write(text, "other")
	}
}

func (s *candidateSnapshot) write(text *strings.Builder, role string) {
	fmt.Fprintf(text, "  %s %s: %s; first token %s, between tokens %s, whole %s; cached %d, to compute %d; running %.0f; cost %.3g",
		role, s.id, rankNames[s.rank], s.firstToken.Round(time.Millisecond), s.betweenTokens.Round(100*time.Microsecond),
		s.completion.Round(time.Millisecond), s.cachedTokens, s.uncachedTokens, s.running, s.cost)
	if s.isHome {
		text.WriteString("; prefix home")
	}
	text.WriteString("\n")
}

func (r *Router) logChoice(request *zinniamast.RouteRequest, c *candidate, reason string) {
	if !r.config.Logger.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	r.config.Logger.Debug("route chosen", "request", request.Request, "service", request.Service,
		"upstream", c.replica.id, "reason", reason, "rank", rankNames[c.rank],
		"first_token", c.firstToken.String(), "between_tokens", c.betweenTokens.String(),
		"cached_tokens", c.cachedTokens, "uncached_tokens", c.uncachedTokens)
}
