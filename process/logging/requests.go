package logging

import "github.com/apex/log"

// FieldRequest is the name of the field with the request id. FieldFailed is the
// name of the field that states on the last line of a request whether it failed.
const (
	FieldRequest = "request"
	FieldFailed  = "failed"
)

// RequestBypass is a log.Handler that passes the lines of requests around the
// limiter, except the last line of a successful request.
//
// An engineer who looks for a request by its id would otherwise find that its
// lines were dropped at a time of many failures, when they are needed most.
type RequestBypass struct {
	Unlimited log.Handler // receives the lines of requests
	Limited   *Limiter    // receives all other lines, and the last lines of successful requests
}

// HandleLog passes the entry to one of the two handlers.
func (r RequestBypass) HandleLog(e *log.Entry) error {
	if _, ok := e.Fields[FieldRequest]; !ok {
		return r.Limited.HandleLog(e)
	}
	if failed, ended := e.Fields[FieldFailed].(bool); ended && !failed {
		return r.Limited.HandleLog(e)
	}
	return r.Unlimited.HandleLog(e)
}
