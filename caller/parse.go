package caller

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"zinniamast"
	"zinniamast/config"
	"zinniamast/request"
)

// Headers that a caller may send; docs/CALLERS.md describes them.
const (
	// HeaderKey names the request, so that asking again attaches to it.
	HeaderKey = "Idempotency-Key"
	// HeaderFirst set to true vouches that nothing can have run under the key: it
	// was never sent, or every sending was answered with "not run".
	HeaderFirst = "Zinniamast-First-Sending"
	// HeaderDeadline is a duration such as 30s from now.
	HeaderDeadline = "Zinniamast-Deadline"
	// HeaderClass is urgent, normal or bulk.
	HeaderClass = "Zinniamast-Class"
	// HeaderLastEvent is the last event's id, REQUEST:EPOCH:TOKENS.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderRetryCount is what the usual clients send with a retry.
	HeaderRetryCount = "X-Stainless-Retry-Count"
	// HeaderRequest names the request in answers.
	HeaderRequest = "Zinniamast-Request"
)

const maxKeyLength = 255

// asked is a caller's request, parsed and checked.
type asked struct {
	call         request.Call
	stream       bool
	includeUsage bool
	query        Query
	// fresh means that this caller's request was accepted here just now.
	fresh bool
}

// fields that the node sets itself when it calls an engine.
var ownFields = []string{
	"model", "messages", "stream", "stream_options", "max_tokens",
	"max_completion_tokens", "n", "request_id", "priority",
	"resume_token_ids", "kv_transfer_params", "return_token_ids",
}

// parse reads and checks a chat-completions request.
func (s *Server) parse(w http.ResponseWriter, q *http.Request) (*asked, *zinniamast.Refusal) {
	organisation := OrganisationFrom(q.Context())
	current := s.config.Board.Configuration.Config()
	limit := current.Resolve(config.Match{
		Organisation:  organisation,
		FailureDomain: s.config.FailureDomain,
	}).MaxBody
	body, refusal := ReadBody(w, q, limit)
	if refusal != nil {
		return nil, refusal
	}
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "the body is not JSON: %v", err)
	}
	a, refusal := readBody(value)
	if refusal != nil {
		return nil, refusal
	}
	a.call.ID = newID(s.config.Instance)
	a.call.Organisation = organisation
	a.call.Fingerprint = request.Fingerprint(organisation, body)
	if current.Model(a.call.Model) == nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonUnknownModel, "there is no model %q; GET /v1/models lists them", a.call.Model)
	}
	return a, s.readHeaders(a, q, current)
}

// readBody takes the fields out of a parsed body.
func readBody(value *fastjson.Value) (*asked, *zinniamast.Refusal) {
	object, err := value.Object()
	if err != nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "the body is not a JSON object")
	}
	if field, twice := givenTwice(object); twice {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "%s: is given twice", field)
	}
	messages := value.Get("messages")
	if messages == nil || messages.Type() != fastjson.TypeArray || len(messages.GetArray()) == 0 {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "messages: must be an array that is not empty")
	}
	if n := value.Get("n"); n != nil && n.Type() != fastjson.TypeNull && n.GetInt() != 1 {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "n: only 1 is served")
	}
	maxTokens, refusal := readMaxTokens(value)
	if refusal != nil {
		return nil, refusal
	}
	a := &asked{
		stream:       value.GetBool("stream"),
		includeUsage: value.GetBool("stream_options", "include_usage"),
		call: request.Call{
			Model:     string(value.GetStringBytes("model")),
			Messages:  messages.MarshalTo(nil),
			MaxTokens: maxTokens,
			Accepted:  time.Now(),
		},
	}
	a.call.PromptTokens = request.EstimateTokens(a.call.Messages)
	for _, field := range ownFields {
		object.Del(field)
	}
	a.call.Parameters = object.MarshalTo(nil)
	return a, nil
}

