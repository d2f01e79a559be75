package status

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomelospool/pomelospool/code"
)

const (
	maxResponseBytes   = 16 << 20
	maxConcurrentCalls = 32
	idleConnTimeout    = 10 * time.Second
)

// Client queries daemons on their operators' ports.
type Client struct {
	http   *http.Client
	scheme string
	token  string
}

// NewClient returns a client. A nil conf means plain TCP. The token is sent as
// a bearer token unless it is empty.
func NewClient(conf *tls.Config, token string) *Client {
	c := &Client{scheme: "http", token: token}
	c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: conf, IdleConnTimeout: idleConnTimeout}}
	if conf != nil {
		c.scheme = "https"
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get decodes the JSON at the given path of the daemon at addr. Its error has
// code.DaemonUnreachable or code.NotAuthorized.
func (c *Client) Get(ctx context.Context, addr, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+addr+path, nil)
	if err != nil {
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	case resp.StatusCode == http.StatusForbidden || resp.StatusCode == http.StatusUnauthorized:
		return code.New(code.NotAuthorized, "%s", addr)
	case resp.StatusCode != http.StatusOK:
		return code.New(code.DaemonUnreachable, "%s answered %s", addr, resp.Status)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	}
	return nil
}

// Fetch queries all daemons concurrently, each with the timeout. A daemon that
// doesn't answer is included with its error.
func (c *Client) Fetch(ctx context.Context, addrs []string, timeout time.Duration) Fleet {
	answers := make([]Answer, len(addrs))
	c.ForEach(ctx, addrs, timeout, func(ctx context.Context, i int) {
		s := new(Status)
		answers[i].Addr = addrs[i]
		if err := c.Get(ctx, addrs[i], Path, s); err != nil {
			answers[i].Code = code.Of(err)
			answers[i].Error = err.Error()
			return
		}
		answers[i].Status = s
	})
	return NewFleet(answers)
}

// ForEach runs call for every address, up to maxConcurrentCalls at once, and waits
// for all.
func (c *Client) ForEach(ctx context.Context, addrs []string, timeout time.Duration, call func(ctx context.Context, i int)) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i := range addrs {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			call(ctx, i)
			return nil
		})
	}
	_ = g.Wait() // no call returns an error
}
