package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// instance is an entry of the provider's list.
type instance struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"coldRemainingMs"`
	Stage           string  `json:"stage"`
	Models          []any   `json:"models"`
}

// provider serves the list of replicas.
type provider struct {
	mu        sync.Mutex
	instances []instance
}

func (p *provider) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.instances, "next": nil})
	})
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (p *provider) add(i instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, i)
}
