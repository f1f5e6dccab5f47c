// Package remote is the client of the operators' interface of a host.
package remote

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
)

// Operator holds the options that all commands for operators share, and sends
// their requests.
type Operator struct {
	Address   netip.AddrPort `env:"ZINNIAPOND_ADDRESS" placeholder:"IP:PORT" help:"Operators' address of any host."`
	Key       string         `env:"ZINNIAPOND_KEY" help:"Operators' key. Other users of this machine can see it; prefer the variable or --key-file."`
	KeyFile   string         `type:"path" env:"ZINNIAPOND_KEY_FILE" help:"File with the operators' key."`
	Authority string         `type:"path" env:"ZINNIAPOND_AUTHORITY" help:"Certificate of the authority that has signed the host's; turns TLS on."`
	JSON      bool           `name:"json" help:"Print JSON."`
	// Open is set for interfaces that need no key, such as that of the platform.
	Open bool `kong:"-"`
}

// CheckAddress returns the usage error for a missing address, for the method Validate of
// commands. Kong does not require the option, because node status may have an address of
// another kind in its place.
func (o *Operator) CheckAddress() error {
	if !o.Address.IsValid() {
		return errors.New("missing flags: --address=IP:PORT")
	}
	return nil
}

// maxAnswerBytes is the maximum size of an answer: both lists for 21,000 plans
// take about 20 MB.
const maxAnswerBytes = 128 << 20

// errorsByType maps the error types of the operators' interface to the errors
// that determine the exit code.
var errorsByType = map[string]error{
	"conflict": zinniapond.ErrConflict, "lists": zinniapond.ErrMalformed, "malformed": zinniapond.ErrMalformed,
	"key": zinniapond.ErrInvalidKey, "not_found": zinniapond.ErrNotFound, "too_large": zinniapond.ErrTooLarge,
	"overloaded": zinniapond.ErrOverload, "stale_configuration": zinniapond.ErrStaleConfig,
	"no_majority": zinniapond.ErrNoQuorum, "no_leader": zinniapond.ErrNotLeader,
	"unavailable": zinniapond.ErrUnavailable, "moving": zinniapond.ErrNotOwner,
}

// errorBody is the JSON body of an error answer of the operators' interface.
type errorBody struct {
	Error struct {
		Message string          `json:"message"`
		Type    string          `json:"type"`
		Hint    string          `json:"hint"`
		Detail  json.RawMessage `json:"detail"`
	} `json:"error"`
}

// Do sends a request and decodes the answer into reply, which may be nil. It also
// returns the answer's text, or the detail of an error that the host returned.
// Errors name the step and the peer; most have a hint for the operator.
func (o *Operator) Do(ctx context.Context, f *inject.Factory, step, method, path string, body, reply any) ([]byte, error) {
	text, err := o.send(ctx, f, method, path, body)
	if err != nil {
		return text, o.wrapError(step, err)
	}
	if reply != nil {
		if err := json.Unmarshal(text, reply); err != nil {
			return text, zinniapond.Wrap(step, o.Address, fmt.Errorf("decode answer: %w", err))
		}
	}
	return text, nil
}

// wrapError adds the step, the peer and a hint: that of the host if it returned
// an error, else one for the kind of failure.
func (o *Operator) wrapError(step string, err error) error {
	e := &zinniapond.Error{Step: step, Peer: o.Address, Err: err}
	var answered *hostError
	switch {
	case errors.As(err, &answered):
		e.Hint = answered.hint
	case errors.Is(err, syscall.ECONNREFUSED):
		e.Err = fmt.Errorf("%w: %w", zinniapond.ErrNotSent, err)
		e.Hint = "check --address and that the host runs; any other host answers too"
	case errors.Is(err, errNoKey):
		e.Hint = "give --key-file, or set ZINNIAPOND_KEY or ZINNIAPOND_KEY_FILE"
	default:
		e.Hint = slowHint
	}
	return e
}

const slowHint = "the host may be slow or cut off; ask another host"

var errNoKey = errors.New("no key")

// hostError is an error that the host returned.
type hostError struct {
	text, hint string
	cause      error
}

func (r *hostError) Error() string { return r.text }

func (r *hostError) Unwrap() error { return r.cause }

func (o *Operator) readKey() (string, error) {
	if o.KeyFile != "" {
		text, err := os.ReadFile(o.KeyFile)
		if err != nil {
			return "", fmt.Errorf("%w: %w", errNoKey, err)
		}
		return strings.TrimSpace(string(text)), nil
	}
	if o.Key == "" {
		return "", errNoKey
	}
	return o.Key, nil
}

func (o *Operator) send(ctx context.Context, f *inject.Factory, method, path string, body any) ([]byte, error) {
	var key string
	if !o.Open {
		var err error
		if key, err = o.readKey(); err != nil {
			return nil, err
		}
	}
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(text)
	}
	client, scheme, err := o.newClient(f)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+o.Address.String()+path, content)
	if err != nil {
		return nil, err
	}
	if !o.Open {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode < 300 {
		return text, nil
	}
	return decodeError(response.StatusCode, text)
}

func decodeError(status int, text []byte) ([]byte, error) {
	var b errorBody
	if err := json.Unmarshal(text, &b); err != nil || b.Error.Message == "" {
		answered := &hostError{text: fmt.Sprintf("status %d: %.200q", status, text)}
		if status == http.StatusServiceUnavailable { // the platform's interface has no error types
			answered.hint, answered.cause = slowHint, zinniapond.ErrUnavailable
		}
		return nil, answered
	}
	return b.Error.Detail, &hostError{text: b.Error.Message, hint: b.Error.Hint, cause: errorsByType[b.Error.Type]}
}

// newClient returns the factory's client and the scheme "http" or, if an
// authority is given, a client with TLS and "https".
func (o *Operator) newClient(f *inject.Factory) (*http.Client, string, error) {
	if o.Authority == "" {
		return f.Client, "http", nil
	}
	text, err := os.ReadFile(o.Authority)
	if err != nil {
		return nil, "", fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, "", fmt.Errorf("read authority: no certificate in %s", o.Authority)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &http.Client{Timeout: f.Client.Timeout, Transport: transport}, "https", nil
}
