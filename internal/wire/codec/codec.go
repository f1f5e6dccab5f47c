// Package codec encodes net/rpc messages as CBOR in length-prefixed frames, with
// heartbeats, a limit on the size of a message and a read timeout.
package codec

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond/internal/wire/result"

	"zinniapond.example/zinniapond"
)

// Defaults of New: the largest message in bytes, the heartbeat interval and the
// read and write timeout. A connection is closed after three missed heartbeats.
const (
	DefaultMaxMessageBytes   = 32 << 20
	DefaultHeartbeatInterval = time.Second
	DefaultSilenceTimeout    = 3 * time.Second
)

// chunkBytes bounds one write, so that the write deadline of a large message to a
// slow peer is renewed as long as bytes are sent. Larger buffers are not reused.
const chunkBytes = 64 << 10

// minProgressBytes is the number of bytes of an incomplete message that have to arrive
// within the silence timeout. A peer that sends a byte now and then would keep the
// connection, and all calls on it, waiting.
const minProgressBytes = 1 << 10

// readerBytes is the size of the read buffer of a connection. Control hosts have one
// connection to each host, and most messages are small; the content of larger ones is
// not read through the buffer.
const readerBytes = 4 << 10

// Codec is a client or server codec for net/rpc over one connection.
type Codec struct {
	conn              net.Conn
	reader            *bufio.Reader
	maxMessageBytes   int
	heartbeatInterval time.Duration
	silenceTimeout    time.Duration
	opened            time.Time
	lastRead          atomic.Int64 // time.Duration from opened until the last byte from the peer
	// lastBulkRead is the same for the last byte of a message larger than chunkBytes; zero
	// if there was none.
	lastBulkRead atomic.Int64

	mu          sync.Mutex // serialises the writes of messages and heartbeats
	readBuffer  []byte     // last frame read; reused unless larger than chunkBytes
	pendingBody []byte     // encoded body of the last frame read

	readsBulk bool // a message larger than chunkBytes is being read

	// missing is the number of bytes that are still to arrive before the read timeout
	// begins again: zero at the beginning of a message, one for its first bytes, and
	// minProgressBytes within it. It is used by the goroutine that reads.
	missing int
	isBegun bool // bytes of the message have arrived

	readingStopped atomic.Bool
	closed         atomic.Bool
	done           chan struct{}
}

// header precedes the body in each frame. Seq is the sequence number by which
// net/rpc matches requests and responses. Text is the method in a request and
// the error in a response.
type header struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64
	Text string
}

// New returns a codec that sends heartbeats on conn until it is closed. Reads and
// writes fail after silenceTimeout without progress. Zero values select the
// defaults.
func New(conn net.Conn, maxMessageBytes int, heartbeatInterval, silenceTimeout time.Duration) *Codec {
	c := &Codec{conn: conn, maxMessageBytes: maxMessageBytes, heartbeatInterval: heartbeatInterval, silenceTimeout: silenceTimeout, done: make(chan struct{})}
	if c.maxMessageBytes == 0 {
		c.maxMessageBytes = DefaultMaxMessageBytes
	}
	if c.heartbeatInterval == 0 {
		c.heartbeatInterval = DefaultHeartbeatInterval
	}
	if c.silenceTimeout == 0 {
		c.silenceTimeout = DefaultSilenceTimeout
	}
	c.opened = time.Now()
	c.reader = bufio.NewReaderSize(timeoutReader{c}, readerBytes)
	go c.sendHeartbeats()
	return c
}

// timeoutReader reads from the connection and fails if no byte arrives within the
// silence timeout, or less than minProgressBytes of a message. After StopReading it
// returns io.EOF.
type timeoutReader struct{ c *Codec }

func (t timeoutReader) Read(p []byte) (int, error) {
	c := t.c
	if c.missing <= 0 {
		if c.missing = 1; c.isBegun {
			c.missing = minProgressBytes
		}
		if err := c.conn.SetReadDeadline(time.Now().Add(c.silenceTimeout)); err != nil {
			return 0, err
		}
	}
	if c.readingStopped.Load() {
		return 0, io.EOF
	}
	n, err := c.conn.Read(p)
	if n > 0 {
		at := int64(time.Since(c.opened))
		c.lastRead.Store(at)
		if c.readsBulk {
			c.lastBulkRead.Store(at)
		}
	}
	c.missing, c.isBegun = c.missing-n, c.isBegun || n > 0
	if err == nil || n > 0 {
		return n, nil
	}
	if c.readingStopped.Load() {
		return 0, io.EOF
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("connection silent for %s: %w", c.silenceTimeout, err)
	}
	return 0, err
}

func (c *Codec) sendHeartbeats() {
	ticker := time.NewTicker(c.heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			if c.write(make([]byte, lengthBytes)) != nil {
				return
			}
		}
	}
}

// IsSilent reports whether a heartbeat of the peer is overdue at now. The connection is
// still open then: a slow peer may go on, but after a loss of power it would be reset only
// when the system repeats a packet, for which it pauses longer each time. now is a time
// with a monotonic clock reading: a step of the clock is no silence.
func (c *Codec) IsSilent(now time.Time) bool {
	return now.Sub(c.opened)-time.Duration(c.lastRead.Load()) > c.heartbeatInterval*3/2
}

// LastBulkRead returns when the last byte of a large message arrived; zero if none has. The
// time has a monotonic clock reading.
func (c *Codec) LastBulkRead() time.Time {
	at := c.lastBulkRead.Load()
	if at == 0 {
		return time.Time{}
	}
	return c.opened.Add(time.Duration(at))
}

