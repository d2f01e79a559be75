package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/platform"
)

// log returns the log service named by --log.
func (a *app) log() (platform.Log, error) {
	if a.Log == "" {
		return nil, usageError("name the log service by --log or POMELOS_LOG")
	}
	return &thinLog{base: strings.TrimSuffix(a.Log, "/")}, nil
}

// thinLog stands in until package platform/httpapi is there.
type thinLog struct{ base string }

const (
	logTimeout = 2 * time.Second
	maxLogPage = 64 << 20
)

type logPage struct {
	Records  []platform.Record `json:"records"`
	Offset   int64             `json:"offset"`
	Newest   int64             `json:"newest"`
	Earliest int64             `json:"earliest"`
}

func (l *thinLog) call(ctx context.Context, method, path string, data []byte, timeout time.Duration) (logPage, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var p logPage
	req, err := http.NewRequestWithContext(ctx, method, l.base+path, bytes.NewReader(data))
	if err != nil {
		return p, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return p, fmt.Errorf("log: %w: %w", platform.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLogPage))
	if err != nil {
		return p, fmt.Errorf("log: %w: %w", platform.ErrUnavailable, err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return p, fmt.Errorf("log: %w: %s", platform.ErrUnavailable, resp.Status)
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return p, fmt.Errorf("log: %w: %w", platform.ErrUnavailable, err)
	}
	if resp.StatusCode == http.StatusGone {
		return p, fmt.Errorf("log: %w", platform.ErrExpired)
	}
	return p, nil
}

func (l *thinLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	p, err := l.call(ctx, http.MethodPost, "/streams/"+stream+"/records", data, logTimeout)
	return p.Offset, err
}

func (l *thinLog) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]platform.Record, int64, error) {
	path := fmt.Sprintf("/streams/%s/records?from=%d&max=%d&wait_ms=%d", stream, from, max, wait.Milliseconds())
	p, err := l.call(ctx, http.MethodGet, path, nil, logTimeout+wait)
	return p.Records, p.Newest, err
}

func (l *thinLog) Earliest(ctx context.Context, stream string) (int64, error) {
	p, err := l.call(ctx, http.MethodGet, "/streams/"+stream+"/records?from=0&max=0", nil, logTimeout)
	if p.Earliest > 0 {
		return p.Earliest, nil
	}
	return 1, err
}
