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
	// readBufferBytes holds an ordinary event many times over, in bytes.
	readBufferBytes = 8 << 10
	// maxLineBytes bounds one event, in bytes; an engine that sends more is broken.
	maxLineBytes = 1 << 20
)

// buffers is what a stream reuses for each event, so that a streamed token
// costs no allocation here.
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

// stream reads one attempt's events. It belongs to one goroutine.
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
	s := bufferPool.Get().(*buffers)
	s.reader.Reset(body)
	return &stream{
		upstream:  upstream,
		attempt:   []byte(attempt),
		nextIndex: next,
		body:      body,
		buffers:   s,
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
		full, err := s.parseEvent(data, chunk)
		if err != nil || full {
			return err
		}
	}
}

// readEvent returns the data of the next event; empty lines and other fields are passed over.
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

// connectionError classifies a connection that ended before the end mark. Without the
// mark the answer is not whole, however complete it looks: the caller would
// otherwise get the first part of a contract summary as if it were all.
func (s *stream) connectionError(err error) error {
	if errors.Is(err, context.Canceled) {
		return s.upstreamError(zinniamast.FailureStopped, err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return s.upstreamError(zinniamast.FailureTimeout, err)
	}
	return s.upstreamError(zinniamast.FailureCutShort, merry.Wrap(ErrNoEndMark, merry.WithCause(err)))
}

// acceptEndMark accepts the end mark only after a finish reason and fills in the answer's counts.
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

// parseEvent fills the chunk from one event; it reports false for events that carry nothing new.
func (s *stream) parseEvent(data []byte, chunk *zinniamast.Chunk) (bool, error) {
	value, err := s.buffers.parser.ParseBytes(data)
	if err != nil {
		return false, s.upstreamError(zinniamast.FailureError, merry.Wrap(ErrProtocol, merry.WithCause(err)))
	}
	// An answer that arrives on the wrong connection carries another
	// attempt's identity; none of it may reach this caller.
	if !bytes.Equal(value.GetStringBytes("id"), s.attempt) {
		return false, s.upstreamError(zinniamast.FailureCrossed, ErrWrongAttempt)
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
	if at := choice.Get("token_index"); at != nil {
		index = at.GetInt()
	}
	if index < s.nextIndex {
		// A repeated event; its tokens are already with the caller.
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
