package entry

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// FuzzModelBody checks that any body is either refused with a result code, or
// sent to the engine as JSON with the same model and with the priority and
// resume fields that the daemon sets.
func FuzzModelBody(f *testing.F) {
	f.Add([]byte(modelRequest("p", 1, true)), 3)
	f.Add([]byte(`{"model":"m","resume":{"tokens":9},"priority":1,"messages":[{"role":"user","content":[{"text":"x"}]}]} `), 0)
	f.Add([]byte(`{"model":"m","Resume":{"Tokens":-1}}`), 1)
	f.Add([]byte(`{"model":"m","max_tokens":99999999999999999999}`), 1)
	doc := &document.Document{Service: "llm", Kind: document.KindModel, Models: []document.Model{{Name: testModel}}}
	o := Options{View: &view.Holder{}, Pool: pool.New(pool.Options{})}
	o.View.Store(view.NewSnapshot(1, []*view.Service{{Doc: doc}}, nil))
	e := New(o)
	f.Cleanup(func() {
		e.Close()
		o.Pool.Close()
	})
	f.Fuzz(func(t *testing.T, body []byte, resume int) {
		req := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(string(body)))
		w := httptest.NewRecorder()
		c, err := e.readModel(w, req, true)
		if err != nil {
			writeError(w, err)
			if w.Header().Get(answer.HeaderCode) == "" || w.Header().Get(answer.HeaderCode) == "0" {
				t.Fatalf("refused without a code: %v", err)
			}
			return
		}
		var got modelBody
		if err := json.Unmarshal(c.payload(resume), &got); err != nil {
			t.Fatalf("payload %s: %v", c.payload(resume), err)
		}
		if got.Model != testModel || got.Priority == nil || *got.Priority != c.params.priority {
			t.Fatalf("payload %s", c.payload(resume))
		}
		if resume > 0 && (got.Resume == nil || got.Resume.Tokens != resume) {
			t.Fatalf("payload %s doesn't resume at %d", c.payload(resume), resume)
		}
	})
}

// FuzzHeaders checks that any header values are either refused or yield valid
// parameters.
func FuzzHeaders(f *testing.F) {
	f.Add("id-1", "1000", "1", "org")
	f.Add("a\"b", "-1", "x", strings.Repeat("o", 300))
	doc := &document.Document{Limits: document.Limits{MaxDeadline: time.Minute}}
	f.Fuzz(func(t *testing.T, id, deadline, priority, org string) {
		req := httptest.NewRequest("GET", "/", nil)
		req.Header.Set(attempt.HeaderID, id)
		req.Header.Set(attempt.HeaderDeadline, deadline)
		req.Header.Set(headerPriority, priority)
		req.Header.Set(headerOrg, org)
		if got, err := requestID(req); !validID(got) || got == "" || err == nil && id != "" && got != id {
			t.Fatalf("id %q for %q", got, id)
		}
		now := time.Unix(0, 0)
		got, err := readParams(req, doc, now)
		if err != nil {
			return
		}
		if left := got.deadline.Sub(now); left <= 0 || left > time.Minute || got.priority < -1 || got.priority > 1 {
			t.Fatalf("got %+v", got)
		}
	})
}
