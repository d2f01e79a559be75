package follow

import (
	"sync"

	"github.com/pomelospool/pomelospool/port"
)

// Bounds of the records cached for peers.
const (
	maxRecentRecords = 1024
	maxRecentBytes   = 4 << 20
)

// recent caches the newest records for peers that can't reach the log.
type recent struct {
	mu    sync.Mutex
	recs  []port.Record
	bytes int
}

// add appends r and evicts the oldest records beyond the bounds. After a
// recovery from a checkpoint, r may not directly follow the last record; it
// then replaces all cached records.
func (c *recent) add(r port.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.recs); n > 0 {
		last := c.recs[n-1].Offset
		if r.Offset <= last {
			return
		}
		if r.Offset > last+1 {
			c.recs, c.bytes = nil, 0
		}
	}
	c.recs = append(c.recs, r)
	c.bytes += len(r.Data)
	for len(c.recs) > maxRecentRecords || (c.bytes > maxRecentBytes && len(c.recs) > 1) {
		c.bytes -= len(c.recs[0].Data)
		c.recs = c.recs[1:]
	}
}

// from returns up to n records with offsets from offset to last. It returns
// false if the record at offset is not cached.
func (c *recent) from(offset, last int64, n int) ([]port.Record, bool) {
	if offset > last {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recs) == 0 || offset < c.recs[0].Offset {
		return nil, false
	}
	i := min(int(offset-c.recs[0].Offset), len(c.recs))
	j := min(i+n, int(last-c.recs[0].Offset)+1, len(c.recs))
	return append([]port.Record(nil), c.recs[i:max(i, j)]...), true
}

// Serve handles a peer's request for records from offset from on. It returns
// up to max records, or a checkpoint if the records are no longer cached. It
// returns an error until the state has reached the tail for the first time.
func (f *Follower) Serve(from int64, max int) (Batch, error) {
	select {
	case <-f.ready:
	default:
		return Batch{}, errNotReady
	}
	s := f.State()
	b := Batch{Applied: s.Applied}
	recs, ok := f.recent.from(from, s.Applied, max)
	if ok {
		b.Records = recs
		return b, nil
	}
	data, err := s.Encode()
	if err != nil {
		return Batch{}, err
	}
	b.Checkpoint, b.Covers = data, s.Applied
	return b, nil
}
