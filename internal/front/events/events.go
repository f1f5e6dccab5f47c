// Package events splits a stream of server-sent events into complete events.
package events

import "bytes"

// Parser buffers the bytes of a stream that are not yet consumed. Its zero value is
// ready for use.
type Parser struct {
	buffer []byte
}

// Add appends bytes and returns all buffered bytes, which Next splits into events.
// The result is valid until the next call of Add or SetRemainder.
func (p *Parser) Add(part []byte) []byte {
	p.buffer = append(p.buffer, part...)
	return p.buffer
}

// Next splits the first complete event off the bytes. raw includes the closing blank
// line; ok is false if there is no complete event.
func Next(data []byte) (raw, rest []byte, ok bool) {
	at := bytes.Index(data, []byte("\n\n"))
	end := at + 2
	if crlf := bytes.Index(data, []byte("\r\n\r\n")); crlf >= 0 && (at < 0 || crlf < at) {
		at, end = crlf, crlf+4
	}
	if at < 0 {
		return nil, data, false
	}
	return data[:end], data[end:], true
}

// SetRemainder drops the consumed bytes: rest is the part of the last result
// of Add that is not yet a complete event.
func (p *Parser) SetRemainder(rest []byte) {
	p.buffer = append(p.buffer[:0], rest...)
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
