package dispatch

import (
	"errors"
	"fmt"
	"strings"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/port"
)

// Exchange is one send of a call and the answer that decided its outcome.
type Exchange struct {
	Target  string // id
	Prefill bool
	Use     h1.ConnUse
	Status  int               // 0: there was no answer
	Answer  port.ResponseMeta // of the answer
}

// String describes the exchange for a log line.
func (e *Exchange) String() string {
	to := e.Target
	if e.Prefill {
		to += " prefill"
	}
	return fmt.Sprintf("%s %v, %s", to, e.Use, e.answer())
}

// answer describes the status of the answer and the marks that it bears.
func (e *Exchange) answer() string {
	if e.Status == 0 {
		return "no answer"
	}
	text := fmt.Sprint("status ", e.Status)
	if e.Answer.NotRun {
		text += " not run"
	}
	if e.Answer.Signed {
		text += " signed"
	}
	if e.Answer.RequestID == "" {
		text += " without id"
	}
	return text
}

// ExchangeList describes the sends for a log line, in order.
func (t *Trace) ExchangeList() string {
	out := make([]string, len(t.Exchanges))
	for i := range t.Exchanges {
		out[i] = t.Exchanges[i].String()
	}
	return strings.Join(out, "; ")
}

// recordExchange adds a send to the trace. Either resp or err is nil.
func (x *execution) recordExchange(s outgoing, resp *h1.Response, v port.ResponseMeta, err error) {
	e := Exchange{Target: s.target.ID, Prefill: s.state.Prefill, Answer: v}
	var he *h1.Error
	switch {
	case resp != nil:
		e.Use, e.Status = resp.Use, resp.Status
	case errors.As(err, &he):
		e.Use = he.Use
	}
	x.trace.Exchanges = append(x.trace.Exchanges, e)
}

// lastExchange returns the fields of the last send for a log line.
func (x *execution) lastExchange() log.Fields {
	if len(x.trace.Exchanges) == 0 {
		return nil
	}
	return log.Fields{"exchange": x.trace.Exchanges[len(x.trace.Exchanges)-1].String()}
}
