package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// resumeAfter is the event after which the channel breaks.
const resumeAfter = 3

func init() { scenarios["resume"] = playResume }

// playResume kills the front in the middle of a turn's stream. The consumer resumes the
// stream at another front, and the program goes on.
func playResume(w *world) (bool, error) {
	configuration := strings.Replace(configurationText(60), `"resumable":false`, `"resumable":true`, 1)
	if err := w.startDeployment(configuration, 3, 0); err != nil {
		return false, err
	}
	w.provider.eventGap = 150 * time.Millisecond
	fronts := w.class("front")
	p := newProgram()
	q := p.turnRequest("input 1\n", "")
	firstID := newID()
	output, err := w.readEvents(fronts[0], firstID, q, func(number int) {
		if w.trouble && number == resumeAfter {
			fronts[0].signal(syscall.SIGKILL)
		}
	})
	w.add("turn 1: attempt %s at %s: %d events, end %v", firstID, fronts[0].name, len(output), err)
	lastID := firstID
	if err != nil {
		q.fields["Last-Event-Id"] = fmt.Sprint(len(output))
		lastID = newID()
		rest, err := w.readEvents(fronts[1], lastID, q, func(int) {})
		w.add("turn 1 resumed after event %d: attempt %s at %s: %d events, end %v", len(output), lastID, fronts[1].name, len(rest), err)
		if err != nil {
			return false, fmt.Errorf("the stream was not resumed: %w", err)
		}
		output = append(output, rest...)
	}
	if len(output) != eventCount {
		return false, fmt.Errorf("the consumer has %d events of %d", len(output), eventCount)
	}
	w.add("the consumer has the whole answer: %q", output)
	second, _, _ := w.turn(fronts[2], "turn 2", p.turnRequest("input 2\n", lastID))
	if second.status != http.StatusOK || !second.complete {
		return false, fmt.Errorf("turn 2 failed: %s", second)
	}
	want := "input 1\n" + strings.Join(output, "\n") + "\n" + "input 2\n"
	got := w.provider.runsOf(second.id)[0].body
	w.add("body of turn 2 at the replica: %q", got)
	w.add("the chain's inputs and outputs: %q", want)
	return got != want, nil
}

// readEvents sends a turn and returns the data of the events that arrive. The error is
// nil if the stream ends as it has to.
func (w *world) readEvents(m *machine, id string, q request, received func(number int)) ([]string, error) {
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
			received(len(output))
		}
	}
	return output, lines.Err()
}
