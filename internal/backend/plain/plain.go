// Package plain speaks to plain HTTP services.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/backend/conns"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register("service", func(k *kernel.Kernel) (zinniapond.BackendClient, error) {
		roster, err := kernel.Find[zinniapond.Roster](k)
		if err != nil {
			return nil, err
		}
		return &Client{
			Limits: k.Settings.Limits,
			Clock:  k.Now,
			Leaving: func(now time.Time, server netip.AddrPort) {
				roster.Mark(now, server, zinniapond.BackendLeaving)
			},
		}, nil
	})
}

// requestFields are the header fields that reach a service. The caller's
// credentials are not among them.
var requestFields = map[string]bool{
	"Accept": true, "Accept-Language": true, "Content-Encoding": true, "Content-Language": true,
	"Content-Type": true, "If-Match": true, "If-Modified-Since": true, "If-None-Match": true,
	"If-Unmodified-Since": true, "Range": true, "User-Agent": true,
}

// answerFields are the header fields that reach the caller.
var answerFields = map[string]bool{
	"Cache-Control": true, "Content-Disposition": true, "Content-Encoding": true, "Content-Language": true,
	"Content-Range": true, "Content-Type": true, "Etag": true, "Expires": true, "Last-Modified": true,
	"Location": true, "Retry-After": true, "Vary": true,
}

// Client is the client of plain services. Its exported fields are set before
// its use.
type Client struct {
	Limits zinniapond.LimitSettings
	Clock  func() time.Time
	// Leaving is told of servers that answer that they are leaving; may be nil.
	Leaving func(now time.Time, server netip.AddrPort)

	once   sync.Once
	shared *conns.Pool
	single *conns.Pool
}

func (c *Client) pools() {
	c.once.Do(func() {
		c.shared = &conns.Pool{Progress: c.Limits.Progress, Attempt: c.Limits.Attempt}
		// net/http sends a request again when a reused connection breaks and
		// the request looks repeatable, for which an Idempotency-Key header is
		// enough. A connection of its own gives it no occasion.
		c.single = &conns.Pool{Progress: c.Limits.Progress, Attempt: c.Limits.Attempt, Single: true}
	})
}

// Run closes the idle connections at the end.
func (c *Client) Run(ctx context.Context) error {
	<-ctx.Done()
	c.pools()
	c.shared.Close()
	c.single.Close()
	return nil
}

// Do runs one attempt.
func (c *Client) Do(ctx context.Context, attempt zinniapond.AttemptID, server zinniapond.Backend, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	c.pools()
	answer := zinniapond.Answer{Call: call.ID, Backend: server.Address}
	request, err := prepare(ctx, attempt, server.Address, call)
	if err != nil {
		return answer, err
	}
	pool := c.single
	if call.Idempotent {
		pool = c.shared
	}
	x, err := pool.Do(ctx, server.Address, request, conns.Never)
	if err != nil {
		if !errors.Is(err, zinniapond.ErrNotSent) {
			err = fmt.Errorf("%w: %w", zinniapond.ErrBackend, err)
		}
		return answer, err
	}
	defer x.Close()
	head := x.Answer.Header
	answer.Status = x.Answer.StatusCode
	if answer.Status == http.StatusServiceUnavailable && head.Get("X-Leaving") == "true" {
		if c.Leaving != nil {
			c.Leaving(c.Clock(), server.Address)
		}
		answer.Outcome = zinniapond.OutcomeNotRun
		return answer, zinniapond.Wrap("read answer", server.Address, fmt.Errorf("%w: server is leaving", zinniapond.ErrUnavailable))
	}
	if id := head.Get("X-Request-Id"); id != "" && id != string(attempt) {
		return answer, zinniapond.Wrap("read answer", server.Address, fmt.Errorf("%w: answer is for attempt %q", zinniapond.ErrBackend, id))
	}
	for n, values := range head {
		for _, v := range values {
			if answerFields[n] {
				answer.Fields = append(answer.Fields, zinniapond.Field{Name: n, Value: v})
			}
		}
	}
	answer.Body, err = receive(x, call, answer, sink)
	if err != nil {
		return answer, zinniapond.Wrap("read answer", server.Address, fmt.Errorf("%w: %w", zinniapond.ErrBackend, err))
	}
	answer.Outcome = zinniapond.OutcomeDone
	return answer, nil
}

func prepare(ctx context.Context, attempt zinniapond.AttemptID, server netip.AddrPort, call zinniapond.Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("prepare request: %w: path %q", zinniapond.ErrMalformed, call.Path)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+server.String()+call.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("prepare request: %w: %w", zinniapond.ErrMalformed, err)
	}
	if len(call.Body) > 0 {
		// Without GetBody the transport cannot send the request a second time.
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	for _, f := range call.Fields {
		if n := http.CanonicalHeaderKey(f.Name); requestFields[n] {
			request.Header.Add(n, f.Value)
		}
	}
	request.Header.Set("X-Request-Id", string(attempt))
	request.Header.Set("X-Program", string(call.Program))
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	if call.Trace != "" {
		request.Header.Set("Traceparent", call.Trace)
	}
	return request, nil
}

// receive reads the body, passing parts on as they come where the caller asked
// for a stream.
func receive(x *conns.Exchange, call zinniapond.Call, answer zinniapond.Answer, sink zinniapond.Sink) ([]byte, error) {
	if !call.Stream || sink == nil {
		return io.ReadAll(x)
	}
	if err := sink.Begin(answer.Status, answer.Fields); err != nil {
		return nil, fmt.Errorf("pass answer on: %w", err)
	}
	var whole []byte
	buffer := make([]byte, 16<<10)
	for {
		n, err := x.Read(buffer)
		whole = append(whole, buffer[:n]...)
		if n > 0 {
			if err := sink.Write(buffer[:n]); err != nil {
				return whole, fmt.Errorf("pass answer on: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return whole, err
		}
	}
}

// errNone tells that plain services have neither cache nor models.
var errNone = fmt.Errorf("%w: plain services have none", zinniapond.ErrNotFound)

// Release does nothing: a plain service holds no KV cache.
func (c *Client) Release(context.Context, netip.AddrPort, zinniapond.ProgramID) error { return nil }

// Load returns an error: a plain service has no load report.
func (c *Client) Load(_ context.Context, server netip.AddrPort) (zinniapond.LoadReport, error) {
	return zinniapond.LoadReport{}, zinniapond.Wrap("ask for load report", server, errNone)
}

// Events returns an error: a plain service has no cache.
func (c *Client) Events(_ context.Context, server netip.AddrPort, _ uint64) ([]zinniapond.CacheEvent, error) {
	return nil, zinniapond.Wrap("ask for cache events", server, errNone)
}

// Order returns an error: a plain service takes no orders.
func (c *Client) Order(_ context.Context, order zinniapond.Order) (zinniapond.PoolName, error) {
	return "", zinniapond.Wrap("give order", order.Backend, errNone)
}
