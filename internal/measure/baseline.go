package measure

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// fcfsOwner implements the baseline policy of an ordinary load balancer:
// requests are served in order of arrival by the server with the fewest
// requests in flight, up to its advertised slots. Workspaces and cold starts
// have no influence. The embedded Owner receives the inputs that this policy
// does not use, and never grants.
type fcfsOwner struct {
	*pool.Owner
	lastGrantID uint64
	now         time.Time
	out         bool       // whether the data centre is taken out
	queue       []pool.Ask // in order of arrival
	servers     []*fcfsServer
	grants      map[uint64]*fcfsServer // by grant id
	output      pool.Output
}

// fcfsServer is the state that fcfsOwner keeps for one server.
type fcfsServer struct {
	announcement backend.Announcement
	announcedAt  time.Time
	inFlight     int
}

func newFCFSOwner(id pool.ShardID, epoch uint64, now time.Time) *fcfsOwner {
	unusedOwner := pool.NewOwner(id, epoch, pool.Config{}, fairshare.NewLedger(fairshare.Origin{}), now)
	return &fcfsOwner{Owner: unusedOwner, now: now, grants: map[uint64]*fcfsServer{}}
}

func (o *fcfsOwner) Ask(now time.Time, a pool.Ask) {
	o.queue = append(o.queue, a)
	o.dispatch(now)
}

// dispatch grants queued asks in order of arrival while a server has a free
// slot and the data centre is not taken out.
func (o *fcfsOwner) dispatch(now time.Time) {
	o.now = now
	for s := o.leastLoadedServer(); s != nil && len(o.queue) > 0 && !o.out; s = o.leastLoadedServer() {
		a := o.queue[0]
		o.queue = o.queue[1:]
		o.lastGrantID++
		s.inFlight++
		o.grants[o.lastGrantID] = s
		o.output.Grants = append(o.output.Grants, pool.Grant{Router: a.Router, RequestID: a.RequestID, GrantID: o.lastGrantID,
			Epoch: o.Epoch(), Server: s.announcement.Name, Address: s.announcement.Address, BootID: s.announcement.BootID})
	}
}

// leastLoadedServer returns the server with the fewest requests in flight among
// those that are ready, announced themselves within backend.SilenceLimit and
// have a free slot, or nil if there is none.
func (o *fcfsOwner) leastLoadedServer() *fcfsServer {
	var best *fcfsServer
	for _, s := range o.servers {
		slots := s.announcement.Slots
		if slots == 0 {
			slots = engineKnee
		}
		if s.announcement.State == backend.Ready && s.inFlight < slots && o.now.Sub(s.announcedAt) < backend.AnnouncementTimeout && (best == nil || s.inFlight < best.inFlight) {
			best = s
		}
	}
	return best
}

func (o *fcfsOwner) Settle(now time.Time, s pool.Settle) {
	if g := o.grants[s.GrantID]; g != nil && s.Epoch == o.Epoch() {
		g.inFlight--
		delete(o.grants, s.GrantID)
	}
	o.dispatch(now)
}

func (o *fcfsOwner) HandleAnnouncement(now time.Time, a backend.Announcement) {
	for _, s := range o.servers {
		if s.announcement.Name == a.Name {
			s.announcement, s.announcedAt = a, now
			o.dispatch(now)
			return
		}
	}
	o.servers = append(o.servers, &fcfsServer{announcement: a, announcedAt: now})
	o.dispatch(now)
}

// Tick refuses the asks that have waited longer than their class allows.
func (o *fcfsOwner) Tick(now time.Time) {
	remaining := o.queue[:0]
	for _, a := range o.queue {
		if now.Sub(a.Arrived) < a.Class.LongestWait() {
			remaining = append(remaining, a)
			continue
		}
		o.output.Refusals = append(o.output.Refusals, pool.Refusal{Router: a.Router, RequestID: a.RequestID, Code: result.WaitExpired, RetryAfter: time.Second})
	}
	o.queue = remaining
	o.dispatch(now)
}

func (o *fcfsOwner) NextTick() time.Time                    { return o.now.Add(100 * time.Millisecond) }
func (o *fcfsOwner) SetDataCentreOut(_ time.Time, out bool) { o.out = out }

func (o *fcfsOwner) TakeOutput() pool.Output {
	out := o.output
	o.output = pool.Output{}
	return out
}
