package port

import (
	"testing"
	"time"
)

func TestLoadHeaderRoundTrip(t *testing.T) {
	at := time.Unix(1, 0)
	want := Load{At: at, Running: 3, Waiting: 1, QueuedPrefill: 900, DecodeRemaining: 70, KVUsed: 10, KVCapacity: 20, PrefillRate: 8000.5, DecodeRate: 300}
	got, err := ParseLoad(FormatLoad(want), at)
	if err != nil || got != want {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
	for _, bad := range []string{"", "TEXT running=1", "JSON {", `JSON {"named_metrics":{"running":"x"}}`} {
		if _, err := ParseLoad(bad, at); err == nil {
			t.Errorf("%q is accepted as a report", bad)
		}
	}
}
