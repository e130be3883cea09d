package zinniamast

import (
	"context"
	"time"
)

// Engine is the client of one model replica.
type Engine interface {
	// Generate starts an attempt and returns its stream. Errors are of type *UpstreamError.
	Generate(ctx context.Context, call GenerateCall) (Stream, error)
	// Cancel ends an attempt explicitly, because closing the connection may not end it.
	Cancel(ctx context.Context, attempt string) error
	// ExportKV pins the KV cache of a running attempt and returns a handle to it.
	ExportKV(ctx context.Context, attempt string) (KVHandle, error)
	// ImportKV fetches an exported KV cache into this replica.
	ImportKV(ctx context.Context, handle KVHandle) error
	// Load returns the engine's load report, which lags behind its actual load.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after a sequence number. Events may be late or missing.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order asks the engine to load or unload a model, or to change its role.
	Order(ctx context.Context, order Order) error
}

// Stream delivers the answer of one attempt.
type Stream interface {
	// Next fills chunk with the next piece of the answer. It returns io.EOF only
	// after the engine's end mark, with the finish reason and the token counts in
	// chunk.
	Next(chunk *Chunk) error
	// Close abandons the attempt and releases its connection.
	Close() error
}

// GenerateCall is one attempt at one replica.
type GenerateCall struct {
	// Attempt identifies the attempt. The engine repeats it in each chunk.
	Attempt string
	// Model is the model's name at the engine.
	Model string
	// Messages is the caller's JSON array of messages, forwarded without parsing.
	Messages []byte
	// Resume holds the tokens already produced by earlier attempts.
	Resume []int32
	// MaxTokens limits the whole answer, including resumed tokens. Zero means the engine's limit.
	MaxTokens int
	// Priority orders the engine's queue. Lower values run first.
	Priority int
	// KV is the ID of an imported KV cache that covers the prompt and the resumed tokens.
	KV string
	// Parameters holds the caller's remaining sampling fields as a JSON object.
	Parameters []byte
}

// Chunk is one piece of an answer. Its slices are valid until the next call of Stream.Next.
type Chunk struct {
	// Index is the position of the chunk's first token in the whole answer,
	// including resumed tokens.
	Index int
	// IDs are the tokens' identifiers.
	IDs []int32
	// Text is the tokens' text.
	Text []byte
	// Finish is the engine's finish reason. It is set with io.EOF.
	Finish string
	// CachedTokens is the number of prompt tokens that the engine took from its
	// prefix cache. It is set with io.EOF.
	CachedTokens int
	// PromptTokens is the prompt's length. It is set with io.EOF.
	PromptTokens int
}

// KVHandle identifies an exported KV cache.
type KVHandle struct {
	// ID identifies the cache at the exporting replica.
	ID string `json:"id"`
	// Source is the base URL of the exporting replica.
	Source string `json:"source"`
	// Tokens is the number of tokens that the cache covers.
	Tokens int `json:"tokens"`
	// Bytes is the size of the transfer.
	Bytes int64 `json:"bytes"`
}

// LoadReport is an engine's report of its own load, which lags behind its actual load.
type LoadReport struct {
	// At is the time at which the engine measured its load.
	At time.Time `json:"at"`
	// Running is the number of sequences in the batch.
	Running int `json:"running"`
	// Waiting is the number of queued sequences.
	Waiting int `json:"waiting"`
	// Prefilling is the number of running sequences that have not produced a token
	// yet, if the engine reports it.
	Prefilling int `json:"prefilling"`
	// QueuedTokens is the number of prompt tokens not yet computed.
	QueuedTokens int `json:"queued_tokens"`
	// Models lists the models, adapters and versions that are loaded now.
	Models []string `json:"models"`
	// Leaving means that the engine accepts no new requests.
	Leaving bool `json:"leaving"`
}

// CacheEvent reports a prefix that was added to or evicted from an engine's cache.
type CacheEvent struct {
	// Sequence increases by one with each event. A larger step means that events are missing.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the cached prefix.
	Prefix uint64 `json:"prefix"`
	// Tokens is the length of the prefix in tokens.
	Tokens int `json:"tokens"`
	// Evicted means that the prefix was evicted.
	Evicted bool `json:"evicted"`
}

// Order asks an engine to change its loaded models or its role.
type Order struct {
	// Action is "load", "unload" or "role".
	Action string `json:"action"`
	// Model is the model, adapter or version to load or unload.
	Model string `json:"model"`
	// Role is the new role if Action is "role".
	Role string `json:"role,omitempty"`
	// Fence is the fencing number. Engines that check it refuse orders with a lower
	// one than they have seen.
	Fence uint64 `json:"fence"`
}
