package daemon

import (
	"io"
	stdlog "log"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"

	"github.com/pomelospool/pomelospool/process/logging"
	"github.com/pomelospool/pomelospool/process/settings"
)

// SetLog configures the process's log, the standard library's log included. The
// level was checked with the settings; an unknown one is treated as info. Call
// the returned function before the process exits: it reports how many lines
// were dropped by then.
func SetLog(s settings.Log, w io.Writer) func() {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		level = log.InfoLevel
	}
	log.SetLevel(level)
	handler := logging.NewLimiter(format(s, w), logging.Options{})
	log.SetHandler(handler)
	stdlog.SetFlags(0)
	stdlog.SetOutput(logging.StdlibWriter{Next: handler})
	return handler.Report
}

func format(s settings.Log, w io.Writer) log.Handler {
	if s.Format == "json" {
		return json.New(w)
	}
	return logfmt.New(w)
}
