package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replicaList is the stand-in for the platform's list of replicas.
type replicaList struct {
	address string
	record  *recorder

	mu      sync.Mutex
	members []*replica
	count   int
	runs    []*run
	isDown  bool // the list answers nobody
}

// setDown makes the list refuse all calls, or answer them again.
func (l *replicaList) setDown(isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = isDown
	l.record.line("the replica list is down: %t", isDown)
}

// run is one request that a replica works on.
type run struct {
	attempt, replica, body, lastEventID string
	queuedAt, begun, ended              time.Time // begun is zero for a request that never left the queue
	events                              int
	closedAt                            time.Time // when its connection was closed by the other side
	outcome                             string
}

func newReplicaList(record *recorder) *replicaList {
	l := &replicaList{record: record}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(l.serve)}
	go func() { _ = server.Serve(listener) }()
	return l
}

func (l *replicaList) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	entries := []any{}
	for _, r := range l.members {
		entry := map[string]any{
			"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
			"state": pick(r.drainingAt.IsZero(), "ready", "draining"), "coldRemainingMs": 0,
		}
		if r.service != plainService {
			entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
		}
		entries = append(entries, entry)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

const (
	engineService  = "engines"
	plainService   = "tools"
	tokensPerEvent = 16
	// queueLength is the number of requests that wait at a replica.
	queueLength = 4
)

// replica is the stand-in for a replica. Its fields are set before it is added.
type replica struct {
	id, service, address, zone string
	version                    string // of its software
	slots                      int
	// work returns the pauses before each event of a stream; the last one ends it.
	work func(r *run) []time.Duration
	// failure returns the status with which a request fails after it was run, or 0.
	failure func(r *run) int

	list       *replicaList
	server     *http.Server
	drainingAt time.Time // when the list began to show it as draining; zero if it does not

	mu      sync.Mutex
	running []*run
	queued  int
	free    chan struct{}
	report  []byte // as of some time ago
	ended   chan struct{}
}

func (l *replicaList) add(r *replica) {
	l.addAt(r, "127.0.0.1:0")
}

func (l *replicaList) addAt(r *replica, address string) {
	listener, err := net.Listen("tcp", address)
	check(err)
	l.mu.Lock()
	l.count++
	r.address, r.list = listener.Addr().String(), l
	if r.version == "" {
		r.version = "v1"
	}
	if r.id == "" {
		r.id = fmt.Sprintf("i-%d", l.count)
	}
	r.zone = fmt.Sprintf("zone-%d", l.count%3+1)
	r.free, r.ended = make(chan struct{}, r.slots), make(chan struct{})
	for range r.slots {
		r.free <- struct{}{}
	}
	l.members = append(l.members, r)
	l.mu.Unlock()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	go r.takeReports()
	l.record.line("replica %s of %s listens at %s, %d slots", r.id, r.service, r.address, r.slots)
}

// crash ends a replica without notice. It stays in the list for some seconds.
func (r *replica) crash(staysListed time.Duration) {
	r.list.record.line("replica %s crashes", r.id)
	close(r.ended)
	_ = r.server.Close()
	time.AfterFunc(staysListed, func() {
		r.list.mu.Lock()
		defer r.list.mu.Unlock()
		for i, o := range r.list.members {
			if o == r {
				r.list.members = append(r.list.members[:i:i], r.list.members[i+1:]...)
				break
			}
		}
	})
}

func (r *replica) isLeaving() bool {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	return !r.drainingAt.IsZero()
}

// drain makes the list show a replica as draining.
func (r *replica) drain() {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	r.drainingAt = time.Now()
	r.list.record.line("the list shows replica %s as draining", r.id)
}

// takeReports makes the report of the replica, which says what was true 100 to 200 ms ago.
func (r *replica) takeReports() {
	previous := r.state()
	for {
		select {
		case <-r.ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		next := r.state()
		r.mu.Lock()
		r.report = previous
		r.mu.Unlock()
		previous = next
	}
}

func (r *replica) state() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := []any{}
	for _, u := range r.running {
		runs = append(runs, []any{u.attempt, 1000 + tokensPerEvent*u.events, u.events, 5})
	}
	text, _ := json.Marshal(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"queued": r.queued, "running": len(r.running), "kvUsed": 1000 * len(r.running), "kvTotal": 1000000, "handles": 0,
		"pinned": 0, "held": 0, "state": "ready", "next": 0, "runs": runs,
	})
	return text
}

