package logging

import (
	"strings"
	"time"

	"github.com/apex/log"
)

// maxLibraryText bounds what one line of a library may take, in bytes. A
// panic's stack fits for the most part.
const maxLibraryText = 4 << 10

// StdlibWriter is an io.Writer for the standard library's logger: net/http reports
// broken TLS handshakes and panics there. They come out as lines like all
// others, level and format included, and within their budget.
//
// It calls the handler itself and drops its error: apex/log reports those by
// the standard library's logger, which would call Write again.
type StdlibWriter struct{ Next log.Handler }

// Write logs p as one line.
func (l StdlibWriter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p[:min(len(p), maxLibraryText)]))
	_ = l.Next.HandleLog(&log.Entry{
		Level:     log.WarnLevel,
		Timestamp: time.Now(),
		Message:   "library: wrote a line",
		Fields:    log.Fields{"text": text},
	})
	return len(p), nil
}
