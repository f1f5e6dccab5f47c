package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
)

// sink passes a streamed answer on to the caller.
type sink struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	clock    func() time.Time
	limit    time.Duration // time for the caller to take one part
	degraded func() string

	begun  bool
	events bool // the answer is a stream of server-sent events
}

// Begin sends the header.
func (s *sink) Begin(status int, fields []zinniapond.Field) error {
	if s.begun {
		return fmt.Errorf("begin answer: begun twice")
	}
	s.begun = true
	h := s.w.Header()
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	s.events = strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	if d := s.degraded(); d != "" {
		h.Set("Zinniapond-Degraded", oneLine(d))
	}
	h.Set("Cache-Control", "no-store")
	// The outcome is known at the end only.
	h.Set("Trailer", "Zinniapond-Outcome")
	if status < 200 || status > 599 {
		status = http.StatusBadGateway
	}
	s.w.WriteHeader(status)
	return nil
}

// Write sends a part at once. A caller that does not take it in time loses the
// connection; it can ask again with the same key.
func (s *sink) Write(part []byte) error {
	if s.limit > 0 {
		_ = s.control.SetWriteDeadline(s.clock().Add(s.limit))
	}
	if _, err := s.w.Write(part); err != nil {
		return fmt.Errorf("pass answer on: %w", err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("pass answer on: %w", err)
	}
	return nil
}
