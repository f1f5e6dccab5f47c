// Package check implements the command that checks lists and settings for faults.
package check

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
)

// Options are the options of `config check`.
type Options struct {
	Folder   string `type:"path" help:"Folder with plans.ini and usage.ini."`
	Settings string `type:"path" help:"Settings file of a host."`
	JSON     bool   `name:"json" help:"Print JSON."`
}

// Run checks the files locally, without a request to a host.
func (o *Options) Run(f *inject.Factory) error {
	if o.Folder == "" && o.Settings == "" {
		return &zinniapond.Error{
			Step: "check files", Hint: "give --folder, --settings or both", Err: fmt.Errorf("%w: nothing to check", zinniapond.ErrMalformed),
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
