package measure

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// firstComeOwner is the baseline of an ordinary balancer: one queue in order
// of arrival and the server with the least connections, up to the advertised
// slots. It knows neither workspaces nor cold starts. The embedded Owner takes
// the inputs that such a balancer does not have and never grants.
type firstComeOwner struct {
	*pool.Owner
	last    uint64
	now     time.Time
	out     bool
	queue   []pool.Ask
	servers []*plainServer
	grants  map[uint64]*plainServer
	outbox  pool.Output
}

type plainServer struct {
	ann      backend.Announcement
	heard    time.Time
	inFlight int
}

func newFirstCome(id pool.ShardID, epoch uint64, now time.Time) *firstComeOwner {
	idle := pool.NewOwner(id, epoch, pool.Config{}, fairshare.NewLedger(fairshare.Origin{}), now)
	return &firstComeOwner{Owner: idle, now: now, grants: map[uint64]*plainServer{}}
}

func (o *firstComeOwner) Ask(now time.Time, a pool.Ask) {
	o.queue = append(o.queue, a)
	o.dispatch(now)
}

func (o *firstComeOwner) dispatch(now time.Time) {
	o.now = now
	for s := o.least(); s != nil && len(o.queue) > 0 && !o.out; s = o.least() {
		a := o.queue[0]
		o.queue = o.queue[1:]
		o.last++
		s.inFlight++
		o.grants[o.last] = s
		o.outbox.Grants = append(o.outbox.Grants, pool.Grant{Router: a.Router, RequestID: a.RequestID, GrantID: o.last,
			Epoch: o.Epoch(), Server: s.ann.Name, Address: s.ann.Address, BootID: s.ann.BootID})
	}
}

func (o *firstComeOwner) least() *plainServer {
	var best *plainServer
	for _, s := range o.servers {
		slots := s.ann.Slots
		if slots == 0 {
			slots = engineKnee
		}
		if s.ann.State == backend.Ready && s.inFlight < slots && o.now.Sub(s.heard) < backend.AnnouncementTimeout && (best == nil || s.inFlight < best.inFlight) {
			best = s
		}
	}
	return best
}

func (o *firstComeOwner) Settle(now time.Time, s pool.Settle) {
	if g := o.grants[s.GrantID]; g != nil && s.Epoch == o.Epoch() {
		g.inFlight--
		delete(o.grants, s.GrantID)
	}
	o.dispatch(now)
}

func (o *firstComeOwner) HandleAnnouncement(now time.Time, a backend.Announcement) {
	for _, s := range o.servers {
		if s.ann.Name == a.Name {
			s.ann, s.heard = a, now
			o.dispatch(now)
			return
		}
	}
	o.servers = append(o.servers, &plainServer{ann: a, heard: now})
	o.dispatch(now)
}

// Tick refuses what waited longer than its class allows.
func (o *firstComeOwner) Tick(now time.Time) {
	keep := o.queue[:0]
	for _, a := range o.queue {
		if now.Sub(a.Arrived) < a.Class.LongestWait() {
			keep = append(keep, a)
			continue
		}
		o.outbox.Refusals = append(o.outbox.Refusals, pool.Refusal{Router: a.Router, RequestID: a.RequestID, Code: result.WaitExpired, RetryAfter: time.Second})
	}
	o.queue = keep
	o.dispatch(now)
}

func (o *firstComeOwner) NextTick() time.Time                    { return o.now.Add(100 * time.Millisecond) }
func (o *firstComeOwner) SetDataCentreOut(_ time.Time, out bool) { o.out = out }

func (o *firstComeOwner) TakeOutput() pool.Output {
	out := o.outbox
	o.outbox = pool.Output{}
	return out
}
