package pool

import (
	"math"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
)

const (
	// seasonedRounds is the number of requests per slot that a seasoned
	// engine has finished.
	seasonedRounds = 8
	// seasonedSlots stands for the slots of an engine that announces none.
	seasonedSlots = 16
)

// server is one BackendServer of the shard.
type server struct {
	number   uint32
	ann      backend.Announcement
	limit    *limiter.Limiter
	heard    time.Time // last announcement
	started  time.Time // first announcement of this boot id here
	returned time.Time // when its data centre came back
	failed   bool      // no announcement since the last dropped connection
	proven   bool      // the first load report has been used
	orphans  int       // slots of work whose end nobody will report
	orphaned time.Time // when the newest orphan was made
	taken    time.Time // when the last load report was taken
	last     uint64    // order of the last grant
	counted  int       // slots counted in laneSlots
	emptier  int       // load reports in a row that show less than is counted
	lanes    []int
	places   []int // index in the heap of each lane
	key      float64
}

// usable reports whether the server may receive new work. A new owner gives a
// cold server none before a load report shows what it already runs. The same
// holds after the data centre came back: while a server was warm, slots whose
// end was not known were released early, and their requests may still run.
func (o *Owner) usable(s *server) bool {
	if s.limit.Cold() && (s.taken.Before(o.started) || s.taken.Before(s.returned)) {
		return false
	}
	return s.ann.State == backend.Ready &&
		!s.failed &&
		!o.out &&
		!o.departed[s.ann.Name] &&
		!o.ordered[s.ann.Name] &&
		o.now.Sub(s.heard) < backend.SilenceLimit
}

// serverKey orders servers by load; a server without a free slot is last.
func (o *Owner) serverKey(s *server) float64 {
	st := s.limit.State()
	if !o.usable(s) || st.InFlight >= st.Limit {
		return math.Inf(1)
	}
	return float64(st.InFlight) / float64(st.Limit)
}

// fix renews the place of a server in its heaps.
func (o *Owner) fix(s *server) {
	s.key = o.serverKey(s)
	slots := 0
	if o.usable(s) {
		slots = s.limit.Limit()
	}
	for i, l := range s.lanes {
		o.lanes[l].fix(s.places[i])
		o.laneSlots[l] += slots - s.counted
	}
	s.counted = slots
}

// Announce takes an announcement of a BackendServer of this shard.
func (o *Owner) Announce(now time.Time, a backend.Announcement) {
	if o.closed {
		return
	}
	o.now = now
	s := o.servers[a.Name]
	switch {
	case s == nil:
		s = o.addServer(a)
	case s.ann.BootID != a.BootID || a.Load.Total < s.ann.Load.Total:
		// A falling request count is a restart under the same boot id.
		o.rebooted(s)
	case a.State == backend.Starting && s.ann.State != backend.Starting:
		s.limit.Chill(now)
	}
	changed := !slices.Equal(s.ann.Models, a.Models)
	s.ann, s.heard, s.failed = a, now, false
	s.limit.Advertise(a.Slots, a.ColdSlots)
	o.report(s)
	if changed {
		o.place(s)
	}
	o.fix(s)
	o.dispatch()
}

func (o *Owner) addServer(a backend.Announcement) *server {
	s := &server{
		number:  uint32(len(o.numbered)),
		ann:     a,
		limit:   limiter.New(o.now, a.Slots, a.ColdSlots),
		heard:   o.now,
		started: o.now,
	}
	s.limit.SetKnownRouters(o.now, o.known, o.live, o.rank)
	o.servers[a.Name] = s
	o.numbered = append(o.numbered, s)
	o.place(s)
	o.claimHeld(s)
	return s
}

// claimHeld counts grants that were reported before the server announced
// itself to this owner.
func (o *Owner) claimHeld(s *server) {
	for _, g := range o.grants {
		if g.server == nil && g.loan == nil && g.sent.Server == s.ann.Name {
			g.sent.Address, g.sent.BootID = s.ann.Address, s.ann.BootID
			g.sent.Abilities = s.ann.Abilities
			o.occupy(g, s)
		}
	}
}

// rebooted makes a server cold. Requests of the earlier boot have ended there,
// but their routers still settle them.
func (o *Owner) rebooted(s *server) {
	s.limit.Chill(o.now)
	s.started, s.proven = o.now, true
	for ; s.orphans > 0; s.orphans-- {
		o.releaseSlot(s, limiter.Sample{Result: limiter.Neutral})
	}
	o.prefixes.forget(s.number)
}

// report gives the load report to the limiter and uses it to end orphans.
func (o *Owner) report(s *server) {
	l := s.ann.Load
	taken := o.now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
	s.taken = taken
	s.limit.Report(o.now, limiter.Load{Running: l.Running, Waiting: l.Waiting, Taken: taken})
	o.prove(s, l, taken)
	o.findLeak(s, l.Running+l.Waiting)
	if s.orphans == 0 || !taken.After(s.orphaned) {
		return
	}
	hidden := max(l.Running+l.Waiting-o.certain(s, taken), 0)
	for s.orphans > hidden || s.orphans > 0 && !s.limit.Cold() {
		s.orphans--
		o.releaseSlot(s, limiter.Sample{Result: limiter.Neutral})
	}
}

