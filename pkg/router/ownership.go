package router

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// Ownership determines which router owns a shard.
type Ownership interface {
	// Owner returns the owner of a shard and the epoch of its ownership. It
	// returns false while the shard has no owner.
	Owner(shard pool.ShardID) (owner pool.RouterID, epoch uint64, ok bool)
	// LiveRouters returns the live routers of all data centres, including this
	// one.
	LiveRouters() []pool.RouterID
	// RouterCounts returns the number of known and of live routers of this data
	// centre and the rank of this router among the known ones by name.
	RouterCounts() (known, live, rank int)
	// JoinPending reports whether LiveRouters may lack routers because this one
	// has not joined the others yet. It ends when the join has timed out, after
	// which this router counts as alone.
	JoinPending() bool
}

// StaticOwnership chooses owners by rendezvous hashing over a fixed list of
// routers. It is used if the settings list the peers.
type StaticOwnership struct {
	self    pool.RouterID
	routers []pool.RouterID // sorted by name
}

// NewStaticOwnership returns the ownership over self and the other routers.
func NewStaticOwnership(self pool.RouterID, others ...pool.RouterID) *StaticOwnership {
	all := append([]pool.RouterID{self}, others...)
	slices.SortFunc(all, func(a, b pool.RouterID) int { return strings.Compare(a.Name, b.Name) })
	return &StaticOwnership{self: self, routers: all}
}

// staticEpoch is the epoch of every shard. Owners in a fixed list do not
// change.
const staticEpoch = 1

// Owner implements Ownership.
func (s *StaticOwnership) Owner(shard pool.ShardID) (pool.RouterID, uint64, bool) {
	best, found := rendezvousOwner(s.routers, shard)
	return best, staticEpoch, found
}

// rendezvousOwner returns the router of the shard's data centre with the
// highest rendezvous score, false if the data centre has no router.
func rendezvousOwner(routers []pool.RouterID, shard pool.ShardID) (best pool.RouterID, found bool) {
	var bestScore uint64
	for _, r := range routers {
		if r.DataCentre != shard.DataCentre {
			continue
		}
		if score := rendezvousScore(r.Name, shard); !found || score > bestScore {
			best, bestScore, found = r, score, true
		}
	}
	return best, found
}

// rendezvousScore returns the hash of a router's name and a shard.
func rendezvousScore(router string, shard pool.ShardID) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{shard.DataCentre, shard.Pool, router} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write([]byte{byte(shard.Shard), byte(shard.Shard >> 8), byte(shard.Shard >> 16), byte(shard.Shard >> 24)})
	return d.Sum64()
}

// LiveRouters implements Ownership.
func (s *StaticOwnership) LiveRouters() []pool.RouterID { return s.routers }

// RouterCounts implements Ownership. Every router of the list counts as live.
func (s *StaticOwnership) RouterCounts() (known, live, rank int) {
	for _, r := range s.routers {
		if r.DataCentre != s.self.DataCentre {
			continue
		}
		if r == s.self {
			rank = known
		}
		known++
	}
	return known, known, rank
}

// JoinPending implements Ownership. A fixed list is complete from the start.
func (s *StaticOwnership) JoinPending() bool { return false }
