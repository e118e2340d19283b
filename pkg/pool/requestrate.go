package pool

import (
	"math"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// rateWindow is how long a limit counts beside later, higher ones: answers that a
	// server writes at the same time may state different ones.
	rateWindow = time.Second
	// rateBurst is the time in which unused requests of a limit accumulate, beside one.
	// With it a server gets in 4 s at most 4.25 s of its limit and one request.
	rateBurst = 250 * time.Millisecond
	// minRequestRate is the least rate in requests a second: without any request, no
	// answer could show that the limit has ended.
	minRequestRate = 0.2
	// maxRecentLimits bounds the limits that are kept for rateWindow.
	maxRecentLimits = 64
	// maxRequestRates bounds the servers whose statements are kept, because statements
	// may arrive before the announcement of the server.
	maxRequestRates = 4096
	// maxSendWait is how long a request for one more send waits.
	maxSendWait = 2 * time.Second
)

// LimitStatement reports what an answer of a server stated of the number of requests a
// second that it takes from all routers together.
type LimitStatement struct {
	Server    string
	BootID    uint64        // process to which the request was sent
	Limited   bool          // the answer stated a limit
	PerSecond float64       // that limit, requests a second
	Age       time.Duration // since the head of the answer arrived
	SentAge   time.Duration // since the request was sent
	GrantID   uint64        // of the request, 0 if not known
	Epoch     uint64        // of the grant
}

// ForwardedLimit passes a statement on to the owner whose server is borrowed here.
type ForwardedLimit struct {
	To        ShardID
	Statement LimitStatement
}

// LimitChange reports that a server is limited otherwise than before.
type LimitChange struct {
	Server       string
	WasLimited   bool
	IsLimited    bool
	Before       float64 // requests a second
	PerSecond    float64 // requests a second
	EndedByStart bool    // a new process has taken the place of the limited one
}

// recentLimit is one stated limit.
type recentLimit struct {
	at        time.Time
	perSecond float64
}

// requestRate is a token bucket for the requests to one process of a server, by what its
// answers state.
type requestRate struct {
	bootID     uint64
	limited    bool
	recent     []recentLimit // ascending, oldest first; the first one is in force
	statedAt   time.Time     // of the last statement of a limit
	endedAt    time.Time     // of the last answer without one
	tokens     float64
	refilledAt time.Time
	waiting    []waitingSend
	reported   LimitChange // the last one
}

// waitingSend is a request of a router for one more send, see Ask.SendTo.
type waitingSend struct {
	key     requestKey
	expires time.Time
}

// limit returns the limit in force, in requests a second.
func (r *requestRate) limit() float64 {
	if len(r.recent) == 0 {
		return 0
	}
	return r.recent[0].perSecond
}

// rate returns the part of the limit that this owner uses, in requests a second.
func (r *requestRate) rate(part float64) float64 { return max(r.limit(), minRequestRate) * part }

// refill adds the tokens since the last call.
func (r *requestRate) refill(now time.Time, part float64) {
	// Inputs of different goroutines may come with slightly earlier times.
	if elapsed := now.Sub(r.refilledAt); elapsed > 0 {
		perSecond := r.rate(part)
		r.tokens = min(r.tokens+perSecond*elapsed.Seconds(), 1+perSecond*rateBurst.Seconds())
		r.refilledAt = now
	}
	for len(r.recent) > 1 && now.Sub(r.recent[0].at) >= rateWindow {
		r.recent = r.recent[1:]
	}
}

// hasToken reports whether a request may be sent now.
func (r *requestRate) hasToken(now time.Time, part float64) bool {
	r.refill(now, part)
	return r.tokens >= 1
}

// nextTokenIn returns the time until hasToken is true.
func (r *requestRate) nextTokenIn(now time.Time, part float64) time.Duration {
	r.refill(now, part)
	missing := 1 - r.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / r.rate(part) * float64(time.Second)))
}

// state adds a stated limit. Lower limits replace earlier, higher ones.
func (r *requestRate) state(at time.Time, perSecond float64) {
	for len(r.recent) > 0 && r.recent[len(r.recent)-1].perSecond >= perSecond {
		r.recent = r.recent[:len(r.recent)-1]
	}
	if len(r.recent) < maxRecentLimits {
		r.recent = append(r.recent, recentLimit{at, perSecond})
	}
	r.limited = true
	if at.After(r.statedAt) {
		r.statedAt = at
	}
}

// Parts of a limit that an owner uses while routers of its data centre are missing. Owners of
// one shard that cannot reach each other use at most 1.3 times the limit together, so that 4 s
// of it with what has accumulated stay within one and a half times the limit.
const (
	halfPart     = 0.65 // of the limit, with half of the routers
	minorityPart = 0.6  // of the share of its routers, with fewer than half of them
)

