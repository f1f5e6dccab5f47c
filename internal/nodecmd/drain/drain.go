// Package drain implements the command that takes a host out of service.
package drain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/core/remote"
)

// Options are the options of `node drain`.
type Options struct {
	remote.Operator `embed:""`
	Host            zinniapond.HostName `arg:"" help:"Host to drain."`
	Wait            time.Duration       `help:"Wait at most this long until the host owns no shard."`
}

// pollInterval is the time between two requests for the status: the operators'
// interface has no notification of changes.
const pollInterval = 250 * time.Millisecond

// Validate reports a missing address as a usage error.
func (o *Options) Validate() error { return o.CheckAddress() }

// Run drains the host and, with --wait, waits until it owns no shard.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	text, err := o.Do(ctx, f, "drain host "+string(o.Host), http.MethodPost, "/v1/hosts/"+url.PathEscape(string(o.Host))+"/drain", nil, nil)
	if err != nil {
		return err
	}
	if o.Wait > 0 {
		if err := o.waitForHandover(ctx, f); err != nil {
			return err
		}
	}
	if o.JSON {
		_, err = f.Out.Write(text)
		return err
	}
	_, err = fmt.Fprintf(f.Out, "host %s is draining\n", o.Host)
	return err
}

// waitForHandover waits until the host owns no shard.
func (o *Options) waitForHandover(ctx context.Context, f *inject.Factory) error {
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	remaining := -1
	for {
		var status struct {
			Shards struct {
				Owners map[zinniapond.HostName]int `json:"owners"`
			} `json:"shards"`
		}
		text, err := o.Do(ctx, f, "wait for hand-over", http.MethodGet, "/v1/status", nil, nil)
		if err == nil {
			err = json.Unmarshal(text, &status)
		}
		if err == nil {
			if remaining = status.Shards.Owners[o.Host]; remaining == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &zinniapond.Error{
				Step: "wait for hand-over", Peer: o.Address, Hint: "calls in progress hold a shard back; look at node status",
				Err: errors.Join(fmt.Errorf("%s still owns shards after %s (%d at the last check)", o.Host, o.Wait, remaining), err),
			}
		case <-ticker.C:
		}
	}
}
