package quarantine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// volatileMembers are the members of a JSON body that identify one submission or
// describe how the answer is delivered. They are not part of the content.
var volatileMembers = []string{
	"id", "request_id", "idempotency_key", "user", "stream", "stream_options", "priority", "resume", "metadata",
}

// Fingerprint returns a hash of the content of a request to a service. The path
// is part of the content; headers, IDs and keys are not. A JSON object is hashed
// without its volatile members and regardless of order and spacing. The result
// is never 0, which means "no fingerprint".
func Fingerprint(service, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(service + "\x00" + path + "\x00")
	_, _ = d.Write(normalize(body))
	return max(d.Sum64(), 1)
}

func normalize(body []byte) []byte {
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
