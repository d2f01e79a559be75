package drain

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// newHTTP2 returns a client that speaks HTTP/2 with a tracked server, the server's
// Tracker and its listener.
func newHTTP2(t *testing.T, handler http.HandlerFunc) (*http.Client, *Tracker, net.Listener) {
	t.Helper()
	keys := httptest.NewTLSServer(nil) // for its certificate
	t.Cleanup(keys.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, TLSConfig: &tls.Config{Certificates: keys.TLS.Certificates}}
	tracker := Track(server, Options{})
	go func() { _ = tracker.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	roots := x509.NewCertPool()
	roots.AddCert(keys.Certificate())
	transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "example.com"}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}, tracker, l
}

// Guards against requests of HTTP/2 that a planned stop reads and doesn't answer, and
// against a stop that cuts open ones.
func TestPlannedStopAnswersHTTP2(t *testing.T) {
	var runs, answers atomic.Int64
	begun, release := make(chan struct{}), make(chan struct{})
	client, tracker, l := newHTTP2(t, func(w http.ResponseWriter, req *http.Request) {
		if req.ProtoMajor != 2 {
			t.Errorf("protocol %s", req.Proto)
		}
		if req.URL.Path == "/slow" {
			close(begun)
			<-release
		} else {
			runs.Add(1)
		}
		_, _ = io.WriteString(w, "whole")
	})
	get := func(path string) error {
		resp, err := client.Get("https://" + l.Addr().String() + path)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	}
	slow, stopped := make(chan error, 1), make(chan error, 1)
	go func() { slow <- get("/slow") }()
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	const callers = 8
	ended := make(chan error, callers)
	for range callers {
		go func() {
			for {
				if err := get("/"); err != nil {
					ended <- err
					return
				}
				answers.Add(1)
			}
		}()
	}
	go func() { stopped <- tracker.Shutdown(ctx, l) }()
	for range callers {
		<-ended // the listener is closed, and the connection takes no more requests
	}
	close(release)
	if err := <-slow; err != nil {
		t.Errorf("the open request: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop: %v", err)
	}
	if runs.Load() != answers.Load() {
		t.Errorf("%d requests ran, %d were answered", runs.Load(), answers.Load())
	}
}
