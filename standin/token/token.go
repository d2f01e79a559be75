// Package token computes the tokens of the stand-in engine's answer as a
// deterministic function of the prompt. A caller that knows the prompt can thus
// detect lost, repeated and truncated tokens, and tokens of another request.
package token

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a prompt, from which its tokens are computed.
func Hash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// At returns token i, counted from 0, of the answer to the prompt with the given
// hash. Every token starts with a space.
func At(promptHash uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], promptHash)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return " " + strconv.FormatUint(xxhash.Sum64(b[:])&0xffffff, 36)
}

// Text returns the concatenated tokens from index from up to, but not including,
// index to.
func Text(promptHash uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(At(promptHash, i))
	}
	return b.String()
}