// ratePart returns the part of each limit that this owner uses.
func (o *Owner) ratePart() float64 {
	live := max(o.live, 1)
	switch {
	case 2*live > o.known:
		return 1
	case 2*live == o.known:
		return halfPart
	default:
		return minorityPart * float64(live) / float64(o.known)
	}
}

// isLimited reports whether the process of the server has stated a limit.
func (s *server) isLimited() bool { return s.rate != nil && s.rate.limited }

// mayGetRequest reports whether the request rate of a server allows one more request.
func (o *Owner) mayGetRequest(s *server) bool {
	return !s.isLimited() || s.rate.hasToken(o.now, o.ratePart())
}

// takeRequest counts a request to a server against its limit. It reports whether it did.
func (o *Owner) takeRequest(s *server) bool {
	if !s.isLimited() {
		return false
	}
	s.rate.refill(o.now, o.ratePart())
	s.rate.tokens--
	return true
}

// returnRequest takes back takeRequest for a request that was not sent.
func (o *Owner) returnRequest(s *server) {
	if s.isLimited() {
		s.rate.tokens++
		o.reposition(s)
	}
}

// HandleLimitStatement takes what an answer of a server has stated. A statement of another
// process is ignored, as is an answer without a limit to a request that was sent before the
// limit was stated.
func (o *Owner) HandleLimitStatement(now time.Time, st LimitStatement) {
	if o.handedOver {
		return
	}
	o.now = now
	s := o.servers[st.Server]
	if s == nil {
		if g := o.grants[grantKey{st.Epoch, st.GrantID}]; g != nil && g.loan != nil {
			o.outbox.ForwardedLimits = append(o.outbox.ForwardedLimits, ForwardedLimit{To: g.loan.loan.From, Statement: st})
			return
		}
	} else if s.announcement.BootID != st.BootID {
		return
	}
	r := o.rates[st.Server]
	if r == nil || r.bootID != st.BootID {
		if len(o.rates) >= maxRequestRates {
			return
		}
		r = &requestRate{bootID: st.BootID, refilledAt: now}
		o.rates[st.Server] = r
		if s != nil {
			s.rate = r
		}
	}
	r.apply(now, st)
	o.recordLimitChange(st.Server, r)
	if s != nil {
		if !r.limited {
			o.answerSends(s)
		}
		o.listLimited(s)
		o.reposition(s)
	}
	o.dispatch()
}

// apply changes the limit by a statement.
func (r *requestRate) apply(now time.Time, st LimitStatement) {
	at, sentAt := now.Add(-max(st.Age, 0)), now.Add(-max(st.SentAge, 0))
	switch {
	case st.Limited && at.Before(r.endedAt):
	case st.Limited && r.limited && now.Sub(at) >= rateWindow && !at.After(r.statedAt):
	case st.Limited:
		if !r.limited {
			r.tokens, r.refilledAt = 0, now
		}
		r.state(at, st.PerSecond)
	case r.limited && !sentAt.After(r.statedAt):
	default:
		r.limited, r.recent = false, nil
		if at.After(r.endedAt) {
			r.endedAt = at
		}
	}
}

// recordLimitChange reports how the limit differs from the last report.
func (o *Owner) recordLimitChange(server string, r *requestRate) {
	c := LimitChange{Server: server, WasLimited: r.reported.IsLimited, Before: r.reported.PerSecond, IsLimited: r.limited, PerSecond: r.limit()}
	if c.IsLimited != c.WasLimited || c.PerSecond != c.Before {
		r.reported = c
		o.outbox.LimitChanges = append(o.outbox.LimitChanges, c)
	}
}

// listLimited adds the server to the list of limited ones, or removes it.
func (o *Owner) listLimited(s *server) {
	i := slices.Index(o.limited, s)
	switch {
	case s.isLimited() && i < 0:
		o.limited = append(o.limited, s)
	case !s.isLimited() && i >= 0:
		o.limited = slices.Delete(o.limited, i, i+1)
	}
}

// attachRate gives a server that has just been announced what was stated before.
func (o *Owner) attachRate(s *server) {
	r := o.rates[s.announcement.Name]
	if r == nil {
		return
	}
	if r.bootID != s.announcement.BootID {
		o.endRate(s.announcement.Name, r)
		return
	}
	s.rate = r
	o.listLimited(s)
}

// detachRate forgets what an earlier process of the server has stated.
func (o *Owner) detachRate(s *server) {
	if s.rate == nil {
		return
	}
	r := s.rate
	for _, w := range r.waiting {
		o.refuse(w.key, result.TargetUnreachable, minRetryAfter)
	}
	s.rate = nil
	o.listLimited(s)
	o.endRate(s.announcement.Name, r)
}

