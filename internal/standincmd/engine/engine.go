// Package engine implements the command that runs a stand-in model engine.
package engine

import (
	"context"
	"net/http"
	"net/netip"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/standin/front"
)

// Options are the options of `standin engine`.
type Options struct {
	front.Options `embed:""`
	Model         zinniapond.PoolName `default:"small" help:"Model that it holds at first."`
	Seed          uint64              `default:"1" help:"Seed of its random choices."`
}

// Run serves the stand-in until ctx is done or the process gets a signal.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	return o.Serve(ctx, f, func(address netip.AddrPort) http.Handler { return f.Engine(address, o.Model, o.Seed) })
}
