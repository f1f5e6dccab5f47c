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

type plain string

func (p plain) Greet() string { return string(p) }

type recorder struct {
	name  string
	log   chan<- string
	err   error
	began chan struct{}
}

func (r *recorder) Role() zinniapond.Role { return zinniapond.Role(r.name) }

func (r *recorder) Run(ctx context.Context) error {
	close(r.began)
	if r.err != nil {
		return r.err
	}
	<-ctx.Done()
	r.log <- r.name
	return nil
}

func newKernel(roles ...zinniapond.Role) *Kernel {
	return &Kernel{
		Settings: &zinniapond.Settings{Roles: roles, Plugins: map[string]string{}},
		Logger:   hclog.NewNullLogger(),
	}
}

// recorders are the role plug-ins of the present test run.
var recorders = make(map[string]*recorder)

func init() {
	for _, name := range []string{"owner", "entry", "store"} {
		Register[zinniapond.RolePlugin](name, func(*Kernel) (zinniapond.RolePlugin, error) { return recorders[name], nil })
	}
	Register[greeter]("one", func(*Kernel) (greeter, error) { return plain("one"), nil })
	Register[greeter]("two", func(*Kernel) (greeter, error) { return plain("two"), nil })
	Register[error]("loop", func(k *Kernel) (error, error) { return FindNamed[error](k, "loop") })
}

func TestFind(t *testing.T) {
	t.Run("guards against a silent choice between two implementations", func(t *testing.T) {
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
	t.Run("guards against an unclear error for an unknown name", func(t *testing.T) {
		_, err := FindNamed[greeter](newKernel(), "three")
		assert.Contains(t, err.Error(), "have one, two")
	})
	t.Run("guards against endless building of a cycle", func(t *testing.T) {
		_, err := FindNamed[error](newKernel(), "loop")
		assert.Contains(t, err.Error(), "needs itself")
	})
}

func TestRun(t *testing.T) {
	stopped := make(chan string, 2)
	first := &recorder{name: "owner", log: stopped, began: make(chan struct{})}
	second := &recorder{name: "entry", log: stopped, began: make(chan struct{})}
	failing := &recorder{name: "store", err: errors.New("no address"), began: make(chan struct{})}
	for _, r := range []*recorder{first, second, failing} {
		recorders[r.name] = r
	}
	t.Run("guards against stopping a plug-in before its users", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- newKernel("entry", "owner").Run(ctx) }()
		<-first.began
		<-second.began
		cancel()
		assert.NoError(t, <-done)
		assert.Equal(t, <-stopped, "entry")
		assert.Equal(t, <-stopped, "owner")
	})
	t.Run("guards against a failed plug-in going unnoticed", func(t *testing.T) {
		err := newKernel("store").Run(context.Background())
		assert.ErrorIs(t, err, failing.err)
	})
}
