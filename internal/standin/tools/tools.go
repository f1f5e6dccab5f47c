// Package tools simulates a plain service. It counts the effects of requests,
// so that tests can detect duplicates, and injects faults on demand.
package tools

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes bounds request bodies.
const maxBodyBytes = 16 << 20

// control is the body of POST /control. Absent fields are reset to zero.
type control struct {
	Delay   string `json:"delay"`   // before the answer, after the effect
	Hang    bool   `json:"hang"`    // no answer after the effect
	Half    bool   `json:"half"`    // connection closed in the middle of the answer
	Refuse  bool   `json:"refuse"`  // 503 without effect
	Leaving bool   `json:"leaving"` // 503 with X-Leaving without effect
	// Count is the number of requests to which the control applies; 0 means all.
	Count int `json:"count"`

	parsedDelay time.Duration
}

// effect is one element of the answer to GET /effects.
type effect struct {
	Key   string `json:"key"`
	Path  string `json:"path"`
	Count int    `json:"count"`
}

// effectKey identifies an effect: requests with the same key and path repeat it.
type effectKey struct{ key, path string }

// Server is the simulated service, an http.Handler. Its zero value is ready to
// use. Every request with a method other than GET, HEAD and OPTIONS has an
// effect; its key is the Idempotency-Key header, or else X-Request-Id.
type Server struct {
	mu      sync.Mutex
	control control
	counts  map[effectKey]int
	order   []effectKey
}

// ServeHTTP serves POST /control, GET /effects, and any other request as the
// service itself.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control" && r.Method == http.MethodPost:
		s.setControl(w, r)
	case r.URL.Path == "/effects" && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, s.effects())
	default:
		s.handleRequest(w, r)
	}
}

func (s *Server) setControl(w http.ResponseWriter, r *http.Request) {
	var next control
	err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&next)
	if err == nil && next.Delay != "" {
		next.parsedDelay, err = time.ParseDuration(next.Delay)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	s.control = next
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, next)
}

// takeControl returns the control for one request and counts the request.
func (s *Server) takeControl() control {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.control
	if c.Count > 0 {
		if s.control.Count--; s.control.Count == 0 {
			s.control = control{}
		}
	}
	return c
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	c := s.takeControl()
	if c.Refuse || c.Leaving {
		if c.Leaving {
			w.Header().Set("X-Leaving", "true")
		}
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "refused"})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("X-Request-Id")
	}
	n := 0
	if r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions {
		n = s.countEffect(effectKey{key, r.URL.Path})
	}
	if c.Hang {
		<-r.Context().Done()
		return
	}
	if c.parsedDelay > 0 {
		timer := time.NewTimer(c.parsedDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	answer := map[string]any{
		"method": r.Method, "path": r.URL.Path, "query": r.URL.RawQuery, "body": string(body), "effects": n,
	}
	if c.Half {
		writeHalf(w, answer)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) countEffect(p effectKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[effectKey]int)
	}
	if s.counts[p] == 0 {
		s.order = append(s.order, p)
	}
	s.counts[p]++
	return s.counts[p]
}

// effects returns the counts in the order in which the effects first occurred.
func (s *Server) effects() []effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]effect, 0, len(s.order))
	for _, p := range s.order {
		list = append(list, effect{Key: p.key, Path: p.path, Count: s.counts[p]})
	}
	return list
}

// writeHalf announces the length of the whole answer, sends half of it and
// aborts the connection.
func writeHalf(w http.ResponseWriter, answer any) {
	b, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
