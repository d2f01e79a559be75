package entry

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// Guards against a rejection for the time of the first token while the setting is off,
// and of requests that have no such time: unstreamed ones, streams of which the caller
// has a part, and those of services without an objective for it.
func TestTimeOfUse(t *testing.T) {
	const objective = 800 * time.Millisecond
	for _, c := range []struct {
		on, stream, resumes bool
		objective           time.Duration
		want                time.Duration
	}{
		{true, true, false, objective, 4 * objective},
		{false, true, false, objective, 0},
		{true, false, false, objective, 0},
		{true, true, true, objective, 0},
		{true, true, false, 0, 0},
	} {
		e := &Entry{opts: Options{ShedEarly: c.on}}
		doc := &document.Document{}
		doc.Objectives.FirstToken = c.objective
		q := &attempt.Request{Service: &view.Service{Doc: doc}, Resumes: c.resumes}
		got := e.usefulFor(q, requestParams{deadline: time.Now().Add(time.Minute), stream: c.stream})
		if got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
