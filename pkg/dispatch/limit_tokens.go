package dispatch

import (
	"math"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Each host keeps a copy of one token bucket for each server that limits its requests,
// filled at the rate of the limit. Its own requests and those in the digests of the others
// take tokens, so the fleet as a whole keeps the limit whichever host has the demand. What
// several hosts send before they hear of each other is a debt that delays the next ones.
// Two things keep it small: at each moment the hosts need a different number of tokens to
// send, and a second bucket bounds the rate of each host.
//
// Hosts that hear at most half of the fleet may be cut off from the rest, and use only that
// part of the limit. So the parts of a partitioned fleet together send no more than a half
// above the limit.

const (
	// minLimitRate is the rate in requests per second at which servers with a lower limit
	// are tried, to notice its end.
	minLimitRate = 0.4
	// limitSpread and limitSpreadTime are the spread of the tokens that hosts need to
	// send: a number, and those of a time at the rate of the limit.
	limitSpread     = 0.5
	limitSpreadTime = 0.25
	// limitReserve is the number of tokens above the spread that the bucket holds.
	limitReserve = 0.5
	// limitTurn is how long the number of tokens that a host needs stays the same.
	limitTurn = 500 * time.Millisecond
	// maxUnusedPart is the part of a limit that none uses at which the bucket of any host
	// fills.
	maxUnusedPart = 1
	// hostBurstTime is the time for which the bucket of a host holds its equal part, beside
	// one token.
	hostBurstTime = 0.1
	// limitRateTime is the time constant of the counts by which hosts know their part of
	// the requests to a server.
	limitRateTime = 500 * time.Millisecond
	// maxLimitDebt bounds the debt in tokens, maxLimitDebtTime the part of it that grows
	// with the limit.
	maxLimitDebt     = 5
	maxLimitDebtTime = 2
	// heardTimeout covers the longest time between two digests of a host, twice.
	heardTimeout = 1100 * time.Millisecond
	// minLimitHosts is the least number of hosts of a large fleet that send to a server
	// with a limit. Digests take longer there, so that few hosts do.
	minLimitHosts = 4
	// startLag is the time in which a host of a small fleet hears of a request, and
	// startLagPerHost what each host adds. idleStart is the decayed count of own requests
	// below which a host has sent nothing lately, and wantGap the time after which another
	// request begins a new wait.
	startLag        = 10 * time.Millisecond
	startLagPerHost = 1250 * time.Microsecond
	idleStart       = 0.05
	wantGap         = time.Second
	// maxSentDecrease is the largest decrease of the count of another host that is due to
	// requests that were not sent after all.
	maxSentDecrease = 16
)

// limitTokens holds the tokens for the requests to one server.
type limitTokens struct {
	tokens    float64 // of the fleet; negative after concurrent requests
	ownTokens float64 // of this host
	own, all  float64 // requests of this host and of all, decayed with limitRateTime
	updatedAt time.Time
	// wantedSince is when this host began to have requests for the server, wantedAt when it
	// had the last one.
	wantedSince, wantedAt time.Time
	sent                  int64 // requests of this host under a limit, cumulative, without those that were not sent after all
}

// reset discards what an earlier process of the server stated. Other hosts know sent.
func (l *requestLimit) reset() { l.statements = nil }

// limitScope is what this host knows of the hosts that send to the same servers.
type limitScope struct {
	part float64  // of the fleet that is heard, 1 if it is more than half of it
	live []uint64 // hashes of the names of those of this data centre, without this host
}

// updateLimitScope finds out which hosts are heard.
func (d *Dispatcher) updateLimitScope(now time.Time) {
	d.limitScope.live = d.limitScope.live[:0]
	heard, total := 1, d.edges
	for _, p := range d.peers {
		if p.summary || now.Sub(p.heardAt) >= heardTimeout {
			continue
		}
		heard++
		if p.local {
			d.limitScope.live = append(d.limitScope.live, p.nameHash)
		}
	}
	if d.Summarises() {
		total = len(d.localEdges)
	}
	if d.limitScope.part = 1; 2*heard <= total {
		d.limitScope.part = float64(heard) / float64(total)
	}
}

// startTokens prepares the tokens of a server that had no limit until now.
func (d *Dispatcher) startTokens(now time.Time, s *server) {
	if l := &s.limit; l.rate(now) == noLimit {
		l.tokens, l.ownTokens, l.own, l.all, l.updatedAt = 0, 1, 0, 0, now
	}
}

// limitSize returns the spread and the capacity of a bucket in tokens.
func limitSize(perSecond float64) (spread, capacity float64) {
	spread = limitSpread + limitSpreadTime*perSecond
	return spread, 1 + spread + limitReserve
}

// limitHosts returns the number of hosts that may send to the server under its limit, and
// whether this host is one of them.
func (d *Dispatcher) limitHosts(s *server, perSecond float64) (hosts int, chosen bool) {
	if d.edges <= meshLimit {
		return max(int(float64(d.edges)*d.limitScope.part), 1), true
	}
	hosts = 1
	if !d.Summarises() || s.info.DataCentre == d.dataCentre {
		hosts = max(minLimitHosts, int(math.Ceil(2*perSecond)))
	}
	own, ahead := mixHash(d.selfHash, s.hash), 0
	for _, other := range d.limitScope.live {
		if mixHash(other, s.hash) > own {
			ahead++
		}
	}
	return hosts, ahead < hosts
}

// hostPart returns the part of the requests to the server that this host may send, and the
// rate at which its bucket fills: more than its part, so that it can grow.
func (d *Dispatcher) hostPart(s *server, perSecond float64) (part, fill float64) {
	hosts, chosen := d.limitHosts(s, perSecond)
	if !chosen {
		return 0, 0
	}
	equal := perSecond / float64(hosts)
	l, share := &s.limit, 0.0
	if l.all > 0 {
		share = min(max(l.own/l.all, 0), 1)
	}
	spread, _ := limitSize(perSecond)
	unused := min(max(2*(l.tokens-1)/spread, 0), 1)
	return max(equal, share*perSecond), equal + max(share, maxUnusedPart*unused)*perSecond
}

// reachableLimit returns the part of a limit that the hosts that this one hears may use.
func (d *Dispatcher) reachableLimit(perSecond float64) float64 {
	return max(perSecond, minLimitRate) * d.limitScope.part
}

// advanceTokens fills the buckets up to now. It returns the rate of the limit, noLimit if the
// server has none.
func (d *Dispatcher) advanceTokens(now time.Time, s *server) (perSecond float64) {
	l := &s.limit
	perSecond = l.rate(now)
	if perSecond == noLimit {
		return noLimit
	}
	perSecond = d.reachableLimit(perSecond)
	_, capacity := limitSize(perSecond)
	elapsed := max(now.Sub(l.updatedAt), 0)
	hosts, _ := d.limitHosts(s, perSecond)
	_, fill := d.hostPart(s, perSecond)
	l.updatedAt = now
	l.tokens = min(l.tokens+perSecond*elapsed.Seconds(), capacity)
	l.ownTokens = min(l.ownTokens+fill*elapsed.Seconds(), 1+hostBurstTime*perSecond/float64(hosts))
	decay := math.Exp(-elapsed.Seconds() / limitRateTime.Seconds())
	l.own *= decay
	l.all *= decay
	return perSecond
}

// startWait returns how much longer this host waits until it sends its first request lately.
// Requests that come to many hosts at once would all find the same tokens otherwise.
func (d *Dispatcher) startWait(now time.Time, s *server, perSecond float64) time.Duration {
	l := &s.limit
	if now.Sub(l.wantedAt) > wantGap {
		l.wantedSince = now
	}
	l.wantedAt = now
	concurrent := max(minLimitHosts, 2*perSecond)
	hosts := float64(d.edges)
	if hosts <= concurrent || hosts > meshLimit || l.own > idleStart {
		return 0
	}
	lag := startLag + time.Duration(hosts)*startLagPerHost
	position := float64(mixHash(d.selfHash, s.hash)%1024) / 1024
	whole := time.Duration(position * hosts / concurrent * float64(lag))
	return max(whole-now.Sub(l.wantedSince), 0)
}

// neededTokens returns the number of tokens of the fleet that this host needs to send a
// request. Hosts of other data centres than the server's, whose counts come later, need more.
func (d *Dispatcher) neededTokens(now time.Time, s *server, perSecond float64) float64 {
	turn := uint64(now.UnixMilli() / limitTurn.Milliseconds())
	position := float64(mixHash(mixHash(d.selfHash, s.hash), turn)%1024) / 1024
	if d.Summarises() && s.info.DataCentre != d.dataCentre {
		position = (1 + position) / 2
	}
	spread, _ := limitSize(perSecond)
	return 1 + spread*position
}

// limitAllows reports whether the limit of the server allows this host another request now.
func (d *Dispatcher) limitAllows(now time.Time, s *server) bool { return d.limitWait(now, s) == 0 }

// limitWait returns the time until the limit of the server allows this host another request,
// 0 if it does now.
func (d *Dispatcher) limitWait(now time.Time, s *server) time.Duration {
	if len(s.limit.statements) == 0 {
		return 0
	}
	perSecond := d.advanceTokens(now, s)
	if perSecond == noLimit {
		return 0
	}
	_, fill := d.hostPart(s, perSecond)
	if fill == 0 {
		return math.MaxInt64
	}
	missing := max((d.neededTokens(now, s, perSecond)-s.limit.tokens)/perSecond, (1-s.limit.ownTokens)/fill)
	wait := d.startWait(now, s, perSecond)
	if missing <= 0 {
		return wait
	}
	return max(time.Duration(missing*float64(time.Second)), wait, 1)
}

// takeTokens counts a request that is about to be sent to the server.
func (d *Dispatcher) takeTokens(now time.Time, r *Request, s *server) {
	if r.limitCounted = d.advanceTokens(now, s) != noLimit; r.limitCounted {
		s.limit.count(1)
		s.limit.ownTokens--
	}
}

// returnTokens takes back a request that was not sent after all.
func (d *Dispatcher) returnTokens(r *Request, s *server) {
	if r.limitCounted {
		r.limitCounted = false
		s.limit.count(-1)
		s.limit.ownTokens++
	}
}

// count counts requests of this host.
func (l *requestLimit) count(requests float64) {
	l.sent += int64(requests)
	l.tokens -= requests
	l.own = max(l.own+requests, 0)
	l.all = max(l.all+requests, 0)
}

// countHold counts a request that a limit keeps from a server, once.
func (d *Dispatcher) countHold(r *Request) {
	if !r.limitHeld {
		r.limitHeld = true
		d.limitHolds++
	}
}

// limitPressure expresses the tokens that a limit leaves as a time comparable to a backlog:
// targetPressure if half of them are left.
func (d *Dispatcher) limitPressure(now time.Time, s *server) time.Duration {
	if len(s.limit.statements) == 0 {
		return 0
	}
	perSecond := d.advanceTokens(now, s)
	if perSecond == noLimit {
		return 0
	}
	_, capacity := limitSize(perSecond)
	return time.Duration(2 * min(max(1-s.limit.tokens/capacity, 0), 1) * float64(targetPressure))
}

// toldLimit returns the lowest of the matching statements for the other hosts, nil if there
// is none.
func (s *server) toldLimit(now time.Time, matches func(limitStatement) bool) *apiv1.LimitStatement {
	s.limit.rate(now)
	var told *limitStatement
	for i, st := range s.limit.statements {
		if matches(st) && (told == nil || st.perSecond < told.perSecond) {
			told = &s.limit.statements[i]
		}
	}
	if told == nil {
		return nil
	}
	out := &apiv1.LimitStatement{AgeMs: uint32(min(max(now.Sub(told.at).Milliseconds(), 0), math.MaxUint32)), BornMs: s.info.StartMS}
	if out.Ended = told.perSecond == noLimit; !out.Ended {
		out.PerSecond = told.perSecond
	}
	return out
}

// applyPeerLimit applies what another host got from the server about its limit, and the
// requests that it has sent since its last digest.
func (d *Dispatcher) applyPeerLimit(now time.Time, s *server, from *peer, l *apiv1.ServerLoad) {
	if st := l.GetLimit(); st != nil && st.GetBornMs() == s.info.StartMS && st.GetPerSecond() >= 0 {
		perSecond := st.GetPerSecond()
		if st.GetEnded() || perSecond >= MaxRequestLimit {
			perSecond = noLimit
		} else {
			d.startTokens(now, s)
		}
		s.limit.add(now, limitStatement{perSecond: perSecond, at: now.Add(-time.Duration(st.GetAgeMs()) * time.Millisecond), local: from.local})
		d.noteLimit(now, s)
	}
	p := s.peers[from.name]
	delta := l.GetLimitSent() - p.limitSent
	if p.limitSent = l.GetLimitSent(); delta == 0 || delta < -maxSentDecrease {
		return
	}
	if p.local {
		s.localPeers.limitSent += delta
	}
	if perSecond := d.advanceTokens(now, s); perSecond != noLimit {
		s.limit.tokens = max(s.limit.tokens-float64(delta), -maxLimitDebt-maxLimitDebtTime*perSecond)
		s.limit.all = max(s.limit.all+float64(delta), 0)
	}
}
