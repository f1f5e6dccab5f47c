// Package check implements the command that checks lists, settings and configurations
// for faults.
package check

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
)

// Options are the options of `config check`.
type Options struct {
	Folder   string `type:"path" help:"Folder with plans.ini and usage.ini."`
	Settings string `type:"path" help:"Settings file of a host."`
	// Document is a configuration of the platform. Current or Address give the one in
	// force, to compare it with.
	Document string         `type:"path" help:"Document of a configuration of the platform."`
	Current  string         `type:"path" help:"Document of the configuration in force, to compare with."`
	Address  netip.AddrPort `placeholder:"IP:PORT" help:"Operators' address of a host, to read the configuration in force from."`
	JSON     bool           `name:"json" help:"Print JSON."`
}

// Run checks the files. It sends nothing to a host, and reads from one only if an address
// is given.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	if err := o.checkCombination(); err != nil {
		return err
	}
	if o.Document != "" {
		return o.reviewDocument(ctx, f)
	}
	if o.Folder == "" && o.Settings == "" {
		return &zinniapond.Error{
			Step: "check files", Hint: "give --folder, --settings or both, or --document", Err: fmt.Errorf("%w: nothing to check", zinniapond.ErrMalformed),
		}
	}
	if o.Settings != "" {
		if _, err := f.Load(o.Settings); err != nil {
			return fmt.Errorf("%w: %w", zinniapond.ErrMalformed, err)
		}
	}
	faults := []zinniapond.ListFault{}
	if o.Folder != "" {
		plans, err := os.ReadFile(filepath.Join(o.Folder, "plans.ini"))
		if err != nil {
			return fmt.Errorf("check lists: %w", err)
		}
		usage, err := os.ReadFile(filepath.Join(o.Folder, "usage.ini"))
		if err != nil {
			return fmt.Errorf("check lists: %w", err)
		}
		faults = append(faults, f.Check(string(plans), string(usage))...)
	}
	return o.printFaults(f, faults)
}

func (o *Options) printFaults(f *inject.Factory, faults []zinniapond.ListFault) error {
	if o.JSON {
		if err := json.NewEncoder(f.Out).Encode(faults); err != nil {
			return err
		}
	} else {
		for _, e := range faults {
			if _, err := fmt.Fprintln(f.Out, e.String()); err != nil {
				return err
			}
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("check files: %w: %d faults", zinniapond.ErrMalformed, len(faults))
	}
	if o.JSON {
		return nil
	}
	_, err := fmt.Fprintln(f.Out, "no faults")
	return err
}
