package zinniapond

import "net/netip"

// BackendsEdit is the difference between two lists of replicas, which are sorted by
// address and id.
type BackendsEdit struct {
	// Base is the index of the record that last changed the list, to which the edit
	// applies.
	Base Index `cbor:"b"`
	// Live and Leaving are the positions, in the list before, of the replicas of which
	// only the state changes, and Removed those of replicas to remove; all ascending.
	Live    []int `cbor:"v,omitempty"`
	Leaving []int `cbor:"l,omitempty"`
	Removed []int `cbor:"r,omitempty"`
	// Added are new replicas, and those that change in another way after the change.
	Added []AddedBackend `cbor:"a,omitempty"`
}

// AddedBackend is a Backend in its shortest encoding: an edit goes to each host.
type AddedBackend struct {
	Address     netip.AddrPort  `cbor:"1,keyasint"`
	Kind        BackendKind     `cbor:"2,keyasint,omitempty"`
	Pool        PoolName        `cbor:"3,keyasint,omitempty"`
	DataCentre  DataCentre      `cbor:"4,keyasint,omitempty"`
	State       BackendState    `cbor:"5,keyasint,omitempty"`
	ChecksFence bool            `cbor:"6,keyasint,omitempty"`
	ID          string          `cbor:"7,keyasint,omitempty"`
	Slots       int             `cbor:"8,keyasint,omitempty"`
	Version     SoftwareVersion `cbor:"9,keyasint,omitempty"`
}

// ListEdit is the difference between a list and its previous version: the part
// of the text between a common beginning and a common end.
type ListEdit struct {
	KeptHeadBytes int    `cbor:"h,omitempty"` // length of the common beginning in bytes
	KeptTailBytes int    `cbor:"t,omitempty"` // length of the common end in bytes
	Text          string `cbor:"x,omitempty"` // new text between them
}
