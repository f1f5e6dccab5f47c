// Package client relays calls to the owner on another host by its stream
// interface.
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
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/frame"
	"zinniapond.example/zinniapond/internal/wire/guard"
)

// viewLimit bounds a program's history: 71 turns of 140,000 tokens of history
// take up to 40 MB.
const viewLimit = 256 << 20

// idle is how many unused connections to one host are kept.
const idle = 64

// Client speaks to the stream interfaces of other hosts. Its fields are set
// before use.
type Client struct {
	Guard *guard.Guard
	// Member returns the epoch of this host's registration.
	Member func() zinniapond.Epoch
	// Silence is the time without a frame after which a stream is given up.
	Silence time.Duration

	transports shard.Map[netip.AddrPort, *http.Transport]
}

// New returns a client with the default bound on silence.
func New(g *guard.Guard, member func() zinniapond.Epoch) *Client {
	return &Client{Guard: g, Member: member, Silence: codec.DefaultSilence}
}

var errSilent = errors.New("stream silent")

// transport returns the connections to one host. Each host has its own, so that
// those to a host that failed can be dropped together.
func (c *Client) transport(peer netip.AddrPort) *http.Transport {
	return c.transports.GetOrCreate(peer, func() *http.Transport {
		return &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return c.Guard.Dial(ctx, peer, guard.Streams)
			},
			MaxIdleConnsPerHost: idle, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}
	})
}

// Close closes the unused connections.
func (c *Client) Close() {
	c.transports.Each(func(_ netip.AddrPort, t *http.Transport) bool {
		t.CloseIdleConnections()
		return true
	})
}

func (c *Client) do(ctx context.Context, peer netip.AddrPort, method, path string, body []byte) (*http.Response, error) {
	target := "http://" + peer.String() + path
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", frame.Content)
	request.Header.Set(frame.Sender, string(c.Guard.Host))
	request.Header.Set(frame.Member, strconv.FormatUint(uint64(c.Member()), 10))
	t := c.transport(peer)
	response, err := t.RoundTrip(request)
	if err != nil {
		// Other connections to the host may be as dead as this one.
		t.CloseIdleConnections()
	}
	return response, err
}

// Submit runs a call at the peer's owner. It returns true with the owner's
// answer or error; false means that the stream broke, or that it was not opened
// if the error wraps ErrNotSent.
func (c *Client) Submit(ctx context.Context, peer netip.AddrPort, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, bool, error) {
	body, err := codec.Marshal(call)
	if err == nil && len(body) > frame.Limit {
		err = fmt.Errorf("call of %d bytes, limit %d: %w", len(body), frame.Limit, zinniapond.ErrTooLarge)
	}
	if err != nil {
		return zinniapond.Answer{Call: call.ID, Outcome: zinniapond.OutcomeNotRun}, true, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The time of a dial is bounded by the guard.
	watchdog := time.AfterFunc(c.Silence+c.Guard.Timeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	response, err := c.do(ctx, peer, http.MethodPost, "/call", body)
	if err != nil {
		return zinniapond.Answer{}, false, broken("relay call", peer, ctx, err)
	}
	defer response.Body.Close()
	if err := checkType(response); err != nil {
		return zinniapond.Answer{}, false, broken("relay call", peer, ctx, err)
	}
	answer, final, err := frame.Read(response.Body, sink, func(waiting bool) {
		// While the sink writes to a slow caller, the peer is not at fault.
		if waiting {
			watchdog.Reset(c.Silence)
		} else {
			watchdog.Stop()
		}
	})
	if !final {
		c.transport(peer).CloseIdleConnections()
		return answer, false, broken("relay call", peer, ctx, err)
	}
	// Reading the end of the body returns the connection to the pool.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1))
	return answer, true, err
}

// checkType refuses what the server's handlers have not written.
func checkType(r *http.Response) error {
	if r.Header.Get("Content-Type") != frame.Content {
		return fmt.Errorf("answer of type %.40q with status %d", r.Header.Get("Content-Type"), r.StatusCode)
	}
	return nil
}

// broken adds the reason for which the context ended.
func broken(step string, peer netip.AddrPort, ctx context.Context, err error) error { //nolint:revive // the context is a detail here.
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	return zinniapond.Wrap(step, peer, err)
}

// simple runs a request with one answer. The bool is as for Submit.
func (c *Client) simple(ctx context.Context, peer netip.AddrPort, method, path string, request, reply any) (bool, error) {
	var body []byte
	if request != nil {
		var err error
		if body, err = codec.Marshal(request); err != nil {
			return true, err
		}
	}
	ctx, cancel := context.WithTimeoutCause(ctx, c.Silence+c.Guard.Timeout, errSilent)
	defer cancel()
	response, err := c.do(ctx, peer, method, path, body)
	if err != nil {
		return false, broken("relay "+path, peer, ctx, err)
	}
	defer response.Body.Close()
	if err := checkType(response); err != nil {
		return false, broken("relay "+path, peer, ctx, err)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, viewLimit+1))
	if err != nil {
		return false, broken("relay "+path, peer, ctx, err)
	}
	if len(data) > viewLimit {
		return true, broken("relay "+path, peer, ctx, zinniapond.ErrTooLarge)
	}
	return true, codec.Open(data, reply)
}

// Open opens a program at the peer's owner. The bool is as for Submit.
func (c *Client) Open(ctx context.Context, peer netip.AddrPort, program zinniapond.Program) (bool, error) {
	return c.simple(ctx, peer, http.MethodPost, "/open", program, new(any))
}

// End ends a program at the peer's owner. The bool is as for Submit.
func (c *Client) End(ctx context.Context, peer netip.AddrPort, program zinniapond.ProgramID, reason string) (bool, error) {
	return c.simple(ctx, peer, http.MethodPost, "/end", [2]string{string(program), reason}, new(any))
}

// View returns a program's history from the peer's owner. The bool is as for
// Submit.
func (c *Client) View(ctx context.Context, peer netip.AddrPort, program zinniapond.ProgramID) (zinniapond.History, bool, error) {
	var h zinniapond.History
	final, err := c.simple(ctx, peer, http.MethodGet, "/view?program="+url.QueryEscape(string(program)), nil, &h)
	return h, final, err
}
