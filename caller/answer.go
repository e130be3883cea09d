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

// writeTimeout bounds one write to a caller that reads too slowly or not at all.
const writeTimeout = 30 * time.Second

// answerWriter writes the answer of one request to one caller.
type answerWriter struct {
	server     *Server
	request    *parsedRequest
	reader     request.Reader
	writer     http.ResponseWriter
	control    *http.ResponseController
	nextToken  int
	headersSet bool
	// searched means that the request has been searched for since the last new
	// token, so that a failing source is replaced once and not in a loop.
	searched bool
	text     []byte
	buffer   []byte
	arena    fastjson.Arena
	progress request.Progress
}

// serve writes until the answer has ended and reports whether the caller has
// received the complete result, which may be a refusal.
func (a *answerWriter) serve(ctx context.Context) bool {
	a.control = http.NewResponseController(a.writer)
	for {
		if err := a.reader.Read(ctx, &a.progress); err != nil {
			if a.reattach(ctx) {
				continue
			}
			return a.failMoved(ctx)
		}
		if len(a.progress.Ends) > 0 {
			a.searched = false
		}
		// A caller that attaches later reads tokens from the buffer; the time since
		// acceptance is not what that caller waited for its first token.
		if a.request.isNew && a.progress.Index == 0 && len(a.progress.Ends) > 0 {
			a.server.config.Metrics.observeFirstToken(string(a.request.call.Class), time.Since(a.request.call.Accepted))
		}
		a.nextToken = a.progress.Index + len(a.progress.Ends)
		if err := a.deliver(); err != nil {
			return false
		}
		switch a.progress.State {
		case request.StateWhole:
			a.server.config.Metrics.countAnswer(a.request.call.Model)
			return a.finish() == nil
		case request.StateFailed:
			a.fail(a.progress.Refusal)
			return true
		case request.StateMoved:
			a.follow(a.progress.MovedTo)
		}
	}
}

// reattach searches once for the request after the reader has failed and
// reports whether it is read from a new source.
//
// A node that is stopping hands its requests over and exits at once. A peer
// that reads from it on behalf of its own callers does not learn the new holder.
// Without the search it would refuse its callers, although it may itself hold
// the request.
func (a *answerWriter) reattach(ctx context.Context) bool {
	if ctx.Err() != nil || a.searched {
		return false
	}
	a.searched = true
	search := *a.request
	search.query.ID = a.request.call.ID
	search.query.From = a.nextToken
	search.query.Epoch = a.progress.Epoch
	reader := a.findSuccessor(ctx, &search)
	if reader == nil {
		var refusal *zinniamast.Refusal
		if reader, refusal = a.server.attach(ctx, &search); refusal != nil {
			return false
		}
	}
	a.reader.Close(false)
	a.reader = reader
	return true
}

// findSuccessor searches other nodes for a request that this node has moved, or
// returns nil. This node only knows the peer that took the request first, and
// that peer may be the source that has failed.
func (a *answerWriter) findSuccessor(ctx context.Context, search *parsedRequest) request.Reader {
	known := a.server.config.Board.Requests.Get(search.query.ID)
	if known == nil || known.State() != request.StateMoved || known.Call.Organisation != search.call.Organisation {
		return nil
	}
	return a.server.config.Locator.Find(ctx, search.query)
}

// follow continues reading from the peer that now holds the request.
func (a *answerWriter) follow(peer string) {
	a.reader.Close(false)
	query := a.request.query
	query.ID = a.request.call.ID
	query.From = a.nextToken
	query.Epoch = a.progress.Epoch
	a.reader = a.server.config.Locator.Follow(peer, query)
}

// failMoved refuses the rest of an answer whose source is unavailable, unless the
// caller has disconnected; the caller can resume at another node.
func (a *answerWriter) failMoved(ctx context.Context) bool {
	if ctx.Err() == nil {
		a.fail(zinniamast.Refuse(zinniamast.ReasonMoved,
			"the request goes on at another node; ask again with %s or %s", HeaderLastEvent, HeaderKey).
			WithRan(zinniamast.DidRun).WithRetryAfter(time.Second))
	}
	return false
}

