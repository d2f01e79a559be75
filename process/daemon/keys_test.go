package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/process/settings"
)

// authority is a CA of tests.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{t: t, key: newKey(t)}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	if err == nil {
		a.cert, err = x509.ParseCertificate(der)
	}
	if err != nil {
		t.Fatal(err)
	}
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// issue makes a certificate for the daemons' IP numbers.
func (a *authority) issue(serial int64) (cert, key []byte) {
	k := newKey(a.t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.ParseIP(hostOf(0)), net.ParseIP(hostOf(1))},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	kder, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: kder})
}

// keyFiles are the files that the settings name.
type keyFiles struct {
	settings.TLS
	t      *testing.T
	writes int
}

func newKeyFiles(t *testing.T, a *authority) *keyFiles {
	dir := t.TempDir()
	f := &keyFiles{t: t, TLS: settings.TLS{
		Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"),
		CA: filepath.Join(dir, "ca"), OperatorToken: filepath.Join(dir, "token"),
	}}
	cert, key := a.issue(100)
	f.write(f.Key, key)
	f.write(f.Cert, cert)
	f.write(f.CA, a.pem)
	f.write(f.OperatorToken, []byte("secret\n"))
	return f
}

// write gives every file a later time than the one before, however coarse the
// file system's clock is.
func (f *keyFiles) write(file string, data []byte) {
	f.t.Helper()
	f.writes++
	at := time.Now().Add(time.Duration(f.writes) * time.Second)
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Chtimes(file, at, at); err != nil {
		f.t.Fatal(err)
	}
}

// client trusts the authority and shows the certificate, if there is one.
func client(a *authority, cert, key []byte) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	conf := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if pair, err := tls.X509KeyPair(cert, key); err == nil {
		conf.Certificates = []tls.Certificate{pair}
	}
	return conf
}

// Someone on the network, without the fleet's certificate, calls itself a
// daemon to spread false word of who is dead. Every daemon refuses to talk.
func TestStrangersAreRefused(t *testing.T) {
	ours, theirs := newAuthority(t, "fleet"), newAuthority(t, "stranger")
	f := newFleet(t, 2, newKeyFiles(t, ours).TLS)
	eventually(t, "the daemons hear each other over TLS", func() bool {
		live, _ := f.daemons[0].members.View().Reachable()
		return live == 1
	})
	addr := f.daemons[0].Listen().Peers
	ownCert, ownKey := ours.issue(7)
	strangeCert, strangeKey := theirs.issue(7)
	for _, c := range []struct {
		name string
		conf *tls.Config
		ok   bool
	}{
		{"a daemon of the fleet", client(ours, ownCert, ownKey), true},
		{"no certificate", client(ours, nil, nil), false},
		{"a certificate of another CA", client(ours, strangeCert, strangeKey), false},
	} {
		d := peer.NewDialer(peer.DialerOptions{Creds: credentials.NewTLS(c.conf)})
		p, err := d.Client(addr)
		if err == nil {
			_, err = p.Burn(t.Context(), &peerpb.BurnRequest{})
		}
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
		d.Close()
	}
	// The other way round: a stranger listens where a daemon was.
	k, err := loadKeys(newKeyFiles(t, theirs).TLS)
	if err != nil {
		t.Fatal(err)
	}
	strange := peer.NewServer(peer.Handlers{}, k.peerServer())
	l, err := net.Listen("tcp", hostOf(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = strange.Serve(l) }()
	defer strange.Stop()
	own := f.daemons[0].dialer
	if _, err := own.Heartbeat(t.Context(), l.Addr().String(), &peerpb.HeartbeatRequest{}); err == nil || !strings.Contains(err.Error(), "6002 NOT_AUTHORIZED") {
		t.Errorf("a heartbeat to a stranger: %v", err)
	}
}

// The operators' port is open to probes, and to nobody else without the token.
// A new token counts at once.
func TestOperatorsPortNeedsTheToken(t *testing.T) {
	ours := newAuthority(t, "fleet")
	files := newKeyFiles(t, ours)
	f := newFleet(t, 1, files.TLS)
	c := &http.Client{Transport: &http.Transport{TLSClientConfig: client(ours, nil, nil)}}
	defer c.CloseIdleConnections()
	base := "https://" + f.daemons[0].Listen().Operators
	ask := func(path, token string, want int) {
		t.Helper()
		status, body := get(t, c, base+path, "Authorization", "Bearer "+token)
		refused := strings.HasPrefix(body, "6002 NOT_AUTHORIZED")
		if status != want || refused != (want == code.NotAuthorized.Info().Status) {
			t.Errorf("%s with token %q: %d %.80s", path, token, status, body)
		}
	}
	ask("/healthz", "", http.StatusOK)
	for _, path := range []string{"/status", "/burn", "/debug/vars"} {
		ask(path, "", http.StatusForbidden)
		ask(path, "secret2", http.StatusForbidden)
		ask(path, "secret", http.StatusOK)
	}
	files.write(files.OperatorToken, []byte("secret2\n"))
	ask("/status", "secret", http.StatusForbidden)
	ask("/status", "secret2", http.StatusOK)
	files.write(files.OperatorToken, nil)
	ask("/status", "", http.StatusForbidden)
}

// Certificates are replaced while daemons run. Between the two files' writes
// certificate and key don't match; the old pair stays in use until they do.
func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	ours := newAuthority(t, "fleet")
	files := newKeyFiles(t, ours)
	f := newFleet(t, 2, files.TLS)
	serial := func(addr string) int64 {
		t.Helper()
		cert, key := ours.issue(9)
		conn, err := (&tls.Dialer{Config: client(ours, cert, key)}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	listen := f.daemons[0].Listen()
	expect := func(when string, want int64) {
		t.Helper()
		for _, addr := range []string{listen.Callers, listen.Peers, listen.Operators} {
			if got := serial(addr); got != want {
				t.Errorf("%s: %s shows certificate %d, want %d", when, addr, got, want)
			}
		}
	}
	expect("at the start", 100)
	cert, key := ours.issue(101)
	files.write(files.Cert, cert)
	expect("half written", 100)
	files.write(files.Key, key)
	expect("replaced", 101)

	// The CA goes too: daemons under the new one are heard, the old are not.
	next := newAuthority(t, "next")
	cert, key = next.issue(102)
	files.write(files.Key, key)
	files.write(files.Cert, cert)
	files.write(files.CA, next.pem)
	d := peer.NewDialer(peer.DialerOptions{Creds: credentials.NewTLS(client(next, cert, key))})
	defer d.Close()
	p, err := d.Client(listen.Peers)
	if err == nil {
		_, err = p.Burn(context.Background(), &peerpb.BurnRequest{})
	}
	if err != nil {
		t.Errorf("a peer under the new CA: %v", err)
	}
	oldCert, oldKey := ours.issue(9)
	conf := client(next, oldCert, oldKey)
	old := peer.NewDialer(peer.DialerOptions{Creds: credentials.NewTLS(conf)})
	defer old.Close()
	if p, err = old.Client(listen.Peers); err == nil {
		_, err = p.Burn(context.Background(), &peerpb.BurnRequest{})
	}
	if err == nil {
		t.Error("a peer under the old CA is still heard")
	}
}
