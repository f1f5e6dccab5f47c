// Package plugs imports all plug-ins, so that importing it registers them with
// the kernel.
package plugs

import (
	// Interfaces to callers, operators and backend servers.
	_ "zinniapond.example/zinniapond/internal/backend/openai"
	_ "zinniapond.example/zinniapond/internal/backend/plain"
	_ "zinniapond.example/zinniapond/internal/backend/roster"
	_ "zinniapond.example/zinniapond/internal/entry/admin"
	_ "zinniapond.example/zinniapond/internal/entry/caller"
	_ "zinniapond.example/zinniapond/internal/entry/relay"

	// Control log: voters, the observer on each host, orders to engines.
	_ "zinniapond.example/zinniapond/internal/fleet/order"
	_ "zinniapond.example/zinniapond/internal/quorum/voter"
	_ "zinniapond.example/zinniapond/internal/quorum/watch"

	// Programs and their journal.
	_ "zinniapond.example/zinniapond/internal/journal/store"
	_ "zinniapond.example/zinniapond/internal/journal/writer"
	_ "zinniapond.example/zinniapond/internal/program/ledger"
	_ "zinniapond.example/zinniapond/internal/program/owner"

	// Policies.
	_ "zinniapond.example/zinniapond/internal/policy/allow"
	_ "zinniapond.example/zinniapond/internal/policy/blame"
	_ "zinniapond.example/zinniapond/internal/policy/cache"
	_ "zinniapond.example/zinniapond/internal/policy/drift"
	_ "zinniapond.example/zinniapond/internal/policy/fair"
	_ "zinniapond.example/zinniapond/internal/policy/fifo"
	_ "zinniapond.example/zinniapond/internal/policy/least"
	_ "zinniapond.example/zinniapond/internal/policy/leave"
	_ "zinniapond.example/zinniapond/internal/policy/limit"
	_ "zinniapond.example/zinniapond/internal/policy/origin"
	_ "zinniapond.example/zinniapond/internal/policy/pace"
	_ "zinniapond.example/zinniapond/internal/policy/place"
	_ "zinniapond.example/zinniapond/internal/policy/prefix"
	_ "zinniapond.example/zinniapond/internal/policy/retry"
	_ "zinniapond.example/zinniapond/internal/policy/robin"
	_ "zinniapond.example/zinniapond/internal/policy/share"
	_ "zinniapond.example/zinniapond/internal/policy/urgent"
	_ "zinniapond.example/zinniapond/internal/policy/wait"

	// Requests of an external platform: they run on the host that receives them,
	// and turns and budgets are stored on the keepers' disks.
	_ "zinniapond.example/zinniapond/internal/backend/listed"
	_ "zinniapond.example/zinniapond/internal/fleet/grants"
	_ "zinniapond.example/zinniapond/internal/fleet/limits"
	_ "zinniapond.example/zinniapond/internal/fleet/loads"
	_ "zinniapond.example/zinniapond/internal/fleet/quotas"
	_ "zinniapond.example/zinniapond/internal/front/permit"
	_ "zinniapond.example/zinniapond/internal/front/quota"
	_ "zinniapond.example/zinniapond/internal/front/runner"
	_ "zinniapond.example/zinniapond/internal/routes/review"
	_ "zinniapond.example/zinniapond/internal/turns/client"
	_ "zinniapond.example/zinniapond/internal/turns/disks"
	_ "zinniapond.example/zinniapond/internal/turns/keeper"
	_ "zinniapond.example/zinniapond/platform/decode"
	_ "zinniapond.example/zinniapond/platform/front"
	_ "zinniapond.example/zinniapond/platform/lister"
	_ "zinniapond.example/zinniapond/platform/operate"
	_ "zinniapond.example/zinniapond/platform/replica"

	// Communication between hosts.
	_ "zinniapond.example/zinniapond/internal/wire/peers"
	_ "zinniapond.example/zinniapond/internal/wire/serve"
	_ "zinniapond.example/zinniapond/internal/wire/stream"
)
