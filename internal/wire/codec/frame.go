package codec

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// lengthBytes is the size of the length that precedes a frame's content.
const lengthBytes = 4

var (
	encodingMode = must(cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.UserBufferEncMode())
	// decodingMode limits arrays and maps, so that a short malicious message cannot
	// make the decoder allocate much memory. The limits are this high because the
	// reply to a journal read may have many entries.
	decodingMode = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 17}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal returns the CBOR encoding of v that all messages between hosts use.
func Marshal(v any) ([]byte, error) { return encodingMode.Marshal(v) }

// Unmarshal decodes into v what Marshal has encoded.
func Unmarshal(data []byte, v any) error { return decodingMode.Unmarshal(data, v) }

// ReadFrame reads one frame, a length of four bytes and the content, and returns
// the content. The content of a heartbeat is empty. ReadFrame uses buf if its
// capacity suffices. It returns io.EOF only if the stream ends before a frame.
func ReadFrame(r io.Reader, limit int, buf []byte) ([]byte, error) {
	var size [lengthBytes]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(size[:]))
	if n > limit {
		return nil, sizeError(n, limit)
	}
	if n > chunkBytes && n > cap(buf) {
		// Memory is allocated for the bytes that arrive, not for the stated length.
		var content bytes.Buffer
		if m, err := io.CopyN(&content, r, int64(n)); err != nil {
			return nil, fmt.Errorf("frame truncated after %d of %d bytes: %w", m, n, asUnexpectedEOF(err))
		}
		return content.Bytes(), nil
	}
	if n > cap(buf) {
		buf = make([]byte, n)
	}
	if _, err := io.ReadFull(r, buf[:n]); err != nil {
		return nil, fmt.Errorf("frame of %d bytes truncated: %w", n, asUnexpectedEOF(err))
	}
	return buf[:n], nil
}

// asUnexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF for the end of the stream
// within a frame.
func asUnexpectedEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // io functions return io.EOF itself.
		return io.ErrUnexpectedEOF
	}
	return err
}

// AppendFrame appends v as one frame to buf. It returns ErrTooLarge if the content
// has more than limit bytes.
func AppendFrame(buf []byte, limit int, v any) ([]byte, error) {
	b := frameBuffers.Get().(*frameBuffer)
	defer b.release()
	if err := b.build(limit, nil, v); err != nil {
		return nil, err
	}
	return append(buf, b.bytes()...), nil
}

// frameBuffer is a buffer in which one frame is encoded.
type frameBuffer struct{ buf bytes.Buffer }

// build encodes the parts of a frame. The length of the frame includes rest, which is
// written after the parts.
func (b *frameBuffer) build(limit int, rest []byte, parts ...any) error {
	b.buf.Reset()
	b.buf.Write(make([]byte, lengthBytes))
	for _, p := range parts {
		if raw, ok := p.(cbor.RawMessage); ok {
			b.buf.Write(raw)
			continue
		}
		if err := encodingMode.MarshalToBuffer(p, &b.buf); err != nil {
			return err
		}
	}
	n := b.buf.Len() - lengthBytes + len(rest)
	if n > limit {
		return sizeError(n, limit)
	}
	binary.BigEndian.PutUint32(b.buf.Bytes(), uint32(n))
	return nil
}

func (b *frameBuffer) bytes() []byte { return b.buf.Bytes() }

// release returns the buffer to the pool if it is small, so that the pool does not
// retain the memory of large messages.
func (b *frameBuffer) release() {
	if b.buf.Cap() <= chunkBytes {
		frameBuffers.Put(b)
	}
}
