package measure

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// firstComeOwner is the baseline of an ordinary balancer: one queue in order
// of arrival and the server with the least connections, up to the advertised
// slots. It knows neither workspaces nor cold starts.
type firstComeOwner struct {
	epoch, last uint64
	now         time.Time
	out         bool
	queue       []pool.Ask
	servers     []*plainServer
	grants      map[uint64]*plainServer
	outbox      pool.Output
}

type plainServer struct {
	ann      backend.Announcement
	heard    time.Time
	inFlight int
}

func newFirstCome(epoch uint64, now time.Time) *firstComeOwner {
	return &firstComeOwner{epoch: epoch, now: now, grants: map[uint64]*plainServer{}}
}

func (o *firstComeOwner) Ask(now time.Time, a pool.Ask) {
	o.now = now
	o.queue = append(o.queue, a)
	o.dispatch()
}

func (o *firstComeOwner) dispatch() {
	for len(o.queue) > 0 && !o.out {
		s := o.least()
		if s == nil {
			return
		}
		a := o.queue[0]
		o.queue = o.queue[1:]
		o.last++
		s.inFlight++
		o.grants[o.last] = s
		o.outbox.Grants = append(o.outbox.Grants, pool.Grant{Router: a.Router, RequestID: a.RequestID, GrantID: o.last,
			Epoch: o.epoch, Server: s.ann.Name, Address: s.ann.Address, BootID: s.ann.BootID})
	}
}

func (o *firstComeOwner) least() *plainServer {
	var best *plainServer
	for _, s := range o.servers {
		slots := s.ann.Slots
		if slots == 0 {
			slots = engineKnee
		}
		if s.inFlight < slots && o.now.Sub(s.heard) < backend.SilenceLimit && (best == nil || s.inFlight < best.inFlight) {
			best = s
		}
	}
	return best
}

func (o *firstComeOwner) Settle(now time.Time, s pool.Settle) {
	o.now = now
	if g := o.grants[s.GrantID]; g != nil && s.Epoch == o.epoch {
		g.inFlight--
		delete(o.grants, s.GrantID)
	}
	o.dispatch()
}

func (o *firstComeOwner) Announce(now time.Time, a backend.Announcement) {
	o.now = now
	for _, s := range o.servers {
		if s.ann.Name == a.Name {
			s.ann, s.heard = a, now
			o.dispatch()
			return
		}
	}
	o.servers = append(o.servers, &plainServer{ann: a, heard: now})
	o.dispatch()
}

// Tick refuses what waited longer than its class allows.
func (o *firstComeOwner) Tick(now time.Time) {
	o.now = now
	keep := o.queue[:0]
	for _, a := range o.queue {
		if now.Sub(a.Arrived) < a.Class.LongestWait() {
			keep = append(keep, a)
			continue
		}
		o.outbox.Refusals = append(o.outbox.Refusals, pool.Refusal{Router: a.Router, RequestID: a.RequestID, Code: result.WaitExpired, RetryAfter: time.Second})
	}
	o.queue = keep
}

func (o *firstComeOwner) NextTick() time.Time { return o.now.Add(100 * time.Millisecond) }

func (o *firstComeOwner) Take() pool.Output {
	out := o.outbox
	o.outbox = pool.Output{}
	return out
}

func (o *firstComeOwner) SetDataCentreOut(_ time.Time, out bool)            { o.out = out }
func (o *firstComeOwner) Held(time.Time, pool.RouterID, []pool.HeldGrant)   {}
func (o *firstComeOwner) RouterGone(time.Time, pool.RouterID)               {}
func (o *firstComeOwner) SetKnownRouters(time.Time, int, int, int)          {}
func (o *firstComeOwner) CacheEvents(time.Time, string, []uint64, []uint64) {}
func (o *firstComeOwner) Summary(time.Time, pool.Summary)                   {}
func (o *firstComeOwner) Loan(time.Time, pool.Loan)                         {}
func (o *firstComeOwner) LoanReturn(time.Time, pool.LoanReturn)             {}
func (o *firstComeOwner) Handover() pool.Handover                           { return pool.Handover{} }
func (o *firstComeOwner) Accept(time.Time, pool.Handover)                   {}
func (o *firstComeOwner) Snapshot() pool.View                               { return pool.View{} }
