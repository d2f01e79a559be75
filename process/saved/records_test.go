package saved

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/process/record"
	"github.com/pomelospool/pomelospool/standin/logsvc"
)

func readAll(t *testing.T, r Records) map[string]string {
	t.Helper()
	all := make(map[string]string)
	if err := r.Newest(t.Context(), func(key string, value []byte) { all[key] = string(value) }); err != nil {
		t.Fatal(err)
	}
	return all
}

// Guards against records of a log that are read twice, come back after their removal, or
// aren't read on once the log has dropped what was to be read next.
func TestStreamKeepsNewestRecords(t *testing.T) {
	l := logsvc.New(logsvc.Options{MaxRecords: 4})
	writer, reader := InStream(l, record.RequestCrashes, "vm-1"), InStream(l, record.RequestCrashes, "vm-2")
	put := func(key, value string) {
		t.Helper()
		var data []byte
		if value != "" {
			data = []byte(value)
		}
		if err := writer.Put(t.Context(), key, data); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(want map[string]string) {
		t.Helper()
		if got := readAll(t, reader); !maps.Equal(got, want) {
			t.Errorf("%v, want %v", got, want)
		}
	}
	expect(map[string]string{})
	put("a", "1")
	put("b", "1")
	put("a", "2")
	expect(map[string]string{"a": "2", "b": "1"})
	put("b", "")
	if _, err := l.Append(t.Context(), record.RequestCrashes, []byte("no record")); err != nil {
		t.Fatal(err)
	}
	expect(map[string]string{"a": "2"})
	for range 9 {
		put("c", "1")
	}
	put("c", "2")
	expect(map[string]string{"a": "2", "c": "2"})
}

// Guards against state that a log with limited retention drops though it still holds.
func TestUnchangedStateIsSavedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logsvc.New(logsvc.Options{MaxAge: 10 * time.Second})
		d := newStreamDaemonWith(InStream(l, "streams", "vm-1"), "vm-1", 2*time.Second, "v1", "v2")
		d.begin(1, "v1")
		d.run(30 * time.Second)
		if all := readAll(t, InStream(l, "streams", "vm-2")); len(all) != 1 {
			t.Errorf("%d records are kept", len(all))
		}
	})
}
