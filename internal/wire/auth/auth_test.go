package auth

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/ports"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newAuthenticator(cluster, secret string) *Authenticator {
	return New(&zinniapond.Settings{
		Cluster: cluster, Host: "nord", Security: zinniapond.SecuritySettings{Secret: []byte(secret)},
	})
}

// logBuffer collects log lines and is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// startListener accepts connections of purpose Peers, sends one byte on each and
// closes it. It returns the address and the log of the listener.
func startListener(t *testing.T, g *Authenticator) (netip.AddrPort, *logBuffer) {
	t.Helper()
	log := new(logBuffer)
	l, err := g.Listen(netip.MustParseAddrPort("127.0.0.1:0"), Peers, hclog.New(&hclog.LoggerOptions{Output: log}))
	assert.NoError(t, err)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte{1})
			c.Close()
		}
	})
	t.Cleanup(func() {
		assert.NoError(t, l.Close())
		group.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), log
}

// tryConnect dials and reads the byte that startListener sends. It returns nil if
// the connection was accepted, and checks that an error of Dial wraps ErrNotSent.
func tryConnect(t *testing.T, g *Authenticator, address netip.AddrPort, purpose string) error {
	t.Helper()
	c, err := g.Dial(context.Background(), address, purpose)
	if err != nil {
		assert.ErrorIs(t, err, zinniapond.ErrNotSent)
		return err
	}
	defer c.Close()
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

func TestHandshake(t *testing.T) {
	address, log := startListener(t, newAuthenticator("rennbach", "right secret"))
	assertLogged := func(t *testing.T, reason string) {
		t.Helper()
		assert.Eventually(t, 5*time.Second, "log of "+reason, func() bool { return strings.Contains(log.String(), reason) })
	}
	t.Run("guards against refusing a host of the cluster", func(t *testing.T) {
		assert.NoError(t, tryConnect(t, newAuthenticator("rennbach", "right secret"), address, Peers))
	})
	t.Run("guards against a host with another secret", func(t *testing.T) {
		assert.True(t, tryConnect(t, newAuthenticator("rennbach", "wrong secret"), address, Peers) != nil, "admitted")
		assertLogged(t, "wrong secret")
	})
	t.Run("guards against a host of another cluster with the same secret", func(t *testing.T) {
		assert.True(t, tryConnect(t, newAuthenticator("tengerweb", "right secret"), address, Peers) != nil, "admitted")
		assertLogged(t, "tengerweb")
	})
	t.Run("guards against a connection meant for another listener", func(t *testing.T) {
		assert.True(t, tryConnect(t, newAuthenticator("rennbach", "right secret"), address, Streams) != nil, "admitted")
		assertLogged(t, "connection for")
	})
	t.Run("guards against an unauthenticated peer that speaks another protocol", func(t *testing.T) {
		c, err := net.Dial("tcp", address.String())
		assert.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		assert.NoError(t, err)
		got, _ := io.ReadAll(c)
		assert.Equal(t, len(got), 0)
		assertLogged(t, "read hello")
	})
	t.Run("guards against a replayed handshake", func(t *testing.T) {
		recorded := recordHandshake(t, address)
		c, err := net.Dial("tcp", address.String())
		assert.NoError(t, err)
		defer c.Close()
		_, err = c.Write(recorded)
		assert.NoError(t, err)
		assert.NoError(t, readMessage(c, new(challenge)))
		assert.True(t, readMessage(c, new(proof)) != nil, "replayed proof accepted")
	})
}

// recordHandshake returns the bytes that a host of the cluster sends in its
// handshake.
func recordHandshake(t *testing.T, address netip.AddrPort) []byte {
	t.Helper()
	raw, err := net.Dial("tcp", address.String())
	assert.NoError(t, err)
	defer raw.Close()
	recording := &recordingConn{Conn: raw}
	_, err = newAuthenticator("rennbach", "right secret").handshakeClient(context.Background(), recording, Peers)
	assert.NoError(t, err)
	return recording.sent.Bytes()
}

type recordingConn struct {
	net.Conn
	sent bytes.Buffer
}

func (r *recordingConn) Write(p []byte) (int, error) {
	r.sent.Write(p)
	return r.Conn.Write(p)
}

func TestImpostor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer l.Close()
	address := l.Addr().(*net.TCPAddr).AddrPort()
	t.Run("guards against a listener that does not know the secret", func(t *testing.T) {
		impostor := newAuthenticator("rennbach", "wrong secret")
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			var h hello
			var p proof
			ch := challenge{Nonce: newNonce()}
			if readMessage(c, &h) == nil && writeMessage(c, ch) == nil && readMessage(c, &p) == nil {
				// The impostor sends the client's own proof, the only valid one that it
				// knows, and a proof made with its own secret.
				_ = writeMessage(c, p)
				_ = writeMessage(c, proof{Sum: impostor.computeProof("server", nil, h, ch)})
			}
		}()
		err := tryConnect(t, newAuthenticator("rennbach", "right secret"), address, Peers)
		assert.True(t, err != nil, "impostor accepted")
		assert.Contains(t, err.Error(), "another secret")
	})
	t.Run("guards against a connection to itself keeping a restarted host from its port", func(t *testing.T) {
		unusedAddress := ports.Reserve(t, 1).Address(0)
		d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(unusedAddress)}
		raw, err := d.Dial("tcp", unusedAddress.String())
		assert.NoError(t, err)
		_, err = newAuthenticator("rennbach", "right secret").handshakeClient(context.Background(), raw, Peers)
		raw.Close()
		assert.ErrorIs(t, err, errSelfConnection)
		l, err := net.Listen("tcp", unusedAddress.String())
		assert.NoError(t, err)
		assert.NoError(t, l.Close())
	})
	t.Run("guards against a dial that waits for ever for a silent listener", func(t *testing.T) {
		g := newAuthenticator("rennbach", "right secret")
		g.Timeout = 100 * time.Millisecond
		assert.ErrorIs(t, tryConnect(t, g, address, Peers), zinniapond.ErrNotSent)
	})
}

