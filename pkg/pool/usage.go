package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// Usage is the demand for a shard and the capacity of its servers. The placement
// of engines uses it.
type Usage struct {
	OfferedUnits    uint64    // estimated service units of all asks so far
	LastInteractive time.Time // last ask of a class that may not wait
	Waiting         int       // waiting asks
	// SlotUnitsPerSecond is the throughput of one slot in service units per
	// second, 0 if no request has succeeded yet.
	SlotUnitsPerSecond float64
	Servers            []ServerUsage
}

// ServerUsage is the capacity of one BackendServer of a shard.
type ServerUsage struct {
	Name        string
	Slots       int       // announced slots, or the limit if none are announced
	Idle        bool      // no requests by its last load report and by the slots in use
	LoadTakenAt time.Time // when the last load report was taken
}

// countDemand adds the estimated cost of a new ask to the demand, also if the
// ask is refused afterwards.
func (o *Owner) countDemand(a *Ask) {
	o.offeredUnits += o.estimate(a)
	if !a.Class.MayWait {
		o.lastInteractive = o.now
	}
}

// Usage returns the demand and the capacity of the shard. Silent, leaving and
// departed servers are left out.
func (o *Owner) Usage(now time.Time) Usage {
	u := Usage{OfferedUnits: o.offeredUnits, LastInteractive: o.lastInteractive, Waiting: o.queue.Len()}
	if o.stats.slotTime > 0 {
		u.SlotUnitsPerSecond = o.stats.cost / o.stats.slotTime.Seconds()
	}
	for _, s := range o.sortedServers() {
		if now.Sub(s.announcedAt) >= backend.AnnouncementTimeout || s.announcement.State == backend.Leaving || o.departed[s.announcement.Name] {
			continue
		}
		u.Servers = append(u.Servers, ServerUsage{Name: s.announcement.Name, Slots: slotCount(s), Idle: isIdle(s), LoadTakenAt: s.loadTakenAt})
	}
	return u
}

// slotCount returns the announced slots of a server, or its limit if it
// announces none.
func slotCount(s *server) int {
	if s.announcement.Slots > 0 {
		return s.announcement.Slots
	}
	return s.limit.State().Full
}

// isIdle reports whether no requests are known to run or wait on a server.
func isIdle(s *server) bool {
	st := s.limit.State()
	return st.InFlight == 0 && st.Unseen == 0 && s.announcement.Load.Running+s.announcement.Load.Waiting == 0
}

// SetOrderPending sets whether a placement order to a server is pending. Such a
// server receives no new requests; running ones go on.
func (o *Owner) SetOrderPending(now time.Time, name string, orderPending bool) {
	o.now = now
	if orderPending {
		o.orderPending[name] = true
	} else {
		delete(o.orderPending, name)
	}
	if s := o.servers[name]; s != nil {
		o.reposition(s)
	}
	o.dispatch()
}
