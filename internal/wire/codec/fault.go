package codec

import (
	"errors"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
)

// sentinels are the root's errors by their names on the wire. ErrNotSent is not
// among them: a peer that answered has received the message, so its own failure
// to reach a third host says nothing of this one.
var sentinels = map[string]error{
	"malformed":   zinniapond.ErrMalformed,
	"key":         zinniapond.ErrKey,
	"forbidden":   zinniapond.ErrForbidden,
	"too-large":   zinniapond.ErrTooLarge,
	"reused":      zinniapond.ErrReused,
	"unknown":     zinniapond.ErrUnknown,
	"budget":      zinniapond.ErrBudget,
	"overload":    zinniapond.ErrOverload,
	"stale":       zinniapond.ErrStale,
	"not-owner":   zinniapond.ErrNotOwner,
	"fenced":      zinniapond.ErrFenced,
	"not-leader":  zinniapond.ErrNotLeader,
	"no-quorum":   zinniapond.ErrNoQuorum,
	"conflict":    zinniapond.ErrConflict,
	"not-found":   zinniapond.ErrNotFound,
	"ended":       zinniapond.ErrEnded,
	"order":       zinniapond.ErrOrder,
	"backend":     zinniapond.ErrBackend,
	"corrupt":     zinniapond.ErrCorrupt,
	"unavailable": zinniapond.ErrUnavailable,
	"cap":         zinniapond.ErrCap,
}

// fault is an error on the wire.
type fault struct {
	Text  string         `cbor:"t"`
	Codes []string       `cbor:"c,omitempty"`
	Step  string         `cbor:"s,omitempty"`
	Peer  netip.AddrPort `cbor:"p"`
	Host  string         `cbor:"h,omitempty"`
	Hint  string         `cbor:"hi,omitempty"`
	Retry time.Duration  `cbor:"r,omitempty"`
}

// remote is an error that another host has reported.
type remote struct {
	text   string
	causes []error
}

func (r *remote) Error() string { return r.text }

func (r *remote) Unwrap() []error { return r.causes }

func newFault(err error) *fault {
	f := &fault{Text: err.Error()}
	for name, s := range sentinels {
		if errors.Is(err, s) {
			f.Codes = append(f.Codes, name)
		}
	}
	var e *zinniapond.Error
	if errors.As(err, &e) {
		f.Step, f.Peer, f.Host, f.Hint, f.Retry = e.Step, e.Peer, string(e.Host), e.Hint, e.RetryAfter
	}
	return f
}

func (f *fault) err() error {
	r := &remote{text: f.Text}
	for _, c := range f.Codes {
		if s, ok := sentinels[c]; ok {
			r.causes = append(r.causes, s)
		}
	}
	if f.Step != "" {
		detail := &zinniapond.Error{
			Step: f.Step, Peer: f.Peer, Host: zinniapond.HostName(f.Host),
			Hint: f.Hint, RetryAfter: f.Retry, Err: errors.Join(r.causes...),
		}
		if detail.Err == nil {
			detail.Err = errors.New(f.Text)
		}
		r.causes = append(r.causes, detail)
	}
	return r
}

// EncodeError returns err for the wire, or nil for nil.
func EncodeError(err error) (cbor.RawMessage, error) {
	if err == nil {
		return nil, nil
	}
	return encoding.Marshal(newFault(err))
}

// DecodeError returns the error that EncodeError has encoded. errors.Is finds
// the root's errors in it, errors.As a *zinniapond.Error.
func DecodeError(data cbor.RawMessage) error {
	if len(data) == 0 {
		return nil
	}
	var f fault
	if err := decoding.Unmarshal(data, &f); err != nil {
		return err
	}
	return f.err()
}

// envelope is what a method returns: its error or its reply.
type envelope struct {
	_     struct{} `cbor:",toarray"`
	Fault *fault
	Reply cbor.RawMessage
}

// Seal encodes the reply or the error of a method.
func Seal(reply any, err error) (cbor.RawMessage, error) {
	if err != nil {
		return encoding.Marshal(envelope{Fault: newFault(err)})
	}
	data, err := encoding.Marshal(reply)
	if err != nil {
		return nil, err
	}
	return encoding.Marshal(envelope{Reply: data})
}

// Open decodes what Seal has encoded into reply, or returns the error.
func Open(data cbor.RawMessage, reply any) error {
	var e envelope
	if err := decoding.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Fault != nil {
		return e.Fault.err()
	}
	return decoding.Unmarshal(e.Reply, reply)
}

// Method is the net/rpc method under which serve offers each mounted method,
// as "Service.Name.Call". net/rpc turns errors into text, so the typed error
// travels inside the reply, as Seal encodes it.
const Method = "Call"
