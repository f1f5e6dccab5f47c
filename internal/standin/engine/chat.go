package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// defaultMaxTokens bounds the answer to a request without max_tokens.
	defaultMaxTokens = 128
	// chunkTokens is the number of tokens for which a streamed answer waits
	// before it sends the next event.
	chunkTokens = 4
	// pollInterval is the wait between two checks of a request while the engine
	// hangs or the request is queued. A cancellation or a change of the
	// engine's speed ends the wait earlier.
	pollInterval = 250 * time.Millisecond
)

// chat serves a completion request. A second request with the same X-Request-Id
// gets the same answer from its beginning, so that a client can resume a broken
// stream.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var in chatRequest
	if !decodeBody(w, r, &in) {
		return
	}
	var prompt []byte
	for _, m := range in.Messages {
		prompt = append(prompt, m.Role...)
		prompt = append(prompt, 0)
		prompt = append(prompt, m.Content...)
		prompt = append(prompt, 0)
	}
	promptTokens, prefix, promptHash := hashPrompt(prompt)
	setDefault(&in.MaxTokens, defaultMaxTokens)
	need := zinniapond.PickInfo{
		Program: zinniapond.ProgramID(r.Header.Get("X-Program")),
		Class:   in.Priority, PromptTokens: promptTokens, PrefixHashes: prefix,
		// The answer's length is derived from the prompt, as its text is.
		MaxGenerated: max(in.MaxTokens/2, 1) + zinniapond.Tokens(promptHash%uint64(in.MaxTokens/2+1)),
	}
	need.MaxGenerated = min(need.MaxGenerated, in.MaxTokens)
	attempt := zinniapond.AttemptID(r.Header.Get("X-Request-Id"))
	s.mu.Lock()
	s.removeExpiredJobs(s.now())
	if attempt == "" {
		s.lastNumber++
		attempt = zinniapond.AttemptID(fmt.Sprintf("request-%d", s.lastNumber))
	}
	j := s.submit(s.now(), attempt, need)
	model := s.Model
	s.mu.Unlock()
	if j == nil {
		w.Header().Set("X-Leaving", "true")
		writeError(w, http.StatusServiceUnavailable, "server is leaving")
		return
	}
	out := &output{w: w, id: string(attempt), model: string(model), promptHash: promptHash, stream: in.Stream}
	for {
		generated, done, wait, changed := s.pollProgress(j, out.sentTokens)
		if s.isCancelled(j) {
			out.abort()
			return
		}
		if generated > out.sentTokens && (in.Stream || done) {
			out.writeTokens(generated)
		}
		if done {
			out.finish(j.usage)
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-r.Context().Done():
			// The request keeps running, so that the client can resume it.
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// removeExpiredJobs forgets requests that can no longer be resumed.
func (s *Server) removeExpiredJobs(now time.Time) {
	s.advance(now, func(time.Time, *job) {})
	for id, j := range s.jobs {
		if j.done && now.Sub(j.ended) > resumable {
			delete(s.jobs, id)
		}
	}
}

// pollProgress advances the engine to the present. It returns how many tokens a
// request has generated, whether the request has ended, how long to wait before
// the next check, and a channel whose closing ends the wait earlier.
func (s *Server) pollProgress(j *job, sentTokens int) (generated int, done bool, wait time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(s.now(), func(time.Time, *job) {})
	wait = pollInterval
	prefill, decode := s.tokenRates()
	switch {
	case decode == 0:
	case j.decoding:
		target := min(float64(sentTokens+chunkTokens), float64(j.usage.Generated))
		wait = time.Duration(max(target-j.generated, 0) / decode * float64(time.Second))
	case s.batch.prefillingJob() == j:
		wait = time.Duration(j.unprefilled / prefill * float64(time.Second))
	default:
		if _, span := s.nextChange(); span > 0 {
			wait = span
		}
	}
	return int(j.generated), j.done, max(wait, time.Millisecond), s.changed
}

func (s *Server) isCancelled(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.cancelled
}

// output writes the answer to one request, as one JSON object or as a stream of
// events.
type output struct {
	w          http.ResponseWriter
	id         string
	model      string
	promptHash uint64
	stream     bool
	sentTokens int
	body       string
}

func (o *output) writeTokens(generated int) {
	content := answerText(o.promptHash, o.sentTokens, generated)
	o.sentTokens = generated
	if !o.stream {
		o.body += content
		return
	}
	o.writeEvent(chatAnswer{Choices: []choice{{Delta: &message{Role: "assistant", Content: content}}}})
}

func (o *output) writeEvent(a chatAnswer) {
	a.ID, a.Model, a.Object = o.id, o.model, "chat.completion.chunk"
	encoded, err := json.Marshal(a)
	if err != nil {
		return // cannot happen: all fields of chatAnswer can be encoded
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
		o.writeEvent(chatAnswer{Choices: []choice{{Delta: &message{}, FinishReason: &stop}}, Usage: u})
		_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
		return
	}
	writeJSON(o.w, chatAnswer{
		ID: o.id, Model: o.model, Object: "chat.completion", Usage: u,
		Choices: []choice{{Message: &message{Role: "assistant", Content: o.body}, FinishReason: &stop}},
	})
}

// abort ends the answer to a cancelled request: with status 409 if nothing has
// been sent, otherwise by aborting the stream.
func (o *output) abort() {
	if o.sentTokens == 0 {
		writeError(o.w, http.StatusConflict, "request was cancelled")
		return
	}
	panic(http.ErrAbortHandler)
}