// givenTwice returns a field that the object holds more than once.
//
// Failure: a request names its model twice. The node judges it by the first and
// passes the second on among the remaining fields, so that a model runs which
// nobody has checked.
func givenTwice(object *fastjson.Object) (string, bool) {
	seen := make([]string, 0, object.Len())
	twice := ""
	object.Visit(func(key []byte, _ *fastjson.Value) {
		if slices.Contains(seen, string(key)) {
			twice = string(key)
		}
		seen = append(seen, string(key))
	})
	return twice, twice != ""
}

func readMaxTokens(value *fastjson.Value) (int, *zinniamast.Refusal) {
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		bound := value.Get(field)
		if bound == nil || bound.Type() == fastjson.TypeNull {
			continue
		}
		count, err := bound.Int()
		if err != nil || count < 1 {
			return 0, zinniamast.Refuse(zinniamast.ReasonMalformed, "%s: must be a whole number of at least 1", field)
		}
		return count, nil
	}
	return 0, nil
}

var classes = []request.Class{request.ClassUrgent, request.ClassNormal, request.ClassBulk}

// readHeaders takes key, class, deadline and the place to go on from.
func (s *Server) readHeaders(a *asked, q *http.Request, current *config.Config) *zinniamast.Refusal {
	call := &a.call
	call.Key = q.Header.Get(HeaderKey)
	if len(call.Key) > maxKeyLength {
		return zinniamast.Refuse(zinniamast.ReasonMalformed, "%s: is longer than %d characters", HeaderKey, maxKeyLength)
	}
	call.Class = request.ClassNormal
	if class := q.Header.Get(HeaderClass); class != "" {
		call.Class = request.Class(class)
	}
	if !slices.Contains(classes, call.Class) {
		return zinniamast.Refuse(zinniamast.ReasonMalformed, "%s: %q is not urgent, normal or bulk", HeaderClass, call.Class)
	}
	policy := current.Resolve(config.Match{
		Organisation:  call.Organisation,
		Model:         call.Model,
		FailureDomain: s.config.FailureDomain,
		Class:         string(call.Class),
	})
	wait, refusal := ReadDeadline(q.Header, policy.Deadline)
	if refusal != nil {
		return refusal
	}
	call.Deadline = call.Accepted.Add(wait)
	if call.MaxTokens == 0 || call.MaxTokens > policy.MaxTokens {
		call.MaxTokens = policy.MaxTokens
	}
	a.query = Query{
		Organisation: call.Organisation,
		Key:          call.Key,
		Fingerprint:  call.Fingerprint,
		Orphan:       q.Header.Get(HeaderRetryCount) != "" && q.Header.Get(HeaderRetryCount) != "0",
	}
	return readLastEvent(a, q.Header.Get(HeaderLastEvent))
}

// ReadDeadline returns how long the caller waits, at most the policy's deadline.
func ReadDeadline(header http.Header, longest time.Duration) (time.Duration, *zinniamast.Refusal) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return longest, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil {
		return 0, zinniamast.Refuse(zinniamast.ReasonMalformed, "%s: %q is not a duration such as 30s", HeaderDeadline, text)
	}
	if wait <= 0 {
		return 0, zinniamast.Refuse(zinniamast.ReasonPastDeadline, "%s: %s has passed already", HeaderDeadline, text)
	}
	return min(wait, longest), nil
}

func readLastEvent(a *asked, text string) *zinniamast.Refusal {
	if text == "" {
		return nil
	}
	head, tokens, found := cutLast(text)
	if !found {
		return badLastEvent(text)
	}
	id, epochText, found := cutLast(head)
	if !found || id == "" {
		return badLastEvent(text)
	}
	epoch, err := strconv.Atoi(epochText)
	if err != nil || epoch < 0 {
		return badLastEvent(text)
	}
	from, err := strconv.Atoi(tokens)
	if err != nil || from < 0 {
		return badLastEvent(text)
	}
	a.query.ID = id
	if a.stream {
		a.query.From = from
		a.query.Epoch = epoch
	}
	return nil
}

// cutLast cuts at the last colon.
func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}

func badLastEvent(text string) *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonMalformed, "%s: %q is not REQUEST:EPOCH:TOKENS", HeaderLastEvent, text)
}
