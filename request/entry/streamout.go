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
	version      string // model version of the target that is read
	writer       *stream.Writer
}

// Event implements stream.Sink.
func (s *streamSink) Event(data []byte) error {
	if s.writer == nil {
		s.begin()
	}
	return s.writer.Event(data)
}

func (s *streamSink) begin() {
	s.obs.firstToken()
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(answer.HeaderCode, strconv.Itoa(int(code.OK)))
	if s.version != "" {
		h.Set(headerModelVersion, s.version)
	}
	s.w.WriteHeader(http.StatusOK)
	s.writer = stream.NewWriter(s.w, s.bufferBytes, s.writeTimeout, s.cancel)
}

// close ends the answer and returns the final result of the request. An error
// after the first token is sent as an event that isn't followed by an end
// marker.
func (s *streamSink) close(err error) error {
	if s.writer == nil {
		if err != nil {
			writeError(s.w, err)
		}
		return err
	}
	if err != nil {
		_ = s.writer.Event(answer.Marshal(answer.Error(err)))
	}
	if werr := s.writer.Close(); werr != nil && err == nil {
		return code.Wrap(code.CallerGone, werr, "")
	}
	return err
}
