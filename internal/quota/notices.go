package quota

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// Notices logs that something has happened, at most once in logInterval, with the number of
// times since the last line. It is safe for concurrent use.
type Notices struct {
	message string

	mu       sync.Mutex
	count    int
	loggedAt time.Time
}

// NewNotices returns Notices that log the message.
func NewNotices(message string) *Notices { return &Notices{message: message} }

// Add counts one time.
func (n *Notices) Add(fields log.Fields) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.count++
	now := time.Now()
	if now.Sub(n.loggedAt) < logInterval {
		return
	}
	log.WithFields(fields).WithField("count", n.count).Warn(n.message)
	n.loggedAt, n.count = now, 0
}
