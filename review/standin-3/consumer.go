package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const routeHost = "rules.example"

// attempt is one attempt of a consumer.
type attempt struct {
	id, path, method, body        string
	program, session, previous    string
	lastEventID, resumes, prefix  string
	budget, maxTokens             int
	deadline, finish              time.Duration
	key                           string
	sentAt, firstEventAt, endedAt time.Time
	status                        int
	complete                      bool
	err                           error
	events                        []string
	lastID                        string
	retryAfter                    time.Duration
	stamp, text                   string
	front                         string
}

var sequence atomic.Int64

func newID(kind string) string { return fmt.Sprintf("%s-%04d", kind, sequence.Add(1)) }

var consumerClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends an attempt through a front on a new connection, and reads its answer.
func (c *cluster) send(h *host, a *attempt) *attempt {
	if a.method == "" {
		a.method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, a.method, fmt.Sprintf("http://%s:%d%s", h.ip, c.servePort, a.path), nil)
	check(err)
	if a.method == http.MethodPost {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(a.body)), int64(len(a.body))
	}
	q.Host = routeHost
	set := func(name, value string) {
		if value != "" {
			q.Header.Set(name, value)
		}
	}
	set("X-Attempt-Id", a.id)
	set("X-Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	set("X-Program-Id", a.program)
	set("X-Session-Id", a.session)
	set("X-Previous-Turn", a.previous)
	set("Last-Event-Id", a.lastEventID)
	set("Resumes", a.resumes)
	set("X-Prompt-Prefix", a.prefix)
	if a.finish != 0 {
		set("X-Finish-Ms", strconv.FormatInt(a.finish.Milliseconds(), 10))
	}
	if a.budget > 0 {
		set("X-Token-Budget", strconv.Itoa(a.budget))
	}
	if a.maxTokens > 0 {
		set("X-Token-Usage", fmt.Sprintf("%d,%d", 1000, a.maxTokens))
		set("X-Model", "m")
	}
	if a.key != "" {
		set("Authorization", "Bearer "+a.key)
	}
	a.front, a.sentAt = h.name, time.Now()
	answer, err := consumerClient.Do(q)
	if err == nil {
		a.status, a.stamp = answer.StatusCode, answer.Header.Get("X-Server-Stamp")
		if s, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(s * float64(time.Second))
		}
		err = a.read(answer)
		_ = answer.Body.Close()
		a.complete = err == nil
	}
	a.endedAt, a.err = time.Now(), err
	what := "whole"
	if !a.complete {
		what = fmt.Sprintf("not whole: %v", err)
	}
	c.record.line("%s through %s%s: status %d after %s, %d events, %s, Retry-After %s%s", a.id, h.name, pick(a.previous != "", ", continues "+a.previous, ""), a.status,
		a.endedAt.Sub(a.sentAt).Round(time.Millisecond), len(a.events), what, a.retryAfter, pick(a.status >= 300, fmt.Sprintf(", %.150q", a.text), ""))
	return a
}

func pick(isFirst bool, first, second string) string {
	if isFirst {
		return first
	}
	return second
}

func (a *attempt) read(answer *http.Response) error {
	if !strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(answer.Body)
		a.text = string(text)
		return err
	}
	r := bufio.NewReader(answer.Body)
	data := ""
	for {
		line, err := r.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		switch line = strings.TrimRight(line, "\r\n"); {
		case strings.HasPrefix(line, "id: "):
			a.lastID = line[4:]
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "" && data != "":
			if len(a.events) == 0 {
				a.firstEventAt = time.Now()
			}
			a.events, data = append(a.events, data), ""
		}
	}
}
