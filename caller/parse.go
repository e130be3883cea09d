package caller

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/config"
	"zinniamast/request"
)

// Headers that a caller may send; docs/CALLERS.md describes them.
const (
	// HeaderKey is the idempotency key; a retry with the same key attaches to the
	// first request.
	HeaderKey = "Idempotency-Key"
	// HeaderFirst set to true asserts that nothing can have run under the key: the
	// key was never sent before, or every earlier request was answered with "not run".
	HeaderFirst = "Zinniamast-First-Sending"
	// HeaderDeadline is the time that the caller waits, as a duration such as 30s.
	HeaderDeadline = "Zinniamast-Deadline"
	// HeaderClass is the priority class: urgent, normal or bulk.
	HeaderClass = "Zinniamast-Class"
	// HeaderLastEvent is the ID of the last event received, REQUEST:EPOCH:TOKENS.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderRetryCount is the number of retries so far, as common client libraries
	// send it.
	HeaderRetryCount = "X-Stainless-Retry-Count"
	// HeaderRequest is the request ID, in answers.
	HeaderRequest = "Zinniamast-Request"
)

const maxKeyLength = 255

// parsedRequest is a request of a caller after parsing and validation.
type parsedRequest struct {
	call         request.Call
	stream       bool
	includeUsage bool
	query        Query
	// isNew means that this node accepted the request as a new one and did not
	// attach the caller to an existing one.
	isNew bool
}

// reservedFields are the body fields that the node sets itself when it calls an
// engine; they are not passed on from the caller.
var reservedFields = []string{
	"model", "messages", "stream", "stream_options", "max_tokens",
	"max_completion_tokens", "n", "request_id", "priority",
	"resume_token_ids", "kv_transfer_params", "return_token_ids",
}

// parse reads and validates a chat-completions request.
func (s *Server) parse(w http.ResponseWriter, q *http.Request) (*parsedRequest, *zinniamast.Refusal) {
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
	a, refusal := parseBody(value)
	if refusal != nil {
		return nil, refusal
	}
	a.call.ID = newID(s.config.Instance)
	a.call.Organisation = organisation
	a.call.Fingerprint = request.Fingerprint(organisation, body)
	if current.Model(a.call.Model) == nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonUnknownModel, "there is no model %q; GET /v1/models lists them", a.call.Model)
	}
	return a, s.parseHeaders(a, q, current)
}

// promptParts returns hashes of the messages except the last one, which other prompts may
// share.
func promptParts(messages []*fastjson.Value) []uint64 {
	var parts []uint64
	var text []byte
	for _, message := range messages[:len(messages)-1] {
		text = message.MarshalTo(text[:0])
		parts = append(parts, xxh3.Hash(text))
	}
	return parts
}

// parseBody reads the fields of the JSON body.
func parseBody(value *fastjson.Value) (*parsedRequest, *zinniamast.Refusal) {
	object, err := value.Object()
	if err != nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "the body is not a JSON object")
	}
	if field, found := duplicateField(object); found {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "%s: is given twice", field)
	}
	messages := value.Get("messages")
	if messages == nil || messages.Type() != fastjson.TypeArray || len(messages.GetArray()) == 0 {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "messages: must be an array that is not empty")
	}
	if n := value.Get("n"); n != nil && n.Type() != fastjson.TypeNull && n.GetInt() != 1 {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "n: only 1 is served")
	}
	maxTokens, refusal := parseMaxTokens(value)
	if refusal != nil {
		return nil, refusal
	}
	a := &parsedRequest{
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
	a.call.PromptParts = promptParts(messages.GetArray())
	for _, field := range reservedFields {
		object.Del(field)
	}
	a.call.Parameters = object.MarshalTo(nil)
	return a, nil
}

// duplicateField returns the name of a field that the object holds more than once
// and reports whether there is one.
//
// If a request gave its model twice, the node would check the first value and pass
// the second on to the engine with the remaining fields, so that a model would run
// that was never checked.
func duplicateField(object *fastjson.Object) (string, bool) {
	seen := make([]string, 0, object.Len())
	duplicate := ""
	object.Visit(func(key []byte, _ *fastjson.Value) {
		if slices.Contains(seen, string(key)) {
			duplicate = string(key)
		}
		seen = append(seen, string(key))
	})
	return duplicate, duplicate != ""
}

func parseMaxTokens(value *fastjson.Value) (int, *zinniamast.Refusal) {
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

// parseHeaders reads the idempotency key, the class, the deadline and the position
// to resume from.
func (s *Server) parseHeaders(a *parsedRequest, q *http.Request, current *config.Config) *zinniamast.Refusal {
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
	return parseLastEvent(a, q.Header.Get(HeaderLastEvent))
}

// ReadDeadline returns the time until the deadline that the caller has set, at most
// longest. Without the header it returns longest.
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

func parseLastEvent(a *parsedRequest, text string) *zinniamast.Refusal {
	if text == "" {
		return nil
	}
	head, tokens, found := cutLast(text)
	if !found {
		return invalidLastEvent(text)
	}
	id, epochText, found := cutLast(head)
	if !found || id == "" {
		return invalidLastEvent(text)
	}
	epoch, err := strconv.Atoi(epochText)
	if err != nil || epoch < 0 {
		return invalidLastEvent(text)
	}
	from, err := strconv.Atoi(tokens)
	if err != nil || from < 0 {
		return invalidLastEvent(text)
	}
	a.query.ID = id
	if a.stream {
		a.query.From = from
		a.query.Epoch = epoch
	}
	return nil
}

// cutLast splits text at its last colon.
func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}

func invalidLastEvent(text string) *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonMalformed, "%s: %q is not REQUEST:EPOCH:TOKENS", HeaderLastEvent, text)
}
