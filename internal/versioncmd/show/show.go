// Package show implements the command that prints the version.
package show

import (
	"encoding/json"
	"fmt"
	"runtime/debug"

	"zinniapond.example/zinniapond/internal/core/inject"
)

// Options are the options of `version`.
type Options struct {
	JSON bool `name:"json" help:"Print JSON."`
}

type version struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go,omitempty"`
}

// Run prints the version, the VCS revision and the Go version of the binary.
func (o *Options) Run(f *inject.Factory) error {
	v := version{Version: "devel"}
	if f.Version != "" {
		v.Version = f.Version
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Go = info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v.Revision = s.Value
			}
		}
	}
	if o.JSON {
		return json.NewEncoder(f.Out).Encode(v)
	}
	_, err := fmt.Fprintf(f.Out, "zinniapond %s %s %s\n", v.Version, v.Revision, v.Go)
	return err
}
