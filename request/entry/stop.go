package entry

import (
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// stoppingRetryAfter is the Retry-After time of requests that are refused because
// their answers may take longer than the daemon stays. It is short since other
// daemons can serve them.
const stoppingRetryAfter = 20 * time.Millisecond

// StopAt announces that open requests are cut at end. Until Drain, requests whose
// deadline passes later are refused, so that another daemon can serve them. An
// estimate of their durations would be no bound: the mix may change during the stop.
func (e *Entry) StopAt(end time.Time) { e.stopAt.Store(&end) }

// begin counts a request as open, or refuses it. The count is incremented
// before the draining flag is read, so that Drain can't miss a request that
// passed the check.
func (e *Entry) begin(deadline time.Time) error {
	e.open.Add(1)
	err := e.checkAccepting()
	if err == nil {
		err = e.checkStop(deadline)
	}
	if err != nil {
		e.open.Add(-1)
	}
	return err
}

// checkStop refuses a request that may be open when the daemon stops.
func (e *Entry) checkStop(deadline time.Time) error {
	if end := e.stopAt.Load(); end != nil && deadline.After(*end) {
		return code.New(code.Draining, "the answer may take longer than this daemon stays").WithRetryAfter(stoppingRetryAfter)
	}
	return nil
}
