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

// Handover stops this owner and returns its limits and open grants. Waiting
// asks are not part of it: their routers ask the next owner. An owner whose
// data centre is out hands over cold limits: the next owner may already know
// that the data centre is back, and would not make its servers cold again.
// Servers that were silent are left out.
func (o *Owner) Handover() Handover {
	o.closed = true
	h := Handover{Shard: o.id, Epoch: o.epoch}
	for _, s := range o.sorted() {
		if o.now.Sub(s.heard) >= backend.SilenceLimit {
			continue // it may have restarted since
		}
		if o.out {
			s.limit.Chill(o.now)
		}
		text, err := json.Marshal(s.ann)
		if err != nil {
			continue // a decoded announcement always encodes
		}
		st := s.limit.State()
		h.Servers = append(h.Servers, ServerState{Announcement: text, Limit: st.Full, Cold: st.Cold, Unsettled: o.unsettled(s)})
	}
	for _, g := range o.sortedGrants() {
		h.Grants = append(h.Grants, held(g))
	}
	return h
}

// unsettled counts the slots of a server that no grant of this owner explains.
func (o *Owner) unsettled(s *server) int {
	n := s.orphans
	for _, l := range o.lent {
		if l.server == s {
			n += int(l.open)
		}
	}
	return n
}

// sortedGrants returns the open grants in the order in which they were made,
// so that equal inputs give equal outputs.
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

func (o *Owner) sorted() []*server {
	list := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *server) int { return strings.Compare(a.ann.Name, b.ann.Name) })
	return list
}

func held(g *grant) HeldGrant {
	return HeldGrant{
		Router:        g.request.router,
		GrantID:       g.key.id,
		Epoch:         g.key.epoch,
		RequestID:     g.request.id,
		Server:        g.sent.Server,
		Workspace:     g.flow.Name,
		Class:         g.class.Name,
		EstimateUnits: g.estimate,
	}
}

// Accept starts this owner with the state of the one before it.
func (o *Owner) Accept(now time.Time, h Handover) {
	if o.closed || h.Epoch >= o.epoch {
		return
	}
	o.now = now
	for _, state := range h.Servers {
		a, err := backend.Decode(bytes.NewReader(state.Announcement))
		if err != nil {
			continue // the next announcement of the server brings it back
		}
		s := o.servers[a.Name]
		if s == nil {
			s = o.addServer(a)
		}
		// The hand-over of an owner that was cut off can be old. A count of
		// requests that fell since then is a restart under the same boot id.
		if s.ann.BootID == a.BootID && s.ann.Load.Total >= a.Load.Total {
			s.limit.Restore(now, state.Limit, state.Cold)
			s.proven = true
			o.inherit(s, state.Unsettled)
		}
	}
	for _, g := range h.Grants {
		// A router that has reported already listed what it still uses.
		if !o.reported[g.Router] {
			o.hold(g.Router, g)
		}
	}
	o.opens, o.started = now, now
	o.dispatch()
}

// inherit keeps slots occupied whose end is not reported to this owner, until
// a load report shows them free.
func (o *Owner) inherit(s *server, unsettled int) {
	for range unsettled {
		s.limit.Force(o.now)
	}
	o.inFlight += unsettled
	s.orphans += unsettled
	s.orphaned = o.now
	o.fix(s)
}

// Held takes all grants that a router still uses, after the owner or the
// connection changed. A grant that is already known is not counted twice. One
// that the router no longer lists has ended and its settle was lost; a young
// grant may still be on its way to the router.
func (o *Owner) Held(now time.Time, router RouterID, grants []HeldGrant) {
	if o.closed {
		return
	}
	o.now = now
	o.incarnation(router)
	o.reported[router] = true
	listed := make(map[grantKey]bool, len(grants))
	for _, g := range grants {
		listed[grantKey{g.Epoch, g.GrantID}] = true
		o.hold(router, g)
	}
	for _, g := range o.sortedGrants() {
		old := g.key.epoch != o.epoch || now.Sub(g.granted) >= grantTravel
		if g.request.router == router && old && !listed[g.key] {
			o.orphan(g)
		}
	}
	o.dispatch()
}

func (o *Owner) hold(router RouterID, h HeldGrant) {
	key := grantKey{h.Epoch, h.GrantID}
	if o.grants[key] != nil {
		return
	}
	g := o.newGrant()
	g.key, g.request = key, requestKey{router, h.RequestID}
	g.flow = o.queue.Flow(h.Workspace)
	g.class = class.Class{Name: h.Class}
	g.estimate, g.granted = h.EstimateUnits, o.now
	g.sent = Grant{Router: router, RequestID: h.RequestID, GrantID: h.GrantID, Epoch: h.Epoch, Server: h.Server,
		EstimateUnits: h.EstimateUnits}
	if s := o.servers[h.Server]; s != nil {
		g.sent.Address, g.sent.BootID = s.ann.Address, s.ann.BootID
		g.sent.Abilities = s.ann.Abilities
		o.occupy(g, s)
	}
	// The owner that granted it charged the estimate to its own origin; the
	// settle here adds only the difference.
	o.queue.Served(o.now, g.flow)
	o.grants[key], o.granted[g.request] = g, g
	if router.Incarnation < o.latest[router.Name] {
		o.orphan(g)
	}
}
