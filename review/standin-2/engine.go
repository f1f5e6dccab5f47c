package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a model replica. It runs up to slots requests at once and queues others.
type engine struct {
	id      string
	address string
	slots   int
	queue   int
	// events is the number of events of an answer, pause the time before each, and text
	// the data of each.
	events int
	pause  time.Duration
	text   string
	// keepsQueued is set for a replica that does not drop a request that waits in its
	// queue when the channel closes. Most replicas do.
	keepsQueued bool

	mu      sync.Mutex
	slow    int            // how many times as long it works; 0 for once
	running map[string]int // events made, by request
	waiting int
	places  chan struct{}
	runs    []engineRun
	report  []byte // as of some hundred ms ago
}

// engineRun is a run of a request.
type engineRun struct {
	id         string
	bodyLength int
	bodyHash   uint64
	start, end time.Time
}

// setSlow makes the replica work a number of times as long.
func (e *engine) setSlow(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
	record("replica %s works %d times as long", e.id, factor)
}

func (e *engine) eventPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pause * time.Duration(max(e.slow, 1))
}

func hashOf(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}

func (e *engine) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address, e.running, e.places = address, make(map[string]int), make(chan struct{}, e.slots)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("/", e.serve)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for {
			text := e.makeReport()
			time.Sleep(200 * time.Millisecond)
			e.mu.Lock()
			e.report = text
			e.mu.Unlock()
		}
	}()
	return nil
}

func (e *engine) makeReport() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][]any{}
	for id, made := range e.running {
		runs = append(runs, []any{id, 1000, made, 0})
	}
	text, _ := json.Marshal(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"queued": e.waiting, "running": len(e.running), "kvUsed": 0, "kvTotal": 800000, "handles": 0, "state": "ready", "runs": runs,
	})
	return text
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	text := e.report
	e.mu.Unlock()
	if text == nil {
		text = e.makeReport()
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (e *engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// takePlace waits for a slot until the time limit of the request.
func (e *engine) takePlace(r *http.Request, limit time.Duration) bool {
	select {
	case e.places <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	if e.waiting >= e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	gone := r.Context().Done()
	if e.keepsQueued {
		gone = nil
	}
	select {
	case e.places <- struct{}{}:
		return true
	case <-gone:
		record("replica %s: request %s dropped from the queue, its channel has closed", e.id, r.Header.Get("X-Attempt-Id"))
		return false
	case <-time.After(limit):
		return false
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	milliseconds, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	limit := time.Duration(milliseconds) * time.Millisecond
	until := time.Now().Add(limit)
	if !e.takePlace(r, limit) {
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.places }()
	run := engineRun{id: id, bodyLength: len(body), bodyHash: hashOf(body), start: time.Now()}
	e.mu.Lock()
	e.running[id] = 0
	e.mu.Unlock()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	defer func() {
		run.end = time.Now()
		e.mu.Lock()
		delete(e.running, id)
		e.runs = append(e.runs, run)
		e.mu.Unlock()
	}()
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%x", e.id, run.bodyHash))
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	for n := first + 1; n <= e.events; n++ {
		time.Sleep(e.eventPause())
		if time.Now().After(until) || !e.keepsQueued && r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.text)
		flusher.Flush()
		e.mu.Lock()
		e.running[id] = n
		e.mu.Unlock()
	}
}
