package routing

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"zinniamast"
)

// explanations is a bounded ring of recent decisions.
type explanations struct {
	ring []decision
	next int
}

// explainedCandidates is how many candidates of a decision are remembered.
const explainedCandidates = 8

type decision struct {
	request string
	service string
	at      time.Time
	reason  string
	chosen  seen
	others  [explainedCandidates]seen
	count   int
	total   int
}

// seen is a candidate as it looked when the decision was made.
type seen struct {
	id       string
	rank     rank
	first    time.Duration
	between  time.Duration
	end      time.Duration
	cached   int
	uncached int
	running  float64
	cost     float64
	home     bool
}

func look(c *candidate) seen {
	return seen{
		id:       c.replica.id,
		rank:     c.rank,
		first:    c.first,
		between:  c.between,
		end:      c.completion,
		cached:   c.cached,
		uncached: c.uncached,
		running:  c.running,
		cost:     c.cost,
		home:     c.home,
	}
}

// record remembers a decision in place of the oldest.
func (e *explanations) record(need *zinniamast.Need, now time.Time, candidates []candidate, best int, reason string) {
	if need.Request == "" {
		return
	}
	d := &e.ring[e.next%len(e.ring)]
	e.next++
	d.request = need.Request
	d.service = need.Service
	d.at = now
	d.reason = reason
	d.chosen = look(&candidates[best])
	d.total = len(candidates)
	d.count = 0
	for i := range candidates {
		if i == best || d.count == explainedCandidates {
			continue
		}
		d.others[d.count] = look(&candidates[i])
		d.count++
	}
}

// rankNames are for people.
var rankNames = [...]string{
	rankMeets:   "meets the target",
	rankOnTime:  "misses the target, meets the deadline",
	rankLate:    "misses the deadline",
	rankUnfit:   "leaves too soon or has not loaded the model",
	rankSilent:  "tells no load while others do",
	rankShunned: "circuit open",
}

// reasonNames are for people.
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

// explainedAttempts bounds what is told of one request.
const explainedAttempts = 8

// decisions copies the last decisions about a request, oldest first, so that
// no text is written while requests wait for the lock.
func (r *Router) decisions(request string) []decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []decision
	for i := max(0, r.explain.next-len(r.explain.ring)); i < r.explain.next; i++ {
		d := &r.explain.ring[i%len(r.explain.ring)]
		if d.request == request {
			found = append(found, *d)
		}
	}
	return found[max(0, len(found)-explainedAttempts):]
}

func (d *decision) write(text *strings.Builder) {
	fmt.Fprintf(text, "%s %s went to %s: %s (%d candidates)\n",
		d.at.UTC().Format(time.RFC3339Nano), d.service, d.chosen.id, reasonNames[d.reason], d.total)
	d.chosen.write(text, "chosen")
	for i := range d.count {
		d.others[i].write(text, "other")
	}
}

func (s *seen) write(text *strings.Builder, word string) {
	fmt.Fprintf(text, "  %s %s: %s; first token %s, between tokens %s, whole %s; cached %d, to compute %d; running %.0f; cost %.3g",
		word, s.id, rankNames[s.rank], s.first.Round(time.Millisecond), s.between.Round(100*time.Microsecond),
		s.end.Round(time.Millisecond), s.cached, s.uncached, s.running, s.cost)
	if s.home {
		text.WriteString("; prefix home")
	}
	text.WriteString("\n")
}

func (r *Router) logChoice(need *zinniamast.Need, c *candidate, reason string) {
	if !r.config.Logger.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	r.config.Logger.Debug("route chosen", "request", need.Request, "service", need.Service,
		"upstream", c.replica.id, "reason", reason, "rank", rankNames[c.rank],
		"first_token", c.first.String(), "between_tokens", c.between.String(),
		"cached_tokens", c.cached, "uncached_tokens", c.uncached)
}
