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

// add appends rec and evicts the oldest records beyond the bounds. After a
// recovery from a checkpoint, rec may not directly follow the last record; it
// then replaces all cached records.
func (r *recent) add(rec port.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.recs); n > 0 {
		last := r.recs[n-1].Offset
		if rec.Offset <= last {
			return
		}
		if rec.Offset > last+1 {
			r.recs, r.bytes = nil, 0
		}
	}
	r.recs = append(r.recs, rec)
	r.bytes += len(rec.Data)
	for len(r.recs) > maxRecentRecords || (r.bytes > maxRecentBytes && len(r.recs) > 1) {
		r.bytes -= len(r.recs[0].Data)
		r.recs = r.recs[1:]
	}
}

// from returns up to n records with offsets from offset to last. It returns
// false if the record at offset is not cached.
func (r *recent) from(offset, last int64, n int) ([]port.Record, bool) {
	if offset > last {
		return nil, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recs) == 0 || offset < r.recs[0].Offset {
		return nil, false
	}
	i := min(int(offset-r.recs[0].Offset), len(r.recs))
	j := min(i+n, int(last-r.recs[0].Offset)+1, len(r.recs))
	return append([]port.Record(nil), r.recs[i:max(i, j)]...), true
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
