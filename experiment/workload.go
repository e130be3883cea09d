package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"zinniamast/prefix"
)

// The priority classes, by number.
const (
	urgent = iota
	normal
	bulk
)

// Kind describes one kind of request in a workload.
type Kind struct {
	Name string
	// Class is the priority class: 0 urgent, 1 normal, 2 bulk.
	Class int
	// Rate is in requests per second.
	Rate float64
	// SystemTokens is the length of the system prompt, which all requests of this
	// kind from an organisation share.
	SystemTokens int
	// Documents is the number of documents, of which the first are requested most
	// often; DocumentMinTokens and DocumentMaxTokens bound their length.
	Documents         int
	DocumentMinTokens int
	DocumentMaxTokens int
	// QuestionTokens is the part of the prompt unique to a request, and
	// AnswerTokens the mean length of an answer.
	QuestionTokens int
	AnswerTokens   int
	// FirstTokenTarget and Deadline are the limits on the first token and on the
	// whole answer for a request to be on time.
	FirstTokenTarget time.Duration
	Deadline         time.Duration
}

// Organisation is a caller, with its fraction of all requests and its configured share.
type Organisation struct {
	Name            string
	RequestFraction float64
	Share           float64
}

const (
	// betweenTokensTarget limits the mean time between tokens.
	betweenTokensTarget = 48 * time.Millisecond
	// firstTokenTarget limits the time to the first token of a short request.
	firstTokenTarget = 400 * time.Millisecond
	// bulkFirstTokenTarget limits the time to the first token of a long request,
	// whose prompt alone takes seconds.
	bulkFirstTokenTarget = 10 * time.Second
	bulkDeadline         = 2 * time.Minute
)

// Cedarline is a workload about colocation contracts: summaries, quick questions, triage.
func Cedarline() []Kind {
	return []Kind{
		{
			Name:             "triage",
			Class:            urgent,
			Rate:             12,
			SystemTokens:     600,
			QuestionTokens:   150,
			AnswerTokens:     20,
			FirstTokenTarget: firstTokenTarget,
			Deadline:         20 * time.Second,
		},
		{
			Name:              "question",
			Class:             normal,
			Rate:              12,
			SystemTokens:      600,
			Documents:         200,
			DocumentMinTokens: 1000,
			DocumentMaxTokens: 5000,
			QuestionTokens:    100,
			AnswerTokens:      120,
			FirstTokenTarget:  firstTokenTarget,
			Deadline:          30 * time.Second,
		},
		{
			Name:              "summary",
			Class:             bulk,
			Rate:              0.8,
			SystemTokens:      600,
			Documents:         120,
			DocumentMinTokens: 12_000,
			DocumentMaxTokens: 30_000,
			QuestionTokens:    200,
			AnswerTokens:      700,
			FirstTokenTarget:  bulkFirstTokenTarget,
			Deadline:          bulkDeadline,
		},
	}
}

// Atlas is a workload of print workshops: collection sheets, reseller answers, labels.
func Atlas() []Kind {
	return []Kind{
		{
			Name:             "label",
			Class:            urgent,
			Rate:             8,
			SystemTokens:     400,
			QuestionTokens:   100,
			AnswerTokens:     15,
			FirstTokenTarget: firstTokenTarget,
			Deadline:         20 * time.Second,
		},
		{
			Name:              "reseller",
			Class:             normal,
			Rate:              8,
			SystemTokens:      800,
			Documents:         100,
			DocumentMinTokens: 500,
			DocumentMaxTokens: 2000,
			QuestionTokens:    150,
			AnswerTokens:      150,
			FirstTokenTarget:  firstTokenTarget,
			Deadline:          30 * time.Second,
		},
		{
			Name:              "sheet",
			Class:             bulk,
			Rate:              0.7,
			SystemTokens:      800,
			Documents:         80,
			DocumentMinTokens: 8000,
			DocumentMaxTokens: 14_000,
			QuestionTokens:    400,
			AnswerTokens:      1500,
			FirstTokenTarget:  bulkFirstTokenTarget,
			Deadline:          bulkDeadline,
		},
	}
}

