package openai

import (
	"bytes"
	"encoding/json"
	"fmt"

	"zinniapond.example/zinniapond"
)

// maxEventBytes is the maximum size of one event; an engine sends an event for
// each token or few tokens.
const maxEventBytes = 4 << 20

// parser splits a stream of server-sent events and extracts its end and the
// token usage. After an error it returns no more events.
type parser struct {
	pending []byte
	ended   bool // the end event was received
	usage   zinniapond.Usage
	err     error
}

// completion holds the decoded fields of an answer or of one event of a stream.
type completion struct {
	Usage *struct {
		Prompt    zinniapond.Tokens `json:"prompt_tokens"`
		Generated zinniapond.Tokens `json:"completion_tokens"`
		Details   struct {
			Cached zinniapond.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// usage returns the token counts. Negative counts become zero, and the cached
// tokens are at most the prompt's.
func (c completion) usage() zinniapond.Usage {
	if c.Usage == nil {
		return zinniapond.Usage{}
	}
	u := zinniapond.Usage{
		Prompt:    max(c.Usage.Prompt, 0),
		Generated: max(c.Usage.Generated, 0),
	}
	u.Cached = min(max(c.Usage.Details.Cached, 0), u.Prompt)
	return u
}

// feed adds received bytes and returns the events that are now complete, each
// with its terminating blank line. After the end event it returns nothing.
func (p *parser) feed(b []byte) [][]byte {
	p.pending = append(p.pending, b...)
	var events [][]byte
	for !p.ended && p.err == nil {
		n := eventLength(p.pending)
		if n > maxEventBytes || n == 0 && len(p.pending) > maxEventBytes {
			p.err = fmt.Errorf("event has more than %d bytes", maxEventBytes)
		}
		if n == 0 || p.err != nil {
			break
		}
		event := bytes.Clone(p.pending[:n])
		p.pending = p.pending[n:]
		if p.parseEvent(event); p.err == nil {
			events = append(events, event)
		}
	}
	return events
}

// eventLength returns the length of the first event in b with its blank line, or
// 0 if the event is incomplete.
func eventLength(b []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[i:i+n], []byte("\r"))
		i += n + 1
		if len(line) == 0 {
			return i
		}
	}
}

// eventData returns the concatenated data lines of an event.
func eventData(event []byte) []byte {
	var data []byte
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if name, value, _ := bytes.Cut(line, []byte(":")); string(name) == "data" {
			data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		}
	}
	return data
}

// isEndEvent reports whether the event ends the stream.
func isEndEvent(event []byte) bool { return string(eventData(event)) == "[DONE]" }

// parseEvent decodes the data of an event and records the end event, the usage or
// an error.
func (p *parser) parseEvent(event []byte) {
	data := eventData(event)
	switch {
	case len(data) == 0:
	case string(data) == "[DONE]":
		p.ended = true
	default:
		var c completion
		if err := json.Unmarshal(data, &c); err != nil {
			p.err = fmt.Errorf("event is not JSON: %w", err)
			return
		}
		if c.Usage != nil {
			p.usage = c.usage()
		}
	}
}
