package logging

import "github.com/apex/log"

// FieldRequest is the field that holds a request's id, and FieldFailed the one
// that marks the last line of a request that was not served.
const (
	FieldRequest = "request"
	FieldFailed  = "failed"
)

// RequestBypass is a log.Handler that lets the lines of requests past the limiter,
// except the one line of a request that went well.
//
// The guard is against an engineer who has only a request's id and finds that
// its lines were left out in a storm, which is when they are asked for.
type RequestBypass struct {
	Unlimited log.Handler // takes the lines of requests
	Limited   *Limiter    // takes all other lines, and those of requests that went well
}

// HandleLog passes the entry on.
func (r RequestBypass) HandleLog(e *log.Entry) error {
	if _, ok := e.Fields[FieldRequest]; !ok {
		return r.Limited.HandleLog(e)
	}
	if failed, ended := e.Fields[FieldFailed].(bool); ended && !failed {
		return r.Limited.HandleLog(e)
	}
	return r.Unlimited.HandleLog(e)
}
