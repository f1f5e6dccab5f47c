// Package inject hands commands what they depend on, so that a test can replace
// each part.
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

// Factory has the dependencies of the commands.
type Factory struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Clock  func() time.Time
	Client *http.Client
	// Load reads the settings of a host.
	Load func(path string) (*zinniapond.Settings, error)
	// Check returns every fault of both lists.
	Check func(plans, usage string) []zinniapond.ListFault
	// Engine and Service build the stand-ins for a listener's address.
	Engine  func(address netip.AddrPort, model zinniapond.PoolName, seed uint64) http.Handler
	Service func() http.Handler
	Version string
}

// requestTimeout bounds an operator's request; a change of the lists waits for
// an election at most.
const requestTimeout = 30 * time.Second

// New returns the dependencies of a process.
func New() *Factory {
	return &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Clock: clock.Now,
		Client: &http.Client{Timeout: requestTimeout},
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
