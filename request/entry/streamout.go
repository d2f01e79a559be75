package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/stream"
)

// streamSink writes a streamed answer to the caller. The header is sent with
// the first token. A failure before that is answered with its own HTTP status.
type streamSink struct {
	w            http.ResponseWriter
	bufferBytes  int
	writeTimeout time.Duration
	cancel       func(error)
	obs          *observation
	writer       *stream.Writer
}

// Event implements stream.Sink.
func (o *streamSink) Event(data []byte) error {
	if o.writer == nil {
		o.begin()
	}
	return o.writer.Event(data)
}

func (o *streamSink) begin() {
	o.obs.firstToken()
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(answer.HeaderCode, strconv.Itoa(int(code.OK)))
	o.w.WriteHeader(http.StatusOK)
	o.writer = stream.NewWriter(o.w, o.bufferBytes, o.writeTimeout, o.cancel)
}

// close ends the answer and returns the final result of the request. An error
// after the first token is sent as an event that isn't followed by an end
// marker.
func (o *streamSink) close(err error) error {
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
