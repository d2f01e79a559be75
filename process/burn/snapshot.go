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

// Bounds of a daemon's load on the log. It appends one snapshot of at most
// MaxSnapshot bytes per SnapshotEvery to a stream of its own, which only it
// reads, once at its start. 360 daemons together make 1.2 appends per second.
const (
	SnapshotEvery = 5 * time.Minute
	MaxSnapshot   = 16 << 10
)

// maxUncompressed is the maximum uncompressed size of a snapshot.
const maxUncompressed = 8 << 20

// Stream returns the name of the log stream of a daemon's snapshots.
func Stream(daemon string) string { return "burn-" + daemon }

// snapshot is the body of a record.KindBurn.
type snapshot struct {
	Daemon  string `json:"daemon"`
	LeftOut int    `json:"left_out,omitempty"` // services left out because of MaxSnapshot
	Data    []byte `json:"data"`               // gzip of the JSON of []savedService
}

// savedService holds the half-hour counts of one service.
type savedService struct {
	Service string        `json:"s"`
	Buckets []savedBucket `json:"b"`
}

type savedBucket struct {
	Index  int64                 `json:"i"`
	Counts [objectiveCount]Count `json:"c"`
	Codes  []CodeCount           `json:"k"`
}

// Snapshot returns the half-hour counts of all services, for the body of a
// record.KindBurn in Stream. It doesn't contain the histograms, the one-minute
// counts and the organisations, so these are empty after a restart. If it
// exceeds MaxSnapshot, the services with the fewest requests are left out.
func (t *Tracker) Snapshot() ([]byte, error) {
	all := t.save()
	for keep := len(all); ; {
		data, err := encodeSnapshot(snapshot{Daemon: t.opts.Daemon, LeftOut: len(all) - keep}, all[:keep])
		if err != nil || len(data) <= MaxSnapshot || keep == 0 {
			return data, err
		}
		keep = min(keep-1, keep*MaxSnapshot/len(data))
	}
}

// save copies the half-hour counts, with the services that have the most
// requests first.
func (t *Tracker) save() []savedService {
	var all []savedService
	total := make(map[string]uint64)
	oldest := t.opts.Now().Add(-windowLengths[len(windowLengths)-1])
	for _, name := range t.names() {
		svc := t.service(name)
		svc.mu.Lock()
		s := savedService{Service: name, Buckets: svc.all.coarse.save(oldest)}
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

// Restore adds the counts of a snapshot from an earlier incarnation of the same
// daemon. It refuses the snapshot of another daemon: those counts are in that
// daemon's own report, and merging the reports would count them twice.
func (t *Tracker) Restore(data []byte) error {
	services, err := t.decodeSnapshot(data)
	if err != nil {
		return fmt.Errorf("restore burn: %w", err)
	}
	newest := t.opts.Now()
	for _, s := range services {
		svc := t.service(s.Service)
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
		// Buckets with a future time, from a clock that was ahead, would
		// block their place in the ring until that time, so they are skipped.
		if saved.Index <= 0 || saved.Index > last {
			continue
		}
		if b := r.at(saved.Index); b != nil {
			b.merge(bucket{counts: saved.Counts, codes: saved.Codes})
		}
	}
}

func encodeSnapshot(s snapshot, services []savedService) ([]byte, error) {
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

func (t *Tracker) decodeSnapshot(data []byte) ([]savedService, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	if s.Daemon != t.opts.Daemon {
		return nil, fmt.Errorf("snapshot of daemon %q, not of %q", s.Daemon, t.opts.Daemon)
	}
	z, err := gzip.NewReader(bytes.NewReader(s.Data))
	if err != nil {
		return nil, err
	}
	var services []savedService
	err = json.NewDecoder(io.LimitReader(z, maxUncompressed)).Decode(&services)
	return services, err
}
