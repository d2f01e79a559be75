package limit

import (
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/internal/watchdog"
)

// expiredDeadline is a deadline that ends what waits for a connection now.
var expiredDeadline = time.Unix(1, 0)

// Writer writes to a caller and fails once the caller takes no byte for a while.
//
// A deadline set before the write would expire while this process is paused,
// and net/http would close the connection of a caller that is waiting.
type Writer struct {
	dst      http.ResponseWriter
	ctl      *http.ResponseController
	stall    time.Duration
	watchdog *watchdog.Watchdog
	err      error
}

// NewWriter returns a Writer to w, which ends a write that takes longer than
// stall. After a failed write the connection can't be used.
func NewWriter(w http.ResponseWriter, stall time.Duration) *Writer {
	ctl := http.NewResponseController(w)
	return &Writer{
		dst:   w,
		ctl:   ctl,
		stall: stall,
		// A ResponseWriter without deadlines, as in tests, has no slow caller.
		watchdog: watchdog.New(func() { _ = ctl.SetWriteDeadline(expiredDeadline) }),
	}
}

// Write writes p to the caller or to the buffer before it.
func (w *Writer) Write(p []byte) (int, error) {
	w.watchdog.Arm(w.stall)
	n, err := w.dst.Write(p)
	w.finish(err)
	return n, err
}

// Send writes p and what is buffered.
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
		// The limit was reached as the write ended; the next one has its own.
		_ = w.ctl.SetWriteDeadline(time.Time{})
	}
}