// Organisations returns five organisations, a few of which send most requests.
func Organisations() []Organisation {
	parts := []float64{0.4, 0.25, 0.2, 0.1, 0.05}
	var all []Organisation
	for i, part := range parts {
		all = append(all, Organisation{
			Name:            fmt.Sprintf("organisation-%d", i+1),
			RequestFraction: part,
			Share:           1,
		})
	}
	return all
}

// request is one request with its progress and result.
type request struct {
	id           string
	kind         *Kind
	class        int
	organisation string
	promptTokens int
	hashes       []uint64
	answerTokens int
	arrived      time.Time
	produced     int
	attempts     int
	avoid        []string
	firstToken   time.Time
	lastToken    time.Time
	refusal      string
	// job is the latest attempt, and expired means that the deadline has passed.
	job     *job
	expired bool
	// computed is the number of prompt and resumed tokens that no cache covered,
	// and recomputed the part of them that some replica had computed before.
	computed   int
	recomputed int
}

// recordToken counts one token of the answer.
func (q *request) recordToken(now time.Time) {
	q.produced++
	if q.firstToken.IsZero() {
		q.firstToken = now
	}
	q.lastToken = now
}

// source generates random requests.
type source struct {
	random        *rand.Rand
	organisations []Organisation
	count         int
}

// draw generates the next request of a kind.
func (s *source) draw(kind *Kind, organisation int, now time.Time) *request {
	s.count++
	document, length := s.document(kind)
	q := &request{
		id:           fmt.Sprintf("r%d", s.count),
		kind:         kind,
		class:        kind.Class,
		organisation: s.organisations[organisation].Name,
		promptTokens: kind.SystemTokens + length + kind.QuestionTokens,
		answerTokens: 1 + int(float64(kind.AnswerTokens)*(0.4+1.2*s.random.Float64())),
		arrived:      now,
	}
	for i := 0; i < prefix.MaxBlocks && prefix.Tokens(i) <= q.promptTokens; i++ {
		q.hashes = append(q.hashes, s.block(kind, organisation, document, length, i))
	}
	return q
}

// document draws a document and its length; the first documents are the most frequent.
func (s *source) document(kind *Kind) (document, length int) {
	if kind.Documents == 0 {
		return 0, 0
	}
	document = int(math.Pow(float64(kind.Documents+1), s.random.Float64())) - 1
	own := rand.New(rand.NewPCG(uint64(document), uint64(kind.DocumentMaxTokens)))
	return document, kind.DocumentMinTokens + own.IntN(kind.DocumentMaxTokens-kind.DocumentMinTokens+1)
}

// block returns the hash of a block of the prompt. The hash depends on what the
// block is part of, so that requests share the blocks of the same system prompt
// or document.
func (s *source) block(kind *Kind, organisation, document, length, index int) uint64 {
	end := prefix.Tokens(index)
	key := fmt.Sprintf("%s/%d/%d", kind.Name, organisation, index)
	switch {
	case end <= kind.SystemTokens:
	case end <= kind.SystemTokens+length:
		key = fmt.Sprintf("%s/document-%d", key, document)
	default:
		key = fmt.Sprintf("%s/request-%d", key, s.count)
	}
	return prefix.Hash([]byte(key))
}

// organisation draws an organisation according to the request fractions.
func (s *source) organisation() int {
	at := s.random.Float64()
	for i, organisation := range s.organisations {
		at -= organisation.RequestFraction
		if at < 0 {
			return i
		}
	}
	return len(s.organisations) - 1
}

// organisationDuringBurst draws an organisation while the first one sends the
// given multiple of its usual requests.
func (s *source) organisationDuringBurst(factor float64) int {
	largest := s.organisations[0].RequestFraction
	if s.random.Float64() < factor*largest/(1+largest*(factor-1)) {
		return 0
	}
	for {
		if organisation := s.organisation(); organisation != 0 {
			return organisation
		}
	}
}
