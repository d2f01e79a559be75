package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// chunked ends a header and announces a body in chunks.
const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// Guards against a daemon that runs out of memory by bodies that are never ended.
func TestSiteUnendedBodies(t *testing.T) {
	const part = 64 << 10
	for name, tc := range map[string]func(s *site) crowd{
		"large chunks": func(s *site) crowd {
			return crowd{clients: 40, send: writesAgain(siteBodyBytes/part-1, append(s.head("POST", "/p/x"), chunked...), chunk(part, ""))}
		},
		"length": func(s *site) crowd {
			head := fmt.Appendf(s.head("POST", "/p/x"), "Content-Length: %d\r\n\r\n", siteBodyBytes)
			return crowd{clients: 60, send: writes(head, bytes.Repeat([]byte("x"), siteBodyBytes-1))}
		},
		"chunks of one byte": func(s *site) crowd {
			return crowd{clients: 30, send: writesAgain(siteBodyBytes/part-1, append(s.head("POST", "/p/x"), chunked...), bytes.Repeat(chunk(1, ""), part))}
		},
		"announced only": func(s *site) crowd {
			return crowd{clients: 600, send: writes(fmt.Appendf(s.head("POST", "/p/x"), "Content-Length: %d\r\n\r\nx", siteBodyBytes))}
		},
		"long chunk extensions": func(s *site) crowd {
			extension := ";" + string(bytes.Repeat([]byte("e"), 4000))
			return crowd{clients: 100, send: writesAgain(1000, append(s.head("POST", "/p/x"), chunked...), chunk(1, extension))}
		},
		"endless trailers": func(s *site) crowd {
			return crowd{clients: 100, send: writesAgain(1000, append(s.head("POST", "/p/x"), chunked+"1\r\nx\r\n0\r\n"...), bytes.Repeat([]byte("t: t\r\n"), 1000))}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.bear(tc(s), 1, portCallers)
		})
	}
}

// Guards against a fleet that runs out of memory by a crowd at all of its daemons.
func TestSiteUnendedBodiesAtAllDaemons(t *testing.T) {
	const part = 64 << 10
	s := newSite(t)
	send := writesAgain(siteBodyBytes/part-1, append(s.head("POST", "/p/x"), chunked...), chunk(part, ""))
	s.bear(crowd{clients: 80, send: send}, len(s.daemons), portCallers)
}

// Guards against a daemon that runs out of memory by bodies over the limit.
func TestSiteBodiesOverTheLimit(t *testing.T) {
	const size, part = 64 << 20, 64 << 10
	for name, tc := range map[string]func(s *site) crowd{
		"sent in chunks": func(s *site) crowd {
			return crowd{clients: 60, send: writesAgain(size/part, append(s.head("POST", "/p/x"), chunked...), chunk(part, ""))}
		},
		"announced and sent": func(s *site) crowd {
			head := fmt.Appendf(s.head("POST", "/p/x"), "Content-Length: %d\r\n\r\n", size)
			return crowd{clients: 60, send: writesAgain(size/part, head, bytes.Repeat([]byte("x"), part))}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.bear(tc(s), 1, portCallers)
		})
	}
}

// Guards against a daemon that runs out of memory by headers of many lines.
func TestSiteHeadersOfManyLines(t *testing.T) {
	for name, tc := range map[string]func(s *site) crowd{
		"distinct names, body not ended": func(s *site) crowd {
			head := s.head("POST", "/p/x")
			head = append(head, distinctLines(siteHeaderBytes-len(head)-len(chunked))...)
			return crowd{clients: 900, send: writes(append(head, chunked+"1\r\nx\r\n"...))}
		},
		"one name, body not ended": func(s *site) crowd {
			head := s.head("POST", "/p/x")
			head = append(head, equalLines(siteHeaderBytes-len(head)-len(chunked))...)
			return crowd{clients: 900, send: writes(append(head, chunked+"1\r\nx\r\n"...))}
		},
		"whole requests": func(s *site) crowd {
			head := s.head("GET", "/i/x")
			head = append(head, distinctLines(siteHeaderBytes-len(head)-2)...)
			return crowd{clients: 200, send: writesAgain(20, nil, append(head, "\r\n"...))}
		},
		"header not ended": func(s *site) crowd {
			return crowd{clients: 200, send: writes(s.head("POST", "/p/x"), distinctLines(60_000))}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.bear(tc(s), 1, portCallers)
		})
	}
}

// Guards against a daemon that runs out of memory by headers to a port that isn't the
// callers'.
func TestSiteHeadersAtEachPort(t *testing.T) {
	for name, port := range map[string]int{"ready": portReady, "addresses": portAddresses, "peers": portPeers, "operators": portOperators} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.bear(crowd{clients: 40, send: writes(s.head("GET", "/"), distinctLines(900_000))}, 1, port)
		})
	}
}

// Guards against a daemon that runs out of memory by bodies that come to its peers' port.
func TestSiteUnendedBodiesAtPeersPort(t *testing.T) {
	const part = 64 << 10
	s := newSite(t)
	head := append(s.head("POST", "/p/x"), "Pomelospool-Forwarded-By: vm-9\r\nPomelospool-Forward-Timeout-Ms: 5000\r\nPomelospool-Forward-Version: 1\r\nPomelospool-Forward-Runs: 0\r\n"+chunked...)
	s.bear(crowd{clients: 40, send: writesAgain(siteBodyBytes/part-1, head, chunk(part, ""))}, 1, portPeers)
}

