package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"hash"
	"strings"
	"sync"
)

// Fingerprint identifies content. It is part of a cryptographic hash, so that no
// caller can have another one's requests refused with content of its own. The
// zero value means "no fingerprint".
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal, as in log lines.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Join returns the fingerprints separated by spaces, as in log lines.
func Join(fps []Fingerprint) string {
	names := make([]string, len(fps))
	for i, fp := range fps {
		names[i] = fp.String()
	}
	return strings.Join(names, " ")
}

// parseFingerprint returns the fingerprint in a message, or the zero value if the
// length is wrong.
func parseFingerprint(b []byte) (f Fingerprint) {
	if len(b) == len(f) {
		copy(f[:], b)
	}
	return f
}

// Request holds what identifies the content of a request. The IDs, the deadline
// and the keys of a submission are not part of it.
type Request struct {
	Caller string // organisation; empty if it is unknown
	Scope  string // host, service or model
	Method string
	Path   string // with the query
	Body   []byte
}

// hasher is a reusable hash with a buffer for its input and its sum.
type hasher struct {
	hash.Hash
	buf []byte
}

var hashers = sync.Pool{New: func() any { return &hasher{Hash: sha256.New()} }}

// Fingerprint returns the fingerprint of the content.
func (r *Request) Fingerprint() (f Fingerprint) {
	h, _ := hashers.Get().(*hasher)
	defer hashers.Put(h)
	h.Reset()
	h.buf = h.buf[:0]
	for _, s := range [...]string{r.Caller, r.Scope, r.Method, r.Path} {
		h.buf = append(append(h.buf, s...), 0)
	}
	_, _ = h.Write(h.buf) // never fails
	_, _ = h.Write(r.Body)
	h.buf = h.Sum(h.buf[:0])
	copy(f[:], h.buf)
	return f
}

// Part holds what identifies a part of a prompt, which many requests may share.
type Part struct {
	Caller  string // organisation; empty if it is unknown
	Service string
	ID      uint64
}

// Fingerprint returns the fingerprint of the part.
func (p *Part) Fingerprint() Fingerprint {
	id := binary.BigEndian.AppendUint64(nil, p.ID)
	r := Request{Caller: p.Caller, Scope: p.Service, Method: partMethod, Body: id}
	return r.Fingerprint()
}

// partMethod is no method of a request, so that a part and a request never have
// the same fingerprint.
const partMethod = "part of a prompt"

// volatileMembers are the members of a JSON body that identify one submission or
// describe how the answer is delivered. They are not part of the content.
var volatileMembers = []string{
	"id", "request_id", "idempotency_key", "user", "stream", "stream_options", "priority", "resume", "metadata",
}

// NormalizeJSON returns a JSON object without its volatile members, with a fixed
// order and spacing. It returns any other body unchanged.
func NormalizeJSON(body []byte) []byte {
	var object map[string]json.RawMessage
	if json.Unmarshal(body, &object) != nil || object == nil {
		return body
	}
	for _, name := range volatileMembers {
		delete(object, name)
	}
	var value any
	data, _ := json.Marshal(object)
	if json.Unmarshal(data, &value) != nil {
		return body
	}
	data, _ = json.Marshal(value)
	return data
}
