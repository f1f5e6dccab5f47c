package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
)

// sink writes a streamed answer to the caller's connection.
type sink struct {
	w                   http.ResponseWriter
	controller          *http.ResponseController
	clock               func() time.Time
	writeTimeout        time.Duration // for one part
	describeDegradation func() string

	hasBegun      bool
	isEventStream bool // the body consists of server-sent events
}

// Begin sends the status and the header. Zinniapond-Outcome follows as a
// trailer.
func (s *sink) Begin(status int, fields []zinniapond.HeaderField) error {
	if s.hasBegun {
		return fmt.Errorf("begin answer: already begun")
	}
	s.hasBegun = true
	h := s.w.Header()
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	s.isEventStream = strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	if d := s.describeDegradation(); d != "" {
		h.Set("Zinniapond-Degraded", replaceUnprintable(d))
	}
	h.Set("Cache-Control", "no-store")
	// The outcome is known only at the end of the stream.
	h.Set("Trailer", "Zinniapond-Outcome")
	if status < 200 || status > 599 {
		status = http.StatusBadGateway
	}
	s.w.WriteHeader(status)
	return nil
}

// Write sends a part without buffering. The connection to a caller that does
// not read the part before the deadline is closed; the caller can repeat the
// request with the same Idempotency-Key.
func (s *sink) Write(part []byte) error {
	if s.writeTimeout > 0 {
		_ = s.controller.SetWriteDeadline(s.clock().Add(s.writeTimeout))
	}
	if _, err := s.w.Write(part); err != nil {
		return fmt.Errorf("send answer to caller: %w", err)
	}
	if err := s.controller.Flush(); err != nil {
		return fmt.Errorf("send answer to caller: %w", err)
	}
	return nil
}
