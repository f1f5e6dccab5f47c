// Package events splits a stream of server-sent events into complete events.
package events

import (
	"bytes"
	"fmt"

	"zinniapond.example/zinniapond"
)

// maxEventBytes bounds one event. A stream with a larger one is broken off.
const maxEventBytes = 1 << 20

// Parser buffers the bytes of a stream that are not yet consumed. Its zero value is
// ready for use.
type Parser struct {
	buffer []byte
	// searched is the length of the beginning of buffer that has no end of an event.
	searched int
}

// Add appends bytes of the stream.
func (p *Parser) Add(part []byte) { p.buffer = append(p.buffer, part...) }

// Size returns the size in bytes of the buffer.
func (p *Parser) Size() int { return cap(p.buffer) }

// Complete splits off all complete events: raw is their text with the blank lines that
// end them, and is valid until the next call of Add. The error wraps
// ErrBackendFailed if the event that has begun is too large.
func (p *Parser) Complete() (raw []byte, err error) {
	end := 0
	for {
		// An end of an event has up to four bytes, of which three may have been
		// searched before.
		from := max(p.searched-3, end)
		length, ok := findEnd(p.buffer[from:])
		if !ok {
			break
		}
		end = from + length
		p.searched = end
	}
	raw = p.buffer[:end:end]
	p.buffer = p.buffer[end:]
	p.searched = len(p.buffer)
	if len(p.buffer) > maxEventBytes {
		err = fmt.Errorf("event of more than %d bytes: %w", maxEventBytes, zinniapond.ErrBackendFailed)
	}
	return raw, err
}

// Next splits the first event off complete events. raw includes the closing blank
// line; ok is false at the end.
func Next(data []byte) (raw, rest []byte, ok bool) {
	end, ok := findEnd(data)
	if !ok {
		return nil, data, false
	}
	return data[:end], data[end:], true
}

// findEnd returns the length of the first event, with the blank line that ends it.
func findEnd(data []byte) (int, bool) {
	at := bytes.Index(data, []byte("\n\n"))
	end := at + 2
	if crlf := bytes.Index(data, []byte("\r\n\r\n")); crlf >= 0 && (at < 0 || crlf < at) {
		at, end = crlf, crlf+4
	}
	return end, at >= 0
}

// HasPartialEvent reports whether the buffer has the beginning of an incomplete
// event.
func (p *Parser) HasPartialEvent() bool { return len(bytes.TrimSpace(p.buffer)) > 0 }

// Fields returns the id and the data of an event. Multiple data lines are joined by
// line feeds. hasData is false for an event without a data line, such as a comment.
func Fields(raw []byte) (id string, data []byte, hasData bool) {
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id = string(value)
		case "data":
			if hasData {
				data = append(data, '\n')
			}
			data, hasData = append(data, value...), true
		}
	}
	return id, data, hasData
}
