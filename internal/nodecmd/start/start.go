// Package start implements the command that runs a host.
package start

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/meter"
	"zinniapond.example/zinniapond/internal/core/output"
	_ "zinniapond.example/zinniapond/internal/core/plugs" // registers the plug-ins
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/core/trace"
)

// Options are the options of `node run`.
type Options struct {
	Settings string `required:"" type:"path" env:"ZINNIAPOND_SETTINGS" help:"Settings file of this host."`
}

// heapShare is the share of the memory limit from which on the garbage collector
// runs more often. The rest is for stacks of the system and for bytes that were
// received but not yet read.
const heapShare = 0.6

// diskThreads is the number of threads that run goroutines in addition to one for
// each core on a host with a disk. A thread that waits for a sync may stay bound to
// its scheduler slot for 10 ms, and on a single core all goroutines would wait too.
const diskThreads = 1

// exportTimeout limits the export of the remaining spans when the host stops.
const exportTimeout = 2 * time.Second

var errKilled = errors.New("stopped at once by a second signal")

// Run runs the host until SIGTERM or SIGINT. A second signal ends it at once.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	s, err := f.Load(o.Settings)
	if err != nil {
		return err
	}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * heapShare))
	}
	if s.DataFolder != "" {
		runtime.GOMAXPROCS(runtime.GOMAXPROCS(0) + diskThreads)
	}
	logWriter := &output.Writer{Destination: f.Out}
	defer func() { _ = logWriter.Close() }() // never fails
	logger := hclog.New(&hclog.LoggerOptions{
		Name: string(s.Host), Level: hclog.LevelFromString(s.LogLevel), Output: logWriter, TimeFn: f.Clock,
	})
	tracer, err := trace.New(ctx, s)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		if err := tracer.Stop(ctx); err != nil {
			logger.Warn("export of the last spans failed", "error", err)
		}
	}()
	k := &kernel.Kernel{Settings: s, Logger: logger, Tracer: tracer.Tracer, Clock: f.Clock}
	reload := func() (*zinniapond.Settings, error) { return f.Load(o.Settings) }
	return supervise(ctx, k, reload)
}

// reloadSettings reads the settings again. A running host applies only the log
// level. Changed seeds take effect at the next start, as a running host learns
// the members from the control log.
func reloadSettings(k *kernel.Kernel, reload func() (*zinniapond.Settings, error)) {
	s, err := reload()
	if err != nil {
		k.Logger.Error("reloading settings failed; keeping the previous settings", "error", err)
		return
	}
	k.Logger.SetLevel(hclog.LevelFromString(s.LogLevel))
	k.Logger.Info("settings reloaded", "level", s.LogLevel, "voters", fmt.Sprint(s.Control.Voters))
}

// supervise runs the kernel. SIGTERM and SIGINT stop it, and SIGHUP reloads the
// settings.
func supervise(ctx context.Context, k *kernel.Kernel, reload func() (*zinniapond.Settings, error)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- runKernel(ctx, k) }()
	k.Logger.Info("host started", "cluster", k.Settings.Cluster, "roles", fmt.Sprint(k.Settings.Roles), "pid", os.Getpid())
	for ctx.Err() == nil {
		select {
		case err := <-done:
			return err
		case <-hangups:
			reloadSettings(k, reload)
		case s := <-signals:
			k.Logger.Info("stopping", "signal", s.String(), "drain", k.Settings.DrainTimeout)
			cancel()
		}
	}
	select {
	case err := <-done:
		k.Logger.Info("host stopped")
		return err
	case s := <-signals:
		k.Logger.Warn("stopping at once", "signal", s.String())
		return errKilled
	}
}

// runKernel builds the stream server before the roles. The kernel stops plug-ins
// in reverse order, so that the stream server still answers while the owner hands
// its shards over.
func runKernel(ctx context.Context, k *kernel.Kernel) error {
	if k.Settings.HasRole(zinniapond.RoleOwner) {
		if _, err := kernel.FindNamed[zinniapond.Frontend](k, "stream"); err != nil {
			return err
		}
	}
	counters, err := kernel.FindNamed[*stats.Set[string]](k, "default")
	if err != nil {
		return err
	}
	counters.Publish("zinniapond")
	if _, err := kernel.FindNamed[*meter.Meter](k, "default"); err != nil {
		return err
	}
	return k.Run(ctx)
}
