package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"zinniapond.example/zinniapond"
)

// maxBodyBytes bounds request bodies; the largest prompts have 140,000 tokens.
const maxBodyBytes = 16 << 20

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []message         `json:"messages"`
	MaxTokens zinniapond.Tokens `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Priority  zinniapond.Class  `json:"priority"`
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
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
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

// ServeHTTP serves the HTTP interface of an engine, and POST /control, which
// slows the server, makes it leave or makes it hang.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.initialise()
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

// decodeBody reads a JSON body. If that fails, it answers with status 400 and
// returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("decode body: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // an error means that the client has disconnected
}

func writeError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": reason}})
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.now()
	s.advance(now, func(time.Time, *job) {})
	s.mu.Unlock()
	writeJSON(w, s.Report(now))
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil && r.FormValue("from") != "" {
		writeError(w, http.StatusBadRequest, "from is not a number")
		return
	}
	writeJSON(w, s.Events(s.now(), from))
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Program zinniapond.ProgramID `json:"program"`
	}
	if decodeBody(w, r, &in) {
		s.Release(s.now(), in.Program)
		writeJSON(w, struct{}{})
	}
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Request zinniapond.AttemptID `json:"request"`
	}
	if decodeBody(w, r, &in) {
		writeJSON(w, map[string]bool{"cancelled": s.Cancel(s.now(), in.Request)})
	}
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var in zinniapond.Order
	if !decodeBody(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ChecksFence && in.Fence < s.highestFence {
		writeError(w, http.StatusConflict, fmt.Sprintf("fence %d is older than %d", in.Fence, s.highestFence))
		return
	}
	s.highestFence = max(s.highestFence, in.Fence)
	switch in.Kind {
	case zinniapond.OrderLoad:
		s.Model = in.Model
	case zinniapond.OrderUnload:
		s.Model = ""
	case zinniapond.OrderRole:
	default:
		writeError(w, http.StatusBadRequest, "unknown kind of order")
		return
	}
	writeJSON(w, map[string]zinniapond.PoolName{"model": s.Model})
}

// exportedBlocks has the cache blocks of one program, for export and import.
type exportedBlocks struct {
	Program zinniapond.ProgramID `json:"program"`
	Blocks  []uint64             `json:"blocks"`
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	program := zinniapond.ProgramID(r.FormValue("program"))
	writeJSON(w, exportedBlocks{Program: program, Blocks: s.cache.export(program)})
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var in exportedBlocks
	if !decodeBody(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.insert(s.now(), in.Program, in.Blocks)
	writeJSON(w, map[string]int{"blocks": len(in.Blocks)})
}

// serveControl changes only the settings that the body contains.
func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Slow    *float64 `json:"slow"`
		Leaving *bool    `json:"leaving"`
		Hang    *bool    `json:"hang"`
	}
	if !decodeBody(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slow, leaving, hang := s.slowdown, s.leaving, s.hanging
	if in.Slow != nil {
		slow = *in.Slow
	}
	if in.Leaving != nil {
		leaving = *in.Leaving
	}
	if in.Hang != nil {
		hang = *in.Hang
	}
	s.setFaults(s.now(), slow, leaving, hang)
	writeJSON(w, map[string]any{"slow": slow, "leaving": leaving, "hang": hang})
}
