// Package inject provides the dependencies of commands, so that tests can replace
// each of them.
package inject

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/clock"
	"zinniapond.example/zinniapond/internal/files/config"
	"zinniapond.example/zinniapond/internal/files/lists"
	"zinniapond.example/zinniapond/internal/standin/engine"
	"zinniapond.example/zinniapond/internal/standin/tools"
)

// Factory holds the dependencies of the commands.
type Factory struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Clock  func() time.Time
	Client *http.Client
	// Load reads the settings of a host.
	Load func(path string) (*zinniapond.Settings, error)
	// Check validates the texts of the plan and usage lists and returns all
	// faults.
	Check func(plans, usage string) []zinniapond.ListFault
	// Engine and Service return the handlers of stand-ins (simulated backend
	// servers); address is the one that the engine listens on.
	Engine  func(address netip.AddrPort, model zinniapond.PoolName, seed uint64) http.Handler
	Service func() http.Handler
	Version string
}

// operatorTimeout bounds an operator's request. The longest one is a change of
// the lists, which may have to wait for the election of a control leader.
const operatorTimeout = 30 * time.Second

// New returns the dependencies that a process uses outside of tests.
func New() *Factory {
	return &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Clock: clock.Now,
		Client: &http.Client{Timeout: operatorTimeout},
		Load:   new(config.Loader).Load,
		Check: func(plans, usage string) []zinniapond.ListFault {
			_, faults := new(lists.Parser).Parse(1, plans, usage)
			return faults
		},
		Engine: func(address netip.AddrPort, model zinniapond.PoolName, seed uint64) http.Handler {
			return &engine.Server{Address: address, Model: model, Seed: seed}
		},
		Service: func() http.Handler { return new(tools.Server) },
	}
}
