package check

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/core/kernel"
	_ "zinniapond.example/zinniapond/internal/core/plugs" // registers the plug-ins
	"zinniapond.example/zinniapond/internal/core/remote"
)

// checkCombination refuses options of which one would have no effect.
func (o *Options) checkCombination() error {
	var hint string
	switch {
	case o.Document != "" && (o.Folder != "" || o.Settings != ""):
		hint = "give --document alone or with --current or --address"
	case o.Document == "" && (o.Current != "" || o.Address.IsValid()):
		hint = "give --document with the configuration to compare"
	case o.Current != "" && o.Address.IsValid():
		hint = "give --current or --address, not both"
	default:
		return nil
	}
	return &zinniapond.Error{Step: "check files", Hint: hint, Err: fmt.Errorf("%w: options do not go together", zinniapond.ErrMalformed)}
}

// reviewDocument checks the document of a configuration and compares it with the one in
// force, if that is given.
func (o *Options) reviewDocument(ctx context.Context, f *inject.Factory) error {
	k := &kernel.Kernel{Settings: new(zinniapond.Settings), Clock: f.Clock}
	decoder, err := kernel.Find[zinniapond.RoutingDecoder](k)
	if err != nil {
		return err
	}
	reviewer, err := kernel.Find[zinniapond.RoutingReviewer](k)
	if err != nil {
		return err
	}
	next, err := readDocument(decoder, o.Document)
	if err != nil {
		return err
	}
	current, err := o.readCurrent(ctx, f, decoder)
	if err != nil {
		return err
	}
	review := reviewer.Review(next, current)
	if err := o.printReview(f, review); err != nil {
		return err
	}
	errorCount, warningCount := countFindings(review.Findings)
	switch {
	case errorCount > 0:
		return fmt.Errorf("check configuration: %w: errors: %d, warnings: %d", zinniapond.ErrMalformed, errorCount, warningCount)
	case warningCount > 0:
		return fmt.Errorf("check configuration: %w: %d", zinniapond.ErrWarnings, warningCount)
	}
	return nil
}

func readDocument(decoder zinniapond.RoutingDecoder, path string) (*zinniapond.Routing, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	r, err := decoder.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// readCurrent reads the configuration in force from a file or a host. It returns nil if
// neither is given.
func (o *Options) readCurrent(ctx context.Context, f *inject.Factory, decoder zinniapond.RoutingDecoder) (*zinniapond.Routing, error) {
	switch {
	case o.Current != "":
		return readDocument(decoder, o.Current)
	case !o.Address.IsValid():
		return nil, nil
	}
	host := remote.Operator{Address: o.Address, Open: true}
	text, err := host.Do(ctx, f, "read configuration", http.MethodGet, "/configuration", nil, nil)
	if err != nil {
		return nil, err
	}
	r, err := decoder.Decode(text)
	return r, zinniapond.Wrap("read configuration", o.Address, err)
}

func countFindings(list []zinniapond.Finding) (errorCount, warningCount int) {
	for _, f := range list {
		if f.Severity == zinniapond.SeverityError {
			errorCount++
		} else {
			warningCount++
		}
	}
	return errorCount, warningCount
}
