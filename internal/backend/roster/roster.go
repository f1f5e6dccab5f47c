// Package roster reads the platform's list of backend servers from a file or URL
// and combines it with what the servers report of themselves.
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
			ListLocation: k.Settings.Platform.ListLocation, RefreshInterval: k.Settings.Platform.RefreshInterval,
			Logger: k.Logger.Named("roster"), Clock: k.Now,
		}, nil
	})
}

const (
	// maxListBytes is the maximum size of the list; 600 replicas take about
	// 100 kB.
	maxListBytes = 8 << 20
	// readTimeout bounds one read of the list from a URL.
	readTimeout = 3 * time.Second
	// markDuration is how long a server's own report that it is leaving overrides
	// a list that still has it as live. The platform's list lags by seconds; a
	// server that is still leaving after that time reports it again.
	markDuration = time.Minute
)

// Roster is the list as this host has it, refreshed from ListLocation, which
// is a path or a URL. Its exported fields are set before Run.
type Roster struct {
	ListLocation    string
	RefreshInterval time.Duration
	Logger          hclog.Logger
	Clock           func() time.Time

	mu                sync.Mutex
	sequence          uint64
	listed            []zinniapond.Backend
	leavingReportedAt map[netip.AddrPort]time.Time
	published         []zinniapond.Backend // listed with the states of leavingReportedAt; never changed once published
	changed           chan struct{}
}

// Run reads the list at each refresh until ctx is done. If the list cannot be
// read, the last one stays in force.
func (r *Roster) Run(ctx context.Context) error {
	tick := time.NewTicker(r.RefreshInterval)
	defer tick.Stop()
	var lastProblem string
	for {
		problem := ""
		if err := r.refresh(ctx); err != nil && ctx.Err() == nil {
			problem = err.Error()
		}
		if problem != lastProblem {
			// Logs only changes, not each refresh.
			if problem != "" {
				r.Logger.Warn("list of backend servers not read", "error", problem)
			} else {
				r.Logger.Info("list of backend servers read again")
			}
			lastProblem = problem
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
	return r.apply(r.Clock(), sequence, list)
}

func (r *Roster) read(ctx context.Context) ([]byte, error) {
	if !strings.Contains(r.ListLocation, "://") {
		f, err := os.Open(r.ListLocation)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		return readBounded(f)
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.ListLocation, nil)
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
	return readBounded(answer.Body)
}

func readBounded(from io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(from, maxListBytes+1))
	if err == nil && len(b) > maxListBytes {
		err = fmt.Errorf("more than %d bytes", maxListBytes)
	}
	return b, err
}

// decode decodes and validates the list and returns its sequence number and the
// servers, sorted by address. One invalid entry rejects the whole list: in a
// partial list the missing servers would look as if they had left.
func decode(text []byte) (uint64, []zinniapond.Backend, error) {
	var list struct {
		Sequence uint64               `json:"sequence"`
		Backends []zinniapond.Backend `json:"backends"`
	}
	// Unlike a Decoder, Unmarshal rejects text after the list, which a file has
	// when the list was written over a longer one.
	if err := json.Unmarshal(text, &list); err != nil {
		return 0, nil, err
	}
	if list.Sequence == 0 || list.Backends == nil {
		return 0, nil, fmt.Errorf("sequence or backends is missing")
	}
	addresses := make(map[netip.AddrPort]bool)
	for i, b := range list.Backends {
		switch {
		case !b.Address.IsValid() || b.Address.Port() == 0:
			return 0, nil, fmt.Errorf("backend %d: address is missing", i)
		case addresses[b.Address]:
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
		addresses[b.Address] = true
	}
	sort.Slice(list.Backends, func(i, j int) bool {
		return list.Backends[i].Address.Compare(list.Backends[j].Address) < 0
	})
	return list.Sequence, list.Backends, nil
}

// apply puts a list in force. It returns an error if the list is older than the
// present one.
func (r *Roster) apply(now time.Time, sequence uint64, list []zinniapond.Backend) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sequence < r.sequence {
		return fmt.Errorf("sequence %d is older than %d, which is in force", sequence, r.sequence)
	}
	r.sequence, r.listed = sequence, list
	r.publish(now)
	return nil
}

// SetState records that a server reports itself as leaving or live.
func (r *Roster) SetState(now time.Time, server netip.AddrPort, state zinniapond.BackendState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leavingReportedAt == nil {
		r.leavingReportedAt = make(map[netip.AddrPort]time.Time)
	}
	if state == zinniapond.BackendLeaving {
		r.leavingReportedAt[server] = now
	} else {
		delete(r.leavingReportedAt, server)
	}
	r.publish(now)
}

// MarkLeaving records that a server has said that it is leaving. It says so again in
// each answer, so the report is kept like those of SetState.
func (r *Roster) MarkLeaving(now time.Time, server zinniapond.Backend) {
	r.SetState(now, server.Address, zinniapond.BackendLeaving)
}

// publish drops expired reports, combines the list with the remaining ones and,
// if the result has changed, closes the channel of Changed. The caller holds the
// lock.
func (r *Roster) publish(now time.Time) {
	for a, at := range r.leavingReportedAt {
		if now.Sub(at) >= markDuration {
			delete(r.leavingReportedAt, a)
		}
	}
	next := make([]zinniapond.Backend, len(r.listed))
	for i, b := range r.listed {
		if _, ok := r.leavingReportedAt[b.Address]; ok {
			b.State = zinniapond.BackendLeaving
		}
		next[i] = b
	}
	if r.published != nil && equalBackends(r.published, next) {
		return
	}
	r.published = next
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func equalBackends(a, b []zinniapond.Backend) bool {
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

// Backends returns the servers sorted by address. The caller must not change the
// slice.
func (r *Roster) Backends() []zinniapond.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published
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
