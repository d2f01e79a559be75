package crowd

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Guards against a daemon of the own protocol that runs out of memory by callers.
func TestFleetCallers(t *testing.T) {
	const part = 64 << 10
	for name, tc := range map[string]func(f *fleet) crowd{
		"bodies in large chunks, not ended": func(f *fleet) crowd {
			return crowd{clients: 150, send: writesAgain(fleetBodyBytes/part-1, append(f.head("POST"), chunked...), chunk(part, ""))}
		},
		"bodies with a length, last byte missing": func(f *fleet) crowd {
			head := fmt.Appendf(f.head("POST"), "Content-Length: %d\r\n\r\n", fleetBodyBytes)
			return crowd{clients: 250, send: writes(head, bytes.Repeat([]byte("x"), fleetBodyBytes-1))}
		},
		"header of many lines, body not ended": func(f *fleet) crowd {
			head := f.head("POST")
			head = append(head, distinctLines(fleetHeaderBytes-1024-len(head))...)
			return crowd{clients: 400, send: writes(append(head, chunked+"1\r\nx\r\n"...))}
		},
		"header of many lines, not ended": func(f *fleet) crowd {
			return crowd{clients: 200, send: writes(f.head("POST"), distinctLines(120_000))}
		},
		"many connections": func(f *fleet) crowd {
			return crowd{clients: 4500, send: writes(fmt.Appendf(f.head("POST"), "Content-Length: %d\r\n\r\nx", fleetBodyBytes))}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, false)
			f.bear(tc(f), portCallers)
		})
	}
}

// Guards against a daemon of the own protocol that runs out of memory by headers to a
// port that isn't the callers'.
func TestFleetHeadersAtOperatorsPort(t *testing.T) {
	f := newFleet(t, false)
	f.bear(crowd{clients: 40, send: writes(f.head("GET"), distinctLines(900_000))}, portOperators)
}

// Guards against a daemon that runs out of memory by calls to its peers' port that are
// never ended.
func TestFleetCallsToPeersPort(t *testing.T) {
	const streams, message = 16, 900 << 10
	f := newFleet(t, false)
	send := func(c net.Conn) error {
		h := newHTTP2(c)
		path := "/pomelospool.peer.Peer/Forward"
		for i := range streams {
			fields := []string{":method", "POST", ":scheme", "http", ":path", path, ":authority", "peer", "content-type", "application/grpc", "te", "trailers"}
			if err := h.open(i, fields...); err != nil {
				return err
			}
			prefix := []byte{0, 0, 0x0f, 0xff, 0xff} // uncompressed, just under 1 MiB
			if err := h.data(i, append(prefix, make([]byte, 16<<10-len(prefix))...)); err != nil {
				return err
			}
		}
		for sent := 16 << 10; sent < message; sent += 16 << 10 {
			for i := range streams {
				if err := h.data(i, make([]byte, 16<<10)); err != nil {
					return err
				}
			}
		}
		return nil
	}
	f.bear(crowd{clients: 30, send: send}, portPeers)
}

// Guards against a daemon that runs out of memory by connections with many streams.
func TestFleetStreamsOfHTTP2(t *testing.T) {
	const streams = 100
	for name, tc := range map[string]struct {
		clients int
		send    func(h *http2Client, stream int) error
	}{
		"bodies not ended": {30, func(h *http2Client, i int) error {
			if err := h.open(i, ":method", "POST", ":scheme", "https", ":path", "/s/feed/x", ":authority", "feed"); err != nil {
				return err
			}
			return h.data(i, make([]byte, 16<<10))
		}},
		"headers of many fields, bodies not ended": {16, func(h *http2Client, i int) error {
			fields := []string{":method", "POST", ":scheme", "https", ":path", "/s/feed/x", ":authority", "feed"}
			for n := range 750 {
				fields = append(fields, shortName(n), "")
			}
			return h.open(i, fields...)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, true)
			send := func(c net.Conn) error {
				secure := tls.Client(c, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
				h := newHTTP2(secure)
				for i := range streams {
					if err := tc.send(h, i); err != nil {
						return err
					}
				}
				return nil
			}
			// The TLS client reads, since it has to for the handshake.
			f.bear(crowd{clients: tc.clients, deaf: true, send: send}, portCallers)
		})
	}
}

// Guards against a daemon whose memory is used up by handshakes that aren't ended.
func TestFleetHandshakes(t *testing.T) {
	f := newFleet(t, true)
	record := append([]byte{22, 3, 1, 0x3f, 0xff}, make([]byte, 16<<10-2)...) // a handshake record, its last byte is missing
	f.bear(crowd{clients: 3900, send: writes(record)}, portCallers)
}

// Guards against limits that turn away a request at the very limits of the settings.
func TestFleetServesARequestAtTheLimits(t *testing.T) {
	f := newFleet(t, false)
	h := http.Header{}
	for i, n := 0, 0; n < fleetHeaderBytes-1024; i++ {
		h[http.CanonicalHeaderKey(shortName(i))] = []string{""}
		n += len(shortName(i)) + len(": \r\n")
	}
	if status := f.post(0, strings.NewReader(strings.Repeat("x", fleetBodyBytes)), h); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	f.daemons[0].check()
}

// http2Client writes frames of HTTP/2. It doesn't heed windows.
type http2Client struct {
	framer  *http2.Framer
	block   bytes.Buffer
	encoder *hpack.Encoder
	err     error
}

func newHTTP2(c net.Conn) *http2Client {
	h := &http2Client{framer: http2.NewFramer(c, c)}
	h.encoder = hpack.NewEncoder(&h.block)
	_, h.err = c.Write([]byte(http2.ClientPreface))
	if h.err == nil {
		h.err = h.framer.WriteSettings()
	}
	return h
}

// open opens a stream with the header fields, given as names and values.
func (h *http2Client) open(stream int, fields ...string) error {
	if h.err != nil {
		return h.err
	}
	h.block.Reset()
	for i := 0; i+1 < len(fields); i += 2 {
		if err := h.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]}); err != nil {
			return err
		}
	}
	const maxFrame = 16 << 10
	rest := h.block.Bytes()
	first := rest[:min(len(rest), maxFrame)]
	rest = rest[len(first):]
	err := h.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID(stream), BlockFragment: first, EndHeaders: len(rest) == 0})
	for err == nil && len(rest) > 0 {
		part := rest[:min(len(rest), maxFrame)]
		rest = rest[len(part):]
		err = h.framer.WriteContinuation(streamID(stream), len(rest) == 0, part)
	}
	return err
}

func (h *http2Client) data(stream int, p []byte) error {
	if h.err != nil {
		return h.err
	}
	return h.framer.WriteData(streamID(stream), false, p)
}

func streamID(i int) uint32 { return uint32(2*i + 1) }
