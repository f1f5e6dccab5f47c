// Package apply implements the command that puts changed lists into force.
package apply

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/core/remote"
)

// Options are the options of `config apply`.
type Options struct {
	remote.Operator `embed:""`
	Folder          string              `required:"" type:"path" help:"Folder with plans.ini, usage.ini and, from config show, the version they were made from."`
	Expect          *zinniapond.Version `help:"Version that the change was made from; by default from the folder, or 0."`
	Change          zinniapond.ChangeID `help:"Id of the change; by default from its content, so that a repeated command gets the first outcome."`
}

// change is the body of PUT /v1/lists.
type change struct {
	Expect zinniapond.Version  `json:"expect"`
	Change zinniapond.ChangeID `json:"change"`
	Plans  string              `json:"plans"`
	Usage  string              `json:"usage"`
}

// Validate reports a missing address as a usage error.
func (o *Options) Validate() error { return o.CheckAddress() }

// Run sends the lists to a host and writes the accepted version into the folder.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	c, err := o.readChange()
	if err != nil {
		return fmt.Errorf("read lists: %w", err)
	}
	var result zinniapond.CommandResult
	text, err := o.Do(ctx, f, "apply lists", http.MethodPut, "/v1/lists", c, &result)
	if err != nil {
		return errors.Join(err, o.printFaults(f, err, text))
	}
	version := result.Lists.Version
	if err := os.WriteFile(o.path("version"), []byte(strconv.FormatUint(uint64(version), 10)+"\n"), 0o600); err != nil {
		return fmt.Errorf("version %d is in force, but it was not recorded: %w", version, err)
	}
	if o.JSON {
		_, err = f.Out.Write(text)
		return err
	}
	_, err = fmt.Fprintf(f.Out, "version %d accepted\n", version)
	return err
}

// printFaults prints the faults that the host has found in the lists.
func (o *Options) printFaults(f *inject.Factory, refused error, detail []byte) error {
	if o.JSON && len(detail) > 0 {
		_, err := fmt.Fprintf(f.Out, "%s\n", detail)
		return err
	}
	var list []zinniapond.ListFault
	if !errors.Is(refused, zinniapond.ErrMalformed) || json.Unmarshal(detail, &list) != nil {
		return nil
	}
	for _, e := range list {
		if _, err := fmt.Fprintln(f.Out, e.String()); err != nil {
			return err
		}
	}
	return nil
}

func (o *Options) path(name string) string { return filepath.Join(o.Folder, name) }

func (o *Options) readChange() (change, error) {
	var c change
	plans, err := os.ReadFile(o.path("plans.ini"))
	if err != nil {
		return c, err
	}
	usage, err := os.ReadFile(o.path("usage.ini"))
	if err != nil {
		return c, err
	}
	c.Plans, c.Usage = string(plans), string(usage)
	if c.Expect, err = o.expectedVersion(); err != nil {
		return c, err
	}
	if c.Change = o.Change; c.Change == "" {
		sum := sha256.Sum256(fmt.Appendf(nil, "%d %d\n%s%s", c.Expect, len(plans), plans, usage))
		c.Change = zinniapond.ChangeID(hex.EncodeToString(sum[:16]))
	}
	return c, nil
}

func (o *Options) expectedVersion() (zinniapond.Version, error) {
	if o.Expect != nil {
		return *o.Expect, nil
	}
	text, err := os.ReadFile(o.path("version"))
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	v, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", o.path("version"), err)
	}
	return zinniapond.Version(v), nil
}
