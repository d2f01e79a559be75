// Package weights is the stand-in for the weight store. It knows the sizes of
// model versions, and all loaders share its transfer rate.
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

// loadTick is the interval at which a loader receives its share of the rate.
const loadTick = 10 * time.Millisecond

var errOutage = errors.New("outage")

// Options are the settings of a Store.
type Options struct {
	Rate    float64          // bytes per second, shared by all loaders; 0 is without limit
	Size    int64            // bytes of a model version that isn't in Sizes
	Sizes   map[string]int64 // bytes by "model/version"
	Latency time.Duration
}

// Store is the stand-in weight store. It is safe for concurrent use.
type Store struct {
	standin.Host
	opts Options

	mu      sync.Mutex
	rate    float64
	loaders int
	down    bool
	loads   int
}

// Record counts the loads from the store.
type Record struct {
	Loads   int `json:"loads"`   // completed loads
	Loading int `json:"loading"` // loads in progress
}

// Record returns the current record.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{Loads: s.loads, Loading: s.loaders}
}

// New returns a store with the given options.
func New(o Options) *Store { return &Store{opts: o, rate: o.Rate} }

// Run serves the store over HTTP on addr.
func (s *Store) Run(addr string) error { return s.Start(s.Handler(), addr) }

// Close stops the server.
func (s *Store) Close() error { return s.Stop() }

// SetRate sets the rate in bytes per second.
func (s *Store) SetRate(bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = bytes
}

// SetDown starts or ends an outage. Loads in progress pause during an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Size returns the size of a model version in bytes.
func (s *Store) Size(_ context.Context, model, version string) (int64, error) {
	if _, err := s.currentRate(); err != nil {
		return 0, err
	}
	if n, ok := s.opts.Sizes[model+"/"+version]; ok {
		return n, nil
	}
	return s.opts.Size, nil
}

// Rate returns the rate in bytes per second.
func (s *Store) Rate(context.Context) (float64, error) { return s.currentRate() }

// Load returns after the time that the weights take to load at this loader's
// share of the rate.
func (s *Store) Load(ctx context.Context, model, version string) error {
	size, err := s.Size(ctx, model, version)
	if err != nil {
		return err
	}
	s.addLoaders(1)
	defer s.addLoaders(-1)
	ticker := time.NewTicker(loadTick)
	defer ticker.Stop()
	for remaining := float64(size); remaining > 0; {
		select {
		case <-ticker.C:
			remaining -= s.bytesPerTick()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.countLoad()
	return nil
}

func (s *Store) countLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
}

// currentRate returns the rate, or an error during an outage.
func (s *Store) currentRate() (float64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, fmt.Errorf("weights: %w: %w", port.ErrUnavailable, errOutage)
	}
	return s.rate, nil
}

func (s *Store) addLoaders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaders += n
}

// bytesPerTick returns the bytes that one loader receives in one tick. A store
// without a rate delivers all of them at once.
func (s *Store) bytesPerTick() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0
	}
	if s.rate <= 0 {
		return float64(1 << 62)
	}
	return s.rate * loadTick.Seconds() / float64(s.loaders)
}

// Apply sets a fault by its kind: "rate" (value) sets the rate, "refuse" starts an
// outage and "up" ends it.
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

// Handler serves the store. GET /models/{model}/{version}/weights answers once
// the weights are loaded.
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

// Fetch loads a model version from the store at the URL base and discards the
// bytes.
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
