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
func (k *recent) add(r port.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.recs); n > 0 {
		last := k.recs[n-1].Offset
		if r.Offset <= last {
			return
		}
		if r.Offset > last+1 {
			k.recs, k.bytes = nil, 0
		}
	}
	k.recs = append(k.recs, r)
	k.bytes += len(r.Data)
	for len(k.recs) > maxRecentRecords || (k.bytes > maxRecentBytes && len(k.recs) > 1) {
		k.bytes -= len(k.recs[0].Data)
		k.recs = k.recs[1:]
	}
}

// from returns up to n records with offsets from offset to last. It returns
// false if the record at offset is not cached.
func (k *recent) from(offset, last int64, n int) ([]port.Record, bool) {
	if offset > last {
		return nil, true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.recs) == 0 || offset < k.recs[0].Offset {
		return nil, false
	}
	i := min(int(offset-k.recs[0].Offset), len(k.recs))
	j := min(i+n, int(last-k.recs[0].Offset)+1, len(k.recs))
	return append([]port.Record(nil), k.recs[i:max(i, j)]...), true
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
