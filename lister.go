package zinniapond

import "context"

// Lister reads the platform's list of replicas.
type Lister interface {
	// List returns the replicas sorted by address. Entries that cannot be parsed
	// are omitted.
	List(ctx context.Context) ([]Backend, error)
}
