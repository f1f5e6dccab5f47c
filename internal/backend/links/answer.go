package links

import (
	"bufio"
	"fmt"
	"io"
	"net/http"

	"zinniapond.example/zinniapond"
)

const (
	// maxHeadBytes bounds the header of an answer with all interim answers before it.
	maxHeadBytes = 64 << 10
	// maxCopies and maxCopyBytes bound the late copies of other answers that are
	// skipped before an answer, and the body of one.
	maxCopies    = 4
	maxCopyBytes = 1 << 20
	// maxStatus is the highest HTTP status.
	maxStatus = 599
	// maxErrorBytes bounds the text of an error about a header.
	maxErrorBytes = 200
)

// errHeadTooLarge reports a header that has not ended after maxHeadBytes.
var errHeadTooLarge = fmt.Errorf("header of the answer has more than %d bytes", maxHeadBytes)

// headLimiter limits the bytes that are read from a connection while a header is
// expected. net/http would collect header fields for as long as they arrive.
type headLimiter struct {
	source    io.Reader
	limited   bool
	remaining int
}

// expectHead sets the limit for the next header.
func (h *headLimiter) expectHead() { h.limited, h.remaining = true, maxHeadBytes }

// expectBody removes the limit.
func (h *headLimiter) expectBody() { h.limited = false }

func (h *headLimiter) Read(part []byte) (int, error) {
	if !h.limited {
		return h.source.Read(part)
	}
	if h.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.source.Read(part[:min(len(part), h.remaining)])
	h.remaining -= n
	return n, err
}

// readAnswer reads the header of the answer to a request and skips late copies of other
// answers before it.
func (p *Pool) readAnswer(l *connection, method, id string) (answer *http.Response, copies int, err error) {
	for {
		l.limiter.expectHead()
		answer, err = readHead(l.reader, method)
		l.limiter.expectBody()
		if err != nil {
			return nil, copies, err
		}
		other := ""
		if p.IDField != "" {
			other = answer.Header.Get(p.IDField)
		}
		if other == "" || other == id {
			return answer, copies, nil
		}
		if copies++; copies > maxCopies {
			return nil, copies, fmt.Errorf("more than %d answers to other requests", maxCopies)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxCopyBytes))
		if err == nil && n == maxCopyBytes {
			err = fmt.Errorf("more than %d bytes", maxCopyBytes)
		}
		if err != nil {
			return nil, copies, fmt.Errorf("skip answer to request %q: %w", other, err)
		}
	}
}

// readHead reads the header of the final answer and skips interim answers (1xx). net/http
// accepts any three digits as a status.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, shorten(err)
		}
		switch status := answer.StatusCode; {
		case status < http.StatusContinue || status > maxStatus:
			return nil, fmt.Errorf("answer with status %03d: %w", status, zinniapond.ErrBackendFailed)
		case status >= http.StatusOK:
			return answer, nil
		}
	}
}

// shorten bounds the text of an error. net/http repeats a malformed line, which may have
// maxHeadBytes.
func shorten(err error) error {
	if len(err.Error()) <= maxErrorBytes {
		return err
	}
	return fmt.Errorf("%.*q (shortened)", maxErrorBytes, err.Error())
}
