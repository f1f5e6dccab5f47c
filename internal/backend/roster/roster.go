// Package roster reads the platform's list of backend servers.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Roster, error) {
		return &Roster{
			List: k.Settings.Platform.List, Refresh: k.Settings.Platform.Refresh,
			Logger: k.Logger.Named("roster"), Clock: k.Now,
		}, nil
	})
}

const (
	// listMost bounds the list; 600 replicas take about 100 kB.
	listMost = 8 << 20
	// readLimit bounds one reading from a URL.
	readLimit = 3 * time.Second
	// markTime is how long a server's own word outweighs a list that still
	// calls it live. The platform's list lags by seconds; a server that is
	// still leaving after that time says so again.
	markTime = time.Minute
)

// Roster is the list as this host has it. Its exported fields are set before
// Run.
type Roster struct {
	List    string
	Refresh time.Duration
	Logger  hclog.Logger
	Clock   func() time.Time

	mu       sync.Mutex
	sequence uint64
	listed   []zinniapond.Backend
	marks    map[netip.AddrPort]time.Time
	shown    []zinniapond.Backend // listed with marks; never changed once published
	changed  chan struct{}
}

// Run reads the list until ctx is done. A list that cannot be read leaves the
// last one in force.
func (r *Roster) Run(ctx context.Context) error {
	tick := time.NewTicker(r.Refresh)
	defer tick.Stop()
	var last string
	for {
		problem := ""
		if err := r.refresh(ctx); err != nil && ctx.Err() == nil {
			problem = err.Error()
		}
		if problem != last {
			// One line for each change, not for each reading.
			if problem != "" {
				r.Logger.Warn("list of backend servers not read", "error", problem)
			} else {
				r.Logger.Info("list of backend servers read again")
			}
			last = problem
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (r *Roster) refresh(ctx context.Context) error {
	text, err := r.read(ctx)
	if err != nil {
		return fmt.Errorf("read platform list: %w", err)
	}
	sequence, list, err := decode(text)
	if err != nil {
		return fmt.Errorf("read platform list: %w", err)
	}
	return r.take(r.Clock(), sequence, list)
}

func (r *Roster) read(ctx context.Context) ([]byte, error) {
	if !strings.Contains(r.List, "://") {
		f, err := os.Open(r.List)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		return bounded(f)
	}
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.List, nil)
	if err != nil {
		return nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", answer.StatusCode)
	}
	return bounded(answer.Body)
}

func bounded(from io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(from, listMost+1))
	if err == nil && len(b) > listMost {
		err = fmt.Errorf("more than %d bytes", listMost)
	}
	return b, err
}

// decode reads the list. One bad entry refuses the whole list: a part of it
// would look like servers that have left.
func decode(text []byte) (uint64, []zinniapond.Backend, error) {
	var list struct {
		Sequence uint64               `json:"sequence"`
		Backends []zinniapond.Backend `json:"backends"`
	}
	// Unmarshal, unlike a Decoder, refuses text after the list, as a file that
	// is written over a longer one may have.
	if err := json.Unmarshal(text, &list); err != nil {
		return 0, nil, err
	}
	if list.Sequence == 0 || list.Backends == nil {
		return 0, nil, fmt.Errorf("sequence or backends is missing")
	}
	seen := make(map[netip.AddrPort]bool)
	for i, b := range list.Backends {
		switch {
		case !b.Address.IsValid() || b.Address.Port() == 0:
			return 0, nil, fmt.Errorf("backend %d: address is missing", i)
		case seen[b.Address]:
			return 0, nil, fmt.Errorf("backend %d: %s is listed twice", i, b.Address)
		case b.Kind != zinniapond.KindEngine && b.Kind != zinniapond.KindService:
			return 0, nil, fmt.Errorf("backend %d: kind %q; allowed: engine, service", i, b.Kind)
		case b.Pool == "":
			return 0, nil, fmt.Errorf("backend %d: pool is missing", i)
		case b.State == "":
			list.Backends[i].State = zinniapond.BackendLive
		case b.State != zinniapond.BackendLive && b.State != zinniapond.BackendLeaving:
			return 0, nil, fmt.Errorf("backend %d: state %q; allowed: live, leaving", i, b.State)
		}
		seen[b.Address] = true
	}
	sort.Slice(list.Backends, func(i, j int) bool {
		return list.Backends[i].Address.Compare(list.Backends[j].Address) < 0
	})
	return list.Sequence, list.Backends, nil
}

// take puts a list in force unless it is older than the present one.
func (r *Roster) take(now time.Time, sequence uint64, list []zinniapond.Backend) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sequence < r.sequence {
		return fmt.Errorf("sequence %d is older than %d, which is in force", sequence, r.sequence)
	}
	r.sequence, r.listed = sequence, list
	r.show(now)
	return nil
}

// Mark records that a server says of itself that it is leaving or live.
func (r *Roster) Mark(now time.Time, server netip.AddrPort, state zinniapond.BackendState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.marks == nil {
		r.marks = make(map[netip.AddrPort]time.Time)
	}
	if state == zinniapond.BackendLeaving {
		r.marks[server] = now
	} else {
		delete(r.marks, server)
	}
	r.show(now)
}

// show publishes the list with the marks. It is called under the lock.
func (r *Roster) show(now time.Time) {
	for a, at := range r.marks {
		if now.Sub(at) >= markTime {
			delete(r.marks, a)
		}
	}
	next := make([]zinniapond.Backend, len(r.listed))
	for i, b := range r.listed {
		if _, ok := r.marks[b.Address]; ok {
			b.State = zinniapond.BackendLeaving
		}
		next[i] = b
	}
	if r.shown != nil && equal(r.shown, next) {
		return
	}
	r.shown = next
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func equal(a, b []zinniapond.Backend) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Backends returns the servers by address. The caller does not change it.
func (r *Roster) Backends() []zinniapond.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shown
}

// Changed returns a channel that is closed at the next change of Backends.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}
