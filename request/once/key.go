package once

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
)

// keyID identifies a service and a key. It is truncated from a cryptographic
// hash because callers choose their keys: a caller who could produce a collision
// would receive the answer of another caller.
type keyID [16]byte

func newKeyID(service, key string) keyID {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(service)))
	_, _ = h.Write(n[:])
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte(key))
	var id keyID
	copy(id[:], h.Sum(nil))
	return id
}

// shardOf returns the shard of a key among n shards.
func (id keyID) shardOf(n int) int {
	return int(binary.BigEndian.Uint64(id[8:]) % uint64(n))
}

// attemptID returns the ID of attempt seq of a process: "incarnation#seq".
func attemptID(incarnation string, seq uint64) string {
	return incarnation + "#" + strconv.FormatUint(seq, 36)
}

// writerOf returns the incarnation of the process that made an attempt.
func writerOf(attempt string) string {
	i := strings.LastIndexByte(attempt, '#')
	return attempt[:max(i, 0)]
}

// seqOf returns the sequence number of an attempt.
func seqOf(attempt string) (uint64, bool) {
	seq, err := strconv.ParseUint(attempt[strings.LastIndexByte(attempt, '#')+1:], 36, 64)
	return seq, err == nil
}
