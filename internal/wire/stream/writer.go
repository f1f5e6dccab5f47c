package stream

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/frame"
)

// writer sends an answer as frames. It is the owner's Sink.
type writer struct {
	control *http.ResponseController
	writer  http.ResponseWriter

	mu   sync.Mutex // orders frames and heartbeats
	sent bool
	buf  []byte
	err  error
}

func newWriter(w http.ResponseWriter) *writer {
	return &writer{control: http.NewResponseController(w), writer: w}
}

// Begin implements zinniapond.Sink.
func (o *writer) Begin(status int, fields []zinniapond.Field) error {
	return o.send(&frame.Frame{Kind: frame.Begin, Status: status, Fields: fields})
}

// Write implements zinniapond.Sink.
func (o *writer) Write(part []byte) error {
	return o.send(&frame.Frame{Kind: frame.Part, Part: part})
}

func (o *writer) send(f *frame.Frame) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = o.flush(f)
	}
	return o.err
}

func (o *writer) flush(f *frame.Frame) error {
	buf, err := f.Append(o.buf[:0])
	if err != nil {
		return err
	}
	o.buf = buf
	if !o.sent {
		o.sent = true
		o.writer.Header().Set("Content-Type", frame.Content)
	}
	if err := o.control.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	if _, err := o.writer.Write(buf); err != nil {
		return err
	}
	return o.control.Flush()
}

// end sends the outcome. A refusal before any frame has status 421, so that the
// entry looks the owner up again without reading a stream.
func (o *writer) end(answer zinniapond.Answer, failure error) {
	fault, err := codec.EncodeError(failure)
	if err != nil {
		fault = nil
	}
	o.mu.Lock()
	if !o.sent && errors.Is(failure, zinniapond.ErrNotOwner) {
		o.sent = true
		o.writer.Header().Set("Content-Type", frame.Content)
		o.writer.WriteHeader(http.StatusMisdirectedRequest)
	}
	o.mu.Unlock()
	err = o.send(&frame.Frame{Kind: frame.End, Answer: &answer, Fault: fault})
	if errors.Is(err, zinniapond.ErrTooLarge) {
		o.tooLarge(answer, err)
	}
}

// tooLarge reports an answer that does not fit into a frame. It has run, so
// only its body is missing.
func (o *writer) tooLarge(answer zinniapond.Answer, failure error) {
	o.mu.Lock()
	o.err = nil
	o.mu.Unlock()
	answer.Body = nil
	if fault, err := codec.EncodeError(failure); err == nil {
		_ = o.send(&frame.Frame{Kind: frame.End, Answer: &answer, Fault: fault})
	}
}

// heartbeat sends heartbeats until the returned function is called, which waits
// for the last.
func (o *writer) heartbeat(every time.Duration) func() {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if o.send(&frame.Frame{Kind: frame.Beat}) != nil {
					return
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}
