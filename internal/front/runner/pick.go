package runner

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/front/parts"
)

const (
	// prefixBlockTokens is the size of the blocks into which a prompt is divided to
	// find replicas that have a prefix of the prompt in their cache.
	prefixBlockTokens = 1024
	// maxPrefixBlocks bounds the blocks of a prompt. Longer prompts share the replicas
	// of their beginning.
	maxPrefixBlocks = 1024
)

// routingNeed describes the request to the router.
func (u *run) routingNeed() zinniapond.PickInfo {
	n := zinniapond.PickInfo{
		Call: zinniapond.CallID(u.scoped(string(u.request.ID))), Program: zinniapond.ProgramID(u.scoped(string(u.request.Program))), DataCentre: u.DataCentre,
		PromptTokens: u.request.PromptTokens, MaxGenerated: u.request.MaxGenerated, PrefixBackend: u.home.Replica, PrefixTokens: min(u.home.Tokens, u.request.PromptTokens),
		HasIdleConnection: func(a netip.AddrPort) bool { return u.Client.HasIdleConnection(u.Clock(), a, u.sentOnce()) },
	}
	if u.Sharing != nil && u.service != nil && u.service.ConnectionLimit > 0 {
		n.CanConnect = u.Client.CanConnect
	}
	hash := xxhash.New()
	add := func(name string, tokens zinniapond.Tokens) {
		_, _ = hash.WriteString(name) // never fails
		for at := zinniapond.Tokens(0); at < tokens && len(n.PrefixHashes) < maxPrefixBlocks; at += prefixBlockTokens {
			_, _ = hash.WriteString(strconv.Itoa(int(at)) + "/")
			n.PrefixHashes = append(n.PrefixHashes, hash.Sum64())
		}
	}
	for i, part := range u.request.PromptParts {
		// The last part belongs to the conversation, and others after the first may.
		if i == 0 && len(u.request.PromptParts) > 1 && u.fitsCaches(part) {
			n.SharedTokens = part.Tokens
		}
		add(part.ID, part.Tokens)
	}
	if len(u.request.PromptParts) == 0 && u.request.SessionID != "" && u.route.IsStream() {
		add(u.scoped(string(u.request.Program)), prefixBlockTokens)
		add(u.request.SessionID, prefixBlockTokens)
	}
	if len(u.request.PromptParts) == 0 && u.request.AffinityKey != "" {
		add(u.scoped(u.request.AffinityKey), prefixBlockTokens)
	}
	return n
}

// fitsCaches reports whether each replica of the pool can keep all shared parts of prompts
// in its cache.
func (u *run) fitsCaches(shared zinniapond.PromptPart) bool {
	if u.service == nil || u.service.Engine == nil {
		return false
	}
	parts := u.parts.GetOrCreate(u.poolName, func() *parts.Book { return new(parts.Book) })
	return parts.Fits(u.Clock(), shared, u.service.Engine.KVCapacity)
}

// candidate is a replica that was picked for a request, with the reasons for the choice.
type candidate struct {
	zinniapond.Backend
	choice zinniapond.Choice
	// permitUntil is when the permission of the replica expires; zero if it needs none.
	permitUntil time.Time
}

// pickReplica picks a live replica for which allowed returns true. A doubtful one is
// picked only if there is no other.
func (p *pool) pickReplica(now time.Time, need zinniapond.PickInfo, allowed func(zinniapond.Backend) bool) (candidate, bool) {
	c, ok := p.pickPaced(now, need, func(b zinniapond.Backend) bool { return allowed(b) && !p.doubts.Has(now, b) })
	if !ok {
		c, ok = p.pickAllowed(now, need, allowed)
	}
	return c, ok
}

func (p *pool) pickAllowed(now time.Time, need zinniapond.PickInfo, allowed func(zinniapond.Backend) bool) (candidate, bool) {
	replicas := *p.replicas.Load()
	choice, ok := p.router.Pick(now, need, func(a netip.AddrPort) bool {
		b, live := replicas[a]
		return live && need.Fits(b) && allowed(b) && (need.CanConnect == nil || need.CanConnect(a))
	})
	if !ok {
		return candidate{}, false
	}
	b, ok := replicas[choice.Backend]
	return candidate{Backend: b, choice: choice}, ok
}