// Done returns a channel that is closed when the connection is closed.
func (c *Codec) Done() <-chan struct{} { return c.done }

// Close closes the connection, so that all pending calls on it fail. Further
// calls of Close have no effect.
func (c *Codec) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		close(c.done)
		return c.conn.Close()
	}
	return nil
}

// StopReading makes reads return io.EOF while writes still work, so that a
// server finishes the calls that it has read and reads no further requests.
func (c *Codec) StopReading() {
	c.readingStopped.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// write writes a frame, which may consist of several parts.
func (c *Codec) write(parts ...[]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range parts {
		if err := c.writePart(p); err != nil {
			return err
		}
	}
	return nil
}

func (c *Codec) writePart(frame []byte) error {
	for len(frame) > 0 {
		n := min(len(frame), chunkBytes)
		err := c.conn.SetWriteDeadline(time.Now().Add(c.silenceTimeout))
		if err == nil {
			_, err = c.conn.Write(frame[:n])
		}
		if err != nil {
			// Part of a frame may have been sent, so the stream is unusable.
			_ = c.Close()
			return err
		}
		frame = frame[n:]
	}
	return nil
}

// frameBuffers holds write buffers for reuse between messages.
var frameBuffers = sync.Pool{New: func() any { return new(frameBuffer) }}

func (c *Codec) send(seq uint64, text string, body any) error {
	b := frameBuffers.Get().(*frameBuffer)
	defer b.release()
	h := header{Seq: seq, Text: text}
	if raw, ok := body.(cbor.RawMessage); ok && len(raw) > chunkBytes {
		// A large body is not copied.
		if err := b.build(c.maxMessageBytes, raw, h); err != nil {
			return err
		}
		return c.write(b.bytes(), raw)
	}
	if err := b.build(c.maxMessageBytes, nil, h, body); err != nil {
		return err
	}
	return c.write(b.bytes())
}

// readHeader reads frames until one is not a heartbeat, decodes its header into h
// and keeps its body for decodeBody.
func (c *Codec) readHeader(h *header) error {
	if cap(c.readBuffer) > chunkBytes {
		c.readBuffer = nil
	}
	for {
		c.missing, c.isBegun = 0, false
		frame, err := c.readFrame()
		if err == nil && len(frame) == 0 {
			continue
		}
		if err == nil {
			c.readBuffer = frame
			c.pendingBody, err = decodingMode.UnmarshalFirst(frame, h)
		}
		if err != nil && !c.readingStopped.Load() {
			_ = c.Close()
		}
		return err
	}
}

// readFrame reads the next frame, which may be a heartbeat.
func (c *Codec) readFrame() ([]byte, error) {
	if size, err := c.reader.Peek(lengthBytes); err == nil {
		c.readsBulk = binary.BigEndian.Uint32(size) > chunkBytes
	}
	defer func() { c.readsBulk = false }()
	return ReadFrame(c.reader, c.maxMessageBytes, c.readBuffer)
}

// decodeBody decodes the body of the last frame into body, or copies it encoded if
// body is a *cbor.RawMessage. A nil body is discarded.
func (c *Codec) decodeBody(body any) error {
	encoded := c.pendingBody
	c.pendingBody = nil
	if body == nil {
		return nil
	}
	if raw, ok := body.(*cbor.RawMessage); ok {
		*raw = append((*raw)[:0], encoded...)
		return nil
	}
	return decodingMode.Unmarshal(encoded, body)
}

// WriteRequest implements rpc.ClientCodec. For a request above the size limit it
// returns ErrTooLarge and writes nothing.
func (c *Codec) WriteRequest(r *rpc.Request, body any) error {
	return c.send(r.Seq, r.ServiceMethod, body)
}

// ReadResponseHeader implements rpc.ClientCodec. It skips heartbeats.
func (c *Codec) ReadResponseHeader(r *rpc.Response) error {
	var h header
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.Seq, r.Error = h.Seq, h.Text
	return nil
}

// ReadResponseBody implements rpc.ClientCodec. A nil body is discarded and a
// *cbor.RawMessage receives the encoded body.
func (c *Codec) ReadResponseBody(body any) error { return c.decodeBody(body) }

// ReadRequestHeader implements rpc.ServerCodec. It skips heartbeats.
func (c *Codec) ReadRequestHeader(r *rpc.Request) error {
	var h header
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.Seq, r.ServiceMethod = h.Seq, h.Text
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. A nil body is discarded and a
// *cbor.RawMessage receives the encoded body.
func (c *Codec) ReadRequestBody(body any) error { return c.decodeBody(body) }

// WriteResponse implements rpc.ServerCodec. net/rpc ignores the returned error,
// so a response that cannot be encoded is replaced by the encoding error:
// otherwise the caller would wait until its deadline.
func (c *Codec) WriteResponse(r *rpc.Response, body any) error {
	if e, ok := body.(*result.Envelope); ok {
		if e.Written != nil {
			defer e.Written()
		}
		body = e.Data
	}
	if r.Error != "" {
		body = nil
	}
	err := c.send(r.Seq, r.Error, body)
	if err != nil && !c.closed.Load() {
		return c.send(r.Seq, err.Error(), nil)
	}
	return err
}

// sizeError returns the error of a message above the limit, both in bytes.
func sizeError(size, limit int) error {
	return fmt.Errorf("message of %d bytes, limit %d: %w", size, limit, zinniapond.ErrTooLarge)
}
