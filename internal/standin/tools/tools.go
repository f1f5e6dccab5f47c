// Package tools is a stand-in for a plain service. It counts the effects of
// requests, so that tests can find duplicates, and fails on demand.
package tools

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// bodyMost bounds a request body.
const bodyMost = 16 << 20

// control is the body of POST /control. Fields that are absent are reset.
type control struct {
	Delay   string `json:"delay"`   // before the answer, after the effect
	Hang    bool   `json:"hang"`    // no answer after the effect
	Half    bool   `json:"half"`    // connection closed in the middle of the answer
	Refuse  bool   `json:"refuse"`  // 503 without effect
	Leaving bool   `json:"leaving"` // 503 with X-Leaving without effect
	// Count is the number of requests that the control is for; 0 for all.
	Count int `json:"count"`

	delay time.Duration
}

// effect is one line of GET /effects.
type effect struct {
	Key   string `json:"key"`
	Path  string `json:"path"`
	Count int    `json:"count"`
}

type place struct{ key, path string }

// Server is the stand-in service, an http.Handler. Its zero value is ready.
// Every request with a method other than GET, HEAD and OPTIONS has an effect;
// its key is the Idempotency-Key header, or else X-Request-Id.
type Server struct {
	mu      sync.Mutex
	control control
	counts  map[place]int
	order   []place
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control" && r.Method == http.MethodPost:
		s.set(w, r)
	case r.URL.Path == "/effects" && r.Method == http.MethodGet:
		write(w, http.StatusOK, s.effects())
	default:
		s.work(w, r)
	}
}

func (s *Server) set(w http.ResponseWriter, r *http.Request) {
	var next control
	err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&next)
	if err == nil && next.Delay != "" {
		next.delay, err = time.ParseDuration(next.Delay)
	}
	if err != nil {
		write(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	s.control = next
	s.mu.Unlock()
	write(w, http.StatusOK, next)
}

// next returns the control for one request.
func (s *Server) next() control {
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

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	c := s.next()
	if c.Refuse || c.Leaving {
		if c.Leaving {
			w.Header().Set("X-Leaving", "true")
		}
		write(w, http.StatusServiceUnavailable, map[string]string{"error": "refused"})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		write(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("X-Request-Id")
	}
	n := 0
	if r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions {
		n = s.count(place{key, r.URL.Path})
	}
	if c.Hang {
		<-r.Context().Done()
		return
	}
	if c.delay > 0 {
		timer := time.NewTimer(c.delay)
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
		half(w, answer)
		return
	}
	write(w, http.StatusOK, answer)
}

func (s *Server) count(p place) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[place]int)
	}
	if s.counts[p] == 0 {
		s.order = append(s.order, p)
	}
	s.counts[p]++
	return s.counts[p]
}

// effects returns the counts in the order of the first effects.
func (s *Server) effects() []effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]effect, 0, len(s.order))
	for _, p := range s.order {
		list = append(list, effect{Key: p.key, Path: p.path, Count: s.counts[p]})
	}
	return list
}

// half announces the whole answer, sends a part and closes the connection.
func half(w http.ResponseWriter, answer any) {
	b, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
