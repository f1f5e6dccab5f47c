// Package guard opens and accepts connections between hosts of one cluster.
// Both sides prove that they know the cluster's secret before the first message.
package guard

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

// Purposes of connections. A proof for one is not valid for another.
const (
	Peers   = "peers"
	Streams = "streams"
)

const (
	version   = "zinniapond/1"
	nonceSize = 32
	// helloLimit bounds what a stranger can make a host read.
	helloLimit = 1024
	// Timeout bounds the dial and the handshake. An unreachable host costs a
	// caller no more than a silent connection does.
	Timeout = 3 * time.Second
)

// Guard has the credentials of one host. Its fields are set before use.
type Guard struct {
	Cluster string
	Host    zinniapond.HostName
	Secret  []byte
	Timeout time.Duration
	// Source is the local address of connections to peers; invalid for any.
	Source netip.Addr
	files  files
}

// New returns the guard of the settings' host.
func New(s *zinniapond.Settings) *Guard {
	return &Guard{
		Cluster: s.Cluster, Host: s.Host, Secret: s.Security.Secret, Timeout: Timeout, Source: s.Peers.Addr(),
		files: files{certificate: s.Security.Certificate, key: s.Security.Key, authority: s.Security.Authority},
	}
}

// Conn is an authenticated connection.
type conn struct {
	net.Conn
	host zinniapond.HostName
}

// HostOf returns the name that the other side has given in the handshake.
func HostOf(c net.Conn) zinniapond.HostName {
	if c, ok := c.(*conn); ok {
		return c.host
	}
	return ""
}

type hello struct {
	Version string `cbor:"v"`
	Cluster string `cbor:"c"`
	Host    string `cbor:"h"`
	Purpose string `cbor:"p"`
	Nonce   []byte `cbor:"n"`
}

type challenge struct {
	Host  string `cbor:"h"`
	Nonce []byte `cbor:"n"`
}

type proof struct {
	Sum []byte `cbor:"s"`
}

// Dial connects to a peer. Its errors wrap ErrNotSent.
func (g *Guard) Dial(ctx context.Context, peer netip.AddrPort, purpose string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	d := net.Dialer{LocalAddr: g.source()}
	raw, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, notSent("connect", peer, err)
	}
	// Closing the connection ends a handshake whose caller has gone.
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	c, err := g.open(ctx, raw, purpose)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, notSent("handshake", peer, err)
	}
	return c, nil
}

// source is the local address of connections to peers: the one that this host
// listens at, so that a packet filter can tell hosts with several addresses
// apart. It is nil if the host listens at all of its addresses.
func (g *Guard) source() net.Addr {
	if !g.Source.IsValid() || g.Source.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: g.Source.AsSlice()}
}

func notSent(step string, peer netip.AddrPort, err error) error {
	return &zinniapond.Error{
		Step: step, Peer: peer, Err: fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err),
		Hint: "check that the peer runs and has the same cluster name, secret and TLS settings",
	}
}

var errSelf = errors.New("connection to itself; nothing listens at the address")

// checkSelf refuses a connection whose ends are one socket. TCP opens it if the
// port of the peer on this machine is free and chosen as the local one. Closed
// without a reset it would keep the peer from listening there for a minute.
func checkSelf(raw net.Conn) error {
	if raw.LocalAddr().String() != raw.RemoteAddr().String() {
		return nil
	}
	if c, ok := raw.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	return errSelf
}

func (g *Guard) open(ctx context.Context, raw net.Conn, purpose string) (net.Conn, error) {
	if err := checkSelf(raw); err != nil {
		return nil, err
	}
	binding, c, err := g.secureClient(ctx, raw)
	if err != nil {
		return nil, err
	}
	h := hello{Version: version, Cluster: g.Cluster, Host: string(g.Host), Purpose: purpose, Nonce: nonce()}
	if err := write(c, h); err != nil {
		return nil, err
	}
	var ch challenge
	if err := read(c, &ch); err != nil {
		return nil, fmt.Errorf("no challenge: %w", err)
	}
	if err := write(c, proof{Sum: g.sum("client", binding, h, ch)}); err != nil {
		return nil, err
	}
	var p proof
	if err := read(c, &p); err != nil {
		return nil, fmt.Errorf("peer has refused the secret: %w", err)
	}
	if len(ch.Nonce) != nonceSize || !hmac.Equal(p.Sum, g.sum("server", binding, h, ch)) {
		return nil, errors.New("peer has another secret")
	}
	return &conn{Conn: c, host: zinniapond.HostName(ch.Host)}, nil
}

