package openai

import (
	"bytes"
	"encoding/json"
	"fmt"

	"zinniapond.example/zinniapond"
)

// eventMost bounds one event; an engine sends one for each token or few.
const eventMost = 4 << 20

// parser splits a stream of server-sent events and notes what the scheduler
// needs to know of them.
type parser struct {
	rest  []byte
	done  bool // the end event has come
	usage zinniapond.Usage
	err   error
}

// completion is what is read of an answer or of one event of it.
type completion struct {
	Usage *struct {
		Prompt    zinniapond.Tokens `json:"prompt_tokens"`
		Generated zinniapond.Tokens `json:"completion_tokens"`
		Details   struct {
			Cached zinniapond.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// usage returns the counts, none below zero.
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

// feed adds bytes and returns the events that are now whole, each with its
// blank line. After the end event it returns nothing.
func (p *parser) feed(b []byte) [][]byte {
	p.rest = append(p.rest, b...)
	var events [][]byte
	for !p.done && p.err == nil {
		n := end(p.rest)
		if n > eventMost || n == 0 && len(p.rest) > eventMost {
			p.err = fmt.Errorf("event has more than %d bytes", eventMost)
		}
		if n == 0 || p.err != nil {
			break
		}
		event := bytes.Clone(p.rest[:n])
		p.rest = p.rest[n:]
		if p.note(event); p.err == nil {
			events = append(events, event)
		}
	}
	return events
}

// end returns the length of the first event with its blank line, or 0.
func end(b []byte) int {
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

// dataOf returns the data of an event.
func dataOf(event []byte) []byte {
	var data []byte
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if name, value, _ := bytes.Cut(line, []byte(":")); string(name) == "data" {
			data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		}
	}
	return data
}

// isEnd tells whether the event ends the stream.
func isEnd(event []byte) bool { return string(dataOf(event)) == "[DONE]" }

// note reads the data of an event.
func (p *parser) note(event []byte) {
	data := dataOf(event)
	switch {
	case len(data) == 0:
	case string(data) == "[DONE]":
		p.done = true
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
