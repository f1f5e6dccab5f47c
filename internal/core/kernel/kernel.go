// Package kernel builds and runs the plug-ins that a host's settings select.
// Plug-ins register themselves under the interface that they implement and a
// name.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
)

// Kernel is one host's set of plug-ins. Its exported fields are set before Run.
type Kernel struct {
	Settings *zinniapond.Settings
	Logger   hclog.Logger
	Tracer   trace.Tracer
	// Clock returns the present time. Only code that starts work reads it;
	// functions that decide take the time as an argument.
	Clock func() time.Time

	mu      sync.Mutex
	shared  map[pluginKey]any
	runners []zinniapond.Runner // in the order of building: dependencies before their users
	pending map[pluginKey]bool  // being built, to detect cycles
}

// Now returns the present time of Clock.
func (k *Kernel) Now() time.Time { return k.Clock() }

// selectedName returns the name of the implementation of T to use: the one in the
// settings, else the only one registered, else "default".
func selectedName[T any](k *Kernel) (string, error) {
	if name := k.Settings.Plugins[settingKey[T]()]; name != "" {
		return name, nil
	}
	names := Names[T]()
	if len(names) == 1 {
		return names[0], nil
	}
	for _, n := range names {
		if n == "default" {
			return n, nil
		}
	}
	return "", fmt.Errorf("find plug-in: [plugins] %s is not set; have %v", settingKey[T](), names)
}

// Find returns this kernel's shared instance of the selected implementation of
// T, which it builds on first use. Plug-ins call it only while they are built.
func Find[T any](k *Kernel) (T, error) {
	name, err := selectedName[T](k)
	if err != nil {
		var zero T
		return zero, err
	}
	return FindNamed[T](k, name)
}

// FindInto finds the selected implementation of T, as Find does, and stores it
// in the field of a plug-in that is being built. On an error the field is
// unchanged.
func FindInto[T any](k *Kernel, field *T) error {
	found, err := Find[T](k)
	if err == nil {
		*field = found
	}
	return err
}

// FindNamed returns the shared instance of the implementation with the given
// name, as Find does. It returns an error if building it depends on itself.
func FindNamed[T any](k *Kernel, name string) (T, error) {
	var zero T
	key := keyOf[T](name)
	if v, ok := k.findShared(key); ok {
		return v.(T), nil
	}
	build, err := findBuilder[T](name)
	if err != nil {
		return zero, err
	}
	if err := k.markPending(key); err != nil {
		return zero, err
	}
	v, err := build(k)
	if err != nil {
		return zero, fmt.Errorf("build %s %q: %w", settingKey[T](), name, err)
	}
	k.addShared(key, v)
	return v.(T), nil
}

// New returns a new instance of the selected implementation of T, which the
// caller owns: the kernel does not run it.
func New[T any](k *Kernel) (T, error) {
	var zero T
	name, err := selectedName[T](k)
	if err != nil {
		return zero, err
	}
	return NewNamed[T](k, name)
}

// NewNamed returns a new instance of the implementation with the given name, as
// New does.
func NewNamed[T any](k *Kernel, name string) (T, error) {
	var zero T
	build, err := findBuilder[T](name)
	if err != nil {
		return zero, err
	}
	v, err := build(k)
	if err != nil {
		return zero, fmt.Errorf("build %s %q: %w", settingKey[T](), name, err)
	}
	return v.(T), nil
}

func (k *Kernel) findShared(key pluginKey) (any, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, ok := k.shared[key]
	return v, ok
}

func (k *Kernel) markPending(key pluginKey) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[key] {
		return fmt.Errorf("find plug-in: %s %q depends on itself", key.iface, key.name)
	}
	if k.pending == nil {
		k.pending = make(map[pluginKey]bool)
	}
	k.pending[key] = true
	return nil
}

// addShared stores a built instance and, if it is a Runner, adds it to the
// runners. An instance registered under several interfaces is run once.
func (k *Kernel) addShared(key pluginKey, v any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, key)
	if k.shared == nil {
		k.shared = make(map[pluginKey]any)
	}
	k.shared[key] = v
	r, ok := v.(zinniapond.Runner)
	if !ok {
		return
	}
	for _, known := range k.runners {
		if known == r {
			return
		}
	}
	k.runners = append(k.runners, r)
}

// roleOrder is the order in which roles are built. They are stopped in reverse
// order: the entry finishes its requests while the owner still runs, and the
// owner hands its shards over while stores and control still answer.
var roleOrder = []zinniapond.Role{
	zinniapond.RoleControl, zinniapond.RoleKeeper, zinniapond.RoleStore, zinniapond.RoleOwner, zinniapond.RoleEntry,
	zinniapond.RoleOperators, zinniapond.RoleFront,
}

// Run builds the plug-ins of the host's roles and runs them until ctx is done
// or one of them fails. Then it stops them one after another, users before
// their dependencies, and waits for each. It returns the errors of all.
func (k *Kernel) Run(ctx context.Context) error {
	for _, role := range roleOrder {
		if !k.Settings.HasRole(role) {
			continue
		}
		if err := k.buildRole(role); err != nil {
			return err
		}
	}
	// No runners are added after this point: plug-ins call Find only while they
	// are built.
	running := make([]*runningPlugin, 0, len(k.runners))
	failures := make(chan error, len(k.runners))
	for _, r := range k.runners {
		running = append(running, startRunner(r, failures))
	}
	var cause error
	select {
	case <-ctx.Done():
	case cause = <-failures:
	}
	for i := len(running) - 1; i >= 0; i-- {
		cause = errors.Join(cause, running[i].stop())
	}
	return cause
}

// buildRole builds the plug-in of a role and its additional plug-ins, whose names
// begin with the role's name and a dot.
func (k *Kernel) buildRole(role zinniapond.Role) error {
	if _, err := FindNamed[zinniapond.RolePlugin](k, string(role)); err != nil {
		return err
	}
	for _, n := range Names[zinniapond.RolePlugin]() {
		if !strings.HasPrefix(n, string(role)+".") {
			continue
		}
		if _, err := FindNamed[zinniapond.RolePlugin](k, n); err != nil {
			return err
		}
	}
	return nil
}

// runningPlugin is a plug-in whose Run method was started.
type runningPlugin struct {
	cancel context.CancelFunc
	group  *errgroup.Group
}

func startRunner(r zinniapond.Runner, failures chan<- error) *runningPlugin {
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error {
		err := r.Run(ctx)
		if err != nil && ctx.Err() == nil {
			failures <- fmt.Errorf("run %T: %w", r, err)
			return nil // Run reports the error from failures
		}
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	return &runningPlugin{cancel: cancel, group: group}
}

func (r *runningPlugin) stop() error {
	r.cancel()
	return r.group.Wait()
}
