// Package kernel builds the plug-ins that a host's settings select and runs
// them. Plug-ins register themselves by the interface that they implement.
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
	// Clock returns the present time. Only the kernel's users that start work
	// read it; deciding functions take the time as an argument.
	Clock func() time.Time

	mu      sync.Mutex
	shared  map[kind]any
	runners []zinniapond.Runner // in order of building: what is used before its users
	pending map[kind]bool       // being built, to detect cycles
}

// Now returns the present time.
func (k *Kernel) Now() time.Time { return k.Clock() }

// selected returns the name of the implementation of T that the settings ask
// for: by name, or the only one there is, or "default".
func selected[T any](k *Kernel) (string, error) {
	if name := k.Settings.Plugins[settingName[T]()]; name != "" {
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
	return "", fmt.Errorf("find plug-in: [plugins] %s is not set; have %v", settingName[T](), names)
}

// Find returns this kernel's shared instance of the selected implementation of
// T. It is built at the first use. Plug-ins call it only while they are built.
func Find[T any](k *Kernel) (T, error) {
	name, err := selected[T](k)
	if err != nil {
		var none T
		return none, err
	}
	return FindNamed[T](k, name)
}

// Fill is Find for a field of a plug-in that is being built.
func Fill[T any](k *Kernel, field *T) error {
	found, err := Find[T](k)
	if err == nil {
		*field = found
	}
	return err
}

// FindNamed is Find for the implementation of the given name.
func FindNamed[T any](k *Kernel, name string) (T, error) {
	var none T
	key := kindOf[T](name)
	if v, ok := k.built(key); ok {
		return v.(T), nil
	}
	build, err := lookup[T](name)
	if err != nil {
		return none, err
	}
	if err := k.begin(key); err != nil {
		return none, err
	}
	v, err := build(k)
	if err != nil {
		return none, fmt.Errorf("build %s %q: %w", settingName[T](), name, err)
	}
	k.finish(key, v)
	return v.(T), nil
}

// New returns a fresh instance of the selected implementation of T, which the
// caller owns.
func New[T any](k *Kernel) (T, error) {
	var none T
	name, err := selected[T](k)
	if err != nil {
		return none, err
	}
	return NewNamed[T](k, name)
}

// NewNamed is New for the implementation of the given name.
func NewNamed[T any](k *Kernel, name string) (T, error) {
	var none T
	build, err := lookup[T](name)
	if err != nil {
		return none, err
	}
	v, err := build(k)
	if err != nil {
		return none, fmt.Errorf("build %s %q: %w", settingName[T](), name, err)
	}
	return v.(T), nil
}

func (k *Kernel) built(key kind) (any, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, ok := k.shared[key]
	return v, ok
}

func (k *Kernel) begin(key kind) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[key] {
		return fmt.Errorf("find plug-in: %s %q needs itself", key.of, key.name)
	}
	if k.pending == nil {
		k.pending = make(map[kind]bool)
	}
	k.pending[key] = true
	return nil
}

// finish keeps a built instance. One instance registered under several
// interfaces is run once.
func (k *Kernel) finish(key kind, v any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, key)
	if k.shared == nil {
		k.shared = make(map[kind]any)
	}
	k.shared[key] = v
	r, ok := v.(zinniapond.Runner)
	if !ok {
		return
	}
	for _, have := range k.runners {
		if have == r {
			return
		}
	}
	k.runners = append(k.runners, r)
}

// roleOrder is the order in which roles are built. They stop in reverse: the
// entry finishes its requests while the owner still runs, and the owner hands
// its shards over while stores and control still answer.
var roleOrder = []zinniapond.Role{
	zinniapond.RoleControl, zinniapond.RoleKeeper, zinniapond.RoleStore, zinniapond.RoleOwner, zinniapond.RoleEntry,
	zinniapond.RoleOperators, zinniapond.RoleFront,
}

// Run builds the plug-ins of the host's roles and runs them until ctx is done
// or one of them fails. Then it stops them one after another, users before
// what they use, and waits for each.
func (k *Kernel) Run(ctx context.Context) error {
	for _, role := range roleOrder {
		if !k.Settings.HasRole(role) {
			continue
		}
		if err := k.buildRole(role); err != nil {
			return err
		}
	}
	// The list cannot grow from here on: plug-ins are found only while built.
	running := make([]*running, 0, len(k.runners))
	failed := make(chan error, len(k.runners))
	for _, r := range k.runners {
		running = append(running, start(r, failed))
	}
	var cause error
	select {
	case <-ctx.Done():
	case cause = <-failed:
	}
	for i := len(running) - 1; i >= 0; i-- {
		cause = errors.Join(cause, running[i].stop())
	}
	return cause
}

// buildRole builds the plug-in of a role and those that belong to it, whose
// names begin with the role's name and a dot.
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

// running is one plug-in at work.
type running struct {
	cancel context.CancelFunc
	group  *errgroup.Group
}

func start(r zinniapond.Runner, failed chan<- error) *running {
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error {
		err := r.Run(ctx)
		if err != nil && ctx.Err() == nil {
			failed <- fmt.Errorf("run %T: %w", r, err)
			return nil // reported as the cause
		}
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	return &running{cancel: cancel, group: group}
}

func (r *running) stop() error {
	r.cancel()
	return r.group.Wait()
}
