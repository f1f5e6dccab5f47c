// Package frame has the frames of an answer on its way from owner to entry.
package frame

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// Kinds of frame. A stream is heartbeats, at most one begin, parts after it,
// and one end.
const (
	Beat uint8 = iota
	Begin
	Part
	End
)

// Headers and content type of the stream interface.
const (
	Sender  = "Zinniapond-Sender"
	Member  = "Zinniapond-Member"
	Content = "application/cbor"
)

// Limit bounds a frame; an unstreamed answer is one frame.
const Limit = codec.DefaultLimit

// Frame is one frame of an answer.
type Frame struct {
	Kind   uint8              `cbor:"k,omitempty"`
	Status int                `cbor:"s,omitempty"`
	Fields []zinniapond.Field `cbor:"f,omitempty"`
	Part   []byte             `cbor:"p,omitempty"`
	Answer *zinniapond.Answer `cbor:"a,omitempty"`
	Fault  cbor.RawMessage    `cbor:"e,omitempty"`
}

var errSequence = errors.New("frame out of sequence")

// Append appends the frame to buf.
func (f *Frame) Append(buf []byte) ([]byte, error) {
	return codec.AppendFrame(buf, Limit, f)
}

// Read passes the frames of r to sink until the end frame, whose answer and
// error it returns with true. Before and after each read it calls waiting, with
// true and false. False is returned for a stream that broke or a sink that
// failed.
func Read(r io.Reader, sink zinniapond.Sink, waiting func(bool)) (zinniapond.Answer, bool, error) {
	var (
		buf   []byte
		begun bool
	)
	for {
		waiting(true)
		data, err := codec.ReadFrame(r, Limit, buf)
		waiting(false)
		if err != nil {
			return zinniapond.Answer{}, false, fmt.Errorf("read answer: %w", noEOF(err))
		}
		buf = data
		var f Frame
		if err := codec.Unmarshal(data, &f); err != nil {
			return zinniapond.Answer{}, false, fmt.Errorf("decode answer: %w", err)
		}
		switch {
		case f.Kind == Beat:
		case f.Kind == Begin && !begun:
			begun = true
			err = sink.Begin(f.Status, f.Fields)
		case f.Kind == Part && begun:
			err = sink.Write(f.Part)
		case f.Kind == End:
			return f.end()
		default:
			err = errSequence
		}
		if err != nil {
			return zinniapond.Answer{}, false, err
		}
	}
}

func (f *Frame) end() (zinniapond.Answer, bool, error) {
	err := codec.DecodeError(f.Fault)
	if f.Answer == nil {
		if err == nil {
			return zinniapond.Answer{}, false, errSequence
		}
		return zinniapond.Answer{}, true, err
	}
	return *f.Answer, true, err
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
