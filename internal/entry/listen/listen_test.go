package listen

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// writeCertificate writes a self-signed certificate with the given serial number
// and its key to the files.
func writeCertificate(t *testing.T, serial int64, certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NoError(t, err)
	secret, err := x509.MarshalECPrivateKey(private)
	assert.NoError(t, err)
	assert.NoError(t, os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: signed}), 0o600))
	assert.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}), 0o600))
	// File systems with coarse timestamps would give two certificates of a test
	// the same modification time.
	modTime := time.Unix(1_000_000+serial, 0)
	assert.NoError(t, os.Chtimes(certificate, modTime, modTime))
	assert.NoError(t, os.Chtimes(key, modTime, modTime))
}

func startServer(t *testing.T, g *Server) (stop func() error) {
	g.ListenAddress, g.Logger = netip.MustParseAddrPort("127.0.0.1:0"), hclog.NewNullLogger()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	assert.Eventually(t, time.Second, "listening", func() bool { return g.Address().IsValid() })
	return func() error {
		cancel()
		return <-ended
	}
}

func TestTLS(t *testing.T) {
	dir := t.TempDir()
	certificate, key := filepath.Join(dir, "c"), filepath.Join(dir, "k")
	writeCertificate(t, 1, certificate, key)
	g := &Server{CertificateFile: certificate, KeyFile: key, Handler: http.NotFoundHandler()}
	stop := startServer(t, g)
	serial := func() int64 {
		c, err := tls.Dial("tcp", g.Address().String(), &tls.Config{InsecureSkipVerify: true})
		assert.NoError(t, err)
		defer func() { _ = c.Close() }()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	t.Run("guards against serving an expired certificate after its renewal", func(t *testing.T) {
		assert.Equal(t, serial(), 1)
		writeCertificate(t, 2, certificate, key)
		assert.Equal(t, serial(), 2)
	})
	t.Run("guards against an outage while a certificate is being written", func(t *testing.T) {
		assert.NoError(t, os.WriteFile(certificate, []byte("-----BEGIN"), 0o600))
		assert.Equal(t, serial(), 2)
		writeCertificate(t, 3, certificate, key)
		assert.Equal(t, serial(), 3)
	})
	assert.NoError(t, stop())
	t.Run("guards against starting without the certificate", func(t *testing.T) {
		err := (&Server{CertificateFile: "none", KeyFile: "none"}).Run(t.Context())
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}

func TestRun(t *testing.T) {
	t.Run("guards against an unclear error for an address in use", func(t *testing.T) {
		g := &Server{Handler: http.NotFoundHandler()}
		stop := startServer(t, g)
		err := (&Server{ListenAddress: g.Address()}).Run(t.Context())
		assert.Contains(t, err.Error(), "listen: ")
		assert.NoError(t, stop())
	})
	t.Run("guards against a shutdown that waits for ever", func(t *testing.T) {
		requestStarted := make(chan struct{})
		g := &Server{DrainTimeout: 50 * time.Millisecond, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(requestStarted)
			<-r.Context().Done()
		})}
		stop := startServer(t, g)
		failed := make(chan error, 1)
		go func() {
			a, err := http.Get("http://" + g.Address().String())
			if err == nil {
				a.Body.Close()
			}
			failed <- err
		}()
		<-requestStarted
		assert.NoError(t, stop())
		assert.True(t, <-failed != nil, "no error at the caller")
	})
	t.Run("guards against a write deadline that applies to the next answer", func(t *testing.T) {
		limits := zinniapond.LimitSettings{ReadTimeout: 50 * time.Millisecond}
		g := &Server{Limits: limits, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limits.ReadTimeout)); err != nil {
				panic(err)
			}
		})}
		stop := startServer(t, g)
		for range 2 {
			a, err := http.Post("http://"+g.Address().String(), "", nil)
			assert.NoError(t, err)
			a.Body.Close()
			time.Sleep(2 * limits.ReadTimeout)
		}
		assert.NoError(t, stop())
	})
}
