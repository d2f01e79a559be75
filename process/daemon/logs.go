package daemon

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"

	"github.com/pomelospool/pomelospool/process/settings"
)

// SetLog sets the process's log as the settings say. They were checked, so an
// unknown level can't come here; info stands in for it.
func SetLog(s settings.Log, w io.Writer) {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		level = log.InfoLevel
	}
	log.SetLevel(level)
	if s.Format == "json" {
		log.SetHandler(json.New(w))
		return
	}
	log.SetHandler(logfmt.New(w))
}
