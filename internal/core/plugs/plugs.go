// Package plugs is the list of all plug-ins. Importing it registers them with
// the kernel.
package plugs

import (
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
