package request

import (
	"github.com/zeebo/xxh3"

	"zinniamast/prefix"
)

// EstimateTokens returns the approximate number of tokens of the messages.
func EstimateTokens(messages []byte) int { return len(messages)/prefix.BytesPerToken + 1 }

// Fingerprint returns a hash of an organisation and the body of its request.
func Fingerprint(organisation string, body []byte) uint64 {
	return xxh3.HashSeed(body, xxh3.HashString(organisation))
}
