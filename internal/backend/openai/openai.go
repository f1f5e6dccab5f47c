// Package openai speaks to model engines with an OpenAI-style interface.
package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/backend/conns"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register("engine", func(k *kernel.Kernel) (zinniapond.BackendClient, error) {
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

const (
	// smallMost bounds answers other than completions.
	smallMost = 4 << 20
	// askLimit bounds the small requests, which an engine answers at once.
	askLimit = 2 * time.Second
	// resumeMost bounds how often one attempt resumes a broken stream.
	resumeMost = 2
)

// Client is the client of model engines. Its exported fields are set before
// its use.
type Client struct {
	Limits zinniapond.LimitSettings
	Clock  func() time.Time
	// Leaving is told of servers that answer that they are leaving; may be nil.
	Leaving func(now time.Time, server netip.AddrPort)

	once    sync.Once
	pool    *conns.Pool
	small   *conns.Pool
	cancels sync.WaitGroup
}

func (c *Client) pools() {
	c.once.Do(func() {
		c.pool = &conns.Pool{Progress: c.Limits.Progress, Attempt: c.Limits.Attempt}
		c.small = &conns.Pool{Progress: askLimit, Attempt: askLimit}
	})
}

// Run waits for the end and then for the cancellations under way.
func (c *Client) Run(ctx context.Context) error {
	<-ctx.Done()
	c.cancels.Wait()
	c.pools()
	c.pool.Close()
	c.small.Close()
	return nil
}

// Do runs one attempt.
func (c *Client) Do(ctx context.Context, attempt zinniapond.AttemptID, server zinniapond.Backend, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	c.pools()
	body, err := prepare(call)
	if err != nil {
		return zinniapond.Answer{}, err
	}
	r := &run{client: c, attempt: attempt, server: server.Address, call: call, body: body, sink: sink}
	answer, err := r.do(ctx)
	if err != nil && !errors.Is(err, zinniapond.ErrNotSent) && !r.ended {
		c.cancel(server.Address, attempt)
	}
	return answer, err
}

// cancel tells the engine to stop generating for an attempt that nobody waits
// for any more. A silent connection would not tell it. It does not hold up the caller.
func (c *Client) cancel(server netip.AddrPort, attempt zinniapond.AttemptID) {
	c.cancels.Add(1)
	go func() {
		defer c.cancels.Done()
		ctx, stop := context.WithTimeout(context.Background(), askLimit)
		defer stop()
		// A failure leaves the engine to find the closed connection itself.
		_, _ = c.ask(ctx, server, http.MethodPost, "/cancel", map[string]any{"request": attempt})
	}()
}

// prepare returns the body for the engine: the caller's, with the priority of
// the class, the bound on generated tokens, and the usage asked for.
func prepare(call zinniapond.Call) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil || fields == nil {
		return nil, fmt.Errorf("prepare request: %w: body is not a JSON object", zinniapond.ErrMalformed)
	}
	fields["priority"] = json.RawMessage(strconv.Itoa(int(call.Class)))
	_, have := fields["max_tokens"]
	if _, also := fields["max_completion_tokens"]; !have && !also && call.Most > 0 {
		fields["max_tokens"] = json.RawMessage(strconv.FormatInt(int64(call.Most), 10))
	}
	fields["stream"] = json.RawMessage(strconv.FormatBool(call.Stream))
	if call.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	// Escaping would change the bytes of the messages, and with them the
	// prefix hashes.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(fields); err != nil {
		return nil, fmt.Errorf("prepare request: %w", err)
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// ask sends a small request and returns the answer's body. A status of 400 or
// above is an error.
func (c *Client) ask(ctx context.Context, server netip.AddrPort, method, path string, body any) ([]byte, error) {
	c.pools()
	step := method + " " + path
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", step, err)
		}
		reader = bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server.String()+path, reader)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", step, err)
	}
	request.Header.Set("Content-Type", "application/json")
	x, err := c.small.Do(ctx, server, request, conns.Never)
	if err != nil {
		return nil, zinniapond.Wrap(step, server, err)
	}
	defer x.Close()
	b, err := io.ReadAll(io.LimitReader(x, smallMost))
	if err != nil {
		return nil, zinniapond.Wrap(step, server, err)
	}
	switch status := x.Answer.StatusCode; {
	case status == http.StatusConflict:
		return nil, zinniapond.Wrap(step, server, zinniapond.ErrFenced)
	case status == http.StatusNotFound:
		return nil, zinniapond.Wrap(step, server, zinniapond.ErrNotFound)
	case status >= http.StatusBadRequest:
		return nil, zinniapond.Wrap(step, server, fmt.Errorf("%w: status %d", zinniapond.ErrBackend, status))
	}
	return b, nil
}

// Release drops the program's KV cache on the server.
func (c *Client) Release(ctx context.Context, server netip.AddrPort, program zinniapond.ProgramID) error {
	_, err := c.ask(ctx, server, http.MethodPost, "/release", map[string]any{"program": program})
	return err
}

// Load asks the server for its load report.
func (c *Client) Load(ctx context.Context, server netip.AddrPort) (zinniapond.LoadReport, error) {
	var report zinniapond.LoadReport
	b, err := c.ask(ctx, server, http.MethodGet, "/load", nil)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(b, &report); err != nil {
		return report, zinniapond.Wrap("decode load report", server, fmt.Errorf("%w: %w", zinniapond.ErrBackend, err))
	}
	// The connection tells which server it is, whatever the report says.
	report.Backend = server
	return report, nil
}

// Events returns the server's cache events from the given sequence number on.
func (c *Client) Events(ctx context.Context, server netip.AddrPort, from uint64) ([]zinniapond.CacheEvent, error) {
	b, err := c.ask(ctx, server, http.MethodGet, "/events?from="+strconv.FormatUint(from, 10), nil)
	if err != nil {
		return nil, err
	}
	var events []zinniapond.CacheEvent
	if err := json.Unmarshal(b, &events); err != nil {
		return nil, zinniapond.Wrap("decode cache events", server, fmt.Errorf("%w: %w", zinniapond.ErrBackend, err))
	}
	return events, nil
}

// Order gives an order and returns what the server then says it holds. The
// error wraps ErrFenced if the server has seen a newer order.
func (c *Client) Order(ctx context.Context, order zinniapond.Order) (zinniapond.PoolName, error) {
	b, err := c.ask(ctx, order.Backend, http.MethodPost, "/orders", order)
	if err != nil {
		return "", err
	}
	var held struct {
		Model zinniapond.PoolName `json:"model"`
	}
	if err := json.Unmarshal(b, &held); err != nil {
		return "", zinniapond.Wrap("decode answer to order", order.Backend, fmt.Errorf("%w: %w", zinniapond.ErrBackend, err))
	}
	return held.Model, nil
}
