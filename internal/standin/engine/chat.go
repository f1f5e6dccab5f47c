package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// usualMost is the length bound of a request without max_tokens.
	usualMost = 128
	// part is the number of tokens in one part of a stream.
	part = 4
	// nap is how long a handler waits while the engine hangs or a request
	// waits; any change ends the wait earlier.
	nap = 250 * time.Millisecond
)

// chat answers a completion request. A second request with the same id gets
// the same answer from its beginning, so that a broken stream can be resumed.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var in chatRequest
	if !decode(w, r, &in) {
		return
	}
	var prompt []byte
	for _, m := range in.Messages {
		prompt = append(prompt, m.Role...)
		prompt = append(prompt, 0)
		prompt = append(prompt, m.Content...)
		prompt = append(prompt, 0)
	}
	size, prefix, sum := hashes(prompt)
	setDefault(&in.Most, usualMost)
	need := zinniapond.Need{
		Program: zinniapond.ProgramID(r.Header.Get("X-Program")),
		Class:   in.Priority, Prompt: size, Prefix: prefix,
		// The length is a function of the prompt, too.
		Most: max(in.Most/2, 1) + zinniapond.Tokens(sum%uint64(in.Most/2+1)),
	}
	need.Most = min(need.Most, in.Most)
	attempt := zinniapond.AttemptID(r.Header.Get("X-Request-Id"))
	s.mu.Lock()
	s.clean(s.now())
	if attempt == "" {
		s.numbers++
		attempt = zinniapond.AttemptID(fmt.Sprintf("request-%d", s.numbers))
	}
	j := s.begin(s.now(), attempt, need)
	model := s.Model
	s.mu.Unlock()
	if j == nil {
		w.Header().Set("X-Leaving", "true")
		refuse(w, http.StatusServiceUnavailable, "server is leaving")
		return
	}
	out := &output{w: w, id: string(attempt), model: string(model), prompt: sum, stream: in.Stream}
	for {
		made, done, wait, changed := s.watch(j, out.sent)
		if s.isCancelled(j) {
			out.cancelled()
			return
		}
		if made > out.sent && (in.Stream || done) {
			out.write(made)
		}
		if done {
			out.finish(j.usage)
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-r.Context().Done():
			// The request runs on for a client that comes back.
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// clean forgets requests that ended long ago.
func (s *Server) clean(now time.Time) {
	s.advance(now, func(time.Time, *job) {})
	for id, j := range s.jobs {
		if j.done && now.Sub(j.ended) > resumable {
			delete(s.jobs, id)
		}
	}
}

// watch brings the engine to the present and returns the progress of a
// request and how long to wait for the next part.
func (s *Server) watch(j *job, sent int) (made int, done bool, wait time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(s.now(), func(time.Time, *job) {})
	wait = nap
	prefill, decode := s.speeds()
	switch {
	case decode == 0:
	case j.decoding:
		target := min(float64(sent+part), float64(j.usage.Generated))
		wait = time.Duration(max(target-j.made, 0) / decode * float64(time.Second))
	case s.batch.prefilling() == j:
		wait = time.Duration(j.fresh / prefill * float64(time.Second))
	default:
		if _, span := s.pending(); span > 0 {
			wait = span
		}
	}
	return int(j.made), j.done, max(wait, time.Millisecond), s.changed
}

func (s *Server) isCancelled(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.cancelled
}

// output writes one answer, whole or in parts.
type output struct {
	w      http.ResponseWriter
	id     string
	model  string
	prompt uint64
	stream bool
	sent   int
	body   string
}

func (o *output) write(made int) {
	content := text(o.prompt, o.sent, made)
	o.sent = made
	if !o.stream {
		o.body += content
		return
	}
	o.event(chatAnswer{Choices: []choice{{Delta: &message{Role: "assistant", Content: content}}}})
}

func (o *output) event(a chatAnswer) {
	a.ID, a.Model, a.Object = o.id, o.model, "chat.completion.chunk"
	encoded, err := json.Marshal(a)
	if err != nil {
		return // plain types always encode
	}
	o.w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", encoded)
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (o *output) finish(used zinniapond.Usage) {
	stop := "stop"
	u := &usage{Prompt: used.Prompt, Completion: used.Generated, Total: used.Total()}
	u.Details.Cached = used.Cached
	if o.stream {
		o.event(chatAnswer{Choices: []choice{{Delta: &message{}, Finish: &stop}}, Usage: u})
		_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
		return
	}
	answer(o.w, chatAnswer{
		ID: o.id, Model: o.model, Object: "chat.completion", Usage: u,
		Choices: []choice{{Message: &message{Role: "assistant", Content: o.body}, Finish: &stop}},
	})
}

// cancelled ends a request that was cancelled; a stream breaks off.
func (o *output) cancelled() {
	if o.sent == 0 {
		refuse(o.w, http.StatusConflict, "request was cancelled")
		return
	}
	panic(http.ErrAbortHandler)
}