// certain counts the requests that surely ran on the server when a report was
// taken: grants, and loans that their borrower has confirmed. A loan that was
// lost on its way would otherwise stand for an orphan that still runs.
func (o *Owner) certain(s *server, taken time.Time) int {
	n := 0
	for _, g := range o.grants {
		if g.server == s && g.granted.Before(taken) {
			n++
		}
	}
	for _, l := range o.lent {
		if l.server == s && l.acked && l.given.Before(taken) {
			n += int(l.open)
		}
	}
	return n
}

// prove raises the limit at a new owner that got no hand-over: a server that
// has finished requests and runs many of them now is not cold.
func (o *Owner) prove(s *server, l backend.Load, taken time.Time) {
	if s.proven || taken.Before(o.started) {
		return
	}
	if o.now.After(o.opens) {
		s.proven = true
		return
	}
	if seasoned(&s.ann) {
		s.proven = true
		s.limit.Restore(o.now, max(s.ann.Slots, l.Running, seasonedSlots), false)
	}
}

// seasoned reports whether an engine has run its full load since it started:
// it has finished many requests and holds a large prefix cache, which a cold
// start empties. A new owner would otherwise ramp a whole data centre again
// after each router restart.
func seasoned(a *backend.Announcement) bool {
	slots := max(a.Slots, seasonedSlots)
	return a.State == backend.Ready &&
		a.Load.Total >= seasonedRounds*int64(slots) &&
		a.Load.Cached >= 2*slots
}

func (o *Owner) releaseSlot(s *server, sample limiter.Sample) {
	o.inFlight--
	s.limit.Release(o.now, sample)
	o.fix(s)
}

// occupy takes a slot of an own server for a grant.
func (o *Owner) occupy(g *grant, s *server) {
	g.server = s
	o.take(s)
}

func (o *Owner) take(s *server) {
	s.limit.Force(o.now)
	o.inFlight++
	s.last = o.lastGrant + o.lastLoan
	o.fix(s)
}

// vacate returns the slot of a settled grant.
func (o *Owner) vacate(g *grant, s Settle) {
	o.ended(g.server, g.sent.BootID, sampleOf(s, g.granted, g.class.TokenInterval))
}

// ended returns a slot. A request of an earlier boot says nothing about this
// one. After a dropped connection the server receives no work before it has
// announced itself again.
func (o *Owner) ended(s *server, boot uint64, sample limiter.Sample) {
	if boot != 0 && boot != s.ann.BootID {
		sample.Result = limiter.Neutral
	}
	s.failed = s.failed || sample.Result == limiter.Dropped || sample.Result == limiter.Stalled
	o.releaseSlot(s, sample)
}

// orphan ends a grant whose router is gone.
func (o *Owner) orphan(g *grant) {
	o.queue.Ended(o.now, g.flow)
	if g.loan != nil {
		o.returnUsed(g.loan, Settle{}) // without an outcome: its end is not known
	}
	if g.server != nil {
		o.orphanSlot(g.server)
	}
	o.forget(g)
}

// orphanSlot ends the count of a request whose end is not known: at once on a
// warm server, after a load report on a cold one.
func (o *Owner) orphanSlot(s *server) {
	if !s.limit.Cold() {
		o.releaseSlot(s, limiter.Sample{Result: limiter.Neutral})
		return
	}
	s.orphans++
	s.orphaned = o.now
}

// SetDataCentreOut takes the data centre out or back. It comes back with cold
// limits.
func (o *Owner) SetDataCentreOut(now time.Time, out bool) {
	o.now = now
	if o.out == out {
		return
	}
	o.out = out
	for _, s := range o.servers {
		if !out {
			s.limit.Chill(now)
			s.returned = now
		}
		o.fix(s)
	}
	o.dispatch()
}

// SetDeparted marks a server that operators have sent away.
func (o *Owner) SetDeparted(now time.Time, name string, departed bool) {
	o.now = now
	if departed {
		o.departed[name] = true
	} else {
		delete(o.departed, name)
	}
	if s := o.servers[name]; s != nil {
		o.fix(s)
	}
	o.dispatch()
}

// usableSlots returns the limit over the usable servers of a lane.
func (o *Owner) usableSlots(l int) int { return o.laneSlots[l] }

// forgetSilent drops servers that have been silent for long.
func (o *Owner) forgetSilent() {
	for name, s := range o.servers {
		if o.now.Sub(s.heard) < forgetAfter || s.limit.State().InFlight > 0 {
			continue
		}
		for i, l := range s.lanes {
			o.lanes[l].remove(s.places[i])
			o.laneSlots[l] -= s.counted
		}
		s.lanes, s.places, s.counted = nil, nil, 0
		delete(o.servers, name)
	}
}
