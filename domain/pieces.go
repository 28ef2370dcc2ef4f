package domain

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PieceTokens is the number of tokens in one piece of KV cache memory.
	PieceTokens = 1024
	// BytesPerToken is the mean length of a token in UTF-8 bytes, used to
	// estimate token counts from text.
	BytesPerToken = 4
	// KVBytesPerToken is the size of the KV cache of one token in bytes.
	KVBytesPerToken = 160 << 10
)

// PieceKey identifies a full piece of a prompt together with all pieces before
// it: the key of a piece is a hash over its content and the key before it.
type PieceKey uint64

// TokenCount estimates the number of tokens in text. It is at least 1.
func TokenCount(text string) int {
	return max(1, (len(text)+BytesPerToken-1)/BytesPerToken)
}

// Pieces returns the number of pieces that hold the given number of tokens.
func Pieces(tokens int) int {
	return (tokens + PieceTokens - 1) / PieceTokens
}

// PieceKeys returns the chained keys of the full pieces of a prompt. The model
// is part of the chain, as caches are not shared between models. A last,
// partial piece has no key.
func PieceKeys(model, prompt string) []PieceKey {
	const pieceBytes = PieceTokens * BytesPerToken
	prev := xxhash.Sum64String(model)
	keys := make([]PieceKey, 0, len(prompt)/pieceBytes)
	digest := xxhash.New()
	var link [8]byte
	for len(prompt) >= pieceBytes {
		digest.Reset()
		binary.LittleEndian.PutUint64(link[:], prev)
		_, _ = digest.Write(link[:])
		_, _ = digest.WriteString(prompt[:pieceBytes])
		prev = digest.Sum64()
		keys = append(keys, PieceKey(prev))
		prompt = prompt[pieceBytes:]
	}
	return keys
}
