package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
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

// readEvents sends a turn and returns the data of the events that arrive. The error is
// nil if the stream ends as it has to.
func (w *world) readEvents(m *machine, id string, q request) ([]string, error) {
	c, err := dial(m)
	if err != nil {
		return nil, err
	}
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(q.timeout))
	if _, err := c.conn.Write(encode(id, q)); err != nil {
		return nil, err
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", r.StatusCode)
	}
	var output []string
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			output = append(output, data)
		}
	}
	return output, lines.Err()
}
