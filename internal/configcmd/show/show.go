// Package show implements the command that reads the lists in force.
package show

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/core/remote"
)

// Options are the options of `config show`.
type Options struct {
	remote.Operator `embed:""`
	Folder          string `type:"path" help:"Write plans.ini, usage.ini and the version into this folder, for config apply."`
}

// Validate reports a missing address as a usage error.
func (o *Options) Validate() error { return o.CheckAddress() }

// Run prints the lists or writes them into a folder.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	var l zinniapond.Lists
	text, err := o.Do(ctx, f, "read lists", http.MethodGet, "/v1/lists", nil, &l)
	if err != nil {
		return err
	}
	if o.Folder != "" {
		for name, text := range map[string]string{
			"plans.ini": l.Plans, "usage.ini": l.Usage, "version": strconv.FormatUint(uint64(l.Version), 10) + "\n",
		} {
			if err := os.WriteFile(filepath.Join(o.Folder, name), []byte(text), 0o600); err != nil {
				return fmt.Errorf("write lists: %w", err)
			}
		}
	}
	switch {
	case o.JSON:
		_, err = f.Out.Write(text)
	case o.Folder != "":
		_, err = fmt.Fprintf(f.Out, "version %d written to %s\n", l.Version, o.Folder)
	default:
		_, err = fmt.Fprintf(f.Out, "; version %d\n; plans.ini\n%s\n; usage.ini\n%s\n", l.Version, l.Plans, l.Usage)
	}
	return err
}
