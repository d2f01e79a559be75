// Package weights is the stand-in for the weight store: model sizes and one
// rate that all loaders share.
package weights

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
)

// share is how often a loader takes its share of the rate.
const share = 10 * time.Millisecond

var errOutage = errors.New("outage")

// Options are the settings of a Store.
type Options struct {
	Rate    float64          // bytes a second to all loaders together
	Size    int64            // bytes of a model version not in Sizes
	Sizes   map[string]int64 // by "model/version"
	Latency time.Duration
}

// Store is the weight store. It is safe for concurrent use.
type Store struct {
	standin.Host
	opts Options

	mu      sync.Mutex
	rate    float64
	loaders int
	down    bool
	loads   int
}

// Record is what the store saw.
type Record struct {
	Loads   int `json:"loads"`   // that came to their end
	Loading int `json:"loading"` // under way
}

// Record returns what the store saw so far.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{Loads: s.loads, Loading: s.loaders}
}

// New returns a store.
func New(o Options) *Store { return &Store{opts: o, rate: o.Rate} }

// Run serves the store over HTTP on addr.
func (s *Store) Run(addr string) error { return s.Start(s.Handler(), addr) }

// Close ends the server.
func (s *Store) Close() error { return s.Stop() }

// SetRate sets the bytes a second.
func (s *Store) SetRate(bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = bytes
}

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Size returns the bytes of a model version.
func (s *Store) Size(_ context.Context, model, version string) (int64, error) {
	if _, err := s.state(); err != nil {
		return 0, err
	}
	if n, ok := s.opts.Sizes[model+"/"+version]; ok {
		return n, nil
	}
	return s.opts.Size, nil
}

// Rate returns the bytes a second.
func (s *Store) Rate(context.Context) (float64, error) { return s.state() }

// Load returns once the weights have come at this loader's share of the rate.
func (s *Store) Load(ctx context.Context, model, version string) error {
	size, err := s.Size(ctx, model, version)
	if err != nil {
		return err
	}
	s.count(1)
	defer s.count(-1)
	ticker := time.NewTicker(share)
	defer ticker.Stop()
	for left := float64(size); left > 0; {
		select {
		case <-ticker.C:
			left -= s.part()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.loaded()
	return nil
}

func (s *Store) loaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
}

func (s *Store) state() (float64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, fmt.Errorf("weights: %w: %w", port.ErrUnavailable, errOutage)
	}
	return s.rate, nil
}

func (s *Store) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaders += n
}

// part returns the bytes for one loader in one share; a store without a rate
// gives all at once.
func (s *Store) part() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0
	}
	if s.rate <= 0 {
		return float64(1 << 62)
	}
	return s.rate * share.Seconds() / float64(s.loaders)
}

// Apply switches a fault: "rate" (value), "refuse", "up".
func (s *Store) Apply(_ context.Context, f standin.Fault) error {
	switch f.Kind {
	case "rate":
		s.SetRate(f.Value)
	case "refuse":
		s.SetDown(true)
	case "up":
		s.SetDown(false)
	default:
		return fmt.Errorf("%w: %q", standin.ErrUnknownFault, f.Kind)
	}
	return nil
}

// SizeAnswer is the answer to GET /models/{model}/{version}.
type SizeAnswer struct {
	Size int64 `json:"size"`
}

// RateAnswer is the answer to GET /rate.
type RateAnswer struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Handler serves the store. GET /models/{model}/{version}/weights answers
// once the weights have come.
func (s *Store) Handler() http.Handler {
	r := bunrouter.New()
	r.GET("/rate", func(w http.ResponseWriter, req bunrouter.Request) error {
		rate, err := s.Rate(req.Context())
		return answer(w, RateAnswer{rate}, err)
	})
	r.GET("/models/:model/:version", func(w http.ResponseWriter, req bunrouter.Request) error {
		size, err := s.Size(req.Context(), req.Param("model"), req.Param("version"))
		return answer(w, SizeAnswer{size}, err)
	})
	r.GET("/models/:model/:version/weights", func(w http.ResponseWriter, req bunrouter.Request) error {
		err := s.Load(req.Context(), req.Param("model"), req.Param("version"))
		return answer(w, struct{}{}, err)
	})
	r.POST("/_standin/fault", bunrouter.HTTPHandlerFunc(standin.FaultHandler(s.Apply)))
	r.GET("/_standin/record", func(w http.ResponseWriter, _ bunrouter.Request) error {
		standin.JSON(w, http.StatusOK, s.Record())
		return nil
	})
	return r
}

func answer(w http.ResponseWriter, v any, err error) error {
	if err != nil {
		standin.Error(w, http.StatusServiceUnavailable, err.Error())
		return nil
	}
	standin.JSON(w, http.StatusOK, v)
	return nil
}

// Fetch loads a model version from the store at base and drops the bytes.
func Fetch(ctx context.Context, base, model, version string) error {
	u := base + "/models/" + url.PathEscape(model) + "/" + url.PathEscape(version) + "/weights"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weights: status %d", resp.StatusCode)
	}
	return nil
}
