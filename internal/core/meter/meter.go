// Package meter serves counters and latency histograms to whoever watches a
// host.
package meter

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (*Meter, error) {
		m := &Meter{Settings: k.Settings, Logger: k.Logger.Named("metrics")}
		m.Publish("latencies")
		return m, nil
	})
}

const (
	// longest is the largest latency that is told apart, in microseconds.
	longest = int64(time.Minute / time.Microsecond)
	// digits is the precision of a latency.
	digits      = 2
	headerLimit = 5 * time.Second
)

// Meter has a histogram for each name. Its exported fields are set before Run.
type Meter struct {
	Settings *zinniapond.Settings
	Logger   hclog.Logger

	histograms shard.Map[string, *histogram]
}

type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Observe adds a latency. A nil meter observes nothing.
func (m *Meter) Observe(name string, took time.Duration) {
	if m == nil {
		return
	}
	h := m.histograms.GetOrCreate(name, func() *histogram {
		return &histogram{values: hdrhistogram.New(1, longest, digits)}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the histogram's range, so there is no error.
	_ = h.values.RecordValue(min(max(took.Microseconds(), 1), longest))
}

// summary is the form of a histogram; latencies are in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// String returns all histograms as JSON and makes Meter an expvar.Var.
func (m *Meter) String() string {
	all := make(map[string]summary)
	m.histograms.Each(func(name string, h *histogram) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		at := func(p float64) float64 { return float64(h.values.ValueAtPercentile(p)) / 1000 }
		all[name] = summary{h.values.TotalCount(), h.values.Mean() / 1000, at(50), at(95), at(99), at(100)}
		return true
	})
	text, err := json.Marshal(all)
	if err != nil {
		return "{}"
	}
	return string(text)
}

// Publish shows the histograms under /debug/vars, if the name is free: expvar
// has one name space for each process.
func (m *Meter) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, m)
	}
}

// Run serves metrics, if the settings have an address for them, until ctx is
// done.
func (m *Meter) Run(ctx context.Context) error {
	if !m.Settings.Metrics.IsValid() {
		<-ctx.Done()
		return nil
	}
	l, err := net.Listen("tcp", m.Settings.Metrics.String())
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
