package logging

import (
	"strings"
	"time"

	"github.com/apex/log"
)

// maxLibraryText limits the text of one line of a library, in bytes. Most of a
// panic's stack fits.
const maxLibraryText = 4 << 10

// StdlibWriter is an io.Writer for the standard library's logger, to which
// net/http reports failed TLS handshakes and panics. It logs each write as one
// warning, in the format of all other lines and within the handler's limits.
//
// It calls the handler directly and ignores its error, since apex/log reports
// handler errors to the standard library's logger, which would call Write again.
type StdlibWriter struct{ Next log.Handler }

// Write logs p as one line, truncated to maxLibraryText.
func (w StdlibWriter) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p[:min(len(p), maxLibraryText)]))
	_ = w.Next.HandleLog(&log.Entry{
		Level:     log.WarnLevel,
		Timestamp: time.Now(),
		Message:   "library: wrote a line",
		Fields:    log.Fields{"text": text},
	})
	return len(p), nil
}
