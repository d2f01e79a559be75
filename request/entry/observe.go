package entry

import (
	"expvar"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/burn"
)

// Metrics of all Entry values in the process.
var (
	results         = expvar.NewMap("entry_results")        // finished requests by result code
	firstTokenSum   = expvar.NewInt("entry_first_token_ns") // sum of the times to the first token of streamed answers
	firstTokenCount = expvar.NewInt("entry_first_tokens")   // streamed answers that sent a first token
	tokensSent      = expvar.NewInt("entry_tokens")         // tokens sent to callers
)

// observation measures one request for the report on error budget burn.
type observation struct {
	observer burn.Observer
	sample   burn.Sample
	started  time.Time
}

func newObservation(observer burn.Observer, service, org string) *observation {
	return &observation{observer: observer, sample: burn.Sample{Service: service, Org: org}, started: time.Now()}
}

// firstToken records the time to the first token.
func (o *observation) firstToken() {
	o.sample.TimeToFirstToken = time.Since(o.started)
	firstTokenSum.Add(int64(o.sample.TimeToFirstToken))
	firstTokenCount.Add(1)
}

// finish records the result and passes the sample to the observer.
func (o *observation) finish(err error, tokens int) {
	results.Add(strconv.Itoa(int(code.Of(err))), 1)
	tokensSent.Add(int64(tokens))
	if o.observer == nil {
		return
	}
	o.sample.Code = code.Of(err)
	o.sample.Total = time.Since(o.started)
	o.sample.Tokens = tokens
	if tokens > 1 && o.sample.TimeToFirstToken > 0 {
		o.sample.TimePerToken = (o.sample.Total - o.sample.TimeToFirstToken) / time.Duration(tokens-1)
	}
	o.observer.Observe(o.sample)
}
