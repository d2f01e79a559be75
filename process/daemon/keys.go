package daemon

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/settings"
)

// keys holds the daemon's certificate, the CA of its peers and the operators'
// token. Files are read again when they change, so that keys can be replaced
// without a restart. Empty settings mean plain TCP and no token.
type keys struct {
	files settings.TLS

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time // modification time of the certificate that was read
}

func loadKeys(files settings.TLS) (*keys, error) {
	k := &keys{files: files}
	if files.Cert == "" {
		return k, nil
	}
	if _, err := k.certificate(); err != nil {
		return nil, err
	}
	if files.CA != "" {
		if _, err := k.caPool(); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// certificate returns the newest certificate. While only one file of a new pair
// is written, it returns the old one.
func (k *keys) certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.files.Cert)
	if err == nil && k.cert != nil && info.ModTime().Equal(k.changed) {
		return k.cert, nil
	}
	if err == nil {
		var cert tls.Certificate
		cert, err = tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
		if err == nil {
			k.cert, k.changed = &cert, info.ModTime()
			return k.cert, nil
		}
	}
	if k.cert != nil {
		return k.cert, nil
	}
	return nil, fmt.Errorf("daemon: certificate: %w", err)
}

func (k *keys) caPool() (*x509.CertPool, error) {
	data, err := os.ReadFile(k.files.CA)
	if err != nil {
		return nil, fmt.Errorf("daemon: CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("daemon: CA: no certificate in %s", k.files.CA)
	}
	return pool, nil
}

// serverTLS returns the TLS configuration of the callers' and operators' ports,
// nil for plain TCP.
func (k *keys) serverTLS() *tls.Config {
	if k.files.Cert == "" {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.certificate() },
	}
}

// peerServer requires from each peer a certificate of the fleet's CA. Anyone
// else could pose as a daemon or report daemons as dead.
func (k *keys) peerServer() credentials.TransportCredentials {
	if k.files.Cert == "" || k.files.CA == "" {
		return nil
	}
	conf := k.serverTLS()
	conf.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pool, err := k.caPool()
		if err != nil {
			return nil, err
		}
		c := k.serverTLS()
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = pool
		c.NextProtos = []string{"h2"}
		return c, nil
	}
	return credentials.NewTLS(conf)
}

// peerClient presents this daemon's certificate and verifies the peer's against
// the fleet's CA. Peers are dialled by IP address, so their certificates must
// contain it.
func (k *keys) peerClient() credentials.TransportCredentials {
	if k.files.Cert == "" || k.files.CA == "" {
		return nil
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.certificate() },
		// The default verification uses the CA as loaded at the start. verifyPeer
		// loads it again for each connection, so that the CA can be replaced too.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyPeer,
	})
}

func (k *keys) verifyPeer(cs tls.ConnectionState) error {
	pool, err := k.caPool()
	if err != nil {
		return err
	}
	if len(cs.PeerCertificates) == 0 {
		return code.New(code.NotAuthorized, "the peer shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       cs.ServerName,
		Roots:         pool,
		Intermediates: intermediates,
	})
	if err != nil {
		return code.Wrap(code.NotAuthorized, err, "peer %s", cs.ServerName)
	}
	return nil
}

// publicPaths are the paths of the operators' port that need no token, because
// the platform's probes have none.
var publicPaths = map[string]bool{"/healthz": true, "/readyz": true}

// guardOperators rejects calls without the operators' token, if one is
// configured.
func (k *keys) guardOperators(next http.Handler) http.Handler {
	if k.files.OperatorToken == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if publicPaths[r.URL.Path] || k.authorized(r) {
			next.ServeHTTP(w, r)
			return
		}
		err := code.New(code.NotAuthorized, "the operators' port needs the token")
		http.Error(w, err.Error(), code.NotAuthorized.Info().Status)
	})
}

func (k *keys) authorized(r *http.Request) bool {
	want, err := os.ReadFile(k.files.OperatorToken)
	if err != nil {
		return false
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	trimmed := strings.TrimSpace(string(want))
	return ok && trimmed != "" && subtle.ConstantTimeCompare([]byte(token), []byte(trimmed)) == 1
}
