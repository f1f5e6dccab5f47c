// Package auth opens and accepts authenticated connections between the hosts of
// one cluster. Before the first message both sides prove by a challenge-response
// handshake that they know the cluster's secret.
package auth

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// Purposes of connections: calls of package peers and streams of package stream.
// A proof for one purpose is not valid for the other.
const (
	Peers   = "peers"
	Streams = "streams"
)

const (
	protocolVersion = "zinniapond/1"
	nonceSize       = 32
	// maxHandshakeBytes bounds a handshake message, and so what an unauthenticated
	// peer can make a host read.
	maxHandshakeBytes = 1024
	// DefaultTimeout bounds the dial and the handshake together. It equals the
	// silence timeout of package codec, so that a caller waits no longer for an
	// unreachable host than for one that stops answering.
	DefaultTimeout = 3 * time.Second
	// connectTimeout bounds the connect of a dial. While a peer has no power its host drops
	// the opening packet, and the system sends it again only after 1 s and 3 s. Further
	// connections are opened beside the first one each connectInterval, so that one of them
	// finds the peer soon after its return; regions may be more than an interval apart.
	connectTimeout  = 250 * time.Millisecond
	connectInterval = 60 * time.Millisecond
)

// Authenticator holds the credentials of one host and authenticates its
// connections. Its fields have to be set before use.
type Authenticator struct {
	Cluster string
	Host    zinniapond.HostName
	Secret  []byte
	Timeout time.Duration
	// LocalAddress is the local address of connections to peers. If it is
	// invalid or unspecified, the system chooses the address.
	LocalAddress netip.Addr
	credentials  credentialFiles
	// connect opens a connection; nil for TCP.
	connect func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)
}

// New returns the authenticator of the host that the settings name, with the
// default timeout.
func New(s *zinniapond.Settings) *Authenticator {
	return &Authenticator{
		Cluster: s.Cluster, Host: s.Host, Secret: s.Security.Secret, Timeout: DefaultTimeout, LocalAddress: s.PeersListenAddress.Addr(),
		credentials: credentialFiles{certificatePath: s.Security.CertificateFile, keyPath: s.Security.KeyFile, authorityPath: s.Security.AuthorityFile},
	}
}

// conn is an authenticated connection with the name of the other host.
type conn struct {
	net.Conn
	host zinniapond.HostName
}

// HostOf returns the host name that the other side gave in the handshake, or the
// empty name if c is not an authenticated connection.
func HostOf(c net.Conn) zinniapond.HostName {
	if c, ok := c.(*conn); ok {
		return c.host
	}
	return ""
}

// hello is the first message of the handshake, sent by the client.
type hello struct {
	Version string `cbor:"v"`
	Cluster string `cbor:"c"`
	Host    string `cbor:"h"`
	Purpose string `cbor:"p"`
	Nonce   []byte `cbor:"n"`
}

// challenge is the server's reply to hello.
type challenge struct {
	Host  string `cbor:"h"`
	Nonce []byte `cbor:"n"`
}

// proof is the message by which each side, the client first, proves that it knows
// the secret. Sum is the result of computeProof.
type proof struct {
	Sum []byte `cbor:"s"`
}

// Dial connects to a peer and authenticates both sides. Its errors wrap
// ErrNotSent.
func (g *Authenticator) Dial(ctx context.Context, peer netip.AddrPort, purpose string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	raw, err := g.connectAny(ctx, peer)
	if err != nil {
		return nil, wrapNotSent("connect", peer, err)
	}
	// Closing the connection aborts the handshake when ctx is done.
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	c, err := g.handshakeClient(ctx, raw, purpose)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, wrapNotSent("handshake", peer, err)
	}
	return c, nil
}

// connectAny opens connections one after the other until one of them is established, one
// fails, or connectTimeout has passed. The others are closed.
func (g *Authenticator) connectAny(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	isOver := make(chan struct{})
	defer close(isOver)
	connect := g.connect
	if connect == nil {
		connect = g.connectTCP
	}
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		go func() {
			raw, err := connect(ctx, peer)
			select {
			case results <- result{raw, err}:
			case <-isOver:
				if err == nil {
					_ = raw.Close() // nothing was sent on it
				}
			}
		}()
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
	}
}

func (g *Authenticator) connectTCP(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{LocalAddr: g.localAddr()}
	return d.DialContext(ctx, "tcp", peer.String())
}

// localAddr returns the local address of connections to peers: the address at
// which this host listens, so that a packet filter can distinguish hosts that have
// several addresses. It returns nil if the host listens at all of its addresses.
func (g *Authenticator) localAddr() net.Addr {
	if !g.LocalAddress.IsValid() || g.LocalAddress.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: g.LocalAddress.AsSlice()}
}

func wrapNotSent(step string, peer netip.AddrPort, err error) error {
	return &zinniapond.Error{
		Step: step, Peer: peer, Err: fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err),
		Hint: "check that the peer runs and has the same cluster name, secret and TLS settings",
	}
}

var errSelfConnection = errors.New("connection to itself; nothing listens at the address")

// rejectSelfConnection returns an error for a connection of a socket to itself.
// TCP opens one if the peer's address is on this machine, its port is unused and
// the same port is chosen as the local one. Such a connection is closed with a
// reset: otherwise it would stay in TIME_WAIT and keep the peer from listening at
// its port for a minute.
func rejectSelfConnection(raw net.Conn) error {
	if raw.LocalAddr().String() != raw.RemoteAddr().String() {
		return nil
	}
	if c, ok := raw.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	return errSelfConnection
}

