package engine

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// Token is one token of an answer.
type Token struct {
	// ID is the token's identifier.
	ID int32
	// Text is the token's text.
	Text string
}

const (
	minAnswerTokens   = 24
	answerTokensRange = 1000
)

// seed returns the hash of a messages array, which determines its whole answer.
func seed(messages []byte) uint64 { return xxh3.Hash(messages) }

// MessagesHash returns the key of a messages array in Runs.Messages.
func MessagesHash(messages []byte) uint64 { return seed(messages) }

// naturalLength returns the length of the answer, in tokens, without a limit.
func naturalLength(seed uint64) int { return minAnswerTokens + int(seed%answerTokensRange) }

// token returns the i-th token of an answer.
func token(seed uint64, i int) Token {
	mixed := (seed + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	id := int32(mixed >> 33)
	return Token{
		ID:   id,
		Text: " w" + strconv.FormatInt(int64(id%46656), 36),
	}
}

// Answer returns the whole answer to the JSON messages array, limited to
// maxTokens if that is above zero. Tests and the load generator compare the
// answers that callers receive with it.
func Answer(messages []byte, maxTokens int) []Token {
	answerSeed := seed(messages)
	length := answerLength(answerSeed, maxTokens)
	tokens := make([]Token, length)
	for i := range tokens {
		tokens[i] = token(answerSeed, i)
	}
	return tokens
}

func answerLength(seed uint64, maxTokens int) int {
	length := naturalLength(seed)
	if maxTokens > 0 && maxTokens < length {
		return maxTokens
	}
	return length
}

// Text joins the text of tokens.
func Text(tokens []Token) string {
	var text []byte
	for _, t := range tokens {
		text = append(text, t.Text...)
	}
	return string(text)
}
