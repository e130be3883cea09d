package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fastjson"

	"zinniamast"
)

const (
	// readBufferBytes is many times the size of an ordinary event.
	readBufferBytes = 8 << 10
	// maxLineBytes limits one event; a longer one is a protocol error.
	maxLineBytes = 1 << 20
)

// buffers holds the memory that a stream reuses for each event, so that reading a
// token does not allocate.
type buffers struct {
	reader   *bufio.Reader
	parser   fastjson.Parser
	longLine []byte
}

var bufferPool = sync.Pool{
	New: func() any {
		return &buffers{
			reader: bufio.NewReaderSize(nil, readBufferBytes),
		}
	},
}

// stream reads the events of one attempt. It must be used by one goroutine only.
type stream struct {
	upstream     string
	attempt      []byte
	nextIndex    int
	body         io.ReadCloser
	buffers      *buffers
	finishReason string
	promptTokens int
	cachedTokens int
	done         bool
}

func newStream(upstream, attempt string, next int, body io.ReadCloser) *stream {
	b := bufferPool.Get().(*buffers)
	b.reader.Reset(body)
	return &stream{
		upstream:  upstream,
		attempt:   []byte(attempt),
		nextIndex: next,
		body:      body,
		buffers:   b,
	}
}

var (
	dataPrefix = []byte("data:")
	endMark    = []byte("[DONE]")
)

// Next implements zinniamast.Stream.
func (s *stream) Next(chunk *zinniamast.Chunk) error {
	if s.done {
		return io.EOF
	}
	chunk.IDs = chunk.IDs[:0]
	chunk.Text = chunk.Text[:0]
	chunk.Finish = ""
	for {
		data, err := s.readEvent()
		if err != nil {
			return err
		}
		if bytes.Equal(data, endMark) {
			return s.acceptEndMark(chunk)
		}
		hasTokens, err := s.parseEvent(data, chunk)
		if err != nil || hasTokens {
			return err
		}
	}
}

// readEvent returns the data of the next event. It skips empty lines and other
// fields.
func (s *stream) readEvent() ([]byte, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, s.connectionError(err)
		}
		data, found := bytes.CutPrefix(line, dataPrefix)
		if found {
			return bytes.TrimSpace(data), nil
		}
	}
}

// readLine returns the next line, which may be longer than the reader's buffer.
// The line is valid until the next call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.buffers.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.buffers.longLine = s.buffers.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		s.buffers.longLine = append(s.buffers.longLine, line...)
		if len(s.buffers.longLine) > maxLineBytes {
			return nil, ErrProtocol
		}
		line, err = s.buffers.reader.ReadSlice('\n')
	}
	s.buffers.longLine = append(s.buffers.longLine, line...)
	return s.buffers.longLine, err
}

// connectionError classifies the error of a connection that ended before the end
// mark. Without the mark the answer is not whole, even if it looks complete: the
// caller could otherwise treat the first part of a contract summary as the whole.
func (s *stream) connectionError(err error) error {
	if errors.Is(err, context.Canceled) {
		return s.upstreamError(zinniamast.FailureStopped, err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return s.upstreamError(zinniamast.FailureTimeout, err)
	}
	return s.upstreamError(zinniamast.FailureCutShort, merry.Wrap(ErrNoEndMark, merry.WithCause(err)))
}

// acceptEndMark ends the stream and fills in the answer's finish reason and token
// counts. An end mark without a finish reason before it is a failure.
func (s *stream) acceptEndMark(chunk *zinniamast.Chunk) error {
	if s.finishReason == "" {
		return s.upstreamError(zinniamast.FailureCutShort, ErrNoEndMark)
	}
	s.done = true
	chunk.Index = s.nextIndex
	chunk.Finish = s.finishReason
	chunk.PromptTokens = s.promptTokens
	chunk.CachedTokens = s.cachedTokens
	return io.EOF
}

// parseEvent fills the chunk from one event. It reports whether the event carried
// new tokens.
func (s *stream) parseEvent(data []byte, chunk *zinniamast.Chunk) (bool, error) {
	value, err := s.buffers.parser.ParseBytes(data)
	if err != nil {
		return false, s.upstreamError(zinniamast.FailureError, merry.Wrap(ErrProtocol, merry.WithCause(err)))
	}
	// An answer that arrives on the wrong connection carries the ID of another
	// attempt; no part of it may reach this caller.
	if !bytes.Equal(value.GetStringBytes("id"), s.attempt) {
		return false, s.upstreamError(zinniamast.FailureWrongAttempt, ErrWrongAttempt)
	}
	if usage := value.Get("usage"); usage != nil && usage.Type() == fastjson.TypeObject {
		s.promptTokens = usage.GetInt("prompt_tokens")
		s.cachedTokens = usage.GetInt("prompt_tokens_details", "cached_tokens")
		return false, nil
	}
	choice := value.Get("choices", "0")
	if choice == nil {
		return false, nil
	}
	if finish := choice.GetStringBytes("finish_reason"); len(finish) > 0 {
		s.finishReason = string(finish)
	}
	ids := choice.GetArray("token_ids")
	if len(ids) == 0 {
		return false, nil
	}
	index := s.nextIndex
	if tokenIndex := choice.Get("token_index"); tokenIndex != nil {
		index = tokenIndex.GetInt()
	}
	if index < s.nextIndex {
		// The event is a repetition: its tokens were returned before.
		return false, nil
	}
	if index > s.nextIndex {
		return false, s.upstreamError(zinniamast.FailureCutShort, merry.Wrap(ErrProtocol, merry.AppendMessage("tokens are missing")))
	}
	chunk.Index = index
	for _, id := range ids {
		chunk.IDs = append(chunk.IDs, int32(id.GetInt()))
	}
	chunk.Text = append(chunk.Text, choice.GetStringBytes("delta", "content")...)
	s.nextIndex += len(ids)
	return true, nil
}

// Close implements zinniamast.Stream.
func (s *stream) Close() error {
	if s.buffers != nil {
		s.buffers.reader.Reset(nil)
		bufferPool.Put(s.buffers)
		s.buffers = nil
	}
	return s.body.Close()
}

func (s *stream) upstreamError(failure zinniamast.Failure, cause error) error {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: s.upstream,
		Cause:    cause,
	}
}
