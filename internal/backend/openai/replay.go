package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// errAnswerDiffers is the error of a resumed stream whose content differs from
// the content already passed on.
var errAnswerDiffers = errors.New("resumed answer differs from the part already passed on")

// replayFilter removes from a resumed stream the part that was already passed
// on. An engine repeats the answer to a request id from its beginning, but may
// divide it into different events, so contents are compared and not bytes.
type replayFilter struct {
	content       []byte // content passed on
	finishPassed  bool   // the event with the finish reason was passed on
	incomparable  bool   // there were other choices or fields than content, which are not compared
	otherPassed   int    // events without content that were passed on
	isResumed     bool
	repeatedBytes int // length of the content that the resumed stream has had so far
	otherRepeated int // events without content in the resumed stream
}

// chunk holds the decoded fields of an event.
type chunk struct {
	Choices []struct {
		Delta  map[string]json.RawMessage `json:"delta"`
		Finish *string                    `json:"finish_reason"`
	} `json:"choices"`
}

// beginResume resets the positions before a resumed stream is read.
func (p *replayFilter) beginResume() { p.isResumed, p.repeatedBytes, p.otherRepeated = true, 0, 0 }

// filter returns the new part of an event, or nil if the event only repeats what
// was passed on. An error means that the resumed stream cannot be joined.
func (p *replayFilter) filter(event []byte) ([]byte, error) {
	var c chunk
	if isEndEvent(event) {
		return event, nil
	}
	if json.Unmarshal(eventData(event), &c) != nil || len(c.Choices) == 0 {
		if p.otherRepeated++; p.otherRepeated <= p.otherPassed {
			return nil, nil
		}
		p.otherPassed++
		return event, nil
	}
	choice := c.Choices[0]
	var content string
	for name, value := range choice.Delta {
		switch {
		case string(value) == "null" || name == "role":
		case name == "content" && json.Unmarshal(value, &content) == nil:
		default:
			p.incomparable = true
		}
	}
	p.incomparable = p.incomparable || len(c.Choices) > 1
	hasFinish := choice.Finish != nil
	if !p.isResumed {
		p.content = append(p.content, content...)
		p.finishPassed = p.finishPassed || hasFinish
		return event, nil
	}
	expected := p.content[min(p.repeatedBytes, len(p.content)):]
	overlap := min(len(expected), len(content))
	if p.incomparable || !strings.HasPrefix(content, string(expected[:overlap])) {
		return nil, errAnswerDiffers
	}
	p.repeatedBytes += len(content)
	p.content = append(p.content, content[overlap:]...)
	switch isRepeated := overlap == len(content); {
	case hasFinish && p.repeatedBytes < len(p.content):
		return nil, errAnswerDiffers
	case hasFinish && p.finishPassed, isRepeated && !hasFinish:
		return nil, nil
	case overlap == 0:
		p.finishPassed = p.finishPassed || hasFinish
		return event, nil
	}
	p.finishPassed = p.finishPassed || hasFinish
	return replaceContent(event, content[overlap:])
}

// replaceContent returns the event with the given content in its first choice.
func replaceContent(event []byte, content string) ([]byte, error) {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(eventData(event)))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return nil, err
	}
	choices, _ := fields["choices"].([]any)
	if len(choices) == 0 {
		return nil, errAnswerDiffers
	}
	choice, _ := choices[0].(map[string]any)
	delta, ok := choice["delta"].(map[string]any)
	if !ok {
		return nil, errAnswerDiffers
	}
	delta["content"] = content
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "data: %s\n\n", text), nil
}