// endRate removes the statements of an earlier process.
func (o *Owner) endRate(name string, r *requestRate) {
	delete(o.rates, name)
	if r.limited {
		o.outbox.LimitChanges = append(o.outbox.LimitChanges, LimitChange{Server: name, WasLimited: true, Before: r.limit(), EndedByStart: true})
	}
}

// removeOldRates removes the statements of servers that are not known, once they are older
// than silentServerTTL.
func (o *Owner) removeOldRates() {
	for name, r := range o.rates {
		if o.servers[name] == nil && o.now.Sub(r.statedAt) >= silentServerTTL && o.now.Sub(r.endedAt) >= silentServerTTL {
			delete(o.rates, name)
		}
	}
}

// restoreRate takes the limit that another owner has handed over.
func (o *Owner) restoreRate(s *server, state ServerState) {
	if !state.Limited {
		return
	}
	o.HandleLimitStatement(o.now, LimitStatement{
		Server: s.announcement.Name, BootID: s.announcement.BootID, Limited: true,
		PerSecond: state.PerSecond, Age: state.LimitAge, SentAge: state.LimitAge,
	})
}

// refreshLimited gives waiting sends their tokens and moves limited servers whose next
// token has come to their place in the heaps.
func (o *Owner) refreshLimited() {
	for _, s := range o.limited {
		s.rate.refill(o.now, o.ratePart())
		o.answerSends(s)
		if math.IsInf(s.loadKey, 1) == o.mayGetRequest(s) {
			o.reposition(s)
		}
	}
}

// askToSend answers a request for one more send to a server by the holder of a grant, such
// as for the rest of a stream that broke off. It needs no slot, and goes ahead of new
// requests because its slot is in use. One that does not take up a stream does not wait.
func (o *Owner) askToSend(a *Ask) {
	key := requestKey{a.Router, a.RequestID}
	s := o.servers[a.SendTo]
	switch {
	case s != nil && o.mayGetRequest(s):
		o.takeRequest(s)
		o.reposition(s)
		o.grantSend(s, key)
	case s == nil || !a.TakesUp || len(s.rate.waiting) >= o.cfg.MaxWaitingPerWorkspace:
		o.refuse(key, result.TargetUnreachable, minRetryAfter)
	case !slices.ContainsFunc(s.rate.waiting, func(w waitingSend) bool { return w.key == key }):
		s.rate.waiting = append(s.rate.waiting, waitingSend{key, o.now.Add(maxSendWait)})
		o.reposition(s)
	}
}

func (o *Owner) grantSend(s *server, key requestKey) {
	o.outbox.Grants = append(o.outbox.Grants, Grant{Router: key.router, RequestID: key.id, Epoch: o.epoch, Server: s.announcement.Name})
}

// answerSends grants the waiting sends to a server for which there are tokens, and refuses
// those that have waited for too long.
func (o *Owner) answerSends(s *server) {
	r := s.rate
	for len(r.waiting) > 0 {
		w := r.waiting[0]
		switch {
		case !o.now.Before(w.expires):
			o.refuse(w.key, result.TargetUnreachable, minRetryAfter)
		case !r.limited:
			o.grantSend(s, w.key)
		case r.hasToken(o.now, o.ratePart()):
			r.tokens--
			o.grantSend(s, w.key)
		default:
			return
		}
		r.waiting = r.waiting[1:]
	}
}

// cancelSend removes a waiting send.
func (o *Owner) cancelSend(key requestKey) {
	for _, s := range o.limited {
		s.rate.waiting = slices.DeleteFunc(s.rate.waiting, func(w waitingSend) bool { return w.key == key })
	}
}

// slotInterval returns the expected time between two requests that the servers of a model
// take, by their slots and their limits, 0 if it is not known.
func (o *Owner) slotInterval(modelIndex int) time.Duration {
	slots := o.usableSlots(modelIndex)
	if slots == 0 {
		return 0
	}
	if len(o.limited) == 0 || modelIndex >= len(o.heapsByModel) {
		return o.stats.slotTime / time.Duration(slots)
	}
	perSecond := 0.0
	for _, s := range o.heapsByModel[modelIndex].servers {
		if s.countedSlots == 0 {
			continue
		}
		bySlots := math.Inf(1)
		if o.stats.slotTime > 0 {
			bySlots = float64(s.countedSlots) / o.stats.slotTime.Seconds()
		}
		if s.isLimited() {
			bySlots = min(bySlots, s.rate.rate(o.ratePart()))
		}
		perSecond += bySlots
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// nextTokenAt returns when the next limited server may get a request.
func (o *Owner) nextTokenAt() (time.Time, bool) {
	var next time.Time
	for _, s := range o.limited {
		if in := s.rate.nextTokenIn(o.now, o.ratePart()); in > 0 {
			if at := o.now.Add(in); next.IsZero() || at.Before(next) {
				next = at
			}
		}
	}
	return next, !next.IsZero()
}
