package domain

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokensPerPiece is the number of tokens in one piece, the block size in which
	// KV cache memory is allocated and prefix caches are keyed.
	TokensPerPiece = 1024
	// BytesPerToken is the mean length of a token in UTF-8 bytes. It is used to
	// estimate token counts from text.
	BytesPerToken = 4
	// KVBytesPerToken is the size of the KV cache entry of one token in bytes.
	KVBytesPerToken = 160 << 10
)

// PieceKey identifies a full piece of a prompt together with all pieces before
// it: a key is a hash of the piece's content and the preceding key.
type PieceKey uint64

// TokenCount estimates the number of tokens in text. It is at least 1.
func TokenCount(text string) int {
	return max(1, (len(text)+BytesPerToken-1)/BytesPerToken)
}

// Pieces returns the number of pieces that hold the given number of tokens.
func Pieces(tokens int) int {
	return (tokens + TokensPerPiece - 1) / TokensPerPiece
}

// PieceKeys returns the chained keys of the full pieces of a prompt. The chain
// starts with the model name, because caches are not shared between models. A
// trailing partial piece has no key.
func PieceKeys(model, prompt string) []PieceKey {
	const pieceBytes = TokensPerPiece * BytesPerToken
	key := xxhash.Sum64String(model)
	keys := make([]PieceKey, 0, len(prompt)/pieceBytes)
	digest := xxhash.New()
	var preceding [8]byte
	for len(prompt) >= pieceBytes {
		digest.Reset()
		binary.LittleEndian.PutUint64(preceding[:], key)
		_, _ = digest.Write(preceding[:])
		_, _ = digest.WriteString(prompt[:pieceBytes])
		key = digest.Sum64()
		keys = append(keys, PieceKey(key))
		prompt = prompt[pieceBytes:]
	}
	return keys
}