// accept authenticates the other side of a new connection. The client proves
// itself first, so that a stranger gets no sum to try secrets against.
func (g *Guard) accept(raw net.Conn, purpose string) (net.Conn, error) {
	if err := raw.SetDeadline(time.Now().Add(g.Timeout)); err != nil {
		return nil, err
	}
	binding, c, err := g.secureServer(raw)
	if err != nil {
		return nil, err
	}
	var h hello
	if err := read(c, &h); err != nil {
		return nil, fmt.Errorf("no greeting: %w", err)
	}
	switch {
	case h.Version != version:
		return nil, fmt.Errorf("version %.20q, want %q", h.Version, version)
	case h.Cluster != g.Cluster:
		return nil, fmt.Errorf("cluster %.40q, want %q", h.Cluster, g.Cluster)
	case h.Purpose != purpose:
		return nil, fmt.Errorf("connection for %.20q, want %q", h.Purpose, purpose)
	case len(h.Nonce) != nonceSize:
		return nil, fmt.Errorf("nonce of %d bytes", len(h.Nonce))
	}
	ch := challenge{Host: string(g.Host), Nonce: nonce()}
	if err := write(c, ch); err != nil {
		return nil, err
	}
	var p proof
	if err := read(c, &p); err != nil {
		return nil, fmt.Errorf("no proof: %w", err)
	}
	if !hmac.Equal(p.Sum, g.sum("client", binding, h, ch)) {
		return nil, errors.New("wrong secret")
	}
	if err := write(c, proof{Sum: g.sum("server", binding, h, ch)}); err != nil {
		return nil, err
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return &conn{Conn: c, host: zinniapond.HostName(h.Host)}, nil
}

// sum binds a side's proof to the cluster, both hosts, both nonces, the purpose
// and, under TLS, the session.
func (g *Guard) sum(side string, binding []byte, h hello, c challenge) []byte {
	mac := hmac.New(sha256.New, g.Secret)
	data, err := codec.Marshal([]any{version, side, g.Cluster, h, c, binding})
	if err != nil {
		panic(err) // strings and bytes always encode
	}
	mac.Write(data)
	return mac.Sum(nil)
}

func nonce() []byte {
	n := make([]byte, nonceSize)
	_, _ = rand.Read(n) // never fails, by its documentation
	return n
}

func write(c net.Conn, v any) error {
	frame, err := codec.AppendFrame(nil, helloLimit, v)
	if err == nil {
		_, err = c.Write(frame)
	}
	return err
}

func read(c net.Conn, v any) error {
	frame, err := codec.ReadFrame(c, helloLimit, nil)
	if err != nil {
		return err
	}
	return codec.Unmarshal(frame, v)
}

func (g *Guard) secureClient(ctx context.Context, raw net.Conn) ([]byte, net.Conn, error) {
	config, err := g.files.client()
	if err != nil || config == nil {
		return nil, raw, err
	}
	host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
	if err != nil {
		return nil, nil, err
	}
	config.ServerName = host
	return bind(ctx, tls.Client(raw, config))
}

func (g *Guard) secureServer(raw net.Conn) ([]byte, net.Conn, error) {
	config, err := g.files.server()
	if err != nil || config == nil {
		return nil, raw, err
	}
	return bind(context.Background(), tls.Server(raw, config))
}

// bind finishes the TLS handshake and returns key material of the session. A
// relay between two TLS sessions cannot pass the proof of one to the other.
func bind(ctx context.Context, c *tls.Conn) ([]byte, net.Conn, error) {
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	state := c.ConnectionState()
	binding, err := state.ExportKeyingMaterial("EXPORTER-zinniapond", nil, nonceSize)
	return binding, c, err
}
