// Package frame encodes and decodes the frames in which the owner streams an
// answer to the entry host.
package frame

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// Kinds of frame. A stream has at most one Begin, Part frames after it, and one
// End as the last frame, with any number of heartbeats (Heartbeat) between
// them.
const (
	Heartbeat uint8 = iota
	Begin
	Part
	End
)

// Headers and content type of requests and replies between entry host and
// owner. SenderHeader is the host that sends the request and MemberHeader the
// epoch of its registration.
const (
	SenderHeader = "Zinniapond-Sender"
	MemberHeader = "Zinniapond-Member"
	ContentType  = "application/cbor"
)

// MaxFrameBytes is the largest size of a frame in bytes. An answer that is
// not streamed is a single frame.
const MaxFrameBytes = codec.DefaultMaxMessageBytes

// Frame is one frame of an answer. Begin frames have Status and Fields, Part frames
// have Part, and End frames have Answer, Fault or both.
type Frame struct {
	Kind   uint8                    `cbor:"k,omitempty"`
	Status int                      `cbor:"s,omitempty"`
	Fields []zinniapond.HeaderField `cbor:"f,omitempty"`
	Part   []byte                   `cbor:"p,omitempty"`
	Answer *zinniapond.Answer       `cbor:"a,omitempty"`
	Fault  cbor.RawMessage          `cbor:"e,omitempty"`
}

var errSequence = errors.New("frame out of sequence")

// Append appends the encoded frame to buf. It returns ErrTooLarge above
// MaxFrameBytes.
func (f *Frame) Append(buf []byte) ([]byte, error) {
	return codec.AppendFrame(buf, MaxFrameBytes, f)
}

// Read passes the Begin and Part frames of r to sink until the End frame, whose
// answer and error it returns with true. It returns false with the error if the
// stream broke off or sink failed. Read calls waiting with true before and with
// false after reading each frame.
func Read(r io.Reader, sink zinniapond.Sink, waiting func(bool)) (zinniapond.Answer, bool, error) {
	var (
		buf      []byte
		hasBegun bool
	)
	for {
		waiting(true)
		data, err := codec.ReadFrame(r, MaxFrameBytes, buf)
		waiting(false)
		if err != nil {
			return zinniapond.Answer{}, false, fmt.Errorf("read answer: %w", asUnexpectedEOF(err))
		}
		buf = data
		var f Frame
		if err := codec.Unmarshal(data, &f); err != nil {
			return zinniapond.Answer{}, false, fmt.Errorf("decode answer: %w", err)
		}
		switch {
		case f.Kind == Heartbeat:
		case f.Kind == Begin && !hasBegun:
			hasBegun = true
			err = sink.Begin(f.Status, f.Fields)
		case f.Kind == Part && hasBegun:
			err = sink.Write(f.Part)
		case f.Kind == End:
			return f.decodeEnd()
		default:
			err = errSequence
		}
		if err != nil {
			return zinniapond.Answer{}, false, err
		}
	}
}

func (f *Frame) decodeEnd() (zinniapond.Answer, bool, error) {
	err := codec.DecodeError(f.Fault)
	if f.Answer == nil {
		if err == nil {
			return zinniapond.Answer{}, false, errSequence
		}
		return zinniapond.Answer{}, true, err
	}
	return *f.Answer, true, err
}

func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
