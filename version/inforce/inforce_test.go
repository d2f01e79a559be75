package inforce

import (
	"errors"
	"strconv"
	"testing"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// decode returns a configuration whose version is the record's value.
func decode(r port.KeyedRecord) (*route.Config, bool, error) {
	if r.Key != "config" {
		return nil, false, nil
	}
	n, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return nil, true, errors.New("not a version")
	}
	return route.New(n, nil, nil, route.Limits{}, nil), true, nil
}

func records(values ...string) []port.KeyedRecord {
	var out []port.KeyedRecord
	for i, v := range values {
		out = append(out, port.KeyedRecord{Key: "config", Value: []byte(v), Offset: int64(i)})
	}
	return out
}

// A daemon must not return to an older version after a newer one has served
// requests. The store may return an older version if it has lost its log, the
// daemon lists the topic and the response lags, or if records are read twice.
func TestVersionNeverDecreases(t *testing.T) {
	h := New(decode)
	if h.Load() != nil {
		t.Fatal("a configuration before the first record")
	}
	h.Reset(records("5"), 0)
	h.Apply(records("9", "7"))
	h.Reset(records("5"), 0)
	if v := h.Load().Version; v != 9 {
		t.Errorf("version %d in force, want 9", v)
	}
}

// A configuration record can't be decoded. The version in force must stay.
func TestUnreadableRecordChangesNothing(t *testing.T) {
	h := New(decode)
	h.Apply(records("3", "nonsense"))
	h.Apply([]port.KeyedRecord{{Key: "another", Value: []byte("8")}})
	if v := h.Load().Version; v != 3 {
		t.Errorf("version %d in force, want 3", v)
	}
}
