// Package ownership determines from the member list which router owns a pool
// shard, which share of a limit an owner may use, and when a new owner may
// grant.
//
// View and Tracker take the present time as an argument and start no goroutine.
// A Tracker is not safe for concurrent use; ConcurrentTracker is.
package ownership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// RoleRouter is the membership role of routers, which can own shards.
const RoleRouter = "router"

// View holds the routers and the candidate owners of all data centres by one
// member list. It is immutable.
type View struct {
	self        membership.Member
	routers     []membership.Member            // live, of all data centres, by name
	candidates  map[string][]membership.Member // routers that can own shards by data centre, each list by name
	known, rank int                            // see RouterCounts
	live        int
}

// NewView returns the view of the router self. The order of members does not
// matter.
func NewView(now time.Time, self membership.Member, members []membership.Member) *View {
	v := &View{self: self, candidates: map[string][]membership.Member{}}
	for _, m := range members {
		if m.Role != RoleRouter {
			continue
		}
		if m.IsLive() {
			v.routers = append(v.routers, m)
		}
		if m.DataCentre == self.DataCentre && isKnown(now, m) {
			v.countRouter(m)
		}
	}
	byName := func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(v.routers, byName)
	for _, m := range v.routers {
		if len(v.candidates[m.DataCentre]) == 0 {
			v.candidates[m.DataCentre] = candidates(v.routers, m.DataCentre)
		}
	}
	return v
}

// candidates returns the routers that can own shards of a data centre. Draining
// routers are included only if there are no others, so that their waiting
// requests can still be served.
func candidates(routers []membership.Member, dataCentre string) []membership.Member {
	var active, draining []membership.Member
	for _, m := range routers {
		switch {
		case m.DataCentre != dataCentre:
		case m.Draining:
			draining = append(draining, m)
		default:
			active = append(active, m)
		}
	}
	if len(active) > 0 {
		return active
	}
	return draining
}

// countRouter adds a known router of the data centre to the counts.
func (v *View) countRouter(m membership.Member) {
	v.known++
	if m.IsLive() {
		v.live++
	}
	if m.Name < v.self.Name {
		v.rank++
	}
}

// isKnown reports whether a router counts when limits are shared. A dead one
// counts for membership.DeadMemberRetention, because it may run but be
// unreachable.
func isKnown(now time.Time, m membership.Member) bool {
	return m.IsLive() || m.Status == membership.Dead && now.Sub(m.StatusSince) < membership.DeadMemberRetention
}

// Owner returns the router that owns the shard by rendezvous hashing, and false
// if its data centre has no live router.
func (v *View) Owner(shard pool.ShardID) (owner membership.Member, ok bool) {
	return highestScore(v.candidates[shard.DataCentre], shard)
}

// highestScore returns the router with the highest score for the shard, and
// false if there are no routers.
func highestScore(routers []membership.Member, shard pool.ShardID) (owner membership.Member, ok bool) {
	var highest uint64
	for _, m := range routers {
		if score := score(m.Name, shard); !ok || score > highest {
			owner, highest, ok = m, score, true
		}
	}
	return owner, ok
}

// score returns the rendezvous hash of a router and a shard. The incarnation is
// left out, so that a restart moves no shard.
func score(router string, shard pool.ShardID) uint64 {
	key := make([]byte, 0, 128)
	for _, part := range []string{shard.DataCentre, shard.Pool, router} {
		key = append(append(key, part...), 0)
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(key, shard.Shard))
}

// RouterCounts returns the number of known and of live routers of the data
// centre and the rank of this router by name among the known ones, from 0. A
// router that left gracefully is not known.
func (v *View) RouterCounts() (known, live, rank int) { return v.known, v.live, v.rank }

// Routers returns the live routers of all data centres, ordered by name.
func (v *View) Routers() []membership.Member { return v.routers }

// Change is a shard whose owner differs between two views. An owner with an
// empty name stands for none.
type Change struct {
	Shard    pool.ShardID
	From, To membership.Member
}

// Changes returns those of the shards whose owner, or its incarnation, differs
// between two views.
func Changes(previous, next *View, shards []pool.ShardID) []Change {
	var changes []Change
	for _, shard := range shards {
		from, _ := previous.Owner(shard)
		to, _ := next.Owner(shard)
		if from.Name != to.Name || from.Incarnation != to.Incarnation {
			changes = append(changes, Change{Shard: shard, From: from, To: to})
		}
	}
	return changes
}
