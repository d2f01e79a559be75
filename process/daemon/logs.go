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

// SetLog sets the process's log as the settings say, the standard library's
// log included. They were checked, so an unknown level can't come here; info
// stands in for it. Call the function that it returns before the process ends:
// it says what was left out of the log until then.
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
