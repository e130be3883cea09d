package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"zinniamast"
	"zinniamast/request"
)

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 30 * time.Second

// answer writes one request's answer to one caller.
type answer struct {
	server  *Server
	asked   *asked
	reader  request.Reader
	writer  http.ResponseWriter
	control *http.ResponseController
	next    int
	begun   bool
	// sought says that the request was looked for since its last part.
	sought   bool
	text     []byte
	buffer   []byte
	arena    fastjson.Arena
	progress request.Progress
}

// serve writes until the answer has ended and reports whether the caller has it whole.
func (a *answer) serve(ctx context.Context) bool {
	a.control = http.NewResponseController(a.writer)
	for {
		if err := a.reader.Read(ctx, &a.progress); err != nil {
			if a.seek(ctx) {
				continue
			}
			return a.cut(ctx)
		}
		a.sought = false
		// A caller that attaches later reads old tokens; the time since acceptance
		// would count as a wait that nobody had.
		if a.asked.fresh && a.progress.Index == 0 && len(a.progress.Ends) > 0 {
			a.server.config.Metrics.first(string(a.asked.call.Class), time.Since(a.asked.call.Accepted))
		}
		a.next = a.progress.Index + len(a.progress.Ends)
		if err := a.take(); err != nil {
			return false
		}
		switch a.progress.State {
		case request.StateWhole:
			a.server.config.Metrics.answered(a.asked.call.Model)
			return a.whole() == nil
		case request.StateFailed:
			a.fail(a.progress.Refusal)
			return true
		case request.StateMoved:
			a.follow(a.progress.MovedTo)
		}
	}
}

// seek looks once for the request after its source has gone.
//
// Failure: a node hands its requests over and ends at once. A peer that reads
// there for its own callers does not hear where they went, and its callers were
// sent away, although the peer may hold the request itself.
func (a *answer) seek(ctx context.Context) bool {
	if ctx.Err() != nil || a.sought {
		return false
	}
	a.sought = true
	asked := *a.asked
	asked.query.ID = a.asked.call.ID
	asked.query.From = a.next
	asked.query.Epoch = a.progress.Epoch
	reader, refusal := a.server.attach(ctx, &asked)
	if refusal != nil {
		return false
	}
	a.reader.Close(false)
	a.reader = reader
	return true
}

// follow goes on reading from the peer that now holds the request.
func (a *answer) follow(peer string) {
	a.reader.Close(false)
	query := a.asked.query
	query.ID = a.asked.call.ID
	query.From = a.next
	query.Epoch = a.progress.Epoch
	a.reader = a.server.config.Locator.Follow(peer, query)
}

// cut ends an answer whose source has gone while its caller still waits.
func (a *answer) cut(ctx context.Context) bool {
	if ctx.Err() == nil {
		a.fail(zinniamast.Refuse(zinniamast.ReasonMoved,
			"the request goes on at another node; ask again with %s or %s", HeaderLastEvent, HeaderKey).
			WithRan(zinniamast.DidRun).WithRetryAfter(time.Second))
	}
	return false
}

// take passes new tokens on, or keeps them for an answer that is not streamed.
func (a *answer) take() error {
	if !a.asked.stream {
		a.text = append(a.text, a.progress.Text...)
		return nil
	}
	if len(a.progress.Ends) == 0 {
		return nil
	}
	return a.event(a.progress.Text, a.next)
}

// begin sends the headers of a streamed answer. They wait for the first
// token, so that a refusal before it keeps its own status.
func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	header := a.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequest, a.asked.call.ID)
}

// event writes new tokens as one event whose id lets the caller go on after it.
func (a *answer) event(text []byte, next int) error {
	a.begin()
	b := a.open(next)
	if next == len(a.progress.Ends) {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	a.arena.Reset()
	b = a.arena.NewStringBytes(text).MarshalTo(b)
	b = append(b, "},\"finish_reason\":null}]}\n\n"...)
	return a.write(b)
}

// open writes an event up to the inside of its delta.
func (a *answer) open(next int) []byte {
	b := append(a.buffer[:0], "id: "...)
	b = append(b, a.asked.call.ID...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(a.progress.Epoch), 10)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(next), 10)
	b = append(b, "\ndata: "...)
	b = a.head(b)
	return append(b, `"choices":[{"index":0,"delta":{`...)
}

// head writes the fields that every chunk begins with.
func (a *answer) head(b []byte) []byte {
	b = append(b, `{"id":"chatcmpl-`...)
	b = append(b, a.asked.call.ID...)
	b = append(b, `","object":"chat.completion.chunk","created":`...)
	b = strconv.AppendInt(b, a.asked.call.Accepted.Unix(), 10)
	b = append(b, `,"model":`...)
	a.arena.Reset()
	b = a.arena.NewString(a.asked.call.Model).MarshalTo(b)
	return append(b, ',')
}

// write sends one or more events at once. A caller that reads too slowly is
// cut off; its request goes on and can be attached to again.
func (a *answer) write(b []byte) error {
	a.buffer = b
	// Not every writer has deadlines; those of the node's listeners do.
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.writer.Write(b); err != nil {
		return err
	}
	return a.control.Flush()
}

// whole writes the end of a whole answer.
func (a *answer) whole() error {
	if !a.asked.stream {
		return a.completion()
	}
	a.begin()
	b := a.open(a.next)
	b = append(b, `},"finish_reason":"`...)
	b = append(b, a.progress.Finish...)
	b = append(b, "\"}]}\n\n"...)
	if a.asked.includeUsage {
		b = append(b, "data: "...)
		b = a.head(b)
		b = append(b, `"choices":[],"usage":`...)
		b = appendUsage(b, a.progress.Usage)
		b = append(b, "}\n\n"...)
	}
	b = append(b, "data: [DONE]\n\n"...)
	return a.write(b)
}

func appendUsage(b []byte, usage request.Usage) []byte {
	b = append(b, `{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.Prompt), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.Completion), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.Prompt+usage.Completion), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.Cached), 10)
	b = append(b, `},"recomputed_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.Recomputed), 10)
	return append(b, '}')
}

// completion writes an answer that is not streamed.
func (a *answer) completion() error {
	header := a.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequest, a.asked.call.ID)
	b := append(a.buffer[:0], `{"id":"chatcmpl-`...)
	b = append(b, a.asked.call.ID...)
	b = append(b, `","object":"chat.completion","created":`...)
	b = strconv.AppendInt(b, a.asked.call.Accepted.Unix(), 10)
	b = append(b, `,"model":`...)
	a.arena.Reset()
	b = a.arena.NewString(a.asked.call.Model).MarshalTo(b)
	b = append(b, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
	a.arena.Reset()
	b = a.arena.NewStringBytes(a.text).MarshalTo(b)
	b = append(b, `},"finish_reason":"`...)
	b = append(b, a.progress.Finish...)
	b = append(b, `"}],"usage":`...)
	b = appendUsage(b, a.progress.Usage)
	b = append(b, "}\n"...)
	header.Set("Content-Length", strconv.Itoa(len(b)))
	return a.write(b)
}

// fail ends an answer in a refusal: with its own status before the first
// token, as an error event without the end mark after it.
func (a *answer) fail(refusal *zinniamast.Refusal) {
	if !a.begun {
		a.server.refuse(a.writer, refusal)
		return
	}
	a.server.count(refusal)
	content, err := json.Marshal(bodyOf(refusal))
	if err != nil {
		return
	}
	b := append(a.buffer[:0], "data: "...)
	b = append(b, content...)
	b = append(b, "\n\n"...)
	// A caller that has gone cannot be told.
	_ = a.write(b)
}
