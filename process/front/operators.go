package front

import (
	"expvar"
	"net/http"

	"github.com/uptrace/bunrouter"
)

// operatorRoutes returns the handler of the operators' port.
func (d *Daemon) operatorRoutes() http.Handler {
	r := bunrouter.New()
	r.GET("/metrics", bunrouter.HTTPHandler(d.metrics.handler()))
	r.GET("/debug/vars", bunrouter.HTTPHandler(expvar.Handler()))
	return r
}
