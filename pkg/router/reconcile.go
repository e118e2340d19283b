package router

import (
	"maps"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// operatorView is what operators say about an owned shard. It is compared to
// send only changes to the owners.
type operatorView struct {
	revision uint64
	out      bool
	known    int
	live     int
	rank     int
}

// reconcile follows changes of ownership, membership and configuration. It
// runs in the goroutine of Run only.
func (r *Router) reconcile(now time.Time) {
	for _, shard := range r.usedShards() {
		r.follow(shard)
	}
	r.repeatAsks()
	r.repeatReports(now)
	r.offerInheritances(now)
	r.releaseLost()
	r.tellOwners()
	r.noteDataCentres(now)
	r.followTotals(now)
}

// usedShards returns the shards that this router has asks, grants or recent
// settles for.
func (r *Router) usedShards() []pool.ShardID {
	all := r.replays.shards()
	for _, s := range r.asks.shards() {
		all[s] = struct{}{}
	}
	return slices.Collect(maps.Keys(all))
}

// knownShards returns the used shards and those of all known pools of this
// data centre.
func (r *Router) knownShards() []pool.ShardID {
	all := make(map[pool.ShardID]struct{})
	for _, s := range r.usedShards() {
		all[s] = struct{}{}
	}
	for _, name := range r.servers.poolNames() {
		all[r.shardOf(name)] = struct{}{}
	}
	return slices.Collect(maps.Keys(all))
}

// follow repeats asks and re-reports held grants when the owner of a shard
// changed. The first look counts as a change: the owner can have moved between
// the first ask and this look. Owners ignore what they know already.
func (r *Router) follow(shard pool.ShardID) {
	owner, epoch, ok := r.ownership.Owner(shard)
	if !ok {
		return
	}
	now := ownerSeen{owner, epoch}
	if r.seen[shard] == now {
		return
	}
	r.seen[shard] = now
	r.report(shard, owner)
	r.reportAgain[shard] = time.Now().Add(reportDelay)
}

// reportDelay is the time after a change of the owner until held grants are
// reported once more: the new owner may learn of its shard after this router.
const reportDelay = time.Second

func (r *Router) repeatReports(now time.Time) {
	for shard, at := range r.reportAgain {
		if now.Before(at) {
			continue
		}
		delete(r.reportAgain, shard)
		if owner, _, ok := r.ownership.Owner(shard); ok {
			_, grants := r.asks.of(shard)
			r.reportHeld(shard, owner, grants)
		}
	}
}

// report gives an owner the recent settles, the held grants and the waiting
// asks of a shard, in this order: the list of held grants ends every other
// grant of this router, and a settle before it keeps the cost.
func (r *Router) report(shard pool.ShardID, owner pool.RouterID) {
	waiting, grants := r.asks.of(shard)
	r.replay(shard)
	r.reportHeld(shard, owner, grants)
	for _, a := range waiting {
		r.sendAsk(shard, a)
	}
}

func (r *Router) reportHeld(shard pool.ShardID, owner pool.RouterID, grants []pool.HeldGrant) {
	if owner.Name == r.self.Name {
		r.receiveHeld(shard, r.self, grants)
		return
	}
	r.send(owner.Name, peer.FromHeld(shard, grants))
}

// repeatAsks sends asks again that met a router without ownership.
func (r *Router) repeatAsks() {
	for _, w := range r.asks.takeAgain() {
		r.sendAsk(w.shard, w.ask)
	}
}

// releaseLost drops owned shards whose owner is another router now.
func (r *Router) releaseLost() {
	for _, s := range r.ownedShards() {
		owner, epoch, ok := r.ownership.Owner(s.id)
		if !ok || owner.Name == r.self.Name && epoch == s.epoch {
			continue
		}
		if owner.Name == r.self.Name {
			r.drop(s)
			continue
		}
		if h, ok := s.handOver(); ok {
			r.drop(s)
			r.send(owner.Name, peer.FromHandover(h))
		}
	}
}

func (r *Router) drop(s *ownedShard) {
	r.ownedMu.Lock()
	defer r.ownedMu.Unlock()
	if r.owned[s.id] == s {
		delete(r.owned, s.id)
	}
}

// handOver stops an owned shard and returns its state for the next owner. It
// reports false while an order to one of its engines is on its way: the next
// owner would give work to that engine, and the order would cut it.
func (s *ownedShard) handOver() (pool.Handover, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ordering > 0 {
		return pool.Handover{}, false
	}
	s.closed = true
	return s.owner.Handover(), true
}

// tellOwners gives owned shards what operators and membership say.
func (r *Router) tellOwners() {
	cat := r.catalog.Load()
	if cat == nil {
		return
	}
	view := operatorView{revision: cat.Revision(), out: r.dataCentreOut(r.self.DataCentre)}
	view.known, view.live, view.rank = r.ownership.Known()
	if view == r.told {
		return
	}
	r.told = view
	departed := departures(cat, r.servers.all())
	for _, s := range r.ownedShards() {
		r.with(s, func(now time.Time, o *pool.Owner) {
			o.SetDataCentreOut(now, view.out)
			o.SetKnownRouters(now, view.known, view.live, view.rank)
			for name, gone := range departed {
				o.SetDeparted(now, name, gone)
			}
		})
	}
}

// departures tells for every server that is known or has departed whether it
// has. A departed server can be unknown: it may announce itself later.
func departures(cat *catalog.Catalog, known []server) map[string]bool {
	departed := make(map[string]bool)
	for _, s := range known {
		departed[s.announcement.Name] = false
	}
	for _, name := range cat.Departures() {
		departed[name] = true
	}
	return departed
}

// Connected implements peer.Handler: messages of the earlier connection can be
// lost, so everything that the other router needs is sent again.
func (r *Router) Connected(to pool.RouterID) {
	r.restarted(to)
	if totals, _ := r.ledger.Totals(); len(totals) > 0 {
		r.send(to.Name, r.totalsEnvelope(totals, true))
	}
	if to.DataCentre != r.self.DataCentre {
		r.replayTo(to)
		return
	}
	for _, s := range r.servers.all() {
		r.sendAnnouncement(to.Name, s.announcement)
	}
	for _, m := range r.marks.all() {
		r.sendMark(to.Name, m)
	}
	for _, shard := range r.knownShards() {
		if owner, _, ok := r.ownership.Owner(shard); ok && owner.Name == to.Name {
			r.report(shard, owner)
		}
	}
}

// replayTo sends logged messages to a router of another data centre again.
func (r *Router) replayTo(to pool.RouterID) {
	for shard := range r.replays.shards() {
		if r.ownerName(shard) == to.Name {
			r.replay(shard)
		}
	}
}
