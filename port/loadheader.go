package port

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// LoadHeader is the answer header in which an engine reports its load at the
// time of the answer, as an ORCA load report in JSON. These reports need no
// extra call. With hundreds of daemons, each of them can call an engine so rarely
// that only reports on answers are recent.
const LoadHeader = "Endpoint-Load-Metrics"

// jsonPrefix precedes the JSON of a report in a header.
const jsonPrefix = "JSON "

// loadReport is the subset of an ORCA load report that is used.
type loadReport struct {
	Metrics loadMetrics `json:"named_metrics"`
}

// loadMetrics holds the fields of Load that a report may include.
type loadMetrics struct {
	Running         float64 `json:"running"`
	Waiting         float64 `json:"waiting"`
	QueuedPrefill   float64 `json:"queued_prefill"`
	DecodeRemaining float64 `json:"decode_remaining"`
	KVUsed          float64 `json:"kv_used"`
	KVCapacity      float64 `json:"kv_capacity"`
	PrefillRate     float64 `json:"prefill_rate"`
	DecodeRate      float64 `json:"decode_rate"`
}

// FormatLoad returns l as a value of LoadHeader, or an empty string if l can't
// be encoded.
func FormatLoad(l Load) string {
	r := loadReport{Metrics: loadMetrics{
		Running:         float64(l.Running),
		Waiting:         float64(l.Waiting),
		QueuedPrefill:   float64(l.QueuedPrefill),
		DecodeRemaining: float64(l.DecodeRemaining),
		KVUsed:          float64(l.KVUsed),
		KVCapacity:      float64(l.KVCapacity),
		PrefillRate:     l.PrefillRate,
		DecodeRate:      l.DecodeRate,
	}}
	data, err := json.Marshal(r)
	if err != nil {
		return "" // a rate is NaN or infinite
	}
	return jsonPrefix + string(data)
}

// ParseLoad parses a value of LoadHeader from an answer that arrived at the
// given time. Engine and Incarnation stay empty, since a report has neither.
func ParseLoad(value string, at time.Time) (Load, error) {
	text, ok := strings.CutPrefix(value, jsonPrefix)
	if !ok {
		return Load{}, fmt.Errorf("load report: not in JSON")
	}
	var r loadReport
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return Load{}, fmt.Errorf("load report: %w", err)
	}
	m := r.Metrics
	return Load{
		At:              at,
		Running:         int(m.Running),
		Waiting:         int(m.Waiting),
		QueuedPrefill:   int(m.QueuedPrefill),
		DecodeRemaining: int(m.DecodeRemaining),
		KVUsed:          int(m.KVUsed),
		KVCapacity:      int(m.KVCapacity),
		PrefillRate:     m.PrefillRate,
		DecodeRate:      m.DecodeRate,
	}, nil
}
