package entry

import (
	"expvar"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/burn"
)

// Metrics of all entries of the process.
var (
	results    = expvar.NewMap("entry_results")        // finished requests by result code
	firstToken = expvar.NewInt("entry_first_token_ns") // sum over the streamed answers that began
	firsts     = expvar.NewInt("entry_first_tokens")   // streamed answers that began
	tokensSent = expvar.NewInt("entry_tokens")         // passed on to callers
)

// observation measures one request for the burn report.
type observation struct {
	to    burn.Observer
	s     burn.Sample
	begun time.Time
}

func newObservation(to burn.Observer, service, org string) *observation {
	return &observation{to: to, s: burn.Sample{Service: service, Org: org}, begun: time.Now()}
}

// token notes the first token.
func (o *observation) token() {
	o.s.TimeToFirstToken = time.Since(o.begun)
	firstToken.Add(int64(o.s.TimeToFirstToken))
	firsts.Add(1)
}

// end hands the sample over.
func (o *observation) end(err error, tokens int) {
	results.Add(strconv.Itoa(int(code.Of(err))), 1)
	tokensSent.Add(int64(tokens))
	if o.to == nil {
		return
	}
	o.s.Code = code.Of(err)
	o.s.Total = time.Since(o.begun)
	o.s.Tokens = tokens
	if tokens > 1 && o.s.TimeToFirstToken > 0 {
		o.s.TimePerToken = (o.s.Total - o.s.TimeToFirstToken) / time.Duration(tokens-1)
	}
	o.to.Observe(o.s)
}
