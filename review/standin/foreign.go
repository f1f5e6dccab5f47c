package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ordersAtOnce is the number of orders that arrive together.
const ordersAtOnce = 6

// foreignServer is a server of another system, at an address that another writer has
// entered in the list. It takes every request as its own.
type foreignServer struct {
	address string

	mu       sync.Mutex
	requests []string
}

func newForeignServer(w *world) (*foreignServer, error) {
	l, err := net.Listen("tcp", w.address(61)+":0")
	if err != nil {
		return nil, err
	}
	f := &foreignServer{address: l.Addr().String()}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			w.add("the foreign server runs %s %s, attempt %s, body %q", q.Method, q.URL.Path, q.Header.Get("X-Attempt-Id"), body)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.requests = append(f.requests, q.Header.Get("X-Attempt-Id"))
		}))
	}()
	return f, nil
}

func init() { scenarios["foreign"] = playForeign }

// playForeign enters an entry of another writer in the provider's list: it lacks the
// fields version, slots and coldRemainingMs.
func playForeign(w *world) (bool, error) {
	f, err := newForeignServer(w)
	if err != nil {
		return false, err
	}
	if err := w.startDeployment(configurationText(60), 3, 3); err != nil {
		return false, err
	}
	if w.trouble {
		entry := map[string]any{"id": "x-1", "service": "app", "address": f.address, "zone": zones[0], "state": "ready"}
		w.add("another writer enters %v", entry)
		w.provider.mu.Lock()
		w.provider.foreign = []any{entry}
		w.provider.mu.Unlock()
	}
	// Both the list and the configuration are in force everywhere by then.
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var served, failed atomic.Int64
	for n := range 21 * ordersAtOnce {
		m := w.class("front")[n/ordersAtOnce%7]
		group.Go(func() {
			q := request{method: http.MethodPost, path: "/dero117/wait/50", body: fmt.Sprint("order ", n), timeout: 2 * time.Second}
			a := w.attempt(m, q)
			w.add("order %d: attempt %s at %s: %s, runs at replicas %d", n, a.id, m.name, a, len(w.provider.runsOf(a.id)))
			if a.status == http.StatusOK {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
		if n%ordersAtOnce == ordersAtOnce-1 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	w.add("%d orders were served, %d not; the foreign server has run %d", served.Load(), failed.Load(), len(f.requests))
	return len(f.requests) > 0, nil
}
