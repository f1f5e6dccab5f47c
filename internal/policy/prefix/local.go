package prefix

import (
	"zinniapond.example/zinniapond"
)

const (
	// localSampleSize is the number of servers of the own data centre that are compared
	// for a call with a shared prefix in a large pool. The others of the sample are any.
	localSampleSize = 12
	// remoteRatio is the cost of a call with a shared prefix at a server in another data
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

// localServers returns the servers of the own data centre for a call with a shared prefix
// in a large pool; none for other calls. They are taken to have the prefix in their
// caches: a host sees too few answers to learn of the caches of a large pool by itself,
// and would send the call across data centres to one of the few that it knows. Small
// pools are compared as a whole by what is known.
func (r *Router) localServers(need zinniapond.PickInfo, poolSize int) []*server {
	groups := r.byDataCentre.Load()
	if need.SharedTokens == 0 || poolSize <= sampleSize || groups == nil {
		return nil
	}
	return (*groups)[need.DataCentre]
}
