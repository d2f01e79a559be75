package publish

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/record"
)

const service = "feed"

var errLost = errors.New("answer lost")

// fakeLog is a log in memory that injects faults, on the clock of the synctest
// bubble.
type fakeLog struct {
	records   []port.Record
	earliest  int64
	appends   int
	failAfter int                        // appends that take effect but whose response is lost
	failWith  int                        // appends that fail without effect
	failReads int                        // reads that fail
	down      bool                       // reads fail
	onAppend  func(l *fakeLog, at int64) // simulates the daemons
}

func (l *fakeLog) appendRecord(kind record.Kind, id string, body any) int64 {
	b, _ := json.Marshal(body)
	data, _ := json.Marshal(record.Envelope{ID: id, Kind: kind, Writer: "other", Body: b})
	return l.appendData(data)
}

func (l *fakeLog) appendData(data []byte) int64 {
	at := int64(len(l.records) + 1)
	l.records = append(l.records, port.Record{Offset: at, Data: data})
	return at
}

func (l *fakeLog) accept(version int64) { l.verdict(version, true, 0) }

func (l *fakeLog) verdict(version int64, ok bool, c code.Code) {
	l.appendRecord(record.KindVerdict, "v", record.Verdict{Service: service, Version: version, Accept: ok, Code: c, Detail: "see line 3"})
}

func (l *fakeLog) document(id string, base int64) int64 {
	return l.appendRecord(record.KindDocument, id, record.Document{Service: service, Base: base, YAML: "x"})
}

// checkpoint appends a checkpoint of the state and drops the records before it.
func (l *fakeLog) checkpoint() {
	s := fold.New()
	for _, r := range l.records {
		_ = s.Apply(r.Offset, r.Data)
	}
	data, _ := s.Encode()
	l.earliest = l.appendRecord(record.KindCheckpoint, "c", record.Checkpoint{Covers: s.Applied, State: data})
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.appends++
	if l.failWith > 0 {
		l.failWith--
		return 0, port.ErrUnavailable
	}
	at := l.appendData(data)
	if l.onAppend != nil {
		l.onAppend(l, at)
	}
	if l.failAfter > 0 {
		l.failAfter--
		return 0, errLost
	}
	return at, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, max int, wait time.Duration) ([]port.Record, int64, error) {
	if l.down {
		return nil, 0, port.ErrUnavailable
	}
	newest := int64(len(l.records))
	if from < l.earliest {
		return nil, 0, port.ErrExpired
	}
	if from > newest {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return nil, newest, nil
	}
	return l.records[from-1 : min(newest, from-1+int64(max))], newest, nil
}

func (l *fakeLog) Earliest(context.Context, string) (int64, error) {
	if l.failReads > 0 {
		l.failReads--
		return 0, port.ErrUnavailable
	}
	if l.down {
		return 0, port.ErrUnavailable
	}
	return l.earliest, nil
}

func acceptDocument(l *fakeLog, at int64) { l.accept(at) }

