package zinniamast

import (
	"context"
	"time"
)

// Engine is one model replica.
type Engine interface {
	// Generate starts an attempt and returns its stream; errors are *UpstreamError.
	Generate(ctx context.Context, call GenerateCall) (Stream, error)
	// Cancel ends an attempt that a closed connection might not have reached.
	Cancel(ctx context.Context, attempt string) error
	// ExportKV pins the KV cache of a running attempt and returns a handle to it.
	ExportKV(ctx context.Context, attempt string) (KVHandle, error)
	// ImportKV pulls an exported cache into this replica.
	ImportKV(ctx context.Context, handle KVHandle) error
	// Load returns the engine's own report, which lags.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after the sequence number; they come late and with gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order asks the engine to load, unload or change role.
	Order(ctx context.Context, order Order) error
}

// Stream is the answer of one attempt.
type Stream interface {
	// Next fills chunk with the next piece; io.EOF follows only the engine's end
	// mark and leaves the finish reason and the counts in chunk.
	Next(chunk *Chunk) error
	// Close gives the attempt up and frees its connection.
	Close() error
}

// GenerateCall is one attempt at one replica.
type GenerateCall struct {
	// Attempt identifies the attempt; the engine repeats it in each chunk.
	Attempt string
	// Model is the model's name as the engine knows it.
	Model string
	// Messages is the caller's JSON array of messages, passed on unread.
	Messages []byte
	// Resume holds the tokens already produced by earlier attempts.
	Resume []int32
	// MaxTokens bounds the whole answer, resumed tokens included; zero means the engine's limit.
	MaxTokens int
	// Priority orders the engine's queue; lower runs first.
	Priority int
	// KV names an imported cache that covers the prompt and the resumed tokens.
	KV string
	// Parameters holds the caller's remaining sampling fields as a JSON object.
	Parameters []byte
}

// Chunk is one piece of an answer; its slices are valid until the next call of Next.
type Chunk struct {
	// Index is the position of the first token in the whole answer, resumed tokens included.
	Index int
	// IDs are the tokens' identifiers.
	IDs []int32
	// Text is the tokens' text.
	Text []byte
	// Finish is the engine's finish reason, set with io.EOF.
	Finish string
	// CachedTokens is how many prompt tokens came from the engine's prefix cache; set with io.EOF.
	CachedTokens int
	// PromptTokens is the prompt's length; set with io.EOF.
	PromptTokens int
}

// KVHandle names an exported KV cache.
type KVHandle struct {
	// ID is the exporter's name for the cache.
	ID string `json:"id"`
	// Source is the base URL of the exporting replica.
	Source string `json:"source"`
	// Tokens is how many tokens the cache covers.
	Tokens int `json:"tokens"`
	// Bytes is the transfer's size.
	Bytes int64 `json:"bytes"`
}

// LoadReport is an engine's lagging account of itself.
type LoadReport struct {
	// At is when the engine took the reading.
	At time.Time `json:"at"`
	// Running is the number of sequences in the batch.
	Running int `json:"running"`
	// Waiting is the number of sequences queued.
	Waiting int `json:"waiting"`
	// Prefilling is how many of those running have made no token yet, where the
	// engine tells.
	Prefilling int `json:"prefilling"`
	// QueuedTokens is the number of prompt tokens not yet computed.
	QueuedTokens int `json:"queued_tokens"`
	// Models are the models, adapters and versions loaded now.
	Models []string `json:"models"`
	// Leaving means that the engine takes no new work.
	Leaving bool `json:"leaving"`
}

// CacheEvent tells of a prefix that entered or left an engine's cache.
type CacheEvent struct {
	// Sequence rises by one per event; a jump shows a gap.
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the cached prefix.
	Prefix uint64 `json:"prefix"`
	// Tokens is the prefix's length.
	Tokens int `json:"tokens"`
	// Evicted means the prefix left the cache.
	Evicted bool `json:"evicted"`
}

// Order asks an engine to change what it holds.
type Order struct {
	// Action is load, unload or role.
	Action string `json:"action"`
	// Model is the model, adapter or version.
	Model string `json:"model"`
	// Role is the new role for action role.
	Role string `json:"role,omitempty"`
	// Fence is the fencing number; engines that check it refuse lower ones.
	Fence uint64 `json:"fence"`
}