// deliver writes new tokens to the caller, or buffers them if the answer is not
// streamed.
func (a *answerWriter) deliver() error {
	if !a.request.stream {
		a.text = append(a.text, a.progress.Text...)
		return nil
	}
	if len(a.progress.Ends) == 0 {
		return nil
	}
	return a.writeTokens(a.progress.Text, a.nextToken)
}

// setHeaders sets the headers of a streamed answer. It is called with the first
// token and not before, so that an earlier refusal can set its own HTTP status.
func (a *answerWriter) setHeaders() {
	if a.headersSet {
		return
	}
	a.headersSet = true
	header := a.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequest, a.request.call.ID)
}

// writeTokens writes new tokens as one event, whose ID lets the caller resume
// after it.
func (a *answerWriter) writeTokens(text []byte, next int) error {
	a.setHeaders()
	b := a.openEvent(next)
	if next == len(a.progress.Ends) {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	a.arena.Reset()
	b = a.arena.NewStringBytes(text).MarshalTo(b)
	b = append(b, "},\"finish_reason\":null}]}\n\n"...)
	return a.write(b)
}

// openEvent returns the beginning of an event, up to the fields of its delta.
func (a *answerWriter) openEvent(next int) []byte {
	b := append(a.buffer[:0], "id: "...)
	b = append(b, a.request.call.ID...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(a.progress.Epoch), 10)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(next), 10)
	b = append(b, "\ndata: "...)
	b = a.appendChunkHead(b)
	return append(b, `"choices":[{"index":0,"delta":{`...)
}

// appendChunkHead appends the fields that every chunk begins with.
func (a *answerWriter) appendChunkHead(b []byte) []byte {
	b = append(b, `{"id":"chatcmpl-`...)
	b = append(b, a.request.call.ID...)
	b = append(b, `","object":"chat.completion.chunk","created":`...)
	b = strconv.AppendInt(b, a.request.call.Accepted.Unix(), 10)
	b = append(b, `,"model":`...)
	a.arena.Reset()
	b = a.arena.NewString(a.request.call.Model).MarshalTo(b)
	return append(b, ',')
}

// write writes and flushes b. A caller that reads too slowly is disconnected;
// its request continues, and the caller can attach to it again.
func (a *answerWriter) write(b []byte) error {
	a.buffer = b
	// Not every ResponseWriter supports deadlines; those of the node's listeners do.
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.writer.Write(b); err != nil {
		return err
	}
	return a.control.Flush()
}

// finish writes the end of a complete answer: the last events of a stream, or the
// whole body of an answer that is not streamed.
func (a *answerWriter) finish() error {
	if !a.request.stream {
		return a.writeCompletion()
	}
	a.setHeaders()
	b := a.openEvent(a.nextToken)
	b = append(b, `},"finish_reason":"`...)
	b = append(b, a.progress.Finish...)
	b = append(b, "\"}]}\n\n"...)
	if a.request.includeUsage {
		b = append(b, "data: "...)
		b = a.appendChunkHead(b)
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

// writeCompletion writes an answer that is not streamed.
func (a *answerWriter) writeCompletion() error {
	header := a.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequest, a.request.call.ID)
	b := append(a.buffer[:0], `{"id":"chatcmpl-`...)
	b = append(b, a.request.call.ID...)
	b = append(b, `","object":"chat.completion","created":`...)
	b = strconv.AppendInt(b, a.request.call.Accepted.Unix(), 10)
	b = append(b, `,"model":`...)
	a.arena.Reset()
	b = a.arena.NewString(a.request.call.Model).MarshalTo(b)
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

// fail ends the answer with a refusal. Before the first token the refusal sets
// the HTTP status; afterwards it is an error event, with no [DONE] event after it.
func (a *answerWriter) fail(refusal *zinniamast.Refusal) {
	if !a.headersSet {
		a.server.refuse(a.writer, refusal)
		return
	}
	a.server.recordRefusal(refusal)
	content, err := json.Marshal(newErrorBody(refusal))
	if err != nil {
		return
	}
	b := append(a.buffer[:0], "data: "...)
	b = append(b, content...)
	b = append(b, "\n\n"...)
	// The error is ignored because the caller may have disconnected.
	_ = a.write(b)
}
