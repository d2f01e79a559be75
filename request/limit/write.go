package limit

import (
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/internal/watchdog"
)

// expiredDeadline is a deadline in the past. Setting it ends pending reads
// or writes of a connection.
var expiredDeadline = time.Unix(1, 0)

// Writer writes to a caller and fails if the caller accepts no bytes for
// some time.
//
// It sets no deadline before a write: that could expire while this process
// is paused, and net/http would close the connection of a caller that is
// waiting.
type Writer struct {
	dst      http.ResponseWriter
	ctl      *http.ResponseController
	stall    time.Duration
	watchdog *watchdog.Watchdog
	err      error
}

// NewWriter returns a Writer to w that aborts a write that takes longer than
// stall. The connection can't be used after a failed write.
func NewWriter(w http.ResponseWriter, stall time.Duration) *Writer {
	ctl := http.NewResponseController(w)
	return &Writer{
		dst:   w,
		ctl:   ctl,
		stall: stall,
		// A ResponseWriter without deadlines, as in tests, never has a slow caller.
		watchdog: watchdog.New(func() { _ = ctl.SetWriteDeadline(expiredDeadline) }),
	}
}

// Write writes p to the caller or to the response buffer.
func (w *Writer) Write(p []byte) (int, error) {
	w.watchdog.Arm(w.stall)
	n, err := w.dst.Write(p)
	w.finish(err)
	return n, err
}

// Send writes p and flushes the response buffer.
func (w *Writer) Send(p []byte) error {
	w.watchdog.Arm(w.stall)
	_, err := w.dst.Write(p)
	if err == nil {
		err = w.ctl.Flush()
	}
	w.finish(err)
	return err
}

// Err returns the error of the last write.
func (w *Writer) Err() error { return w.err }

func (w *Writer) finish(err error) {
	w.err = err
	if w.watchdog.Disarm() && err == nil {
		// The watchdog fired just as the write ended. Clear the deadline, so that
		// the next write isn't aborted.
		_ = w.ctl.SetWriteDeadline(time.Time{})
	}
}
