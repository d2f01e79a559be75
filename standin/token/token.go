// Package token is the fixed function from a prompt to the tokens that the
// stand-in engine answers. A caller that knows the prompt can therefore tell
// lost, doubled, crossed and cut tokens by itself.
package token

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the identity of a prompt.
func Hash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// At returns token i, counted from 0, of the answer to a prompt. Every token
// starts with a space.
func At(promptHash uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], promptHash)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return " " + strconv.FormatUint(xxhash.Sum64(b[:])&0xffffff, 36)
}

// Text returns the tokens from index from up to, but not including, to.
func Text(promptHash uint64, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(At(promptHash, i))
	}
	return b.String()
}
