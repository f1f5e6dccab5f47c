package codec

import (
	"errors"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
)

// sentinels are the sentinel errors of the root package by their codes in an
// encoded error. ErrNotSent has none: a peer that replies has received the
// request, so its failure to reach a third host must not look like a request that
// was not sent.
var sentinels = map[string]error{
	"malformed":   zinniapond.ErrMalformed,
	"key":         zinniapond.ErrInvalidKey,
	"forbidden":   zinniapond.ErrForbidden,
	"too-large":   zinniapond.ErrTooLarge,
	"reused":      zinniapond.ErrKeyReused,
	"unknown":     zinniapond.ErrOutcomeUnknown,
	"budget":      zinniapond.ErrBudgetExhausted,
	"overload":    zinniapond.ErrOverload,
	"rate":        zinniapond.ErrRateLimited,
	"stale":       zinniapond.ErrStaleConfig,
	"not-owner":   zinniapond.ErrNotOwner,
	"fenced":      zinniapond.ErrFenced,
	"not-leader":  zinniapond.ErrNotLeader,
	"no-quorum":   zinniapond.ErrNoQuorum,
	"conflict":    zinniapond.ErrConflict,
	"not-found":   zinniapond.ErrNotFound,
	"ended":       zinniapond.ErrProgramEnded,
	"order":       zinniapond.ErrOutOfOrder,
	"backend":     zinniapond.ErrBackendFailed,
	"corrupt":     zinniapond.ErrCorrupt,
	"unavailable": zinniapond.ErrUnavailable,
	"permit":      zinniapond.ErrPermitExpired,
	"connections": zinniapond.ErrConnectionLimit,
	"warnings":    zinniapond.ErrWarnings,
	"cap":         zinniapond.ErrCapExceeded,
}

// wireError is the form in which an error is encoded. Codes are the keys of sentinels
// that the error wraps; the other fields but Text are those of zinniapond.Error.
type wireError struct {
	Text       string         `cbor:"t"`
	Codes      []string       `cbor:"c,omitempty"`
	Step       string         `cbor:"s,omitempty"`
	Peer       netip.AddrPort `cbor:"p"`
	Host       string         `cbor:"h,omitempty"`
	Hint       string         `cbor:"hi,omitempty"`
	RetryAfter time.Duration  `cbor:"r,omitempty"`
}

// remoteError is the decoded error of another host. It wraps the sentinel errors
// and the *zinniapond.Error that the other host's error wrapped.
type remoteError struct {
	text   string
	causes []error
}

func (r *remoteError) Error() string { return r.text }

func (r *remoteError) Unwrap() []error { return r.causes }

func newWireError(err error) *wireError {
	f := &wireError{Text: err.Error()}
	for name, s := range sentinels {
		if errors.Is(err, s) {
			f.Codes = append(f.Codes, name)
		}
	}
	var e *zinniapond.Error
	if errors.As(err, &e) {
		f.Step, f.Peer, f.Host, f.Hint, f.RetryAfter = e.Step, e.Peer, string(e.Host), e.Hint, e.RetryAfter
	}
	return f
}

func (f *wireError) toError() error {
	r := &remoteError{text: f.Text}
	for _, c := range f.Codes {
		if s, ok := sentinels[c]; ok {
			r.causes = append(r.causes, s)
		}
	}
	if f.Step != "" {
		detail := &zinniapond.Error{
			Step: f.Step, Peer: f.Peer, Host: zinniapond.HostName(f.Host),
			Hint: f.Hint, RetryAfter: f.RetryAfter, Err: errors.Join(r.causes...),
		}
		if detail.Err == nil {
			detail.Err = errors.New(f.Text)
		}
		r.causes = append(r.causes, detail)
	}
	return r
}

// EncodeError returns the encoding of err, or nil if err is nil.
func EncodeError(err error) (cbor.RawMessage, error) {
	if err == nil {
		return nil, nil
	}
	return encodingMode.Marshal(newWireError(err))
}

// DecodeError returns the error that EncodeError has encoded, or the error of
// decoding it. errors.Is finds the sentinel errors of the root package in it,
// except ErrNotSent, and errors.As a *zinniapond.Error.
func DecodeError(data cbor.RawMessage) error {
	if len(data) == 0 {
		return nil
	}
	var f wireError
	if err := decodingMode.Unmarshal(data, &f); err != nil {
		return err
	}
	return f.toError()
}

// envelope contains the error or the encoded reply of a method.
type envelope struct {
	_     struct{} `cbor:",toarray"`
	Fault *wireError
	Reply cbor.RawMessage
}

// replyEnvelope is an envelope with a reply that is not encoded yet, which saves a copy of
// it. A nil reply is encoded as null, as in an envelope.
type replyEnvelope struct {
	_     struct{} `cbor:",toarray"`
	Fault *wireError
	Reply any
}

// EncodeResult encodes the envelope of a method: err unless it is nil,
// otherwise reply.
func EncodeResult(reply any, err error) (cbor.RawMessage, error) {
	if err != nil {
		return encodingMode.Marshal(envelope{Fault: newWireError(err)})
	}
	return encodingMode.Marshal(replyEnvelope{Reply: reply})
}

// DecodeResult decodes an envelope that EncodeResult has encoded: it returns
// the method's error or decodes its reply into reply.
func DecodeResult(data cbor.RawMessage, reply any) error {
	var e envelope
	if err := decodingMode.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Fault != nil {
		return e.Fault.toError()
	}
	return decodingMode.Unmarshal(e.Reply, reply)
}

// CallMethod is the name of the net/rpc method by which package serve exposes
// each mounted method, as "Service.Name.Call". net/rpc transfers errors as text
// only, so the typed error is part of the reply, as EncodeResult encodes it.
const CallMethod = "Call"
