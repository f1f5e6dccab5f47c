package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"zinniapond.example/zinniapond"
)

// bodyLimit bounds request bodies: the largest prompts have 140,000 tokens.
const bodyLimit = 16 << 20

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model    string            `json:"model"`
	Messages []message         `json:"messages"`
	Most     zinniapond.Tokens `json:"max_tokens"`
	Stream   bool              `json:"stream"`
	Priority zinniapond.Class  `json:"priority"`
}

type usage struct {
	Prompt     zinniapond.Tokens `json:"prompt_tokens"`
	Completion zinniapond.Tokens `json:"completion_tokens"`
	Total      zinniapond.Tokens `json:"total_tokens"`
	Details    struct {
		Cached zinniapond.Tokens `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type chatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (s *Server) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// ServeHTTP serves the interface of the engines.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.prepare()
	if s.routes == nil {
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/chat/completions", s.chat)
		mux.HandleFunc("GET /load", s.serveLoad)
		mux.HandleFunc("GET /events", s.serveEvents)
		mux.HandleFunc("POST /release", s.serveRelease)
		mux.HandleFunc("POST /cancel", s.serveCancel)
		mux.HandleFunc("POST /orders", s.serveOrder)
		mux.HandleFunc("GET /cache/export", s.serveExport)
		mux.HandleFunc("POST /cache/import", s.serveImport)
		mux.HandleFunc("POST /control", s.serveControl)
		s.routes = mux
	}
	routes := s.routes
	s.mu.Unlock()
	routes.ServeHTTP(w, r)
}

// decode reads a JSON body, or answers 400.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, fmt.Sprintf("decode body: %v", err))
		return false
	}
	return true
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client has gone if it fails
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": reason}})
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.now()
	s.advance(now, func(time.Time, *job) {})
	s.mu.Unlock()
	answer(w, s.Report(now))
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil && r.FormValue("from") != "" {
		refuse(w, http.StatusBadRequest, "from is not a number")
		return
	}
	answer(w, s.Events(s.now(), from))
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Program zinniapond.ProgramID `json:"program"`
	}
	if decode(w, r, &in) {
		s.Release(s.now(), in.Program)
		answer(w, struct{}{})
	}
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Request zinniapond.AttemptID `json:"request"`
	}
	if decode(w, r, &in) {
		answer(w, map[string]bool{"cancelled": s.Cancel(s.now(), in.Request)})
	}
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var in zinniapond.Order
	if !decode(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Fences && in.Fence < s.fence {
		refuse(w, http.StatusConflict, fmt.Sprintf("fence %d is older than %d", in.Fence, s.fence))
		return
	}
	s.fence = max(s.fence, in.Fence)
	switch in.Kind {
	case zinniapond.OrderLoad:
		s.Model = in.Model
	case zinniapond.OrderUnload:
		s.Model = ""
	case zinniapond.OrderRole:
	default:
		refuse(w, http.StatusBadRequest, "unknown kind of order")
		return
	}
	answer(w, map[string]zinniapond.PoolName{"model": s.Model})
}

// blocks is an exported cache.
type blocks struct {
	Program zinniapond.ProgramID `json:"program"`
	Blocks  []uint64             `json:"blocks"`
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	program := zinniapond.ProgramID(r.FormValue("program"))
	answer(w, blocks{Program: program, Blocks: s.cache.export(program)})
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var in blocks
	if !decode(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.use(s.now(), in.Program, in.Blocks)
	answer(w, map[string]int{"blocks": len(in.Blocks)})
}

// serveControl changes only what the body names.
func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Slow    *float64 `json:"slow"`
		Leaving *bool    `json:"leaving"`
		Hang    *bool    `json:"hang"`
	}
	if !decode(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slow, leaving, hang := s.slow, s.leaving, s.hang
	if in.Slow != nil {
		slow = *in.Slow
	}
	if in.Leaving != nil {
		leaving = *in.Leaving
	}
	if in.Hang != nil {
		hang = *in.Hang
	}
	s.set(s.now(), slow, leaving, hang)
	answer(w, map[string]any{"slow": slow, "leaving": leaving, "hang": hang})
}
