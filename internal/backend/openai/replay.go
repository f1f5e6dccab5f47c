package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// errDiffers marks a resumed stream with another content.
var errDiffers = errors.New("resumed answer differs from the part passed on")

// replay joins a resumed stream to the part that was passed on. An engine
// repeats the answer to a request id from its beginning, but divides it into
// other events, so that contents are compared and not bytes.
type replay struct {
	text     []byte // content passed on
	finished bool   // the event with the finish reason was passed on
	odd      bool   // there was more than content, which is not compared
	others   int    // events without content that were passed on
	resumed  bool
	at       int // length of the content that the resumed stream has repeated
	seen     int // events without content in the resumed stream
}

// chunk is what is read of an event.
type chunk struct {
	Choices []struct {
		Delta  map[string]json.RawMessage `json:"delta"`
		Finish *string                    `json:"finish_reason"`
	} `json:"choices"`
}

// resume prepares for the repetition.
func (p *replay) resume() { p.resumed, p.at, p.seen = true, 0, 0 }

// pass returns the part of an event that is new; nil if it is a repetition.
func (p *replay) pass(event []byte) ([]byte, error) {
	var c chunk
	if isEnd(event) {
		return event, nil
	}
	if json.Unmarshal(dataOf(event), &c) != nil || len(c.Choices) == 0 {
		if p.seen++; p.seen <= p.others {
			return nil, nil
		}
		p.others++
		return event, nil
	}
	first := c.Choices[0]
	var content string
	for name, value := range first.Delta {
		switch {
		case string(value) == "null" || name == "role":
		case name == "content" && json.Unmarshal(value, &content) == nil:
		default:
			p.odd = true
		}
	}
	p.odd = p.odd || len(c.Choices) > 1
	finish := first.Finish != nil
	if !p.resumed {
		p.text = append(p.text, content...)
		p.finished = p.finished || finish
		return event, nil
	}
	have := p.text[min(p.at, len(p.text)):]
	n := min(len(have), len(content))
	if p.odd || !strings.HasPrefix(content, string(have[:n])) {
		return nil, errDiffers
	}
	p.at += len(content)
	p.text = append(p.text, content[n:]...)
	switch repeated := n == len(content); {
	case finish && p.at < len(p.text):
		return nil, errDiffers
	case finish && p.finished, repeated && !finish:
		return nil, nil
	case n == 0:
		p.finished = p.finished || finish
		return event, nil
	}
	p.finished = p.finished || finish
	return cut(event, content[n:])
}

// cut returns the event with another content.
func cut(event []byte, content string) ([]byte, error) {
	var whole map[string]any
	decoder := json.NewDecoder(bytes.NewReader(dataOf(event)))
	decoder.UseNumber()
	if err := decoder.Decode(&whole); err != nil {
		return nil, err
	}
	choices, _ := whole["choices"].([]any)
	if len(choices) == 0 {
		return nil, errDiffers
	}
	choice, _ := choices[0].(map[string]any)
	delta, ok := choice["delta"].(map[string]any)
	if !ok {
		return nil, errDiffers
	}
	delta["content"] = content
	text, err := json.Marshal(whole)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "data: %s\n\n", text), nil
}
