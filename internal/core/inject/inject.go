// Package inject hands commands what they depend on, so that a test can replace
// each part.
package inject

import (
	"io"
	"net/http"
	"os"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/files/config"
)

// Factory has the dependencies of the commands.
type Factory struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string
	Clock  func() time.Time
	Client *http.Client
	// Load reads the settings of a host.
	Load func(path string) (*zinniapond.Settings, error)
	// Check parses both lists and returns every fault.
	Check func(plans, usage []byte) ([]zinniapond.ListFault, error)
	// Standins build the handlers of the stand-in servers.
	Standins map[string]func() (http.Handler, error)
	Version  string
}

// requestTimeout bounds an operator's request; a change of the lists waits for
// an election at most.
const requestTimeout = 30 * time.Second

// New returns the dependencies of a process.
func New() *Factory {
	return &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Clock: time.Now,
		Client:   &http.Client{Timeout: requestTimeout},
		Load:     new(config.Loader).Load,
		Standins: make(map[string]func() (http.Handler, error)),
	}
}
