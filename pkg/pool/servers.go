package pool

import (
	"math"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
)

const (
	// warmRequestsPerSlot is the least number of requests per slot that a
	// warmed up engine has finished.
	warmRequestsPerSlot = 8
	// assumedEngineSlots replaces the slots of an engine that announces fewer
	// or none.
	assumedEngineSlots = 16
)

// server is the state of one BackendServer of the shard.
type server struct {
	number           uint32               // index in Owner.serversByNumber
	announcement     backend.Announcement // the last one
	limit            *limiter.Limiter
	announcedAt      time.Time    // when the last announcement arrived
	bootSeenAt       time.Time    // first announcement of this boot id, or of this server
	dataCentreBackAt time.Time    // when its data centre was taken back in
	connectionLost   bool         // no announcement since a request lost its connection or stalled
	restoreDecided   bool         // restoreIfWarm has nothing more to decide
	orphanedSlots    int          // slots in use by requests whose end nobody will report
	lastOrphanAt     time.Time    // when orphanedSlots last rose
	loadTakenAt      time.Time    // when the last load report was taken
	lastUse          uint64       // sequence number of the last grant or loan
	countedSlots     int          // slots counted in Owner.slotsByModel
	lowReports       int          // consecutive load reports with fewer requests than slots in use
	modelIndexes     []int        // indexes of the models that the server serves
	heapIndexes      []int        // index in the heap of each of modelIndexes
	loadKey          float64      // see serverLoadKey
	rate             *requestRate // by what the answers of the process state, nil if nothing
}

// isUsable reports whether the server may receive new requests. A cold server
// needs a load report from after the start of this owner, which shows what
// already runs there. After the data centre came back it needs one from after
// that time: while the server was warm, slots of requests with an unknown end
// were released at once, and these requests may still run.
func (o *Owner) isUsable(s *server) bool {
	if s.limit.Cold() && (s.loadTakenAt.Before(o.startedAt) || s.loadTakenAt.Before(s.dataCentreBackAt)) {
		return false
	}
	return s.announcement.State == backend.Ready &&
		!s.connectionLost &&
		!o.out &&
		!o.departed[s.announcement.Name] &&
		!o.orderPending[s.announcement.Name] &&
		o.now.Sub(s.announcedAt) < backend.AnnouncementTimeout
}

// serverLoadKey returns the used part of the limit of a server, by which the
// heaps are ordered: +Inf if the server is not usable, has no free slot or has got as many
// requests as its stated limit allows.
func (o *Owner) serverLoadKey(s *server) float64 {
	st := s.limit.State()
	if !o.isUsable(s) || st.InFlight >= st.Limit || !o.mayGetRequest(s) {
		return math.Inf(1)
	}
	return float64(st.InFlight) / float64(st.Limit)
}

// reposition recomputes the load key of a server, its heap positions and its
// part of the slots of its models. It is called after each change that can make
// the server usable or unusable or changes its limit or its slots in use.
func (o *Owner) reposition(s *server) {
	s.loadKey = o.serverLoadKey(s)
	slots := 0
	if o.isUsable(s) {
		slots = s.limit.Limit()
	}
	for i, modelIndex := range s.modelIndexes {
		o.heapsByModel[modelIndex].reposition(s.heapIndexes[i])
		o.slotsByModel[modelIndex] += slots - s.countedSlots
	}
	s.countedSlots = slots
}

// HandleAnnouncement takes an announcement of a BackendServer of this shard: it
// adds an unknown server, detects restarts and applies the load report.
func (o *Owner) HandleAnnouncement(now time.Time, a backend.Announcement) {
	if o.handedOver {
		return
	}
	o.now = now
	s := o.servers[a.Name]
	switch {
	case s == nil:
		s = o.addServer(a)
	case s.announcement.BootID != a.BootID || a.Load.TotalRequests < s.announcement.Load.TotalRequests:
		// A request count that falls means a restart under the same boot id.
		o.handleReboot(s)
	case a.State == backend.Starting && s.announcement.State != backend.Starting:
		s.limit.MarkCold(now)
	}
	changed := !slices.Equal(s.announcement.Models, a.Models)
	s.announcement, s.announcedAt, s.connectionLost = a, now, false
	s.limit.SetAdvertisedSlots(a.Slots, a.ColdSlots)
	o.applyLoadReport(s)
	if changed {
		o.assignModels(s)
	}
	o.reposition(s)
	o.dispatch()
}

