package prefix

import (
	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

const (
	// homeDivisor divides the servers of a data centre; the quotient is the number of
	// homes of a shared prefix. With half of the servers for each prefix, the shared
	// prefixes of a pool take half of the memory that they take if all servers get all
	// of them, and the calls with one prefix still spread over several servers.
	homeDivisor = 2
	// maxHomes bounds the homes of a prefix.
	maxHomes = 12
	// remoteRatio is the cost of a call with a prompt at a server in another data
	// centre, as a multiple of its cost in the own one: the body of such a call is the
	// whole conversation, and the links between data centres are the dearest ones. A
	// higher ratio would make calls wait for local servers while remote ones are idle.
	remoteRatio = 1.3
)

// storeByDataCentre groups the eligible servers by data centre.
func (r *Router) storeByDataCentre(eligible []*server) {
	groups := make(map[zinniapond.DataCentre][]*server)
	for _, s := range eligible {
		groups[s.dataCentre] = append(groups[s.dataCentre], s)
	}
	r.byDataCentre.Store(&groups)
}

// homes appends the servers of the own data centre that are to have the shared prefix of
// a prompt in their caches. All hosts of a data centre choose the same ones by rendezvous
// hashing. A host sees too few answers to learn of the caches of a large pool by itself:
// with dozens of hosts, each server otherwise reads every shared prefix, over and over if
// its memory does not hold them all. Small pools have no homes, as each host sees enough.
func (r *Router) homes(need zinniapond.PickInfo, poolSize int, homes []*server) []*server {
	groups := r.byDataCentre.Load()
	if need.SharedTokens == 0 || poolSize <= sampleSize || groups == nil {
		return nil
	}
	local := (*groups)[need.DataCentre]
	count := min((len(local)+homeDivisor-1)/homeDivisor, maxHomes)
	var ranks [maxHomes]uint64
	for _, s := range local {
		rank := homeRank(need.SharedHash, s)
		at := len(homes)
		for at > 0 && ranks[at-1] < rank {
			at--
		}
		if at >= count {
			continue
		}
		if len(homes) < count {
			homes = append(homes, nil)
		}
		copy(homes[at+1:], homes[at:])
		copy(ranks[at+1:count], ranks[at:])
		homes[at], ranks[at] = s, rank
	}
	return homes
}

// homeRank returns the rank of a server among the homes of a prefix; the highest ranks
// are homes.
func homeRank(prefix uint64, s *server) uint64 {
	address := s.address.Addr().As16()
	port := s.address.Port()
	var key [26]byte
	for i := range 8 {
		key[i] = byte(prefix >> (8 * i))
	}
	copy(key[8:], address[:])
	key[24], key[25] = byte(port), byte(port>>8)
	return xxhash.Sum64(key[:])
}
