package front

import (
	"io"
	stdlog "log"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/process/logging"
	"github.com/pomelospool/pomelospool/process/settings"
)

// Limits on log lines with the same message: about 60 successful requests a
// second are logged in full; at higher rates the excess lines are dropped.
const (
	linesPerSecond = 60.0
	lineBurst      = 200
)

// SetLog makes the process log to w as JSON, without blocking on w. Call the
// returned function before the process exits.
func SetLog(s settings.Log, w io.Writer) func() {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		level = log.InfoLevel
	}
	log.SetLevel(level)
	out := logging.NewAsync(w, logging.DefaultQueueSize)
	limited := logging.NewLimiter(out, logging.Options{Rate: linesPerSecond, Burst: lineBurst})
	handler := logging.RequestBypass{Unlimited: out, Limited: limited}
	log.SetHandler(handler)
	stdlog.SetFlags(0)
	stdlog.SetOutput(logging.StdlibWriter{Next: handler})
	return func() {
		limited.Report()
		out.Close()
	}
}
