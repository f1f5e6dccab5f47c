package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

type greeter interface{ Greet() string }

type fixedGreeter string

func (p fixedGreeter) Greet() string { return string(p) }

type fakeRole struct {
	name    string
	stopped chan<- string
	err     error
	started chan struct{}
}

func (r *fakeRole) Role() zinniapond.Role { return zinniapond.Role(r.name) }

func (r *fakeRole) Run(ctx context.Context) error {
	close(r.started)
	if r.err != nil {
		return r.err
	}
	<-ctx.Done()
	r.stopped <- r.name
	return nil
}

func newKernel(roles ...zinniapond.Role) *Kernel {
	return &Kernel{
		Settings: &zinniapond.Settings{Roles: roles, Plugins: map[string]string{}},
		Logger:   hclog.NewNullLogger(),
	}
}

// fakeRoles holds the role plug-ins that TestRun has set up, by role.
var fakeRoles = make(map[string]*fakeRole)

func init() {
	for _, name := range []string{"owner", "entry", "store"} {
		Register[zinniapond.RolePlugin](name, func(*Kernel) (zinniapond.RolePlugin, error) { return fakeRoles[name], nil })
	}
	Register[greeter]("one", func(*Kernel) (greeter, error) { return fixedGreeter("one"), nil })
	Register[greeter]("two", func(*Kernel) (greeter, error) { return fixedGreeter("two"), nil })
	Register[error]("loop", func(k *Kernel) (error, error) { return FindNamed[error](k, "loop") })
}

func TestFind(t *testing.T) {
	t.Run("guards against choosing between two implementations without a setting", func(t *testing.T) {
		_, err := Find[greeter](newKernel())
		assert.True(t, err != nil, "no error without a setting")
		assert.Contains(t, err.Error(), "[plugins] greeter")
	})
	t.Run("guards against ignoring the setting", func(t *testing.T) {
		k := newKernel()
		k.Settings.Plugins["greeter"] = "two"
		g, err := Find[greeter](k)
		assert.NoError(t, err)
		assert.Equal(t, g.Greet(), "two")
	})
	t.Run("guards against an error for an unknown name that does not list the known names", func(t *testing.T) {
		_, err := FindNamed[greeter](newKernel(), "three")
		assert.Contains(t, err.Error(), "have one, two")
	})
	t.Run("guards against endless recursion in a dependency cycle", func(t *testing.T) {
		_, err := FindNamed[error](newKernel(), "loop")
		assert.Contains(t, err.Error(), "depends on itself")
	})
}

func TestRun(t *testing.T) {
	stopped := make(chan string, 2)
	first := &fakeRole{name: "owner", stopped: stopped, started: make(chan struct{})}
	second := &fakeRole{name: "entry", stopped: stopped, started: make(chan struct{})}
	failing := &fakeRole{name: "store", err: errors.New("no address"), started: make(chan struct{})}
	for _, r := range []*fakeRole{first, second, failing} {
		fakeRoles[r.name] = r
	}
	t.Run("guards against stopping a plug-in before its users", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- newKernel("entry", "owner").Run(ctx) }()
		<-first.started
		<-second.started
		cancel()
		assert.NoError(t, <-done)
		assert.Equal(t, <-stopped, "entry")
		assert.Equal(t, <-stopped, "owner")
	})
	t.Run("guards against ignoring the error of a failed plug-in", func(t *testing.T) {
		err := newKernel("store").Run(context.Background())
		assert.ErrorIs(t, err, failing.err)
	})
}
