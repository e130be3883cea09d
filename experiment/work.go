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

// Kind is one kind of request in a mix.
type Kind struct {
	Name string
	// Class is the priority: 0 urgent, 1 normal, 2 bulk.
	Class int
	// Rate is requests a second.
	Rate float64
	// System is the tokens that all requests of an organisation share.
	System int
	// Documents is how many documents there are, the popular ones asked about
	// most; DocumentMin and DocumentMax bound their tokens.
	Documents   int
	DocumentMin int
	DocumentMax int
	// Question is the tokens of a request's own, and Answer the mean answer.
	Question int
	Answer   int
	// FirstToken and Deadline are what on time means.
	FirstToken time.Duration
	Deadline   time.Duration
}

// Organisation is a caller with its part of the requests and its share.
type Organisation struct {
	Name  string
	Part  float64
	Share float64
}

const (
	// betweenTarget is what on time means between tokens.
	betweenTarget = 48 * time.Millisecond
	// firstTarget is what it means before the first token of a short request.
	firstTarget = 400 * time.Millisecond
	// bulkFirst is what it means for a long one, whose prompt alone takes seconds.
	bulkFirst    = 10 * time.Second
	bulkDeadline = 2 * time.Minute
)

// Cedarline is the mix of colocation contracts: summaries, quick questions, triage.
func Cedarline() []Kind {
	return []Kind{
		{
			Name:       "triage",
			Class:      urgent,
			Rate:       12,
			System:     600,
			Question:   150,
			Answer:     20,
			FirstToken: firstTarget,
			Deadline:   20 * time.Second,
		},
		{
			Name:        "question",
			Class:       normal,
			Rate:        12,
			System:      600,
			Documents:   200,
			DocumentMin: 1000,
			DocumentMax: 5000,
			Question:    100,
			Answer:      120,
			FirstToken:  firstTarget,
			Deadline:    30 * time.Second,
		},
		{
			Name:        "summary",
			Class:       bulk,
			Rate:        0.8,
			System:      600,
			Documents:   120,
			DocumentMin: 12_000,
			DocumentMax: 30_000,
			Question:    200,
			Answer:      700,
			FirstToken:  bulkFirst,
			Deadline:    bulkDeadline,
		},
	}
}

// Atlas is the mix of print workshops: collection sheets, reseller answers, labels.
func Atlas() []Kind {
	return []Kind{
		{
			Name:       "label",
			Class:      urgent,
			Rate:       8,
			System:     400,
			Question:   100,
			Answer:     15,
			FirstToken: firstTarget,
			Deadline:   20 * time.Second,
		},
		{
			Name:        "reseller",
			Class:       normal,
			Rate:        8,
			System:      800,
			Documents:   100,
			DocumentMin: 500,
			DocumentMax: 2000,
			Question:    150,
			Answer:      150,
			FirstToken:  firstTarget,
			Deadline:    30 * time.Second,
		},
		{
			Name:        "sheet",
			Class:       bulk,
			Rate:        0.7,
			System:      800,
			Documents:   80,
			DocumentMin: 8000,
			DocumentMax: 14_000,
			Question:    400,
			Answer:      1500,
			FirstToken:  bulkFirst,
			Deadline:    bulkDeadline,
		},
	}
}

// Organisations are five callers, a few of them large.
func Organisations() []Organisation {
	parts := []float64{0.4, 0.25, 0.2, 0.1, 0.05}
	var all []Organisation
	for i, part := range parts {
		all = append(all, Organisation{
			Name:  fmt.Sprintf("organisation-%d", i+1),
			Part:  part,
			Share: 1,
		})
	}
	return all
}

// tracked is one request and what became of it.
type tracked struct {
	id           string
	kind         *Kind
	class        int
	organisation string
	prompt       int
	hashes       []uint64
	answer       int
	arrived      time.Time
	produced     int
	attempts     int
	avoid        []string
	first        time.Time
	last         time.Time
	refused      string
	// job is the attempt in progress, and expired means that the deadline has passed.
	job     *job
	expired bool
	// computed are the prompt and resumed tokens that no cache covered, and
	// recomputed those of them that some replica had computed before.
	computed   int
	recomputed int
}

// token counts one token of the answer.
func (q *tracked) token(now time.Time) {
	q.produced++
	if q.first.IsZero() {
		q.first = now
	}
	q.last = now
}

// source draws requests.
type source struct {
	random        *rand.Rand
	organisations []Organisation
	count         int
}

// draw makes the next request of a kind.
func (s *source) draw(kind *Kind, organisation int, now time.Time) *tracked {
	s.count++
	document, length := s.document(kind)
	q := &tracked{
		id:           fmt.Sprintf("r%d", s.count),
		kind:         kind,
		class:        kind.Class,
		organisation: s.organisations[organisation].Name,
		prompt:       kind.System + length + kind.Question,
		answer:       1 + int(float64(kind.Answer)*(0.4+1.2*s.random.Float64())),
		arrived:      now,
	}
	for i := 0; i < prefix.MaxBlocks && prefix.Tokens(i) <= q.prompt; i++ {
		q.hashes = append(q.hashes, s.block(kind, organisation, document, length, i))
	}
	return q
}

// document draws a document, the first ones most often, and its length.
func (s *source) document(kind *Kind) (document, length int) {
	if kind.Documents == 0 {
		return 0, 0
	}
	document = int(math.Pow(float64(kind.Documents+1), s.random.Float64())) - 1
	own := rand.New(rand.NewPCG(uint64(document), uint64(kind.DocumentMax)))
	return document, kind.DocumentMin + own.IntN(kind.DocumentMax-kind.DocumentMin+1)
}

// block names a prompt's block by what it is shared with.
func (s *source) block(kind *Kind, organisation, document, length, index int) uint64 {
	end := prefix.Tokens(index)
	key := fmt.Sprintf("%s/%d/%d", kind.Name, organisation, index)
	switch {
	case end <= kind.System:
	case end <= kind.System+length:
		key = fmt.Sprintf("%s/document-%d", key, document)
	default:
		key = fmt.Sprintf("%s/request-%d", key, s.count)
	}
	return prefix.Hash([]byte(key))
}

// organisation draws a caller by its part.
func (s *source) organisation() int {
	at := s.random.Float64()
	for i, organisation := range s.organisations {
		at -= organisation.Part
		if at < 0 {
			return i
		}
	}
	return len(s.organisations) - 1
}

// bursting draws a caller while the first one sends so many times its part.
func (s *source) bursting(times float64) int {
	largest := s.organisations[0].Part
	if s.random.Float64() < times*largest/(1+largest*(times-1)) {
		return 0
	}
	for {
		if organisation := s.organisation(); organisation != 0 {
			return organisation
		}
	}
}