// addServer adds a cold server and attaches the grants that it already serves.
func (o *Owner) addServer(a backend.Announcement) *server {
	s := &server{
		number:       uint32(len(o.serversByNumber)),
		announcement: a,
		limit:        limiter.New(o.now, a.Slots, a.ColdSlots),
		announcedAt:  o.now,
		bootSeenAt:   o.now,
	}
	s.limit.SetKnownRouters(o.now, o.known, o.live, o.rank)
	o.servers[a.Name] = s
	o.serversByNumber = append(o.serversByNumber, s)
	o.attachRate(s)
	o.assignModels(s)
	o.attachHeldGrants(s)
	return s
}

// attachHeldGrants assigns the slots of grants that were reported as held
// before the first announcement of the server.
func (o *Owner) attachHeldGrants(s *server) {
	for _, g := range o.grants {
		if g.server == nil && g.loan == nil && g.message.Server == s.announcement.Name {
			g.message.Address, g.message.BootID = s.announcement.Address, s.announcement.BootID
			g.message.Abilities = s.announcement.Abilities
			o.occupySlot(g, s)
		}
	}
}

// handleReboot makes a restarted server cold, releases its orphaned slots and
// removes it from the prefix table. The requests of open grants ended with the
// earlier boot too, but their routers will still settle them.
func (o *Owner) handleReboot(s *server) {
	s.limit.MarkCold(o.now)
	s.bootSeenAt, s.restoreDecided = o.now, true
	for ; s.orphanedSlots > 0; s.orphanedSlots-- {
		o.releaseSlot(s, limiter.Sample{Result: limiter.Inconclusive})
	}
	o.prefixes.removeServer(s.number)
	o.detachRate(s)
}

// applyLoadReport passes the load report of the last announcement to the limiter
// and releases orphaned slots that the report shows as free. On a warm server
// all of them are released.
func (o *Owner) applyLoadReport(s *server) {
	l := s.announcement.Load
	loadTakenAt := o.now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
	s.loadTakenAt = loadTakenAt
	s.limit.ApplyLoadReport(o.now, limiter.Load{Running: l.Running, Waiting: l.Waiting, TakenAt: loadTakenAt})
	o.restoreIfWarm(s, l, loadTakenAt)
	o.reclaimLeakedLoan(s, l.Running+l.Waiting)
	if s.orphanedSlots == 0 || !loadTakenAt.After(s.lastOrphanAt) {
		return
	}
	unaccounted := max(l.Running+l.Waiting-o.confirmedRequests(s, loadTakenAt), 0)
	for s.orphanedSlots > unaccounted || s.orphanedSlots > 0 && !s.limit.Cold() {
		s.orphanedSlots--
		o.releaseSlot(s, limiter.Sample{Result: limiter.Inconclusive})
	}
}

// confirmedRequests returns the number of requests that are assumed to have run
// on the server when a report was taken: grants, and loans that their borrower
// has confirmed. A loan that was lost in transit must not count: a running
// request in the report would be taken for the loan, and the slot of an
// orphaned request that still runs would be released.
func (o *Owner) confirmedRequests(s *server, taken time.Time) int {
	n := 0
	for _, g := range o.grants {
		if g.server == s && g.granted.Before(taken) {
			n++
		}
	}
	for _, l := range o.lentSlots {
		if l.server == s && l.confirmed && l.given.Before(taken) {
			n += int(l.openSlots)
		}
	}
	return n
}

// restoreIfWarm sets the full limit of a server that is warmed up, at a new
// owner that got no handover and still waits for its recovery to end.
func (o *Owner) restoreIfWarm(s *server, l backend.Load, taken time.Time) {
	if s.restoreDecided || taken.Before(o.startedAt) {
		return
	}
	if o.now.After(o.recoveryEnd) {
		s.restoreDecided = true
		return
	}
	if isWarmedUp(&s.announcement) {
		s.restoreDecided = true
		s.limit.Restore(o.now, max(s.announcement.Slots, l.Running, assumedEngineSlots), false)
	}
}

