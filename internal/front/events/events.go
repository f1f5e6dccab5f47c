// Package events splits a stream of server-sent events into whole events.
package events

import "bytes"

// Parser collects the bytes of a stream. Its zero value is ready.
type Parser struct {
	held []byte
}

// Add takes bytes and returns the bytes of the whole events that they complete.
// The result is valid until the next call.
func (p *Parser) Add(part []byte) []byte {
	p.held = append(p.held, part...)
	return p.held
}

// Next splits the first whole event off the bytes. raw has its closing blank
// line; ok is false if there is no whole event.
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

// Keep drops what was consumed: rest is the part of the last result of Add that
// is not a whole event yet.
func (p *Parser) Keep(rest []byte) {
	p.held = append(p.held[:0], rest...)
}

// Open tells whether the stream has stopped within an event.
func (p *Parser) Open() bool { return len(bytes.TrimSpace(p.held)) > 0 }

// Fields returns the id and the data of an event. Several data lines are joined
// by line feeds.
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
