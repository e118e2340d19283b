package router

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
)

const (
	// endedOriginMemory is how long the totals of an ended incarnation are
	// kept. Totals that other routers pass on late arrive within this time.
	endedOriginMemory = time.Minute
	// lostOriginMemory is how long the totals of a router that is not live are
	// kept. It can be on the other side of a partition, and dropping its
	// totals would discard all service that it counts until it returns.
	lostOriginMemory = membership.KnownFor
)

// followTotals exchanges totals at whole multiples of the interval. An
// interval since the last exchange would grow by up to one reconcile interval
// each time.
func (r *Router) followTotals(now time.Time) {
	due := now.Truncate(fairshare.ExchangeInterval)
	if due.Equal(r.totalsAt) {
		return
	}
	r.totalsAt = due
	r.exchangeTotals()
	r.dropOrigins(now)
}

// exchangeTotals sends the own service totals that changed to every router.
func (r *Router) exchangeTotals() {
	changed, version := r.ledger.Changed(r.totalsVersion)
	if len(changed) == 0 {
		return
	}
	r.totalsVersion = version
	e := r.totalsEnvelope(changed, false)
	for _, m := range r.ownership.Members() {
		r.send(m.Name, e)
	}
}

func (r *Router) totalsEnvelope(totals []fairshare.Total, full bool) *apiv1.Envelope {
	t := &apiv1.Totals{Origin: peer.FromRouter(r.self), Full: full}
	for _, w := range totals {
		t.Totals = append(t.Totals, &apiv1.WorkspaceTotal{Workspace: w.Workspace, Units: w.Units})
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Totals{Totals: t}}
}

func (r *Router) receiveTotals(t *apiv1.Totals) {
	if t.Origin == nil {
		return
	}
	totals := make([]fairshare.Total, 0, len(t.Totals))
	for _, w := range t.Totals {
		totals = append(totals, fairshare.Total{Workspace: w.Workspace, Units: w.Units})
	}
	origin := fairshare.Origin{Name: t.Origin.Name, DataCentre: t.Origin.DataCentre, Incarnation: t.Origin.Incarnation}
	if origin != r.ledger.Origin() {
		r.ledger.Merge(origin, totals, t.Full)
	}
}

// dropOrigins folds the totals of router incarnations that have been gone for
// long enough into the totals of the workspaces. Without it, each restart of a
// router would leave a table of totals behind.
func (r *Router) dropOrigins(now time.Time) {
	origins := r.ledger.Origins()
	gone := make(map[fairshare.Origin]time.Time)
	members := r.memberIncarnations()
	for _, o := range origins {
		memory := r.originMemory(o, members)
		if memory == 0 {
			continue
		}
		since, seen := r.goneOrigins[o]
		if !seen {
			since = now
		}
		if now.Sub(since) < memory {
			gone[o] = since
			continue
		}
		r.ledger.DropOrigin(o)
	}
	r.goneOrigins = gone
}

func (r *Router) memberIncarnations() map[string]uint64 {
	members := make(map[string]uint64)
	for _, m := range r.ownership.Members() {
		members[m.Name] = m.Incarnation
	}
	return members
}

// originMemory returns how long the totals of an origin are kept from now on,
// 0 for one that is not gone. The incarnation of the connection comes first: a
// fixed list of peers has none, and membership raises its own after the clock
// of a host went back.
func (r *Router) originMemory(o fairshare.Origin, members map[string]uint64) time.Duration {
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
		return lostOriginMemory
	case incarnation == 0 || incarnation == o.Incarnation:
		return 0
	default:
		return endedOriginMemory
	}
}
