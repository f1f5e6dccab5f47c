// Package plain is the client of plain HTTP services, such as tools that agent
// programs call.
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
			OnLeaving: func(now time.Time, server netip.AddrPort) {
				roster.SetState(now, server, zinniapond.BackendLeaving)
			},
		}, nil
	})
}

// forwardedRequestFields are the header fields that are forwarded to a service.
// The caller's credentials are not among them.
var forwardedRequestFields = map[string]bool{
	"Accept": true, "Accept-Language": true, "Content-Encoding": true, "Content-Language": true,
	"Content-Type": true, "If-Match": true, "If-Modified-Since": true, "If-None-Match": true,
	"If-Unmodified-Since": true, "Range": true, "User-Agent": true,
}

// forwardedAnswerFields are the header fields that are forwarded to the caller.
var forwardedAnswerFields = map[string]bool{
	"Cache-Control": true, "Content-Disposition": true, "Content-Encoding": true, "Content-Language": true,
	"Content-Range": true, "Content-Type": true, "Etag": true, "Expires": true, "Last-Modified": true,
	"Location": true, "Retry-After": true, "Vary": true,
}

// Client is the client of plain services. Its exported fields are set before
// its use.
type Client struct {
	Limits zinniapond.LimitSettings
	Clock  func() time.Time
	// OnLeaving is called when a server answers that it is leaving; may be nil.
	OnLeaving func(now time.Time, server netip.AddrPort)

	once          sync.Once
	reusePool     *conns.Pool
	singleUsePool *conns.Pool
}

func (c *Client) initPools() {
	c.once.Do(func() {
		c.reusePool = &conns.Pool{ProgressTimeout: c.Limits.ProgressTimeout, AttemptTimeout: c.Limits.AttemptTimeout, RequireID: true}
		// net/http sends a request again when a reused connection breaks and
		// the request counts as repeatable, for which an Idempotency-Key header
		// is enough. It does not do so on a connection that is used only once.
		c.singleUsePool = &conns.Pool{ProgressTimeout: c.Limits.ProgressTimeout, AttemptTimeout: c.Limits.AttemptTimeout, DisableReuse: true}
	})
}

// Run waits until ctx is done and then closes the idle connections.
func (c *Client) Run(ctx context.Context) error {
	<-ctx.Done()
	c.initPools()
	c.reusePool.Close()
	c.singleUsePool.Close()
	return nil
}

// Do runs one attempt at a call. The error wraps ErrNotSent if the service has
// received nothing, ErrUnavailable if the service is leaving, and
// ErrBackendFailed if the service failed. Only idempotent calls use kept
// connections.
func (c *Client) Do(ctx context.Context, attempt zinniapond.AttemptID, server zinniapond.Backend, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	c.initPools()
	answer := zinniapond.Answer{Call: call.ID, Backend: server.Address}
	request, err := newRequest(ctx, attempt, server.Address, call)
	if err != nil {
		return answer, err
	}
	pool := c.singleUsePool
	if call.Idempotent {
		pool = c.reusePool
	}
	received, err := pool.Do(ctx, server.Address, request, conns.DeadlineNever)
	if err != nil {
		if !errors.Is(err, zinniapond.ErrNotSent) {
			err = fmt.Errorf("%w: %w", zinniapond.ErrBackendFailed, err)
		}
		return answer, err
	}
	defer received.Body.Close()
	header := received.Header
	answer.Status = received.StatusCode
	if answer.Status == http.StatusServiceUnavailable && header.Get("X-Leaving") == "true" {
		if c.OnLeaving != nil {
			c.OnLeaving(c.Clock(), server.Address)
		}
		answer.Outcome = zinniapond.OutcomeNotRun
		return answer, zinniapond.Wrap("read answer", server.Address, fmt.Errorf("%w: server is leaving", zinniapond.ErrUnavailable))
	}
	for n, values := range header {
		for _, v := range values {
			if forwardedAnswerFields[n] {
				answer.Fields = append(answer.Fields, zinniapond.HeaderField{Name: n, Value: v})
			}
		}
	}
	answer.Body, err = readBody(received.Body, call, answer, sink)
	if err != nil {
		return answer, zinniapond.Wrap("read answer", server.Address, fmt.Errorf("%w: %w", zinniapond.ErrBackendFailed, err))
	}
	answer.Outcome = zinniapond.OutcomeDone
	return answer, nil
}

func newRequest(ctx context.Context, attempt zinniapond.AttemptID, server netip.AddrPort, call zinniapond.Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, fmt.Errorf("prepare request: %w: path %q", zinniapond.ErrMalformed, call.Path)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+server.String()+call.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("prepare request: %w: %w", zinniapond.ErrMalformed, err)
	}
	if len(call.Body) > 0 {
		// Without GetBody net/http cannot send the request a second time.
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	for _, f := range call.Fields {
		if n := http.CanonicalHeaderKey(f.Name); forwardedRequestFields[n] {
			request.Header.Add(n, f.Value)
		}
	}
	request.Header.Set(conns.RequestIDField, string(attempt))
	request.Header.Set("X-Program", string(call.Program))
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.Traceparent != "" {
		request.Header.Set("Traceparent", call.Traceparent)
	}
	return request, nil
}

// readBody reads the answer's body. If the caller asked for a stream, it also
// passes the parts to sink as they arrive.
func readBody(body io.Reader, call zinniapond.Call, answer zinniapond.Answer, sink zinniapond.Sink) ([]byte, error) {
	if !call.Stream || sink == nil {
		return io.ReadAll(body)
	}
	if err := sink.Begin(answer.Status, answer.Fields); err != nil {
		return nil, fmt.Errorf("pass answer on: %w", err)
	}
	var read []byte
	buffer := make([]byte, 16<<10)
	for {
		n, err := body.Read(buffer)
		read = append(read, buffer[:n]...)
		if n > 0 {
			if err := sink.Write(buffer[:n]); err != nil {
				return read, fmt.Errorf("pass answer on: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, err
		}
	}
}

// errNotSupported is the error of operations that only model engines provide.
var errNotSupported = fmt.Errorf("%w: not provided by plain services", zinniapond.ErrNotFound)

// ReleaseCache does nothing: a plain service holds no KV cache.
func (c *Client) ReleaseCache(context.Context, netip.AddrPort, zinniapond.ProgramID) error {
	return nil
}

// FetchLoadReport returns an error: a plain service has no load report.
func (c *Client) FetchLoadReport(_ context.Context, server netip.AddrPort) (zinniapond.LoadReport, error) {
	return zinniapond.LoadReport{}, zinniapond.Wrap("ask for load report", server, errNotSupported)
}

// FetchCacheEvents returns an error: a plain service has no cache.
func (c *Client) FetchCacheEvents(_ context.Context, server netip.AddrPort, _ uint64) ([]zinniapond.CacheEvent, error) {
	return nil, zinniapond.Wrap("ask for cache events", server, errNotSupported)
}

// SendOrder returns an error: a plain service takes no orders.
func (c *Client) SendOrder(_ context.Context, order zinniapond.Order) (zinniapond.PoolName, error) {
	return "", zinniapond.Wrap("give order", order.Backend, errNotSupported)
}
