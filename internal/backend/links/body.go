package links

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRefusedIDs is the number of refused requests that a connection remembers.
	maxRefusedIDs = 16
	// defaultIdleTimeout applies to replicas that do not announce their own idle
	// timeout. A connection that the replica has closed is detected before its
	// reuse.
	defaultIdleTimeout = 30 * time.Second
	// maxIdleSeconds bounds the idle timeout that a replica announces.
	maxIdleSeconds = 3600
	// idleMargin is how long before the replica's idle timeout a connection is
	// closed on this side, so that no request is sent while the replica closes it.
	idleMargin = time.Second
)

// errResetDuringUpload reports that an answer without length may not be whole.
var errResetDuringUpload = fmt.Errorf("connection was reset while the request was written: %w", io.ErrUnexpectedEOF)

// body is the body of an answer. It implements io.ReadCloser.
type body struct {
	answer           *http.Response
	id               string        // of the request
	copies           int           // number of late copies before the answer
	decoded          io.ReadCloser // as net/http decodes it
	connection       *connection
	stopCancellation func() bool   // stops closing the connection at the end of ctx
	writeDone        chan struct{} // closed when no more of the request is written
	complete         bool
	closed           bool
	idleTimeout      time.Duration // how long the connection may be idle after the answer
	now              func() time.Time
	ctx              context.Context
}

// Read reads the body. It returns io.EOF at the end of a complete body only.
func (b *body) Read(part []byte) (int, error) {
	n, err := b.decoded.Read(part)
	if errors.Is(err, io.EOF) && !b.isFramed() {
		err = b.awaitOrderlyEnd()
	}
	if errors.Is(err, io.EOF) {
		b.complete = true
	} else if err != nil && b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	return n, err
}

// isFramed reports whether the answer says where its body ends.
func (b *body) isFramed() bool {
	return b.answer.ContentLength >= 0 || len(b.answer.TransferEncoding) > 0
}

// awaitOrderlyEnd returns io.EOF if the connection of an unframed answer was closed in
// order. The operating system reports a reset only once: if the goroutine that writes the
// request gets it, reads end as after an orderly close.
func (b *body) awaitOrderlyEnd() error {
	select {
	case <-b.writeDone:
	case <-b.ctx.Done():
		return b.ctx.Err()
	}
	if !b.connection.written.Load() {
		return errResetDuringUpload
	}
	return io.EOF
}

// Close returns the connection to the pool if the request was written, the
// answer was read to its end and nothing else was received. Otherwise it closes
// the connection.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	notCancelled := b.stopCancellation()
	l := b.connection
	if b.answer.StatusCode >= http.StatusBadRequest {
		l.refused = append(l.refused, b.id)
		l.refused = l.refused[max(len(l.refused)-maxRefusedIDs, 0):]
	}
	if !notCancelled || !b.connection.written.Load() || !b.complete || b.copies > 0 || b.answer.Close || !b.isFramed() ||
		l.reader.Buffered() > 0 {
		err := l.abort(b.closeReason(notCancelled))
		<-b.writeDone // the close ends the write; the request is in memory until then
		return err
	}
	l.idleSince = b.now()
	l.reusableUntil = l.idleSince.Add(b.idleTimeout)
	l.replica.put(l)
	return nil
}

// parseIdleTimeout returns how long a connection may be idle, from the replica's
// Keep-Alive header: the announced timeout less idleMargin, but at least half of
// it.
func parseIdleTimeout(value string) time.Duration {
	for _, p := range strings.Split(value, ",") {
		name, digits, _ := strings.Cut(strings.TrimSpace(p), "=")
		if seconds, err := strconv.Atoi(digits); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			d := time.Duration(min(seconds, maxIdleSeconds)) * time.Second
			return max(d-idleMargin, d/2)
		}
	}
	return defaultIdleTimeout
}
