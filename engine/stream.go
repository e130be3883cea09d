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
	// readBuffer holds an ordinary event many times over, in bytes.
	readBuffer = 8 << 10
	// maxLine bounds one event, in bytes; an engine that sends more is broken.
	maxLine = 1 << 20
)

// scratch is what a stream reuses for each event, so that a streamed token
// costs no allocation here.
type scratch struct {
	reader *bufio.Reader
	parser fastjson.Parser
	long   []byte
}

var scratches = sync.Pool{
	New: func() any {
		return &scratch{
			reader: bufio.NewReaderSize(nil, readBuffer),
		}
	},
}

// stream reads one attempt's events. It belongs to one goroutine.
type stream struct {
	upstream string
	attempt  []byte
	next     int
	body     io.ReadCloser
	scratch  *scratch
	finish   string
	prompt   int
	cached   int
	done     bool
}

func newStream(upstream, attempt string, next int, body io.ReadCloser) *stream {
	s := scratches.Get().(*scratch)
	s.reader.Reset(body)
	return &stream{
		upstream: upstream,
		attempt:  []byte(attempt),
		next:     next,
		body:     body,
		scratch:  s,
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
		data, err := s.event()
		if err != nil {
			return err
		}
		if bytes.Equal(data, endMark) {
			return s.end(chunk)
		}
		full, err := s.read(data, chunk)
		if err != nil || full {
			return err
		}
	}
}

// event returns the data of the next event; empty lines and other fields are passed over.
func (s *stream) event() ([]byte, error) {
	for {
		line, err := s.line()
		if err != nil {
			return nil, s.broken(err)
		}
		data, found := bytes.CutPrefix(line, dataPrefix)
		if found {
			return bytes.TrimSpace(data), nil
		}
	}
}

// line returns the next line, which may be longer than the reader's buffer.
func (s *stream) line() ([]byte, error) {
	line, err := s.scratch.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.scratch.long = s.scratch.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		s.scratch.long = append(s.scratch.long, line...)
		if len(s.scratch.long) > maxLine {
			return nil, ErrProtocol
		}
		line, err = s.scratch.reader.ReadSlice('\n')
	}
	s.scratch.long = append(s.scratch.long, line...)
	return s.scratch.long, err
}

// broken classifies a connection that ended before the end mark. Without the
// mark the answer is not whole, however complete it looks: the caller would
// otherwise get the first part of a contract summary as if it were all.
func (s *stream) broken(err error) error {
	if errors.Is(err, context.Canceled) {
		return s.failed(zinniamast.FailureStopped, err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return s.failed(zinniamast.FailureTimeout, err)
	}
	return s.failed(zinniamast.FailureCutShort, merry.Wrap(ErrNoEndMark, merry.WithCause(err)))
}

// end accepts the end mark only after a finish reason and fills in the answer's counts.
func (s *stream) end(chunk *zinniamast.Chunk) error {
	if s.finish == "" {
		return s.failed(zinniamast.FailureCutShort, ErrNoEndMark)
	}
	s.done = true
	chunk.Index = s.next
	chunk.Finish = s.finish
	chunk.PromptTokens = s.prompt
	chunk.CachedTokens = s.cached
	return io.EOF
}

// read fills the chunk from one event; it reports false for events that carry nothing new.
func (s *stream) read(data []byte, chunk *zinniamast.Chunk) (bool, error) {
	value, err := s.scratch.parser.ParseBytes(data)
	if err != nil {
		return false, s.failed(zinniamast.FailureError, merry.Wrap(ErrProtocol, merry.WithCause(err)))
	}
	// An answer that arrives on the wrong connection carries another
	// attempt's identity; none of it may reach this caller.
	if !bytes.Equal(value.GetStringBytes("id"), s.attempt) {
		return false, s.failed(zinniamast.FailureWrongAttempt, ErrCrossed)
	}
	if usage := value.Get("usage"); usage != nil && usage.Type() == fastjson.TypeObject {
		s.prompt = usage.GetInt("prompt_tokens")
		s.cached = usage.GetInt("prompt_tokens_details", "cached_tokens")
		return false, nil
	}
	choice := value.Get("choices", "0")
	if choice == nil {
		return false, nil
	}
	if finish := choice.GetStringBytes("finish_reason"); len(finish) > 0 {
		s.finish = string(finish)
	}
	ids := choice.GetArray("token_ids")
	if len(ids) == 0 {
		return false, nil
	}
	index := s.next
	if at := choice.Get("token_index"); at != nil {
		index = at.GetInt()
	}
	if index < s.next {
		// A repeated event; its tokens are already with the caller.
		return false, nil
	}
	if index > s.next {
		return false, s.failed(zinniamast.FailureCutShort, merry.Wrap(ErrProtocol, merry.AppendMessage("tokens are missing")))
	}
	chunk.Index = index
	for _, id := range ids {
		chunk.IDs = append(chunk.IDs, int32(id.GetInt()))
	}
	chunk.Text = append(chunk.Text, choice.GetStringBytes("delta", "content")...)
	s.next += len(ids)
	return true, nil
}

// Close implements zinniamast.Stream.
func (s *stream) Close() error {
	if s.scratch != nil {
		s.scratch.reader.Reset(nil)
		scratches.Put(s.scratch)
		s.scratch = nil
	}
	return s.body.Close()
}

func (s *stream) failed(failure zinniamast.Failure, cause error) error {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: s.upstream,
		Cause:    cause,
	}
}
