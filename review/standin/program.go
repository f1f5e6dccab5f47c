package main

import (
	"net/http"
	"strconv"
	"time"
)

// program is an agent program with one line of turns.
type program struct {
	id, session string
	started     time.Time
}

func newProgram() program { return program{newID(), newID(), time.Now()} }

// turnRequest returns a turn of the program. input is its new input.
func (p program) turnRequest(input, previous string) request {
	const finish = 110 * time.Second
	fields := map[string]string{
		"X-Program-Id": p.id, "X-Session-Id": p.session, "X-Finish-Ms": strconv.FormatInt((finish - time.Since(p.started)).Milliseconds(), 10),
		"X-Token-Budget": "4736", "X-Token-Usage": "1840,592", "X-Model": "m", "X-Prompt-Prefix": "5c1e07a2:800," + p.session + ":410",
	}
	if previous != "" {
		fields["X-Previous-Turn"] = previous
	}
	return request{method: http.MethodPost, path: "/pufi791/4b", fields: fields, body: input, timeout: 4 * time.Second}
}
