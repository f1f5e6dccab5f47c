// Package codec carries net/rpc messages as CBOR in length-prefixed frames, with
// heartbeats, a bound on the size of a message and a limit on silence.
package codec

import (
	"bufio"
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

	"zinniapond.example/zinniapond"
)

// Defaults of New. A connection is closed after three missed heartbeats.
const (
	DefaultLimit   = 32 << 20
	DefaultBeat    = time.Second
	DefaultSilence = 3 * time.Second
)

// chunk bounds one write, so that a large message to a slow peer renews its
// write deadline as long as bytes move.
const chunk = 64 << 10

// Codec is a client or server codec for net/rpc over one connection.
type Codec struct {
	conn    net.Conn
	reader  *bufio.Reader
	limit   int
	beat    time.Duration
	silence time.Duration

	mu   sync.Mutex // orders writes: messages and heartbeats
	buf  []byte     // last frame read; reused if small
	rest []byte     // body of the last frame read

	halted atomic.Bool
	closed atomic.Bool
	done   chan struct{}
}

// head precedes the body in each frame. Text is the method in a request and the
// error in a response.
type head struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64
	Text string
}

// New returns a codec that sends heartbeats until it is closed. Zero values
// stand for the defaults.
func New(conn net.Conn, limit int, beat, silence time.Duration) *Codec {
	c := &Codec{conn: conn, limit: limit, beat: beat, silence: silence, done: make(chan struct{})}
	if c.limit == 0 {
		c.limit = DefaultLimit
	}
	if c.beat == 0 {
		c.beat = DefaultBeat
	}
	if c.silence == 0 {
		c.silence = DefaultSilence
	}
	c.reader = bufio.NewReaderSize(timed{c}, 16<<10)
	go c.heartbeat()
	return c
}

// timed gives each read of the connection the deadline of its silence.
type timed struct{ c *Codec }

func (t timed) Read(p []byte) (int, error) {
	c := t.c
	if err := c.conn.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	if c.halted.Load() {
		return 0, io.EOF
	}
	n, err := c.conn.Read(p)
	if err == nil || n > 0 {
		return n, nil
	}
	if c.halted.Load() {
		return 0, io.EOF
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("connection silent for %s: %w", c.silence, err)
	}
	return 0, err
}

func (c *Codec) heartbeat() {
	ticker := time.NewTicker(c.beat)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			if c.write(make([]byte, prefix)) != nil {
				return
			}
		}
	}
}

// Done is closed when the connection is.
func (c *Codec) Done() <-chan struct{} { return c.done }

// Close closes the connection. All calls on it fail.
func (c *Codec) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		close(c.done)
		return c.conn.Close()
	}
	return nil
}

// Halt makes the reader see the end of the stream, so that a server finishes
// the calls that it has read and reads no more.
func (c *Codec) Halt() {
	c.halted.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *Codec) write(frame []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(frame) > 0 {
		n := min(len(frame), chunk)
		err := c.conn.SetWriteDeadline(time.Now().Add(c.silence))
		if err == nil {
			_, err = c.conn.Write(frame[:n])
		}
		if err != nil {
			// A part of a frame cannot be taken back: the stream is unusable.
			_ = c.Close()
			return err
		}
		frame = frame[n:]
	}
	return nil
}

// frames are reused between messages.
var frames = sync.Pool{New: func() any { return new(frameBuffer) }}

func (c *Codec) send(seq uint64, text string, body any) error {
	b := frames.Get().(*frameBuffer)
	defer b.release()
	if err := b.build(c.limit, head{Seq: seq, Text: text}, body); err != nil {
		return err
	}
	return c.write(b.bytes())
}

// next reads the next frame that is not a heartbeat.
func (c *Codec) next(h *head) error {
	if cap(c.buf) > chunk {
		c.buf = nil
	}
	for {
		frame, err := ReadFrame(c.reader, c.limit, c.buf)
		if err == nil && len(frame) == 0 {
			continue
		}
		if err == nil {
			c.buf = frame
			c.rest, err = decoding.UnmarshalFirst(frame, h)
		}
		if err != nil && !c.halted.Load() {
			_ = c.Close()
		}
		return err
	}
}

func (c *Codec) body(body any) error {
	rest := c.rest
	c.rest = nil
	if body == nil {
		return nil
	}
	if raw, ok := body.(*cbor.RawMessage); ok {
		*raw = append((*raw)[:0], rest...)
		return nil
	}
	return decoding.Unmarshal(rest, body)
}

// WriteRequest implements rpc.ClientCodec. A request that is too large is
// refused before a byte is written.
func (c *Codec) WriteRequest(r *rpc.Request, body any) error {
	return c.send(r.Seq, r.ServiceMethod, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *Codec) ReadResponseHeader(r *rpc.Response) error {
	var h head
	if err := c.next(&h); err != nil {
		return err
	}
	r.Seq, r.Error = h.Seq, h.Text
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *Codec) ReadResponseBody(body any) error { return c.body(body) }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *Codec) ReadRequestHeader(r *rpc.Request) error {
	var h head
	if err := c.next(&h); err != nil {
		return err
	}
	r.Seq, r.ServiceMethod = h.Seq, h.Text
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *Codec) ReadRequestBody(body any) error { return c.body(body) }

// WriteResponse implements rpc.ServerCodec. net/rpc ignores the error, so a
// response that cannot be encoded is replaced by its error: otherwise the
// caller would wait for its deadline.
func (c *Codec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		body = nil
	}
	err := c.send(r.Seq, r.Error, body)
	if err != nil && !c.closed.Load() {
		return c.send(r.Seq, err.Error(), nil)
	}
	return err
}

// errSize is the error of a frame above the limit.
func errSize(size, limit int) error {
	return fmt.Errorf("message of %d bytes, limit %d: %w", size, limit, zinniapond.ErrTooLarge)
}
