package codec

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// prefix is the size of a frame's length.
const prefix = 4

var (
	encoding = must(cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.UserBufferEncMode())
	// decoding bounds what a short hostile message can make the decoder
	// allocate; a journal read may have many entries.
	decoding = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 17}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal returns the CBOR encoding that all messages between hosts use.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// Unmarshal decodes what Marshal has encoded.
func Unmarshal(data []byte, v any) error { return decoding.Unmarshal(data, v) }

// ReadFrame reads one frame: its length in four bytes, then its content. The
// result is empty for a heartbeat. It uses buf if that is large enough.
func ReadFrame(r io.Reader, limit int, buf []byte) ([]byte, error) {
	var size [prefix]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(size[:]))
	if n > limit {
		return nil, errSize(n, limit)
	}
	if n > chunk && n > cap(buf) {
		// Memory grows with what arrives, not with what the length claims.
		var grown bytes.Buffer
		if m, err := io.CopyN(&grown, r, int64(n)); err != nil {
			return nil, fmt.Errorf("frame cut after %d of %d bytes: %w", m, n, noEOF(err))
		}
		return grown.Bytes(), nil
	}
	if n > cap(buf) {
		buf = make([]byte, n)
	}
	if _, err := io.ReadFull(r, buf[:n]); err != nil {
		return nil, fmt.Errorf("frame of %d bytes cut: %w", n, noEOF(err))
	}
	return buf[:n], nil
}

// noEOF makes the end of the stream within a frame an error of its own.
func noEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // io functions return io.EOF itself.
		return io.ErrUnexpectedEOF
	}
	return err
}

// AppendFrame appends v as one frame to buf.
func AppendFrame(buf []byte, limit int, v any) ([]byte, error) {
	b := frames.Get().(*frameBuffer)
	defer b.release()
	if err := b.build(limit, v); err != nil {
		return nil, err
	}
	return append(buf, b.bytes()...), nil
}

// frameBuffer builds a frame.
type frameBuffer struct{ buf bytes.Buffer }

func (b *frameBuffer) build(limit int, parts ...any) error {
	b.buf.Reset()
	b.buf.Write(make([]byte, prefix))
	for _, p := range parts {
		if raw, ok := p.(cbor.RawMessage); ok {
			b.buf.Write(raw)
			continue
		}
		if err := encoding.MarshalToBuffer(p, &b.buf); err != nil {
			return err
		}
	}
	n := b.buf.Len() - prefix
	if n > limit {
		return errSize(n, limit)
	}
	binary.BigEndian.PutUint32(b.buf.Bytes(), uint32(n))
	return nil
}

func (b *frameBuffer) bytes() []byte { return b.buf.Bytes() }

// release keeps small buffers only, so that one large message does not hold its
// memory for ever.
func (b *frameBuffer) release() {
	if b.buf.Cap() <= chunk {
		frames.Put(b)
	}
}