func (r *replica) load() (running, queued int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running), r.queued
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", r.id)
		return
	case "/report":
		r.mu.Lock()
		text := r.report
		r.mu.Unlock()
		r.list.record.line("replica %s reports %s", r.id, text[strings.Index(string(text), `"runs"`):])
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u := &run{attempt: id, replica: r.id, body: string(body), lastEventID: q.Header.Get("Last-Event-Id"), queuedAt: time.Now()}
	limit := 30 * time.Second
	if ms, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	stop := time.After(limit)
	r.list.mu.Lock()
	r.list.runs = append(r.list.runs, u)
	r.list.mu.Unlock()
	r.list.record.line("replica %s got %s, time limit %s, Last-Event-Id %q, body %.60q", r.id, id, limit, u.lastEventID, u.body)
	gone := q.Context().Done()
	go func() {
		select {
		case <-q.Context().Done():
			r.mu.Lock()
			if u.ended.IsZero() {
				u.closedAt = time.Now()
				r.list.record.line("replica %s sees the connection of %s closed", r.id, id)
			}
			r.mu.Unlock()
		case <-r.ended:
		}
	}()
	if !r.enter(w, u, gone, stop) {
		return
	}
	defer r.leave(u)
	r.answer(w, u, gone, stop)
}

// enter waits for a slot.
func (r *replica) enter(w http.ResponseWriter, u *run, gone <-chan struct{}, stop <-chan time.Time) bool {
	refuse := func(why string) bool {
		r.mu.Lock()
		u.outcome, u.ended = "refused: "+why, time.Now()
		r.mu.Unlock()
		r.list.record.line("replica %s refuses %s: %s", r.id, u.attempt, why)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	select {
	case <-r.free:
	default:
		r.mu.Lock()
		isFull := r.queued >= queueLength
		if !isFull {
			r.queued++
		}
		r.mu.Unlock()
		if isFull {
			return refuse("full")
		}
		defer func() { r.mu.Lock(); r.queued--; r.mu.Unlock() }()
		select {
		case <-r.free:
		case <-stop:
			return refuse("time limit passed in the queue")
		case <-gone:
			return refuse("connection closed in the queue")
		case <-r.ended:
			panic(http.ErrAbortHandler)
		}
	}
	r.mu.Lock()
	u.begun = time.Now()
	r.running = append(r.running, u)
	r.mu.Unlock()
	r.list.record.line("replica %s begins to work on %s", r.id, u.attempt)
	return true
}

func (r *replica) leave(u *run) {
	r.mu.Lock()
	u.ended = time.Now()
	for i, o := range r.running {
		if o == u {
			r.running = append(r.running[:i:i], r.running[i+1:]...)
			break
		}
	}
	r.mu.Unlock()
	r.list.record.line("replica %s ends its work on %s: %s, %d events", r.id, u.attempt, u.outcome, u.events)
	r.free <- struct{}{}
}

// answer sends the events of a stream, or a short answer. The events of one attempt are
// the same at each replica.
func (r *replica) answer(w http.ResponseWriter, u *run, gone <-chan struct{}, stop <-chan time.Time) {
	pauses := r.work(u)
	w.Header().Set("X-Server-Stamp", "stamp-"+r.id+"-"+u.attempt)
	isStream := r.service != plainService
	if isStream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Weight-Versions", "1")
	}
	first, _ := strconv.Atoi(u.lastEventID)
	flusher := http.NewResponseController(w)
	for i := first; i < len(pauses); i++ {
		select {
		case <-time.After(pauses[i]):
		case <-stop:
			u.outcome = "stopped at its time limit"
			panic(http.ErrAbortHandler)
		case <-gone:
			u.outcome = "dropped, as its connection was closed"
			panic(http.ErrAbortHandler)
		case <-r.ended:
			u.outcome = "crashed"
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
		u.events++
		r.mu.Unlock()
		if r.failure != nil {
			if status := r.failure(u); status != 0 {
				u.outcome = fmt.Sprintf("run, and answered %d", status)
				w.WriteHeader(status)
				_, _ = fmt.Fprintf(w, "the work on %s was done, and failed", u.attempt)
				return
			}
		}
		if !isStream {
			_, _ = fmt.Fprintf(w, "answer to %s", u.attempt)
			break
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, u.attempt, i+1) // fails if the connection is closed
		_ = flusher.Flush()
	}
	u.outcome = "whole"
}

// runsOf returns the runs of an attempt.
func (l *replicaList) runsOf(attempt string) []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*run
	for _, u := range l.runs {
		if u.attempt == attempt {
			list = append(list, u)
		}
	}
	return list
}

// repeat returns n equal pauses.
func repeat(n int, pause time.Duration) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = pause
	}
	return list
}
