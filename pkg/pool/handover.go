package pool

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
)

// Handover stops this owner and returns its server limits and open grants.
// Waiting asks are not included: their routers send them to the next owner. If
// the data centre is out, the limits are cold, because the next owner may
// already know that the data centre is back and would not reset them. Servers
// that have been silent for backend.AnnouncementTimeout are left out.
func (o *Owner) Handover() Handover {
	o.handedOver = true
	h := Handover{Shard: o.id, Epoch: o.epoch}
	for _, s := range o.sortedServers() {
		if o.now.Sub(s.announcedAt) >= backend.AnnouncementTimeout {
			continue // the server may have restarted since
		}
		if o.out {
			s.limit.MarkCold(o.now)
		}
		text, err := json.Marshal(s.announcement)
		if err != nil {
			continue // a decoded announcement always encodes
		}
		st := s.limit.State()
		state := ServerState{Announcement: text, Limit: st.Full, Cold: st.Cold, Unsettled: o.unsettledSlots(s)}
		if s.isLimited() {
			state.Limited, state.PerSecond, state.LimitAge = true, s.rate.limit(), o.now.Sub(s.rate.statedAt)
		}
		h.Servers = append(h.Servers, state)
	}
	for _, g := range o.sortedGrants() {
		h.Grants = append(h.Grants, heldGrant(g))
	}
	return h
}

// unsettledSlots counts the slots in use on a server that belong to no grant of
// this owner: orphaned and lent ones.
func (o *Owner) unsettledSlots(s *server) int {
	n := s.orphanedSlots
	for _, l := range o.lentSlots {
		if l.server == s {
			n += int(l.openSlots)
		}
	}
	return n
}

// sortedGrants returns the open grants ordered by epoch and id, so that equal
// inputs give equal outputs.
func (o *Owner) sortedGrants() []*grant {
	list := make([]*grant, 0, len(o.grants))
	for _, g := range o.grants {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *grant) int {
		return cmp.Or(cmp.Compare(a.key.epoch, b.key.epoch), cmp.Compare(a.key.id, b.key.id))
	})
	return list
}

// sortedServers returns the servers ordered by name.
func (o *Owner) sortedServers() []*server {
	list := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *server) int { return strings.Compare(a.announcement.Name, b.announcement.Name) })
	return list
}

func heldGrant(g *grant) HeldGrant {
	return HeldGrant{
		Router:        g.request.router,
		GrantID:       g.key.id,
		Epoch:         g.key.epoch,
		RequestID:     g.request.id,
		Server:        g.message.Server,
		Workspace:     g.flow.Name,
		Class:         g.class.Name,
		EstimateUnits: g.estimateUnits,
	}
}

// AcceptHandover starts this owner with the handed over state of its
// predecessor. It ignores a handover whose epoch is not lower than its own.
func (o *Owner) AcceptHandover(now time.Time, h Handover) {
	if o.handedOver || h.Epoch >= o.epoch {
		return
	}
	o.now = now
	for _, state := range h.Servers {
		a, err := backend.Decode(bytes.NewReader(state.Announcement))
		if err != nil {
			continue // the next announcement adds the server
		}
		s := o.servers[a.Name]
		if s == nil {
			s = o.addServer(a)
		}
		// The handover of a partitioned owner can be old. A request count that
		// fell since then means a restart under the same boot id.
		if s.announcement.BootID == a.BootID && s.announcement.Load.TotalRequests >= a.Load.TotalRequests {
			s.limit.Restore(now, state.Limit, state.Cold)
			s.restoreDecided = true
			o.occupyUnsettled(s, state.Unsettled)
			o.restoreRate(s, state)
		}
	}
	for _, g := range h.Grants {
		// A router that has reported its held grants has listed all that it
		// still uses.
		if !o.routersReported[g.Router] {
			o.restoreGrant(g.Router, g)
		}
	}
	o.recoveryEnd, o.startedAt = now, now
	o.dispatch()
}

// occupyUnsettled counts slots as in use whose end will not be reported to this
// owner, until a load report shows that they are free.
func (o *Owner) occupyUnsettled(s *server, unsettled int) {
	for range unsettled {
		s.limit.ForceAcquire(o.now)
	}
	o.inFlight += unsettled
	s.orphanedSlots += unsettled
	s.lastOrphanAt = o.now
	o.reposition(s)
}

// HandleHeldGrants takes the complete list of grants that a router still uses.
// Routers send it after a change of the owner or of the connection. A known
// grant is not counted twice. A known grant that is not listed has ended and
// its settle was lost, unless it is younger than maxGrantDelay and may not have
// arrived yet.
func (o *Owner) HandleHeldGrants(now time.Time, router RouterID, grants []HeldGrant) {
	if o.handedOver {
		return
	}
	o.now = now
	o.endEarlierIncarnations(router)
	o.routersReported[router] = true
	listed := make(map[grantKey]bool, len(grants))
	for _, g := range grants {
		listed[grantKey{g.Epoch, g.GrantID}] = true
		o.restoreGrant(router, g)
	}
	for _, g := range o.sortedGrants() {
		old := g.key.epoch != o.epoch || now.Sub(g.granted) >= maxGrantDelay
		if g.request.router == router && old && !listed[g.key] {
			o.orphanGrant(g)
		}
	}
	o.dispatch()
}

// restoreGrant adds a grant that was handed over or that a router reports as
// held, unless it is known.
func (o *Owner) restoreGrant(router RouterID, h HeldGrant) {
	key := grantKey{h.Epoch, h.GrantID}
	if o.grants[key] != nil {
		return
	}
	g := o.allocGrant()
	g.key, g.request = key, requestKey{router, h.RequestID}
	g.flow = o.queue.Flow(h.Workspace)
	g.class = class.Class{Name: h.Class}
	g.estimateUnits, g.granted = h.EstimateUnits, o.now
	g.message = Grant{Router: router, RequestID: h.RequestID, GrantID: h.GrantID, Epoch: h.Epoch, Server: h.Server,
		EstimateUnits: h.EstimateUnits}
	if s := o.servers[h.Server]; s != nil {
		g.message.Address, g.message.BootID = s.announcement.Address, s.announcement.BootID
		g.message.Abilities = s.announcement.Abilities
		o.occupySlot(g, s)
	}
	// The earlier owner charged the estimate to its own origin, so it is not
	// charged again. The settle adds the difference to the actual cost.
	o.queue.RecordGrant(o.now, g.flow)
	o.grants[key], o.granted[g.request] = g, g
	if router.Incarnation < o.latestIncarnation[router.Name] {
		o.orphanGrant(g)
	}
}
