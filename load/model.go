package load

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"zinniamast/caller"
	"zinniamast/checker"
)

// attemptResult is the result of one call of a client library.
type attemptResult struct {
	whole      bool
	answer     string
	recomputed int
}

// modelCaller sends model requests through the public client.
type modelCaller struct {
	client  openai.Client
	model   string
	first   *latency
	between *latency
}

func newModelCaller(c Config, transport http.RoundTripper, first, between *latency) *modelCaller {
	return &modelCaller{
		client: openai.NewClient(
			option.WithBaseURL(c.Targets[0]+"/v1/"),
			option.WithHTTPClient(&http.Client{
				Transport: transport,
			}),
		),
		model:   c.Model,
		first:   first,
		between: between,
	}
}

// call makes one call, which includes the client's own retries.
func (m *modelCaller) call(ctx context.Context, t *task) attemptResult {
	params := openai.ChatCompletionNewParams{
		Model:     m.model,
		Messages:  t.messages,
		MaxTokens: openai.Int(int64(t.maxTokens)),
	}
	options := []option.RequestOption{
		option.WithAPIKey(t.apiKey),
		option.WithHeader(caller.HeaderKey, t.Key),
		option.WithHeader(caller.HeaderDeadline, deadlineHeader(t.Deadline)),
		option.WithHeader(caller.HeaderClass, priorityClass(t.Kind)),
	}
	if t.Kind == checker.KindTriage {
		return m.callUnary(ctx, params, options)
	}
	return m.callStreaming(ctx, params, options)
}

func (m *modelCaller) callUnary(ctx context.Context, params openai.ChatCompletionNewParams, options []option.RequestOption) attemptResult {
	completion, err := m.client.Chat.Completions.New(ctx, params, options...)
	if err != nil {
		return attemptResult{}
	}
	if len(completion.Choices) != 1 || completion.Choices[0].FinishReason == "" {
		return attemptResult{}
	}
	return attemptResult{
		whole:      true,
		answer:     completion.Choices[0].Message.Content,
		recomputed: recomputedTokens(completion.Usage.RawJSON()),
	}
}

// callStreaming reads a stream to its end. The answer is not whole if the stream
// ends without a finish reason or with an error.
func (m *modelCaller) callStreaming(ctx context.Context, params openai.ChatCompletionNewParams, options []option.RequestOption) attemptResult {
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{
		IncludeUsage: openai.Bool(true),
	}
	timer := newTokenTimer(m.first, m.between)
	stream := m.client.Chat.Completions.NewStreaming(ctx, params, options...)
	defer func() { _ = stream.Close() }()
	result := attemptResult{}
	var answer []byte
	for stream.Next() {
		chunk := stream.Current()
		if chunk.Usage.TotalTokens > 0 {
			result.recomputed = recomputedTokens(chunk.Usage.RawJSON())
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		if text := chunk.Choices[0].Delta.Content; text != "" {
			timer.recordToken()
			answer = append(answer, text...)
		}
		if chunk.Choices[0].FinishReason != "" {
			result.whole = true
		}
	}
	result.answer = string(answer)
	if err := stream.Err(); err != nil {
		recordStreamError(ctx, err)
		result.whole = false
	}
	return result
}

// recordStreamError records the refusal that a node sends inside a stream that
// it cannot continue. A broken connection is recorded as no reply already.
func recordStreamError(ctx context.Context, err error) {
	var inside *ssestream.StreamError
	if !errors.As(err, &inside) {
		return
	}
	if nodeRefusal, ok := parseRefusal(inside.Event.Data); ok {
		replyLogOf(ctx).replaceLast(nodeRefusal)
	}
}

// tokenTimer measures the time to the first token and between tokens.
type tokenTimer struct {
	first    *latency
	between  *latency
	last     time.Time
	hasFirst bool
}

func newTokenTimer(first, between *latency) *tokenTimer {
	return &tokenTimer{
		first:   first,
		between: between,
		last:    time.Now(),
	}
}

func (s *tokenTimer) recordToken() {
	now := time.Now()
	if s.hasFirst {
		s.between.record(now.Sub(s.last))
	} else {
		s.first.record(now.Sub(s.last))
		s.hasFirst = true
	}
	s.last = now
}
