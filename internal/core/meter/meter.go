// Package meter records latency histograms and serves them with the other expvar
// metrics of a host over HTTP.
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
	// maxLatencyMicros is the largest value of a histogram; longer latencies are
	// recorded as this one.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	// significantDigits is the number of significant decimal digits of a
	// recorded latency.
	significantDigits = 2
	headerTimeout     = 5 * time.Second
	// transferTimeout bounds the time for receiving a request and for sending its answer.
	// A client that takes a byte now and then would hold the answer in memory.
	transferTimeout = 10 * time.Second
	idleTimeout     = time.Minute
	// stopTimeout bounds the time for which open requests are answered at a stop.
	stopTimeout = time.Second
)

// Meter holds a latency histogram for each name. Its exported fields are set
// before Run.
type Meter struct {
	Settings *zinniapond.Settings
	Logger   hclog.Logger

	histograms shard.Map[string, *histogram]
}

type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Observe records a latency in the histogram of the given name. It does nothing
// on a nil Meter.
func (m *Meter) Observe(name string, latency time.Duration) {
	if m == nil {
		return
	}
	h := m.histograms.GetOrCreate(name, func() *histogram {
		return &histogram{values: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values outside of the histogram's range.
	_ = h.values.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
}

// summary is the JSON form of a histogram. Latencies are in milliseconds.
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
	summaries := make(map[string]summary)
	m.histograms.Each(func(name string, h *histogram) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		percentileMs := func(p float64) float64 { return float64(h.values.ValueAtPercentile(p)) / 1000 }
		summaries[name] = summary{h.values.TotalCount(), h.values.Mean() / 1000, percentileMs(50), percentileMs(95), percentileMs(99), percentileMs(100)}
		return true
	})
	text, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(text)
}

// Publish exports the histograms at /debug/vars under the given name. It does
// nothing if the name is taken: expvar has one name space for each process.
func (m *Meter) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, m)
	}
}

// Run serves /debug/vars at the metrics address of the settings, if there is one,
// until ctx is done.
func (m *Meter) Run(ctx context.Context) error {
	if !m.Settings.MetricsAddress.IsValid() {
		<-ctx.Done()
		return nil
	}
	l, err := net.Listen("tcp", m.Settings.MetricsAddress.String())
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return serve(ctx, l, expvar.Handler())
}

// serve serves until ctx is done, and then gives open requests stopTimeout to finish.
func serve(ctx context.Context, l net.Listener, variables http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", variables)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: transferTimeout, WriteTimeout: transferTimeout, IdleTimeout: idleTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := server.Shutdown(limited)
	if err != nil {
		err = server.Close() // of clients that do not take their answers
	}
	return errors.Join(err, ignoreClosed(<-served))
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
