// Package plugs is the list of all plug-ins. Importing it registers them with
// the kernel.
package plugs

import (
	_ "zinniapond.example/zinniapond/internal/entry/relay"
	_ "zinniapond.example/zinniapond/internal/wire/peers"
	_ "zinniapond.example/zinniapond/internal/wire/serve"
	_ "zinniapond.example/zinniapond/internal/wire/stream"
)
