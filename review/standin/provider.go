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
	"sync/atomic"
	"time"
)

// provider is the stand-in for the provider's list of replicas, with the replicas.
type provider struct {
	world   *world
	address string

	mu       sync.Mutex
	replicas []*replica
	foreign  []any // entries of another writer
	eventGap time.Duration
	// spoilAfter is the number of events after which a replica spoils the stream of an
	// attempt, by the id of the attempt. It goes on working then, whatever happens to
	// the channel.
	spoilAfter map[string]int
	runs       map[string][]execution
}

// execution is one request on which a replica has begun to work.
type execution struct {
	replica string
	body    string
	resumes string // Last-Event-Id of the request
	at      time.Time
	ended   time.Time // zero while the replica works on it
}

// replica is the stand-in for one replica.
type replica struct {
	provider          *provider
	id, service, zone string
	address           string
	slots, queue      int
	server            *http.Server
	running, refused  atomic.Int64
	// closeEach is the number of refusals of which one has Connection: close; 0 for none.
	closeEach int64
	// places has an element for each request that runs; the others are queued.
	places chan struct{}
}

// tokensPerEvent is the number of tokens for which an event counts.
const tokensPerEvent = 16

func newProvider(w *world) (*provider, error) {
	p := &provider{world: w, runs: make(map[string][]execution), eventGap: 20 * time.Millisecond, spoilAfter: make(map[string]int)}
	l, err := net.Listen("tcp", w.address(2)+":0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serveList)
	go func() { _ = http.Serve(l, mux) }()
	return p, nil
}

// addReplicas starts replicas of a service.
func (p *provider) addReplicas(service string, count, slots int) error {
	for number := range count {
		l, err := net.Listen("tcp", p.world.address(60)+":0")
		if err != nil {
			return err
		}
		r := &replica{
			provider: p, id: fmt.Sprintf("i-%s-%d", service, number+1), service: service,
			zone: zones[number%len(zones)], address: l.Addr().String(), slots: slots, queue: 3 * slots, places: make(chan struct{}, slots),
		}
		r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
		go func() { _ = r.server.Serve(l) }()
		p.mu.Lock()
		p.replicas = append(p.replicas, r)
		p.mu.Unlock()
	}
	return nil
}

func (p *provider) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := append([]any{}, p.foreign...)
	for _, r := range p.replicas {
		entry := map[string]any{
			"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
			"state": "ready", "coldRemainingMs": 0, "stage": "both", "models": []any{},
		}
		if r.isModel() {
			entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
		}
		entries = append(entries, entry)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

// recordRun records that a replica begins to work on an attempt, and returns the function
// that records the end.
func (p *provider) recordRun(id string, v execution) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	number := len(p.runs[id])
	p.runs[id] = append(p.runs[id], v)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.runs[id][number].ended = time.Now()
	}
}

func (p *provider) runsOf(id string) []execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]execution(nil), p.runs[id]...)
}

// busiest returns the largest share of its slots that a replica of the service uses.
func (p *provider) busiest(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0.0
	for _, r := range p.replicas {
		if r.service == service {
			most = max(most, float64(r.running.Load())/float64(r.slots))
		}
	}
	return most
}

// serve answers as the pages say: a replica refuses what is meant for another one, and
// what has no id. A path that ends in /wait/MS is worked on for that time.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	expected := q.Header.Get("X-Expect-Instance")
	switch {
	case q.URL.Path == "/health":
		h.Set("X-Instance-Id", r.id)
		return
	case q.URL.Path == "/report":
		r.report(w)
		return
	case expected != "" && expected != r.id:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.running.Add(1) > int64(r.slots+r.queue) {
		r.running.Add(-1)
		r.refuse(h)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.running.Add(-1)
	select {
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	case r.places <- struct{}{}:
	}
	defer func() { <-r.places }()
	defer r.provider.recordRun(id, execution{replica: r.id, body: string(body), resumes: q.Header.Get("Last-Event-Id"), at: time.Now()})()
	h.Set("X-Server-Stamp", r.id+"."+id)
	if r.isModel() {
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		r.stream(w, id, last)
		return
	}
	work := 15 * time.Millisecond
	if _, text, ok := strings.Cut(q.URL.Path, "/wait/"); ok {
		if d, err := time.ParseDuration(text + "ms"); err == nil {
			work = d
		}
	}
	select {
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(work):
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

// isModel reports whether the replica runs a model.
func (r *replica) isModel() bool { return r.service != "app" }

// refuse makes an answer that of a replica that is full.
func (r *replica) refuse(h http.Header) {
	h.Set("X-Not-Executed", "1")
	if n := r.refused.Add(1); r.closeEach > 0 && n%r.closeEach == 0 {
		h.Set("Connection", "close")
	}
}

// report answers with the requests that the replica works on.
func (r *replica) report(w http.ResponseWriter) {
	r.provider.mu.Lock()
	defer r.provider.mu.Unlock()
	runs := []any{}
	for id, list := range r.provider.runs {
		for _, v := range list {
			if v.replica == r.id && v.ended.IsZero() {
				runs = append(runs, []any{id, 0, 0, 5})
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "running": len(runs),
		"kvUsed": 0, "kvTotal": 847663, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "next": 0, "runs": runs,
	})
}

// eventCount is the number of events of a stream.
const eventCount = 6

func eventData(id string, number int) string { return fmt.Sprintf("%s-%d", id, number) }

// stream sends the events after the one with the number last.
func (r *replica) stream(w http.ResponseWriter, id string, last int) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	controller := http.NewResponseController(w)
	r.provider.mu.Lock()
	spoilAfter := r.provider.spoilAfter[id]
	delete(r.provider.spoilAfter, id)
	r.provider.mu.Unlock()
	for number := last + 1; number <= eventCount; number++ {
		time.Sleep(r.provider.eventGap)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, eventData(id, number))
		if controller.Flush() != nil {
			return
		}
		if number == spoilAfter {
			r.spoil(controller, (eventCount-number)*int(r.provider.eventGap/time.Millisecond))
			return
		}
	}
}

// outputOf returns what a turn has generated, as the next turn has to repeat it.
func outputOf(id string) string {
	text := ""
	for number := 1; number <= eventCount; number++ {
		text += eventData(id, number) + "\n"
	}
	return text
}

// spoil sends bytes that are no part of an answer in the place of the next part of a
// stream, and works on for the rest of the stream.
func (r *replica) spoil(controller *http.ResponseController, restMs int) {
	c, buffer, err := controller.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = buffer.WriteString("\x00\x01no part of an answer\r\n")
	_ = buffer.Flush()
	time.Sleep(time.Duration(restMs) * time.Millisecond)
}
