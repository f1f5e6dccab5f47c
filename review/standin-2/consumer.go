package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Tokens of a prompt, as in the users' smallest deployment. An input may have many bytes a
// token, such as a scanned document.
const (
	sharedTokens = 12_600
	ownTokens    = 1_680
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// turn is a request of an agent program.
type turn struct {
	id, program, session, previous string
	host, path                     string
	body                           []byte
	limit                          time.Duration
	budget, most                   int
}

// answer is what a consumer gets.
type answer struct {
	status int
	whole  bool // the answer has ended as complete
	output []byte
	events int
	text   string // of an error
	stamp  string
	err    error
}

// newConsumer returns a consumer that opens a channel for each request if keep is not set.
func newConsumer(keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// send sends a turn to a front and reads the answer to its end.
func send(client *http.Client, front *machine, t turn) answer {
	ctx, cancel := context.WithTimeout(context.Background(), t.limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.address(frontPort)+t.path, bytes.NewReader(t.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = t.host
	h := request.Header
	h.Set("X-Attempt-Id", t.id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(t.limit.Milliseconds(), 10))
	if t.program != "" {
		h.Set("X-Program-Id", t.program)
		h.Set("X-Session-Id", t.session)
		h.Set("X-Finish-Ms", "30000")
	}
	if t.budget > 0 {
		h.Set("X-Token-Budget", strconv.Itoa(t.budget))
	}
	if t.most > 0 {
		h.Set("X-Model", "m")
		h.Set("X-Token-Usage", strconv.Itoa(sharedTokens+ownTokens)+","+strconv.Itoa(t.most))
		h.Set("X-Prompt-Prefix", "5c1e07a2:"+strconv.Itoa(sharedTokens)+","+t.session+":"+strconv.Itoa(ownTokens))
	}
	if t.previous != "" {
		h.Set("X-Previous-Turn", t.previous)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, stamp: response.Header.Get("X-Server-Stamp")}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(response.Body)
		a.text, a.err, a.whole = strings.TrimSpace(string(text)), err, err == nil
		return a
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if data, ok := strings.CutPrefix(line, "data: "); ok && strings.HasSuffix(line, "\n") {
			a.output = append(a.output, data...)
			a.events++
		}
		if err != nil {
			a.whole = errors.Is(err, io.EOF)
			if !a.whole {
				a.err = err
			}
			return a
		}
	}
}
