package burn

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"
)

// The log budget of one daemon: one snapshot of at most MaxSnapshot bytes each
// SnapshotEvery, in a stream of its own that only it reads, once at its start.
// At 360 daemons that is 1.2 appends a second over the whole fleet.
const (
	SnapshotEvery = 5 * time.Minute
	MaxSnapshot   = 16 << 10
)

// maxUnpacked bounds what a snapshot may unpack to.
const maxUnpacked = 8 << 20

// Stream names the log stream of a daemon's snapshots.
func Stream(daemon string) string { return "burn-" + daemon }

// snapshot is the body of a record.KindBurn.
type snapshot struct {
	Daemon string `json:"daemon"`
	Left   int    `json:"left_out,omitempty"` // services that the budget had no room for
	Data   []byte `json:"data"`               // gzip of the JSON of []saved
}

// saved is the half-hour counts of one service.
type saved struct {
	Service string        `json:"s"`
	Buckets []savedBucket `json:"b"`
}

type savedBucket struct {
	Index  int64             `json:"i"`
	Counts [objectives]Count `json:"c"`
	Codes  []CodeCount       `json:"k"`
}

// Snapshot returns the half-hour counts of all services, for the body of a
// record.KindBurn in Stream. Histograms, minutes and organisations aren't in
// it: after a restart the two short windows and the times begin anew. When it
// is over MaxSnapshot, the services with the fewest requests are left out.
func (b *Tracker) Snapshot() ([]byte, error) {
	all := b.save()
	for keep := len(all); ; {
		data, err := encodeSnapshot(snapshot{Daemon: b.opts.Daemon, Left: len(all) - keep}, all[:keep])
		if err != nil || len(data) <= MaxSnapshot || keep == 0 {
			return data, err
		}
		keep = min(keep-1, keep*MaxSnapshot/len(data))
	}
}

// save copies the half-hour counts, the services with most requests first.
func (b *Tracker) save() []saved {
	var all []saved
	total := make(map[string]uint64)
	oldest := b.opts.Now().Add(-windowLengths[len(windowLengths)-1])
	for _, name := range b.names() {
		svc := b.service(name)
		svc.mu.Lock()
		s := saved{Service: name, Buckets: svc.all.coarse.save(oldest)}
		svc.mu.Unlock()
		for _, bucket := range s.Buckets {
			for _, c := range bucket.Codes {
				total[name] += c.Count
			}
		}
		all = append(all, s)
	}
	sort.SliceStable(all, func(i, j int) bool { return total[all[i].Service] > total[all[j].Service] })
	return all
}

func (r *ring) save(oldest time.Time) []savedBucket {
	var out []savedBucket
	for _, b := range r.buckets {
		if b.index < r.indexAt(oldest) || len(b.codes) == 0 {
			continue
		}
		out = append(out, savedBucket{b.index, b.counts, append([]CodeCount(nil), b.codes...)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Index < out[j].Index })
	return out
}

// Restore adds the counts of a snapshot that an earlier incarnation of the
// same daemon made. Another daemon's is refused: its counts are in its own
// report, and the merge over all would count them twice.
func (b *Tracker) Restore(data []byte) error {
	services, err := b.decodeSnapshot(data)
	if err != nil {
		return fmt.Errorf("restore burn: %w", err)
	}
	newest := b.opts.Now()
	for _, s := range services {
		svc := b.service(s.Service)
		if svc == nil {
			continue
		}
		svc.restore(s.Buckets, newest)
	}
	return nil
}

func (s *service) restore(buckets []savedBucket, newest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.all.coarse
	last := r.indexAt(newest)
	for _, saved := range buckets {
		// A snapshot from a clock that ran ahead would block its buckets
		// until that time comes, so those are left out.
		if saved.Index <= 0 || saved.Index > last {
			continue
		}
		if b := r.at(saved.Index); b != nil {
			b.merge(bucket{counts: saved.Counts, codes: saved.Codes})
		}
	}
}

func encodeSnapshot(s snapshot, services []saved) ([]byte, error) {
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	if err := json.NewEncoder(z).Encode(services); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	s.Data = packed.Bytes()
	return json.Marshal(s)
}

func (b *Tracker) decodeSnapshot(data []byte) ([]saved, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	if s.Daemon != b.opts.Daemon {
		return nil, fmt.Errorf("snapshot of daemon %q, not of %q", s.Daemon, b.opts.Daemon)
	}
	z, err := gzip.NewReader(bytes.NewReader(s.Data))
	if err != nil {
		return nil, err
	}
	var services []saved
	err = json.NewDecoder(io.LimitReader(z, maxUnpacked)).Decode(&services)
	return services, err
}
