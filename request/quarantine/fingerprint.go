package quarantine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// volatile are the members of a JSON body that name one sending of it, or say
// how the answer travels. They don't make the content another one.
var volatile = []string{
	"id", "request_id", "idempotency_key", "user", "stream", "stream_options", "priority", "resume", "metadata",
}

// Fingerprint names the content of a request to a service. The path is a part
// of the content; headers, ids and keys are not. A JSON object counts without
// its volatile members, whatever its order and spacing. It is never 0, which
// stands for no fingerprint.
func Fingerprint(service, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(service + "\x00" + path + "\x00")
	_, _ = d.Write(normal(body))
	return max(d.Sum64(), 1)
}

func normal(body []byte) []byte {
	var object map[string]json.RawMessage
	if json.Unmarshal(body, &object) != nil || object == nil {
		return body
	}
	for _, name := range volatile {
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
