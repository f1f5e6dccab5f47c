// Package logs decodes the log lines of hosts, in the text and JSON formats of hclog.
package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
)

// Parser decodes log lines. It has no state.
type Parser struct{}

// line is a log line with its fields as text.
type line struct {
	at              time.Time
	module, message string
	fields          map[string]string
}

// messages maps the messages that matter to the kinds of their events.
var messages = map[string]zinniapond.LogEventKind{
	"not served": zinniapond.LogNotServed, "request body not read": zinniapond.LogNotServed,
	"served late": zinniapond.LogServedLate, "key rejected": zinniapond.LogKeysRejected,
	"stopping": zinniapond.LogHostStopping, "stopping at once": zinniapond.LogHostStopping, "host stopped": zinniapond.LogHostStopped,
}

// attempt matches the address of a replica in a list of attempts.
var attempt = regexp.MustCompile(`@(\[[0-9a-f:.]+\]:\d+|[0-9.]+:\d+):`)

// Parse decodes one line without its line end. The error wraps ErrMalformed and has no
// part of the line.
func (p Parser) Parse(text []byte) (zinniapond.LogEvent, error) {
	var l line
	var err error
	if bytes.HasPrefix(text, []byte("{")) {
		l, err = p.parseJSON(text)
	} else {
		l, err = p.parseText(string(text))
	}
	if err != nil {
		return zinniapond.LogEvent{}, fmt.Errorf("parse log line: %w", err)
	}
	return l.event()
}

func malformed(what string) error {
	return fmt.Errorf("%s: %w", what, zinniapond.ErrMalformed)
}

// parseText decodes "TIME [LEVEL] MODULE: MESSAGE: KEY=VALUE ...", in which the time may
// be missing.
func (p Parser) parseText(text string) (l line, err error) {
	header, rest, ok := strings.Cut(text, "[")
	if !ok {
		return l, malformed("level")
	}
	if header != "" {
		if l.at, err = time.Parse(hclog.TimeFormat, strings.TrimSuffix(header, " ")); err != nil {
			return l, malformed("time")
		}
	}
	level, rest, ok := strings.Cut(rest, "]")
	if !ok || hclog.LevelFromString(level) == hclog.NoLevel {
		return l, malformed("level")
	}
	l.module, rest, ok = strings.Cut(strings.TrimLeft(rest, " "), ": ")
	if !ok {
		l.module, l.message = "", l.module // a line of the log itself
		return l, nil
	}
	l.message, rest, ok = strings.Cut(rest, ": ")
	if !ok {
		return l, nil
	}
	if _, ok := messages[l.message]; ok {
		l.fields, err = parseFields(rest)
	}
	return l, err
}

// parseFields decodes KEY=VALUE pairs. Values may be quoted.
func parseFields(text string) (map[string]string, error) {
	fields := make(map[string]string)
	for text = strings.TrimLeft(text, " "); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, ok := strings.Cut(text, "=")
		if !ok || key == "" || strings.ContainsAny(key, ` "`) {
			return nil, malformed("field")
		}
		if !strings.HasPrefix(rest, `"`) {
			fields[key], text, _ = strings.Cut(rest, " ")
			continue
		}
		end := quoteEnd(rest)
		if end < 0 {
			return nil, malformed("quoted value")
		}
		value, err := strconv.Unquote(rest[:end])
		if err != nil { // hclog does not escape backslashes
			value = strings.ReplaceAll(rest[1:end-1], `\"`, `"`)
		}
		fields[key], text = value, rest[end:]
	}
	return fields, nil
}

// quoteEnd returns the index behind the quoted value at the begin of the text, or -1.
func quoteEnd(text string) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

func (p Parser) parseJSON(text []byte) (l line, err error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(text, &object); err != nil {
		return l, malformed("JSON")
	}
	l.fields = make(map[string]string, len(object))
	for key, value := range object {
		var s string
		if json.Unmarshal(value, &s) != nil {
			s = string(value)
		}
		l.fields[key] = s
	}
	l.module, l.message = l.fields["@module"], l.fields["@message"]
	if l.message == "" {
		return l, malformed("message")
	}
	if at := l.fields["@timestamp"]; at != "" {
		if l.at, err = time.Parse(hclog.TimeFormatJSON, at); err != nil {
			return l, malformed("time")
		}
	}
	return l, nil
}

// event returns what the line says.
func (l *line) event() (e zinniapond.LogEvent, err error) {
	e.Kind, e.At, e.Requests = messages[l.message], l.at, 1
	if host, _, ok := cutLast(l.module, "."); ok {
		e.Host = zinniapond.HostName(host)
	} else if e.Kind == zinniapond.LogHostStopping || e.Kind == zinniapond.LogHostStopped {
		e.Host = zinniapond.HostName(l.module) // these lines are of the process, not of a part
	}
	e.Program, e.Route, e.Pool = zinniapond.ProgramID(l.fields["program"]), l.fields["route"], zinniapond.PoolName(l.fields["pool"])
	e.Tried, e.Reason = l.fields["tried"], l.fields["error"]
	switch e.Kind {
	case zinniapond.LogKeysRejected:
		others := 0
		if text, ok := l.fields["others"]; ok {
			if others, err = strconv.Atoi(text); err != nil || others < 0 {
				return e, malformed("parse log line: field others")
			}
		}
		e.Requests += others
	case zinniapond.LogNotServed, zinniapond.LogServedLate:
		var limited time.Duration
		for _, f := range []struct {
			name string
			to   *time.Duration
		}{{"restored", &e.Restored}, {"first", &e.First}, {"limited", &limited}, {"tokens", &e.Tokens}} {
			if *f.to, err = parseDuration(l.fields[f.name]); err != nil {
				return e, malformed("parse log line: field " + f.name)
			}
		}
		if _, ok := l.fields["tokens"]; !ok {
			e.Tokens = limited // an earlier version, which does not tell them apart
		}
		e.Permits = limited - e.Tokens
		if m := attempt.FindStringSubmatch(e.Tried); m != nil {
			if e.Replica, err = netip.ParseAddrPort(m[1]); err != nil {
				return e, malformed("parse log line: field tried")
			}
		}
	}
	return e, nil
}

// parseDuration decodes a duration, which is a number of nanoseconds in JSON. A missing
// one is 0.
func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return time.Duration(n), nil
	}
	return time.ParseDuration(text)
}

func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(separator):], true
}
