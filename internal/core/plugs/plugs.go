// Package plugs is the list of all plug-ins. Importing it registers them with
// the kernel.
package plugs

import (
	// Messages between hosts.
	_ "zinniapond.example/zinniapond/internal/entry/relay"
	_ "zinniapond.example/zinniapond/internal/wire/peers"
	_ "zinniapond.example/zinniapond/internal/wire/serve"
	_ "zinniapond.example/zinniapond/internal/wire/stream"

	// Policies.
	_ "zinniapond.example/zinniapond/internal/policy/cache"
	_ "zinniapond.example/zinniapond/internal/policy/drift"
	_ "zinniapond.example/zinniapond/internal/policy/fair"
	_ "zinniapond.example/zinniapond/internal/policy/fifo"
	_ "zinniapond.example/zinniapond/internal/policy/least"
	_ "zinniapond.example/zinniapond/internal/policy/limit"
	_ "zinniapond.example/zinniapond/internal/policy/place"
	_ "zinniapond.example/zinniapond/internal/policy/prefix"
	_ "zinniapond.example/zinniapond/internal/policy/retry"
	_ "zinniapond.example/zinniapond/internal/policy/robin"
)
