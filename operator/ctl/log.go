package ctl

import (
	"github.com/pomelospool/pomelospool/port/httpapi"
)

// log returns a client of the log service named by --log. The function's caller
// closes it.
func (a *app) log() (*httpapi.Log, error) {
	if a.Log == "" {
		return nil, usageError("name the log service by --log or POMELOS_LOG")
	}
	return httpapi.NewLog(a.Log, httpapi.Options{}), nil
}
