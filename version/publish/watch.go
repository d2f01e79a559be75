package publish

import (
	"encoding/json"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/process/record"
)

// watch follows one document through the control stream with the rule of the
// fold: a document whose base isn't in force loses at once, and of the others
// the first one accepted wins. A verdict on a document counts only once.
type watch struct {
	id      string
	writer  string
	service string
	base    int64
	gap     bool // the log no longer keeps all records since the base

	next    int64           // offset to read next, 0 before the first read
	version int64           // first offset of the document
	newest  int64           // newest accepted version of the service
	winner  int64           // accepted in place of the document
	stale   bool            // the base was not in force when the document came
	verdict *record.Verdict // on the document
	again   bool            // another writer's copy came first
	judged  map[int64]bool  // versions with a verdict
}

func (w *watch) take(rec platform.Record) {
	w.next = rec.Offset + 1
	env, ok := decode[record.Envelope](rec.Data)
	if !ok {
		return
	}
	switch env.Kind {
	case record.KindDocument:
		w.takeDocument(rec.Offset, env)
	case record.KindVerdict:
		w.takeVerdict(env)
	}
}

func (w *watch) takeDocument(offset int64, env record.Envelope) {
	doc, ok := decode[record.Document](env.Body)
	if !ok || doc.Service != w.service {
		return
	}
	if env.ID != w.id || w.version > 0 {
		return
	}
	w.version = offset
	w.again = env.Writer != w.writer
	w.stale = !w.gap && w.newest != w.base
}

func (w *watch) takeVerdict(env record.Envelope) {
	v, ok := decode[record.Verdict](env.Body)
	if !ok || v.Service != w.service || w.judged[v.Version] {
		return
	}
	w.judged[v.Version] = true
	if v.Accept {
		w.newest = max(w.newest, v.Version)
	}
	switch {
	case v.Version == w.version:
		w.verdict = &v
	case v.Accept && v.Version > w.base && w.winner == 0:
		w.winner = v.Version
	}
}

// decided tells whether the outcome stands.
func (w *watch) decided() bool { return w.verdict != nil || w.winner > 0 || w.stale }

// outcome returns the error of a decided watch.
func (w *watch) outcome() error {
	switch {
	case w.verdict != nil && w.verdict.Accept:
		return nil
	case w.winner > 0:
		return code.New(code.BaseConflict, "version %d of %s won base %d", w.winner, w.service, w.base)
	case w.stale:
		return noVersion(w.base, w.service)
	default:
		return code.New(w.verdict.Code, "%s", w.verdict.Detail)
	}
}

func noVersion(base int64, service string) error {
	return code.New(code.BaseConflict, "%d is not in force as a version of %s", base, service)
}

func (w *watch) result() Result {
	return Result{
		Service: w.service,
		Base:    w.base,
		Version: w.version,
		Newest:  w.newest,
		Again:   w.again,
		Winner:  w.winner,
	}
}

func decode[T any](data []byte) (T, bool) {
	var v T
	err := json.Unmarshal(data, &v)
	return v, err == nil
}
