package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// Usage is what callers ask of a shard and what its servers bear, for the
// placement of engines.
type Usage struct {
	Offered    uint64    // service units of all asks so far, as estimated
	LastUrgent time.Time // last ask of a class that may not wait
	Waiting    int
	// SlotUnits is what one slot serves, in service units a second, 0 if no
	// request has ended.
	SlotUnits float64
	Servers   []ServerUsage
}

// ServerUsage is one BackendServer of a shard that announces itself.
type ServerUsage struct {
	Name  string
	Slots int       // announced slots, or the limit if there are none
	Idle  bool      // runs nothing, as far as its last load report and grants tell
	Taken time.Time // when the last load report was taken
}

// offer counts the demand of a new ask, also of one that is refused.
func (o *Owner) offer(a *Ask) {
	o.offered += o.costs.Estimate(a.Workspace, a.Class.Name, a.HintUnits, a.PromptUnits)
	if !a.Class.MayWait {
		o.lastUrgent = o.now
	}
}

// Usage returns the demand and the capacity of the shard.
func (o *Owner) Usage(now time.Time) Usage {
	u := Usage{Offered: o.offered, LastUrgent: o.lastUrgent, Waiting: o.queue.Len()}
	if o.stats.hold > 0 {
		u.SlotUnits = o.stats.cost / o.stats.hold.Seconds()
	}
	for _, s := range o.sorted() {
		if now.Sub(s.heard) >= backend.SilenceLimit || s.ann.State == backend.Leaving || o.departed[s.ann.Name] {
			continue
		}
		u.Servers = append(u.Servers, ServerUsage{Name: s.ann.Name, Slots: slotsOf(s), Idle: idle(s), Taken: s.taken})
	}
	return u
}

func slotsOf(s *server) int {
	if s.ann.Slots > 0 {
		return s.ann.Slots
	}
	return s.limit.State().Full
}

func idle(s *server) bool {
	st := s.limit.State()
	return st.InFlight == 0 && st.Unseen == 0 && s.ann.Load.Running+s.ann.Load.Waiting == 0
}

// SetOrdered gives a server no new work while an order to it is prepared and
// carried out. Running work goes on.
func (o *Owner) SetOrdered(now time.Time, name string, ordered bool) {
	o.now = now
	if ordered {
		o.ordered[name] = true
	} else {
		delete(o.ordered, name)
	}
	if s := o.servers[name]; s != nil {
		o.fix(s)
	}
	o.dispatch()
}
