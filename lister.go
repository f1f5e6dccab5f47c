package zinniapond

import "context"

// Lister reads the platform's list of replicas.
type Lister interface {
	// List returns the replicas in order of their addresses. Entries that cannot
	// be understood are left out.
	List(ctx context.Context) ([]Backend, error)
}