// Guards against a daemon that runs out of memory by answers that nobody reads.
func TestSiteUnreadAnswers(t *testing.T) {
	for name, tc := range map[string]func(s *site) crowd{
		"plain": func(s *site) crowd {
			return crowd{clients: 200, deaf: true, send: writes(append(s.head("GET", standin.SlowSafePrefix+"x"), "\r\n"...))}
		},
		"stream": func(s *site) crowd {
			return crowd{clients: 80, deaf: true, send: writes(append(s.head("GET", standin.SlowStreamPrefix+"x"), "\r\n"...))}
		},
		"addresses": func(*site) crowd {
			request := []byte("GET /pomelospool/resolve?name=a.example HTTP/1.1\r\nHost: a.example\r\n\r\n")
			return crowd{clients: 100, deaf: true, send: writesUntilBlocked(4<<20, bytes.Repeat(request, 100))}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			port := portCallers
			if name == "addresses" {
				port = portAddresses
			}
			s.bear(tc(s), 1, port)
		})
	}
}

// Guards against a daemon that runs out of memory by answers for operators that nobody
// reads.
func TestSiteUnreadMetrics(t *testing.T) {
	for _, path := range []string{"/metrics", "/debug/vars"} {
		t.Run(path[1:], func(t *testing.T) {
			s := newSite(t)
			request := []byte("GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n")
			k := crowd{clients: 250, deaf: true, send: writesUntilBlocked(1<<20, bytes.Repeat(request, 100))}
			s.bear(k, 1, portOperators)
		})
	}
}

// Guards against a daemon that runs out of memory by bytes that it has received and
// doesn't read, since the connection's request still runs.
func TestSitePipelinedRequests(t *testing.T) {
	s := newSite(t)
	first := append(s.head("GET", standin.SlowSafePrefix+"x"), "\r\n"...)
	k := crowd{clients: 200, deaf: true, send: writesUntilBlocked(8<<20, bytes.Repeat(first, 64))}
	s.bear(k, 1, portCallers)
}

// Guards against a daemon that runs out of memory by requests at the limits that are
// whole, and that wait for their targets.
func TestSiteWholeRequestsThatWait(t *testing.T) {
	s := newSite(t)
	head := fmt.Appendf(s.head("POST", standin.SlowUnsafePrefix+"x"), "Content-Length: %d\r\n\r\n", siteBodyBytes)
	s.bear(crowd{clients: 80, send: writes(head, bytes.Repeat([]byte("x"), siteBodyBytes))}, 1, portCallers)
}

// Guards against a daemon that runs out of memory by bodies that it forwards, since it has
// lost its links to targets.
func TestSiteBodiesOfRoutesWithoutTargets(t *testing.T) {
	s := newSite(t)
	head := fmt.Appendf(s.head("POST", "/s/x"), "Content-Length: %d\r\n\r\n", siteBodyBytes)
	s.bear(crowd{clients: 80, send: writes(head, bytes.Repeat([]byte("x"), siteBodyBytes))}, 1, portCallers)
}

// Guards against a daemon that doesn't end in its grace time, or that runs out of memory,
// if a crowd is there when it is stopped.
func TestSiteStopsBesideACrowd(t *testing.T) {
	const part, grace = 64 << 10, 8 * time.Second
	s := newSite(t)
	k := crowd{clients: 80, send: writesAgain(siteBodyBytes/part-1, append(s.head("POST", "/p/x"), chunked...), chunk(part, ""))}
	leave := k.run(s.addrs(1, portCallers)...)
	defer leave()
	p := s.daemons[0]
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.exited:
	case <-time.After(grace):
		t.Error("the daemon hasn't ended")
	}
	if !p.cmd.ProcessState.Success() {
		t.Errorf("the daemon ended with %v", p.cmd.ProcessState)
	}
	p.checkUsage()
	eventually(t, "an ordinary request is answered by the other daemon", func() bool { return s.answers(1) })
	s.daemons[1].check()
}

// Guards against a daemon whose descriptors are used up by requests that are never ended.
func TestSiteManyConnections(t *testing.T) {
	s := newSite(t)
	send := writes(fmt.Appendf(s.head("POST", "/p/x"), "Content-Length: %d\r\n\r\nx", siteBodyBytes))
	s.bear(crowd{clients: 4500, send: send}, 1, portCallers)
}

// Guards against limits that turn away a request at the very limits of the
// configuration.
func TestSiteServesARequestAtTheLimits(t *testing.T) {
	for name, framed := range map[string]bool{"length": true, "chunks": false} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			id := "at-the-limits"
			h := standin.CallerHeaders(id, requestTimeout, "")
			standin.SetKey(h, siteKey)
			var b bytes.Buffer
			fmt.Fprintf(&b, "POST /p/x HTTP/1.1\r\nHost: %s\r\nUser-Agent: Go-http-client/1.1\r\nConnection: close\r\n%s", standin.Host, chunked)
			_ = h.Write(&b) // writing to a bytes.Buffer never fails
			for i, left := 0, siteHeaderBytes-b.Len(); left > 0; i++ {
				h[http.CanonicalHeaderKey(shortName(i))] = []string{""}
				left -= len(shortName(i)) + len(": \r\n")
				if left < len("qaaaa: \r\n") {
					break
				}
			}
			var body io.Reader = bytes.NewReader(make([]byte, siteBodyBytes))
			if !framed {
				body = io.MultiReader(body) // hides the length
			}
			status, answer, err := send(s.daemons[0].ip, "/p/x", h, body)
			if err != nil || status != http.StatusOK || answer != standin.Answer(id) {
				t.Errorf("status %d, answer %.80q, %v", status, answer, err)
			}
			s.daemons[0].check()
		})
	}
}
