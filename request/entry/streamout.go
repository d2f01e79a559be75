package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/stream"
)

// streamOut writes a streamed answer. The header goes out with the first
// token: until then a failure is answered with a status of its own.
type streamOut struct {
	w       http.ResponseWriter
	limit   int
	timeout time.Duration
	gone    func(error)
	obs     *observation
	writer  *stream.Writer
}

// Event passes one event on.
func (o *streamOut) Event(data []byte) error {
	if o.writer == nil {
		o.begin()
	}
	return o.writer.Event(data)
}

func (o *streamOut) begin() {
	o.obs.token()
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(answer.HeaderCode, strconv.Itoa(int(code.OK)))
	o.w.WriteHeader(http.StatusOK)
	o.writer = stream.NewWriter(o.w, o.limit, o.timeout, o.gone)
}

// close ends the answer with err, if there is one, and returns what became of
// the request. An error after the first token is an event without an end
// marker behind it.
func (o *streamOut) close(err error) error {
	if o.writer == nil {
		if err != nil {
			writeError(o.w, err)
		}
		return err
	}
	if err != nil {
		_ = o.writer.Event(answer.Marshal(answer.Error(err)))
	}
	if werr := o.writer.Close(); werr != nil && err == nil {
		return code.Wrap(code.CallerGone, werr, "")
	}
	return err
}
