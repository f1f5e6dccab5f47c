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

// answerWriter writes an answer as frames to an HTTP response. It is the Sink that
// is passed to the owner.
type answerWriter struct {
	control  *http.ResponseController
	response http.ResponseWriter

	mu         sync.Mutex // serialises frames and heartbeats
	headerSent bool
	buf        []byte
	err        error // first failure; later frames are dropped
}

func newAnswerWriter(w http.ResponseWriter) *answerWriter {
	return &answerWriter{control: http.NewResponseController(w), response: w}
}

// Begin implements zinniapond.Sink. It writes a Begin frame.
func (o *answerWriter) Begin(status int, fields []zinniapond.HeaderField) error {
	return o.send(&frame.Frame{Kind: frame.Begin, Status: status, Fields: fields})
}

// Write implements zinniapond.Sink. It writes a Part frame.
func (o *answerWriter) Write(part []byte) error {
	return o.send(&frame.Frame{Kind: frame.Part, Part: part})
}

func (o *answerWriter) send(f *frame.Frame) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = o.writeFrame(f)
	}
	return o.err
}

func (o *answerWriter) writeFrame(f *frame.Frame) error {
	buf, err := f.Append(o.buf[:0])
	if err != nil {
		return err
	}
	o.buf = buf
	if !o.headerSent {
		o.headerSent = true
		o.response.Header().Set("Content-Type", frame.ContentType)
	}
	if err := o.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := o.response.Write(buf); err != nil {
		return err
	}
	return o.control.Flush()
}

// sendEnd writes the End frame with the answer and its error. If no frame has been
// written and the error is ErrNotOwner, the status is 421, so that the entry host
// can look up the owner again without reading a stream.
func (o *answerWriter) sendEnd(answer zinniapond.Answer, failure error) {
	fault, err := codec.EncodeError(failure)
	if err != nil {
		fault = nil
	}
	o.mu.Lock()
	if !o.headerSent && errors.Is(failure, zinniapond.ErrNotOwner) {
		o.headerSent = true
		o.response.Header().Set("Content-Type", frame.ContentType)
		o.response.WriteHeader(http.StatusMisdirectedRequest)
	}
	o.mu.Unlock()
	err = o.send(&frame.Frame{Kind: frame.End, Answer: &answer, Fault: fault})
	if errors.Is(err, zinniapond.ErrTooLarge) {
		o.sendTooLarge(answer, err)
	}
}

// sendTooLarge writes the End frame of an answer that does not fit into a frame.
// The call has run, so the answer is sent without its body but with its outcome.
func (o *answerWriter) sendTooLarge(answer zinniapond.Answer, failure error) {
	o.mu.Lock()
	o.err = nil
	o.mu.Unlock()
	answer.Body = nil
	if fault, err := codec.EncodeError(failure); err == nil {
		_ = o.send(&frame.Frame{Kind: frame.End, Answer: &answer, Fault: fault})
	}
}

// startHeartbeats sends heartbeat frames in the background until the returned
// function is called. That function waits for a frame in progress.
func (o *answerWriter) startHeartbeats(interval time.Duration) func() {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				if o.send(&frame.Frame{Kind: frame.Heartbeat}) != nil {
					return
				}
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}