// isWarmedUp reports whether an engine has run its full load since it started:
// it has finished many requests and has a large prefix cache, which a restart
// empties. Without this check all servers of a data centre would ramp up again
// after each router restart.
func isWarmedUp(a *backend.Announcement) bool {
	slots := max(a.Slots, assumedEngineSlots)
	return a.State == backend.Ready &&
		a.Load.TotalRequests >= warmRequestsPerSlot*int64(slots) &&
		a.Load.CachedPrefixes >= 2*slots
}

// releaseSlot returns a slot of a server and passes the sample to its limiter.
func (o *Owner) releaseSlot(s *server, sample limiter.Sample) {
	o.inFlight--
	s.limit.Release(o.now, sample)
	o.reposition(s)
}

// occupySlot takes a slot of a server of this shard for a grant.
func (o *Owner) occupySlot(g *grant, s *server) {
	g.server = s
	o.takeSlot(s)
}

// takeSlot counts one more slot of a server as in use.
func (o *Owner) takeSlot(s *server) {
	s.limit.ForceAcquire(o.now)
	o.inFlight++
	s.lastUse = o.lastGrant + o.lastLoan
	o.reposition(s)
}

// settleGrantSlot releases the slot of a settled grant.
func (o *Owner) settleGrantSlot(g *grant, s Settle) {
	o.settleSlot(g.server, g.message.BootID, limiterSample(s, g.granted, g.class.TokenInterval))
}

// settleSlot releases a slot of a server. boot is the boot id to which the
// request was sent, 0 if not known: the result of a request to an earlier boot
// says nothing about the present one. After a lost connection or a stall the
// server receives no requests before its next announcement.
func (o *Owner) settleSlot(s *server, boot uint64, sample limiter.Sample) {
	if boot != 0 && boot != s.announcement.BootID {
		sample.Result = limiter.Inconclusive
	}
	s.connectionLost = s.connectionLost || sample.Result == limiter.ConnectionFailed || sample.Result == limiter.Silent
	o.releaseSlot(s, sample)
}

// orphanGrant ends a grant that its router will not settle.
func (o *Owner) orphanGrant(g *grant) {
	o.queue.RecordEnd(o.now, g.flow)
	if g.loan != nil {
		o.returnBorrowedSlot(g.loan, Settle{}) // no outcome: the end of the request is not known
	}
	if g.server != nil {
		o.orphanSlot(g.server)
	}
	o.deleteGrant(g)
}

// orphanSlot releases the slot of a request whose end is not known: at once on
// a warm server, on a cold one after a load report shows it as free.
func (o *Owner) orphanSlot(s *server) {
	if !s.limit.Cold() {
		o.releaseSlot(s, limiter.Sample{Result: limiter.Inconclusive})
		return
	}
	s.orphanedSlots++
	s.lastOrphanAt = o.now
}

// SetDataCentreOut takes the data centre out of service or back in. Its servers
// come back with cold limits.
func (o *Owner) SetDataCentreOut(now time.Time, out bool) {
	o.now = now
	if o.out == out {
		return
	}
	o.out = out
	for _, s := range o.servers {
		if !out {
			s.limit.MarkCold(now)
			s.dataCentreBackAt = now
		}
		o.reposition(s)
	}
	o.dispatch()
}

// SetDeparted sets whether operators have withdrawn a server. A withdrawn
// server receives no new requests.
func (o *Owner) SetDeparted(now time.Time, name string, departed bool) {
	o.now = now
	if departed {
		o.departed[name] = true
	} else {
		delete(o.departed, name)
	}
	if s := o.servers[name]; s != nil {
		o.reposition(s)
	}
	o.dispatch()
}

// usableSlots returns the sum of the limits of a model's usable servers.
func (o *Owner) usableSlots(modelIndex int) int { return o.slotsByModel[modelIndex] }

// removeSilentServers removes servers without slots in use whose last
// announcement is older than silentServerTTL.
func (o *Owner) removeSilentServers() {
	for name, s := range o.servers {
		if o.now.Sub(s.announcedAt) < silentServerTTL || s.limit.State().InFlight > 0 {
			continue
		}
		for i, modelIndex := range s.modelIndexes {
			o.heapsByModel[modelIndex].remove(s.heapIndexes[i])
			o.slotsByModel[modelIndex] -= s.countedSlots
		}
		s.modelIndexes, s.heapIndexes, s.countedSlots = nil, nil, 0
		o.detachRate(s)
		delete(o.servers, name)
	}
}
