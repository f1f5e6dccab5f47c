package zinniapond

// VoteRequest requests a vote.
type VoteRequest struct {
	Candidate HostName `cbor:"c"`
	Term      Term     `cbor:"t"`
	LastIndex Index    `cbor:"i"`
	LastTerm  Term     `cbor:"l"`
	// PreVote marks a pre-vote: the receiver replies whether it would grant the
	// vote, and changes no state.
	PreVote bool `cbor:"p"`
	// VoterDisk is the receiver's disk in the candidate's voter set. A receiver
	// with another disk has lost the disk of that voter, and refuses.
	VoterDisk DiskID `cbor:"d"`
	// CandidateDisk is the disk of the candidate.
	CandidateDisk DiskID `cbor:"cd"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Term    Term `cbor:"t"`
	Granted bool `cbor:"g"`
	// Empty is set if the receiver has no data and is not part of a cluster yet.
	Empty bool `cbor:"e,omitempty"`
}