func TestUnauthenticatedConnections(t *testing.T) {
	g := newAuthenticator("rennbach", "right secret")
	// Long enough for all unauthenticated connections to open before the first of
	// them times out, also on a busy machine.
	g.Timeout = 2 * time.Second
	address, log := startListener(t, g)
	t.Run("guards against silent unauthenticated peers holding connections and locking hosts out", func(t *testing.T) {
		for range maxHandshakes + 20 {
			c, err := net.Dial("tcp", address.String())
			assert.NoError(t, err)
			defer c.Close()
		}
		assert.Eventually(t, 10*time.Second, "a host admitted after the handshakes of the silent peers have timed out", func() bool {
			return tryConnect(t, newAuthenticator("rennbach", "right secret"), address, Peers) == nil
		})
		assert.Contains(t, log.String(), "too many open handshakes")
		assert.True(t, strings.Count(log.String(), "\n") < 30, "log flooded:\n%s", log.String())
	})
}

// authority signs certificates for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	assert.NoError(t, err)
	return &authority{key: key, cert: cert, der: der}
}

// issue writes a certificate for loopback, its key and the authority to folder.
func (a *authority) issue(t *testing.T, folder string, serial int64) zinniapond.SecuritySettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NoError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	assert.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NoError(t, err)
	s := zinniapond.SecuritySettings{
		Secret: []byte("right secret"), CertificateFile: filepath.Join(folder, "cert.pem"),
		KeyFile: filepath.Join(folder, "key.pem"), AuthorityFile: filepath.Join(folder, "authority.pem"),
	}
	// The modification time depends on the serial, so that certificates of different
	// serials never have the same one in a test.
	stamp := time.Now().Add(time.Duration(serial) * time.Second)
	for path, b := range map[string]*pem.Block{
		s.CertificateFile: {Type: "CERTIFICATE", Bytes: der}, s.KeyFile: {Type: "PRIVATE KEY", Bytes: private},
		s.AuthorityFile: {Type: "CERTIFICATE", Bytes: a.der},
	} {
		assert.NoError(t, os.WriteFile(path, pem.EncodeToMemory(b), 0o600))
		assert.NoError(t, os.Chtimes(path, stamp, stamp))
	}
	return s
}

func TestTLS(t *testing.T) {
	folder := t.TempDir()
	clusterAuthority := newAuthority(t)
	settings := &zinniapond.Settings{Cluster: "rennbach", Host: "nord", Security: clusterAuthority.issue(t, folder, 1)}
	address, _ := startListener(t, New(settings))
	t.Run("guards against refusing a host with a certificate of the authority", func(t *testing.T) {
		assert.NoError(t, tryConnect(t, New(settings), address, Peers))
	})
	t.Run("guards against a host without TLS", func(t *testing.T) {
		assert.True(t, tryConnect(t, newAuthenticator("rennbach", "right secret"), address, Peers) != nil, "admitted")
	})
	t.Run("guards against a certificate of another authority", func(t *testing.T) {
		otherSettings := &zinniapond.Settings{Cluster: "rennbach", Host: "nord", Security: newAuthority(t).issue(t, t.TempDir(), 1)}
		assert.True(t, tryConnect(t, New(otherSettings), address, Peers) != nil, "admitted")
	})
	t.Run("guards against a restart being needed for new certificates", func(t *testing.T) {
		running := New(settings)
		assert.NoError(t, tryConnect(t, running, address, Peers))
		newAuthority(t).issue(t, folder, 2)
		// The new authenticators have read the new files only; the listener at
		// address and the running authenticator have to read them again.
		assert.NoError(t, tryConnect(t, New(settings), address, Peers))
		newAddress, _ := startListener(t, New(settings))
		assert.NoError(t, tryConnect(t, running, newAddress, Peers))
	})
	t.Run("guards against a half-written file ending service", func(t *testing.T) {
		g := New(settings)
		assert.NoError(t, tryConnect(t, g, address, Peers))
		assert.NoError(t, os.WriteFile(settings.Security.CertificateFile, []byte("half"), 0o600))
		assert.NoError(t, tryConnect(t, g, address, Peers))
		assert.True(t, errors.Is(tryConnect(t, New(settings), address, Peers), zinniapond.ErrNotSent), "certificate read from a broken file")
	})
}
