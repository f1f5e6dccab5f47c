// Package plugs is the list of all plug-ins. Importing it registers them with
// the kernel.
package plugs

import (
	// The control log: the voters, and the observer of every host.
	_ "zinniapond.example/zinniapond/internal/quorum/voter"
	_ "zinniapond.example/zinniapond/internal/quorum/watch"
)
