package router

import (
	"maps"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// ownerConfig is the configuration and membership data that every owned shard
// receives. It is compared with the last one to send only changes.
type ownerConfig struct {
	revision uint64
	out      bool
	known    int
	live     int
	rank     int
}

// reconcile reacts to changes of ownership, membership and configuration. It
// must be called by the goroutine of Run only.
func (r *Router) reconcile(now time.Time) {
	for _, shard := range r.usedShards() {
		r.checkOwnerChange(shard)
	}
	r.resendAsks()
	r.resendHeldGrants(now)
	r.applyBuffers(now)
	r.releaseLostShards()
	r.updateOwnerConfig()
	r.trackDataCentreChanges(now)
	r.exchangeTotalsIfDue(now)
	r.exchangeQuarantine(now)
	r.trackServersHeard(now)
}

// usedShards returns the shards with asks, grants or recent settles of this
// router, and with limits that servers have stated to it.
func (r *Router) usedShards() []pool.ShardID {
	all := r.replays.shards()
	for _, s := range r.askTable.shards() {
		all[s] = struct{}{}
	}
	r.limits.addShards(all)
	return slices.Collect(maps.Keys(all))
}

// knownShards returns the used shards and the shards of all known pools of this
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

// checkOwnerChange sends the asks and held grants of a shard again if its owner
// has changed. The first check of a shard counts as a change, because its owner
// may have changed between the first ask and the check. Owners ignore messages
// that they have already processed.
func (r *Router) checkOwnerChange(shard pool.ShardID) {
	owner, epoch, ok := r.ownership.Owner(shard)
	if !ok {
		return
	}
	current := shardOwner{owner, epoch}
	if r.lastOwners[shard] == current {
		return
	}
	r.lastOwners[shard] = current
	r.reportToOwner(shard, owner)
	r.secondReportAt[shard] = time.Now().Add(secondReportDelay)
}

// secondReportDelay is the time after a change of the owner until held grants
// are reported again. The new owner may learn of its ownership later than this
// router.
const secondReportDelay = time.Second

// resendHeldGrants sends the second reports that are due.
func (r *Router) resendHeldGrants(now time.Time) {
	for shard, at := range r.secondReportAt {
		if now.Before(at) {
			continue
		}
		delete(r.secondReportAt, shard)
		if owner, _, ok := r.ownership.Owner(shard); ok {
			r.reportHeldGrants(shard, owner)
		}
	}
}

// reportToOwner sends an owner the recent settles, the held grants and the
// waiting asks of a shard. The order matters: the report of held grants ends
// all other grants of this router, and a settle that arrives before it still
// counts with its cost.
func (r *Router) reportToOwner(shard pool.ShardID, owner pool.RouterID) {
	waiting, _ := r.askTable.forShard(shard)
	r.replayShard(shard)
	r.reportHeldGrants(shard, owner)
	for _, a := range waiting {
		r.sendAsk(shard, a)
	}
}

// reportHeldGrants reports the limits of servers and the held grants of a shard to its owner.
// An owner at this router gets the list under its lock: a grant that is settled between the
// list and its report would come back and never end.
func (r *Router) reportHeldGrants(shard pool.ShardID, owner pool.RouterID) {
	r.reportLimits(shard, owner)
	if owner.Name == r.self.Name {
		if !r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) {
			_, grants := r.askTable.forShard(shard)
			o.HandleHeldGrants(now, r.self, grants)
		}) {
			_, grants := r.askTable.forShard(shard)
			r.receiveHeldGrants(shard, r.self, grants)
		}
		return
	}
	_, grants := r.askTable.forShard(shard)
	r.send(owner.Name, peer.HeldGrantsToEnvelope(shard, grants))
}

// resendAsks repeats the asks that reached a router that is not the owner.
func (r *Router) resendAsks() {
	for _, w := range r.askTable.takeForResend() {
		r.sendAsk(w.shard, w.ask)
	}
}

// releaseLostShards stops the owned shards that have another owner or epoch
// now. It sends a handover to a new owner.
func (r *Router) releaseLostShards() {
	for _, s := range r.ownedShards() {
		owner, epoch, ok := r.ownership.Owner(s.id)
		if !ok || owner.Name == r.self.Name && epoch == s.epoch {
			continue
		}
		if owner.Name == r.self.Name {
			r.removeOwnedShard(s)
			continue
		}
		if h, ok := s.handOver(); ok {
			r.removeOwnedShard(s)
			r.send(owner.Name, peer.HandoverToEnvelope(h))
		}
	}
}

// removeOwnedShard removes s unless it has been replaced.
func (r *Router) removeOwnedShard(s *ownedShard) {
	r.ownedMu.Lock()
	defer r.ownedMu.Unlock()
	if r.owned[s.id] == s {
		delete(r.owned, s.id)
	}
}

// handOver stops an owned shard and returns its state for the next owner. It
// returns false while an order to one of its engines is in flight: the next
// owner would grant work on that engine, and the order would interrupt it.
func (s *ownedShard) handOver() (pool.Handover, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ordersInFlight > 0 {
		return pool.Handover{}, false
	}
	s.handedOver = true
	return s.owner.Handover(), true
}

// updateOwnerConfig passes configuration and membership data to the owned
// shards if they have changed.
func (r *Router) updateOwnerConfig() {
	cat := r.catalog.Load()
	if cat == nil {
		return
	}
	config := ownerConfig{revision: cat.Revision(), out: r.dataCentreOut(r.self.DataCentre)}
	config.known, config.live, config.rank = r.ownership.RouterCounts()
	if config == r.lastOwnerConfig {
		return
	}
	r.lastOwnerConfig = config
	departed := departures(cat, r.servers.all())
	for _, s := range r.ownedShards() {
		r.applyInput(s, func(now time.Time, o *pool.Owner) {
			o.SetDataCentreOut(now, config.out)
			o.SetKnownRouters(now, config.known, config.live, config.rank)
			for name, isDeparted := range departed {
				o.SetDeparted(now, name, isDeparted)
			}
		})
	}
}

// departures returns, for each known or departed server, whether it has
// departed. A departed server that is not known yet is included because it may
// announce itself later.
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

// HandleConnect implements peer.Handler. Messages of the earlier connection may
// be lost, so it sends everything that the other router needs again.
func (r *Router) HandleConnect(to pool.RouterID) {
	r.updateIncarnation(to)
	r.quarantine.connected.Store(true)
	if totals, _ := r.ledger.OwnTotals(); len(totals) > 0 {
		r.send(to.Name, r.totalsEnvelope(totals, true))
	}
	if to.DataCentre != r.self.DataCentre {
		r.replayToRouter(to)
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
			r.reportToOwner(shard, owner)
		}
	}
}

// replayToRouter sends the logged messages for the shards of a router of
// another data centre again.
func (r *Router) replayToRouter(to pool.RouterID) {
	for shard := range r.replays.shards() {
		if r.ownerName(shard) == to.Name {
			r.replayShard(shard)
		}
	}
}
