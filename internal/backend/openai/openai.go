// Package openai is the client of model engines with an OpenAI-style HTTP
// interface: chat completions, and management requests such as load reports and
// orders.
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
			OnLeaving: func(now time.Time, server netip.AddrPort) {
				roster.SetState(now, server, zinniapond.BackendLeaving)
			},
		}, nil
	})
}

const (
	// maxManagementAnswerBytes is the maximum size of answers other than
	// completions.
	maxManagementAnswerBytes = 4 << 20
	// managementTimeout bounds requests other than completions, which an engine
	// answers without delay.
	managementTimeout = 2 * time.Second
	// maxResumes is how often one attempt may resume a broken stream.
	maxResumes = 2
)

// Client is the client of model engines. Its exported fields are set before
// its use.
type Client struct {
	Limits zinniapond.LimitSettings
	Clock  func() time.Time
	// OnLeaving is called when a server answers that it is leaving; may be nil.
	OnLeaving func(now time.Time, server netip.AddrPort)

	once           sync.Once
	chatPool       *conns.Pool
	managementPool *conns.Pool
	cancellations  sync.WaitGroup
}

func (c *Client) initPools() {
	c.once.Do(func() {
		c.chatPool = &conns.Pool{ProgressTimeout: c.Limits.ProgressTimeout, AttemptTimeout: c.Limits.AttemptTimeout}
		c.managementPool = &conns.Pool{ProgressTimeout: managementTimeout, AttemptTimeout: managementTimeout}
	})
}

// Run waits until ctx is done and the cancellation requests in progress have
// ended. Then it closes the idle connections.
func (c *Client) Run(ctx context.Context) error {
	<-ctx.Done()
	c.cancellations.Wait()
	c.initPools()
	c.chatPool.Close()
	c.managementPool.Close()
	return nil
}

// Do runs one attempt at a call and passes the events of a stream to sink. The
// error wraps ErrNotSent if the engine has received nothing, ErrUnavailable if
// the engine is leaving, and ErrBackendFailed if the engine failed. If the
// attempt ended before the answer did, the engine is told to stop generating.
func (c *Client) Do(ctx context.Context, attempt zinniapond.AttemptID, server zinniapond.Backend, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	c.initPools()
	body, err := encodeRequest(call)
	if err != nil {
		return zinniapond.Answer{}, err
	}
	r := &attemptRun{client: c, attempt: attempt, server: server.Address, call: call, body: body, sink: sink}
	answer, err := r.sendAndResume(ctx)
	if err != nil && !errors.Is(err, zinniapond.ErrNotSent) && !r.answerEnded {
		c.cancelGeneration(server.Address, attempt)
	}
	return answer, err
}

// cancelGeneration asks the engine to stop generating for an abandoned attempt:
// an engine does not notice this from a connection that only goes silent. The
// request is sent in the background.
func (c *Client) cancelGeneration(server netip.AddrPort, attempt zinniapond.AttemptID) {
	c.cancellations.Add(1)
	go func() {
		defer c.cancellations.Done()
		ctx, stop := context.WithTimeout(context.Background(), managementTimeout)
		defer stop()
		// If the request fails, the engine stops when it detects the closed
		// connection.
		_, _ = c.sendManagementRequest(ctx, server, http.MethodPost, "/cancel", map[string]any{"request": attempt})
	}()
}

// encodeRequest returns the body for the engine: the caller's body with the
// priority of the call's class, the limit of generated tokens unless the caller
// has set one, the stream flag, and for a stream the option to report the usage.
func encodeRequest(call zinniapond.Call) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil || fields == nil {
		return nil, fmt.Errorf("prepare request: %w: body is not a JSON object", zinniapond.ErrMalformed)
	}
	fields["priority"] = json.RawMessage(strconv.Itoa(int(call.Class)))
	_, hasMaxTokens := fields["max_tokens"]
	if _, hasMaxCompletion := fields["max_completion_tokens"]; !hasMaxTokens && !hasMaxCompletion && call.MaxGenerated > 0 {
		fields["max_tokens"] = json.RawMessage(strconv.FormatInt(int64(call.MaxGenerated), 10))
	}
	fields["stream"] = json.RawMessage(strconv.FormatBool(call.Stream))
	if call.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	// Escaping HTML characters would change the bytes of the messages and so
	// their prefix hashes.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(fields); err != nil {
		return nil, fmt.Errorf("prepare request: %w", err)
	}
	return bytes.TrimSuffix(encoded.Bytes(), []byte("\n")), nil
}

