// Package client relays calls to the owner on another host, which package stream
// serves there.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/frame"
)

// maxViewBytes bounds the reply with a program's history: 71 turns of 140,000
// tokens of history take up to 40 MB.
const maxViewBytes = 256 << 20

// maxIdleConnections is the number of unused connections to one host that are kept.
const maxIdleConnections = 64

// Client sends calls to the stream servers of other hosts. Its fields have to be
// set before use.
type Client struct {
	Authenticator *auth.Authenticator
	// MemberEpoch returns the epoch of this host's registration.
	MemberEpoch func() zinniapond.Epoch
	// SilenceTimeout is the time without a frame after which a stream is closed.
	SilenceTimeout time.Duration

	transports shard.Map[netip.AddrPort, *http.Transport]
}

// New returns a client with the silence timeout of package codec.
func New(g *auth.Authenticator, member func() zinniapond.Epoch) *Client {
	return &Client{Authenticator: g, MemberEpoch: member, SilenceTimeout: codec.DefaultSilenceTimeout}
}

var errSilent = errors.New("stream silent")

// transport returns the HTTP transport for one host. Each host has a transport of
// its own, so that all idle connections to a failed host can be closed together.
func (c *Client) transport(peer netip.AddrPort) *http.Transport {
	return c.transports.GetOrCreate(peer, func() *http.Transport {
		return &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return c.Authenticator.Dial(ctx, peer, auth.Streams)
			},
			MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}
	})
}

// Close closes the idle connections to all hosts.
func (c *Client) Close() {
	c.transports.Each(func(_ netip.AddrPort, t *http.Transport) bool {
		t.CloseIdleConnections()
		return true
	})
}

func (c *Client) roundTrip(ctx context.Context, peer netip.AddrPort, method, path string, body []byte) (*http.Response, error) {
	target := "http://" + peer.String() + path
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", frame.ContentType)
	request.Header.Set(frame.SenderHeader, string(c.Authenticator.Host))
	request.Header.Set(frame.MemberHeader, strconv.FormatUint(uint64(c.MemberEpoch()), 10))
	t := c.transport(peer)
	response, err := t.RoundTrip(request)
	if err != nil {
		// The other connections to the host may be broken too.
		t.CloseIdleConnections()
	}
	return response, err
}

// Submit runs a call at the owner on the peer and passes a streamed answer to
// sink. It returns true with the owner's answer or error. It returns false if the
// stream broke off or sink failed, so that the outcome is unknown, or if the stream
// was not opened, in which case the error wraps ErrNotSent.
func (c *Client) Submit(ctx context.Context, peer netip.AddrPort, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, bool, error) {
	body, err := codec.Marshal(call)
	if err == nil && len(body) > frame.MaxFrameBytes {
		err = fmt.Errorf("call of %d bytes, limit %d: %w", len(body), frame.MaxFrameBytes, zinniapond.ErrTooLarge)
	}
	if err != nil {
		return zinniapond.Answer{Call: call.ID, Outcome: zinniapond.OutcomeNotRun}, true, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The first frame may take the time of a dial longer; Authenticator.Timeout
	// bounds it.
	watchdog := time.AfterFunc(c.SilenceTimeout+c.Authenticator.Timeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	response, err := c.roundTrip(ctx, peer, http.MethodPost, "/call", body)
	if err != nil {
		return zinniapond.Answer{}, false, wrapWithCause("relay call", peer, ctx, err)
	}
	defer response.Body.Close()
	if err := checkContentType(response); err != nil {
		return zinniapond.Answer{}, false, wrapWithCause("relay call", peer, ctx, err)
	}
	answer, final, err := frame.Read(response.Body, sink, func(waiting bool) {
		// The time in which the sink writes to a slow caller does not count as
		// silence of the peer.
		if waiting {
			watchdog.Reset(c.SilenceTimeout)
		} else {
			watchdog.Stop()
		}
	})
	if !final {
		c.transport(peer).CloseIdleConnections()
		return answer, false, wrapWithCause("relay call", peer, ctx, err)
	}
	// Reading the body to its end makes the transport reuse the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1))
	return answer, true, err
}

// checkContentType returns an error for a response that was not written by the
// handlers of package stream.
func checkContentType(r *http.Response) error {
	if r.Header.Get("Content-Type") != frame.ContentType {
		return fmt.Errorf("answer of type %.40q with status %d", r.Header.Get("Content-Type"), r.StatusCode)
	}
	return nil
}

// wrapWithCause returns err with the step, the peer and, if ctx has ended, the
// cause of its end.
func wrapWithCause(step string, peer netip.AddrPort, ctx context.Context, err error) error { //nolint:revive // the context is a detail here.
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	return zinniapond.Wrap(step, peer, err)
}

// callUnary sends a request that has a single reply instead of a stream. It
// returns true with the peer's reply or error, and also for a request that cannot
// be encoded or a reply that is too large. It returns false if no complete reply
// was received.
func (c *Client) callUnary(ctx context.Context, peer netip.AddrPort, method, path string, request, reply any) (bool, error) {
	var body []byte
	if request != nil {
		var err error
		if body, err = codec.Marshal(request); err != nil {
			return true, err
		}
	}
	ctx, cancel := context.WithTimeoutCause(ctx, c.SilenceTimeout+c.Authenticator.Timeout, errSilent)
	defer cancel()
	response, err := c.roundTrip(ctx, peer, method, path, body)
	if err != nil {
		return false, wrapWithCause("relay "+path, peer, ctx, err)
	}
	defer response.Body.Close()
	if err := checkContentType(response); err != nil {
		return false, wrapWithCause("relay "+path, peer, ctx, err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxViewBytes+1))
	if err != nil {
		return false, wrapWithCause("relay "+path, peer, ctx, err)
	}
	if len(data) > maxViewBytes {
		return true, wrapWithCause("relay "+path, peer, ctx, zinniapond.ErrTooLarge)
	}
	return true, codec.DecodeResult(data, reply)
}

// Open opens a program at the owner on the peer. It returns true with the owner's
// error or nil, and false as Submit does.
func (c *Client) Open(ctx context.Context, peer netip.AddrPort, program zinniapond.Program) (bool, error) {
	return c.callUnary(ctx, peer, http.MethodPost, "/open", program, new(any))
}

// End ends a program at the owner on the peer. It returns true with the owner's
// error or nil, and false as Submit does.
func (c *Client) End(ctx context.Context, peer netip.AddrPort, program zinniapond.ProgramID, reason string) (bool, error) {
	return c.callUnary(ctx, peer, http.MethodPost, "/end", [2]string{string(program), reason}, new(any))
}

// View returns a program's history from the owner on the peer. It returns true
// with the owner's reply or error, and false as Submit does.
func (c *Client) View(ctx context.Context, peer netip.AddrPort, program zinniapond.ProgramID) (zinniapond.History, bool, error) {
	var h zinniapond.History
	final, err := c.callUnary(ctx, peer, http.MethodGet, "/view?program="+url.QueryEscape(string(program)), nil, &h)
	return h, final, err
}