// handshakeClient performs the client's side of the TLS handshake, if TLS is on,
// and of the authentication.
func (g *Authenticator) handshakeClient(ctx context.Context, raw net.Conn, purpose string) (net.Conn, error) {
	if err := rejectSelfConnection(raw); err != nil {
		return nil, err
	}
	binding, c, err := g.startClientTLS(ctx, raw)
	if err != nil {
		return nil, err
	}
	h := hello{Version: protocolVersion, Cluster: g.Cluster, Host: string(g.Host), Purpose: purpose, Nonce: newNonce()}
	if err := writeMessage(c, h); err != nil {
		return nil, err
	}
	var ch challenge
	if err := readMessage(c, &ch); err != nil {
		return nil, fmt.Errorf("read challenge: %w", err)
	}
	if err := writeMessage(c, proof{Sum: g.computeProof("client", binding, h, ch)}); err != nil {
		return nil, err
	}
	var p proof
	if err := readMessage(c, &p); err != nil {
		return nil, fmt.Errorf("peer has refused the secret: %w", err)
	}
	if len(ch.Nonce) != nonceSize || !hmac.Equal(p.Sum, g.computeProof("server", binding, h, ch)) {
		return nil, errors.New("peer has another secret")
	}
	return &conn{Conn: c, host: zinniapond.HostName(ch.Host)}, nil
}

// handshakeServer performs the server's side of the handshake. The client sends
// its proof first, so that an unauthenticated peer receives no proof against which
// it could test guessed secrets.
func (g *Authenticator) handshakeServer(raw net.Conn, purpose string) (net.Conn, error) {
	if err := raw.SetDeadline(time.Now().Add(g.Timeout)); err != nil {
		return nil, err
	}
	binding, c, err := g.startServerTLS(raw)
	if err != nil {
		return nil, err
	}
	var h hello
	if err := readMessage(c, &h); err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	switch {
	case h.Version != protocolVersion:
		return nil, fmt.Errorf("version %.20q, want %q", h.Version, protocolVersion)
	case h.Cluster != g.Cluster:
		return nil, fmt.Errorf("cluster %.40q, want %q", h.Cluster, g.Cluster)
	case h.Purpose != purpose:
		return nil, fmt.Errorf("connection for %.20q, want %q", h.Purpose, purpose)
	case len(h.Nonce) != nonceSize:
		return nil, fmt.Errorf("nonce of %d bytes", len(h.Nonce))
	}
	ch := challenge{Host: string(g.Host), Nonce: newNonce()}
	if err := writeMessage(c, ch); err != nil {
		return nil, err
	}
	var p proof
	if err := readMessage(c, &p); err != nil {
		return nil, fmt.Errorf("read proof: %w", err)
	}
	if !hmac.Equal(p.Sum, g.computeProof("client", binding, h, ch)) {
		return nil, errors.New("wrong secret")
	}
	if err := writeMessage(c, proof{Sum: g.computeProof("server", binding, h, ch)}); err != nil {
		return nil, err
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return &conn{Conn: c, host: zinniapond.HostName(h.Host)}, nil
}

// computeProof returns a MAC, keyed with the secret, over the side ("client" or
// "server"), the cluster, both hosts, both nonces, the purpose and, with TLS, the
// channel binding of the session.
func (g *Authenticator) computeProof(side string, binding []byte, h hello, c challenge) []byte {
	mac := hmac.New(sha256.New, g.Secret)
	data, err := codec.Marshal([]any{protocolVersion, side, g.Cluster, h, c, binding})
	if err != nil {
		panic(err) // strings and bytes always encode
	}
	mac.Write(data)
	return mac.Sum(nil)
}

func newNonce() []byte {
	n := make([]byte, nonceSize)
	_, _ = rand.Read(n) // never fails, by its documentation
	return n
}

func writeMessage(c net.Conn, v any) error {
	frame, err := codec.AppendFrame(nil, maxHandshakeBytes, v)
	if err == nil {
		_, err = c.Write(frame)
	}
	return err
}

func readMessage(c net.Conn, v any) error {
	frame, err := codec.ReadFrame(c, maxHandshakeBytes, nil)
	if err != nil {
		return err
	}
	return codec.Unmarshal(frame, v)
}

func (g *Authenticator) startClientTLS(ctx context.Context, raw net.Conn) ([]byte, net.Conn, error) {
	config, err := g.credentials.clientConfig()
	if err != nil || config == nil {
		return nil, raw, err
	}
	host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
	if err != nil {
		return nil, nil, err
	}
	config.ServerName = host
	return handshakeTLS(ctx, tls.Client(raw, config))
}

func (g *Authenticator) startServerTLS(raw net.Conn) ([]byte, net.Conn, error) {
	config, err := g.credentials.serverConfig()
	if err != nil || config == nil {
		return nil, raw, err
	}
	return handshakeTLS(context.Background(), tls.Server(raw, config))
}

// handshakeTLS performs the TLS handshake and returns keying material of the
// session as the channel binding, so that a man in the middle of two TLS sessions
// cannot forward the proof of one to the other.
func handshakeTLS(ctx context.Context, c *tls.Conn) ([]byte, net.Conn, error) {
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	state := c.ConnectionState()
	binding, err := state.ExportKeyingMaterial("EXPORTER-zinniapond", nil, nonceSize)
	return binding, c, err
}
