package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkKeptConnection measures a request on a kept connection, with and without a
// Tracker.
func BenchmarkKeptConnection(b *testing.B) {
	for name, tracked := range map[string]bool{"plain": false, "tracked": true} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
			defer server.Close()
			if tracked {
				t := Track(server, Options{MaxConns: 1 << 10})
				go func() { _ = t.Serve(l) }()
			} else {
				go func() { _ = server.Serve(l) }()
			}
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, fastRequest); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
