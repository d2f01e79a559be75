package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Log is the adapter to the log service. Appends and reads use separate
// connections, so that long polls never block an append.
type Log struct {
	appends *client
	reads   *client
}

var _ port.Log = (*Log)(nil)

// NewLog returns an adapter to the log service at baseURL.
func NewLog(baseURL string, o Options) *Log {
	return &Log{appends: newClient("log", baseURL, o), reads: newClient("log", baseURL, o)}
}

// Close closes the connections.
func (l *Log) Close() error {
	l.appends.close()
	l.reads.close()
	return nil
}

// Append adds data to a stream. It never retries.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	a, err := l.appends.call(ctx, http.MethodPost, streamPath(stream), data, 0)
	if err != nil {
		return 0, err
	}
	var appended struct {
		Offset int64 `json:"offset"`
	}
	if err := l.appends.decode(a, &appended); err != nil {
		return 0, err
	}
	return appended.Offset, nil
}

// page is the answer to a read.
type page struct {
	Records  []port.Record `json:"records"`
	Newest   int64         `json:"newest"`
	Earliest int64         `json:"earliest"`
}

// Read returns records from an offset on.
func (l *Log) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]port.Record, int64, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("max", strconv.Itoa(max))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var p page
	err := l.read(ctx, stream, q, wait, &p)
	return p.Records, p.Newest, err
}

// Earliest returns the lowest offset that is still kept.
func (l *Log) Earliest(ctx context.Context, stream string) (int64, error) {
	var p page
	err := l.read(ctx, stream, url.Values{"max": {"0"}}, 0, &p)
	return p.Earliest, err
}

func (l *Log) read(ctx context.Context, stream string, q url.Values, wait time.Duration, p *page) error {
	a, err := l.reads.call(ctx, http.MethodGet, streamPath(stream)+"?"+q.Encode(), nil, wait)
	if err != nil {
		return err
	}
	if a.status == http.StatusGone {
		return fmt.Errorf("log: stream %s from %s: %w", stream, q.Get("from"), port.ErrExpired)
	}
	return l.reads.decode(a, p)
}

func streamPath(stream string) string {
	return "/streams/" + url.PathEscape(stream) + "/records"
}