// Several operators publish at the same time, the log loses responses or is
// unavailable, and records expire. Each publication must return its actual
// outcome with the winner's version, and append only as often as needed.
func TestOutcomes(t *testing.T) {
	mine := ID(record.Document{Service: service, Base: 1, YAML: "y"})
	tests := []struct {
		name    string
		prepare func(l *fakeLog)
		base    int64
		code    code.Code
		want    Result // without Service and Base
		appends int
	}{
		{"accepted", func(l *fakeLog) { l.onAppend = acceptDocument }, 1, code.OK, Result{Version: 3, Newest: 3}, 1},
		{"refused", func(l *fakeLog) {
			l.onAppend = func(l *fakeLog, at int64) { l.verdict(at, false, code.DocOutOfRange) }
		}, 1, code.DocOutOfRange, Result{Version: 3, Newest: 1}, 1},
		// Two operators publish on version 1. The other document comes first
		// in the log, so it wins, and ours gets no verdict of its own.
		{"lost the race", func(l *fakeLog) {
			l.document("theirs", 1)
			l.onAppend = func(l *fakeLog, at int64) { l.accept(at - 1) }
		}, 1, code.BaseConflict, Result{Version: 4, Newest: 3, Winner: 3}, 1},
		{"won before a later one", func(l *fakeLog) {
			l.onAppend = func(l *fakeLog, at int64) { l.document("theirs", 1); l.accept(at); l.accept(at + 1) }
		}, 1, code.OK, Result{Version: 3, Newest: 3}, 1},
		{"base overtaken before", func(l *fakeLog) { l.document("theirs", 1); l.accept(3) }, 1, code.BaseConflict, Result{Newest: 3, Winner: 3}, 0},
		{"same file again", func(l *fakeLog) { l.document(mine, 1); l.accept(3) }, 1, code.OK, Result{Version: 3, Newest: 3, Duplicate: true}, 0},
		// Only the first verdict counts. A late second verdict on the other
		// document has no effect, so ours is the next in the queue.
		{"theirs refused, then accepted", func(l *fakeLog) {
			l.document("theirs", 1)
			l.verdict(3, false, code.DocMissing)
			l.accept(3)
			l.onAppend = acceptDocument
		}, 1, code.OK, Result{Version: 6, Newest: 6}, 1},
		// The append took effect but its response was lost. The document is
		// found in the log, so a second append is not needed.
		{"answer lost", func(l *fakeLog) { l.failAfter = 1; l.onAppend = acceptDocument }, 1, code.OK, Result{Version: 3, Newest: 3}, 1},
		{"append failed twice", func(l *fakeLog) { l.failWith = 2; l.onAppend = acceptDocument }, 1, code.OK, Result{Version: 3, Newest: 3}, 3},
		{"no verdict in time", func(*fakeLog) {}, 1, code.PublishUnknown, Result{Version: 3, Newest: 1}, 1},
		{"append fails for good", func(l *fakeLog) { l.failWith = 1 << 20 }, 1, code.PublishUnknown, Result{Newest: 1}, 19},
		{"log down", func(l *fakeLog) { l.down = true }, 1, code.LogUnavailable, Result{}, 0},
		{"base is no document", func(l *fakeLog) {}, 2, code.BaseConflict, Result{Newest: 1, Winner: 1}, 0},
		{"base is not yet written", func(l *fakeLog) {}, 70, code.BaseConflict, Result{Newest: 1, Winner: 1}, 0},
		{"base was refused", func(l *fakeLog) { l.document("r", 1); l.verdict(3, false, code.DocMissing) }, 3, code.BaseConflict, Result{Newest: 1, Winner: 1}, 0},
		{"service exists already", func(*fakeLog) {}, 0, code.BaseConflict, Result{Newest: 1, Winner: 1}, 0},
		// The records since the base have expired, including the winner's.
		// The checkpoint still holds the winner's version.
		{"winner expired", func(l *fakeLog) { l.document("theirs", 1); l.accept(3); l.checkpoint() }, 1, code.BaseConflict, Result{Newest: 3, Winner: 3}, 0},
		{"base expired, still in force", func(l *fakeLog) { l.checkpoint(); l.onAppend = acceptDocument }, 1, code.OK, Result{Version: 4, Newest: 4}, 1},
		// A slow publisher: its document and the verdict expire before it
		// reads them. The checkpoint holds the outcome.
		{"outcome expired", func(l *fakeLog) { l.onAppend = func(l *fakeLog, at int64) { l.accept(at); l.checkpoint() } }, 1, code.OK, Result{Version: 3, Newest: 3}, 1},
		{"no checkpoint is left", func(l *fakeLog) { l.earliest = 2 }, 1, code.RecordsExpired, Result{}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLog{earliest: 1}
				l.document("first", 0)
				l.accept(1)
				tt.prepare(l)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				p := &Publisher{Log: l, Writer: "me"}
				got, err := p.Publish(ctx, service, tt.base, []byte("y"))
				if code.Of(err) != tt.code {
					t.Errorf("error %v, want code %d", err, tt.code)
				}
				tt.want.Service, tt.want.Base = service, tt.base
				if got != tt.want {
					t.Errorf("got  %+v\nwant %+v", got, tt.want)
				}
				if l.appends != tt.appends {
					t.Errorf("%d appends, want %d", l.appends, tt.appends)
				}
				if tt.code == code.BaseConflict && tt.want.Winner > 0 && !strings.Contains(err.Error(), "in force in place of base") {
					t.Errorf("the winner isn't named: %v", err)
				}
			})
		})
	}
}

// Current must retry while the log fails; here the first three reads fail.
func TestCurrentRetriesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{earliest: 1, failReads: 3}
		l.document("first", 0)
		l.accept(1)
		got, err := (&Publisher{Log: l}).Current(t.Context(), service)
		if err != nil || got != (InForce{Version: 1, YAML: "x"}) {
			t.Errorf("%+v, %v", got, err)
		}
	})
}
