package router

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
)

const (
	// endedOriginRetention is how long the totals of an ended router
	// incarnation are kept. Other routers may send totals of that incarnation
	// late, but within this time.
	endedOriginRetention = time.Minute
	// lostOriginRetention is how long the totals of a router that is not live
	// are kept. The router may be in another partition. If its totals were
	// dropped, all service that it counts until it returns would be lost.
	lostOriginRetention = membership.DeadMemberRetention
	// maxServiceUnits bounds a received total, so that the sum over all origins
	// cannot overflow. A fleet of the size to design for counts 1e7 units a second,
	// 1e15 in three years.
	maxServiceUnits = 1 << 53
)

// exchangeTotalsIfDue exchanges totals at whole multiples of the interval. If
// it measured from the last exchange, each interval would be up to one
// reconcile interval too long.
func (r *Router) exchangeTotalsIfDue(now time.Time) {
	intervalStart := now.Truncate(fairshare.TotalsExchangeInterval)
	if intervalStart.Equal(r.totalsSentAt) {
		return
	}
	r.totalsSentAt = intervalStart
	r.sendChangedTotals()
	r.dropGoneOrigins(now)
}

// sendChangedTotals sends the totals of this router that have changed to all
// routers.
func (r *Router) sendChangedTotals() {
	changed, version := r.ledger.OwnTotalsSince(r.totalsSentVersion)
	if len(changed) == 0 {
		return
	}
	r.totalsSentVersion = version
	e := r.totalsEnvelope(changed, false)
	for _, m := range r.ownership.LiveRouters() {
		r.send(m.Name, e)
	}
}

func (r *Router) totalsEnvelope(totals []fairshare.ServiceTotal, full bool) *apiv1.Envelope {
	t := &apiv1.Totals{Origin: peer.RouterToProto(r.self), Full: full}
	for _, w := range totals {
		t.Totals = append(t.Totals, &apiv1.WorkspaceTotal{Workspace: w.Workspace, Units: w.Units})
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Totals{Totals: t}}
}

func (r *Router) receiveTotals(t *apiv1.Totals) {
	if t.Origin == nil {
		return
	}
	totals := make([]fairshare.ServiceTotal, 0, len(t.Totals))
	for _, w := range t.Totals {
		if w.Units > maxServiceUnits {
			r.log.Warnf("total of workspace %.64q from router %.64q ignored: %d service units are more than %d", w.Workspace, t.Origin.Name, w.Units, uint64(maxServiceUnits))
			continue
		}
		totals = append(totals, fairshare.ServiceTotal{Workspace: w.Workspace, Units: w.Units})
	}
	origin := fairshare.Origin{Name: t.Origin.Name, DataCentre: t.Origin.DataCentre, Incarnation: t.Origin.Incarnation}
	if origin != r.ledger.Origin() {
		r.ledger.Merge(origin, totals, t.Full)
	}
}

// dropGoneOrigins drops the separate totals of router incarnations that have
// been gone for their retention; the ledger adds them to the totals of the
// workspaces. Otherwise each restart of a router would add a table of totals.
func (r *Router) dropGoneOrigins(now time.Time) {
	origins := r.ledger.RemoteOrigins()
	goneSince := make(map[fairshare.Origin]time.Time)
	members := r.memberIncarnations()
	for _, o := range origins {
		retention := r.originRetention(o, members)
		if retention == 0 {
			continue
		}
		since, seen := r.originGoneSince[o]
		if !seen {
			since = now
		}
		if now.Sub(since) < retention {
			goneSince[o] = since
			continue
		}
		r.ledger.DropOrigin(o)
	}
	r.originGoneSince = goneSince
}

func (r *Router) memberIncarnations() map[string]uint64 {
	members := make(map[string]uint64)
	for _, m := range r.ownership.LiveRouters() {
		members[m.Name] = m.Incarnation
	}
	return members
}

// originRetention returns how long the totals of an origin are kept from now
// on, 0 if the origin is not gone. The incarnation of the connection takes
// precedence over that of the membership: a static peer has none there, and the
// membership raises its own if the clock of a host has been set back.
func (r *Router) originRetention(o fairshare.Origin, members map[string]uint64) time.Duration {
	r.peersMu.Lock()
	connected, known := r.peerIDs[o.Name]
	r.peersMu.Unlock()
	incarnation, listed := members[o.Name]
	if known {
		incarnation = connected.Incarnation
	}
	switch {
	case known && incarnation == o.Incarnation:
		return 0
	case !known && !listed:
		return lostOriginRetention
	case incarnation == 0 || incarnation == o.Incarnation:
		return 0
	default:
		return endedOriginRetention
	}
}
