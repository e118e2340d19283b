package router

import (
	"slices"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// memberRole marks routers in the membership.
const memberRole = "router"

// memberView is the membership as the ownership needs it. It never changes.
type memberView struct {
	routers    []pool.RouterID // live, all data centres, by name
	candidates []pool.RouterID // live and not draining
	local      []string        // known names of this data centre, in order
	live       int             // of local
}

// MemberOwnership chooses owners by rendezvous hashing over the routers that
// are live and not draining. The epoch of a shard rises with each change of its
// owner and, as the time in milliseconds, over restarts.
type MemberOwnership struct {
	self pool.RouterID

	mu     sync.Mutex
	view   memberView
	shards map[pool.ShardID]ownerSeen
}

// NewMemberOwnership returns an ownership that knows this router alone.
func NewMemberOwnership(self pool.RouterID) *MemberOwnership {
	o := &MemberOwnership{self: self, shards: make(map[pool.ShardID]ownerSeen)}
	o.Update([]membership.Member{{Name: self.Name, DataCentre: self.DataCentre, Role: memberRole, Incarnation: self.Incarnation}})
	return o
}

// Update takes the present members.
func (o *MemberOwnership) Update(members []membership.Member) {
	var v memberView
	for _, m := range members {
		if m.Role != memberRole || m.Status == membership.Left {
			continue
		}
		if m.DataCentre == o.self.DataCentre {
			v.local = append(v.local, m.Name)
		}
		if !m.Live() {
			continue
		}
		id := pool.RouterID{Name: m.Name, DataCentre: m.DataCentre, Incarnation: m.Incarnation}
		if m.Name == o.self.Name {
			id = o.self
		}
		if m.DataCentre == o.self.DataCentre {
			v.live++
		}
		v.routers = append(v.routers, id)
		if !m.Draining {
			v.candidates = append(v.candidates, id)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view = v
	for shard := range o.shards {
		o.place(shard)
	}
}

// place finds the owner of a shard. Its caller holds the lock.
func (o *MemberOwnership) place(shard pool.ShardID) (ownerSeen, bool) {
	// The last router of a data centre owns its shards until it ends.
	owner, ok := highest(o.view.candidates, shard)
	if !ok {
		owner, ok = highest(o.view.routers, shard)
	}
	old := o.shards[shard]
	if !ok {
		return old, false
	}
	if old.router.Name == owner.Name && old.router.Incarnation == owner.Incarnation {
		return old, true
	}
	next := ownerSeen{router: owner, epoch: max(old.epoch+1, uint64(time.Now().UnixMilli()))}
	o.shards[shard] = next
	return next, true
}

// Owner implements Ownership.
func (o *MemberOwnership) Owner(shard pool.ShardID) (pool.RouterID, uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.shards[shard]; ok {
		return s.router, s.epoch, true
	}
	s, ok := o.place(shard)
	return s.router, s.epoch, ok
}

// Members implements Ownership.
func (o *MemberOwnership) Members() []pool.RouterID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view.routers
}

// Known implements Ownership.
func (o *MemberOwnership) Known() (known, live, rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rank = max(slices.Index(o.view.local, o.self.Name), 0)
	return len(o.view.local), o.view.live, rank
}

// peersOf returns the routers to keep an exchange with. Dead ones stay listed,
// so that both sides of a partition meet again.
func peersOf(members []membership.Member, self string) []peer.Peer {
	var out []peer.Peer
	for _, m := range members {
		if m.Name == self || m.Role != memberRole || m.Status == membership.Left || m.PeerAddress == "" {
			continue
		}
		id := pool.RouterID{Name: m.Name, DataCentre: m.DataCentre, Incarnation: m.Incarnation}
		out = append(out, peer.Peer{ID: id, Address: m.PeerAddress})
	}
	return out
}
