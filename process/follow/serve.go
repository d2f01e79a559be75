package follow

import (
	"sync"

	"github.com/pomelospool/pomelospool/port"
)

// Bounds of the records kept for peers.
const (
	recentMax   = 1024
	recentBytes = 4 << 20
)

// recent keeps the newest records for peers that can't reach the log.
type recent struct {
	mu    sync.Mutex
	recs  []port.Record
	bytes int
}

// add appends r and drops the oldest beyond the bounds. A record that doesn't
// follow the last one, after a start from a checkpoint, replaces them all.
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
	for len(k.recs) > recentMax || (k.bytes > recentBytes && len(k.recs) > 1) {
		k.bytes -= len(k.recs[0].Data)
		k.recs = k.recs[1:]
	}
}

// from returns up to n records from offset on up to offset last, and false
// when records from there on are not kept.
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

// Serve answers a peer that asks for records from offset from on: records, or
// a checkpoint when they aren't kept any more. Nothing is served before the
// state is whole.
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