// sendManagementRequest sends a request other than a completion and returns the
// answer's body. A status of 400 or above is an error: it wraps ErrFenced for
// 409, ErrNotFound for 404 and ErrBackendFailed otherwise.
func (c *Client) sendManagementRequest(ctx context.Context, server netip.AddrPort, method, path string, body any) ([]byte, error) {
	c.initPools()
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
	a, err := c.managementPool.Do(ctx, server, request, conns.DeadlineNever)
	if err != nil {
		return nil, zinniapond.Wrap(step, server, err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxManagementAnswerBytes))
	if err != nil {
		return nil, zinniapond.Wrap(step, server, err)
	}
	switch status := a.StatusCode; {
	case status == http.StatusConflict:
		return nil, zinniapond.Wrap(step, server, zinniapond.ErrFenced)
	case status == http.StatusNotFound:
		return nil, zinniapond.Wrap(step, server, zinniapond.ErrNotFound)
	case status >= http.StatusBadRequest:
		return nil, zinniapond.Wrap(step, server, fmt.Errorf("%w: status %d", zinniapond.ErrBackendFailed, status))
	}
	return b, nil
}

// ReleaseCache drops the program's KV cache on the server.
func (c *Client) ReleaseCache(ctx context.Context, server netip.AddrPort, program zinniapond.ProgramID) error {
	_, err := c.sendManagementRequest(ctx, server, http.MethodPost, "/release", map[string]any{"program": program})
	return err
}

// FetchLoadReport requests the server's load report.
func (c *Client) FetchLoadReport(ctx context.Context, server netip.AddrPort) (zinniapond.LoadReport, error) {
	var report zinniapond.LoadReport
	b, err := c.sendManagementRequest(ctx, server, http.MethodGet, "/load", nil)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(b, &report); err != nil {
		return report, zinniapond.Wrap("decode load report", server, fmt.Errorf("%w: %w", zinniapond.ErrBackendFailed, err))
	}
	// The address that was dialled identifies the server, whatever address the
	// report contains.
	report.Backend = server
	return report, nil
}

// FetchCacheEvents returns the server's cache events from the given sequence
// number on.
func (c *Client) FetchCacheEvents(ctx context.Context, server netip.AddrPort, from uint64) ([]zinniapond.CacheEvent, error) {
	b, err := c.sendManagementRequest(ctx, server, http.MethodGet, "/events?from="+strconv.FormatUint(from, 10), nil)
	if err != nil {
		return nil, err
	}
	var events []zinniapond.CacheEvent
	if err := json.Unmarshal(b, &events); err != nil {
		return nil, zinniapond.Wrap("decode cache events", server, fmt.Errorf("%w: %w", zinniapond.ErrBackendFailed, err))
	}
	return events, nil
}

// SendOrder sends an order and returns the model that the server then reports
// to hold. The error wraps ErrFenced if the server has received a newer order.
func (c *Client) SendOrder(ctx context.Context, order zinniapond.Order) (zinniapond.PoolName, error) {
	b, err := c.sendManagementRequest(ctx, order.Backend, http.MethodPost, "/orders", order)
	if err != nil {
		return "", err
	}
	var held struct {
		Model zinniapond.PoolName `json:"model"`
	}
	if err := json.Unmarshal(b, &held); err != nil {
		return "", zinniapond.Wrap("decode answer to order", order.Backend, fmt.Errorf("%w: %w", zinniapond.ErrBackendFailed, err))
	}
	return held.Model, nil
}
