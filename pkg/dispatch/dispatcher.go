package dispatch

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// assumeColdTime is how long servers count as cold after this host was
// suspended, until each of them has announced itself again. It covers one
// announcement interval.
const assumeColdTime = 1300 * time.Millisecond

// Dispatcher makes the scheduling decisions of one edge host. It is not safe
// for concurrent use.
type Dispatcher struct {
	self       string // name of this edge host
	selfHash   uint64 // of its name
	dataCentre string

	servers           map[string]*server
	services          map[string]*service
	shares            shares
	queue             []*Request
	displaced         []QueuedDecision // refused to make room in the queue, for the next Poll
	peers             map[string]*peer
	lastNumber        uint64 // number of the last digest
	serversByHash     map[uint64]*server
	lastCompleteAt    time.Time // time of the last complete digest
	lastUsageAt       time.Time // time of the last digest with workspace usage
	pendingPlacements []placement
	summaryState      summaryState
	memory            int64 // of this host in bytes, 0 if not known
	dropped           Dropped

	localEdges      []string // names of the edge hosts of this data centre, sorted
	edges           int      // number of edge hosts in the fleet
	assumeColdUntil time.Time
	startedAt       time.Time

	silenceCheckedAt time.Time
	observedSince    time.Time // start of the checks of silence without a gap
	avoidanceChanges []AvoidanceChange
	limitChanges     []LimitChange
	limitScope       limitScope
	limitHolds       int // requests that a limit kept from a server, until taken
}

// service groups the servers of one service.
type service struct {
	servers    []*server
	latency    time.Duration // mean answer time of the plain servers
	meanPrompt float64       // mean prompt tokens of requests
	meanCost   float64       // mean service tokens of requests
	ahead      *slidingSum   // prompt tokens that this host sent ahead of new streams
	// nextIdleOnly is when the next take-up beyond the bounds may be sent.
	nextIdleOnly time.Time

	byRelease            map[release.ID][]*server
	readyByRelease       map[release.ID]int
	ready, readyRecorded int // servers announced as ready, and those of them whose release is recorded
}

// New returns a Dispatcher without servers for the named edge host.
func New(self, dataCentre string, now time.Time) *Dispatcher {
	return &Dispatcher{
		self: self, selfHash: hashOf(self), dataCentre: dataCentre, servers: map[string]*server{}, services: map[string]*service{},
		shares: newShares(now), peers: map[string]*peer{}, localEdges: []string{self}, edges: 1, startedAt: now,
		limitScope: limitScope{part: 1},
	}
}

// SetServiceRate sets the total service rate of all engines in service tokens
// per second, 0 if it is not stated.
func (d *Dispatcher) SetServiceRate(tokensPerSecond float64) {
	if tokensPerSecond != d.shares.statedRate {
		d.shares.statedRate, d.shares.capacity = tokensPerSecond, tokensPerSecond
	}
}

// SetEdgeHosts sets the names of the edge hosts of this data centre, including
// this one, and the number of edge hosts in the fleet. Both include unreachable
// hosts. It sorts localEdges in place.
func (d *Dispatcher) SetEdgeHosts(localEdges []string, fleetSize int) {
	slices.Sort(localEdges)
	d.localEdges, d.edges = localEdges, max(fleetSize, 1)
}

// MarkSuspended records that this host did not run for a while. Servers may
// have restarted without its notice, so they count as cold until they announce
// themselves again, for at most assumeColdTime.
func (d *Dispatcher) MarkSuspended(now time.Time) { d.assumeColdUntil = now.Add(assumeColdTime) }

// SetServers replaces the set of announced servers.
func (d *Dispatcher) SetServers(now time.Time, infos []ServerInfo) {
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		s := d.servers[info.ID]
		if s == nil {
			s = newServer(info, now)
			d.servers[info.ID] = s
		}
		s.update(info, now)
	}
	for id := range d.servers {
		if !seen[id] {
			delete(d.servers, id)
		}
	}
	d.rebuildIndexes()
	d.boundCachedParts()
}

// rebuildIndexes rebuilds the indexes of servers by service and by hash, and
// the fraction of engines that are ready.
func (d *Dispatcher) rebuildIndexes() {
	before := d.services
	d.services = map[string]*service{}
	d.serversByHash = make(map[uint64]*server, len(d.servers))
	readyEngines, engines := 0, 0
	for _, s := range d.servers {
		d.serversByHash[s.hash] = s
		svc := d.services[s.info.Service]
		if svc == nil {
			svc = &service{latency: defaultLatency, ahead: &slidingSum{}}
			if old := before[s.info.Service]; old != nil {
				svc.ahead, svc.nextIdleOnly, svc.meanPrompt, svc.meanCost = old.ahead, old.nextIdleOnly, old.meanPrompt, old.meanCost
			}
			d.services[s.info.Service] = svc
		}
		svc.servers = append(svc.servers, s)
		if s.isEngine() {
			engines++
			if s.info.Ready {
				readyEngines++
			}
		}
	}
	for _, svc := range d.services {
		slices.SortFunc(svc.servers, func(a, b *server) int {
			if a.info.ID < b.info.ID {
				return -1
			}
			return 1
		})
		svc.countReleases()
	}
	if engines > 0 {
		d.shares.readyFraction = float64(readyEngines) / float64(engines)
	}
}

// Admit decides on a new request, or again on one whose slot reservation
// failed. The decision on a request that is queued is returned by a later Poll.
func (d *Dispatcher) Admit(now time.Time, r *Request) Decision {
	if !r.demandCounted {
		r.demandCounted = true
		d.measureRequest(r)
		d.shares.recordDemand(now, r.Workspace, serviceTokens(r))
	}
	return d.queueIfWaiting(now, r, d.decide(now, r))
}

// Hedge assigns a second server to a request that runs at the given one. It returns a
// copy of the request for the second attempt, whose outcome is recorded by itself, or
// nil if no other server may take it. The work counts once for the workspace.
func (d *Dispatcher) Hedge(now time.Time, r *Request, running string) (*Request, Decision) {
	second := *r
	second.ExcludedServers = append(slices.Clone(r.ExcludedServers), running)
	second.prefixHolders, second.firstEventSeen, second.isHedge = nil, false, true
	svc := d.services[r.Service]
	if svc == nil {
		return nil, Decision{}
	}
	f := d.evaluateServers(now, &second, svc)
	if f.cheapest == nil {
		return nil, Decision{}
	}
	v := d.assign(now, &second, f.cheapest, Decision{Action: Send, Class: OnTime})
	v.ReserveSlot = false // the first server keeps the request until the second answers
	d.ConfirmReservation(now, &second)
	return &second, v
}

// EndHedge makes the request second that Hedge returned for first the only attempt. It
// counts the work for the workspace if the outcome of first has taken it back.
func (d *Dispatcher) EndHedge(now time.Time, second, first *Request) {
	second.isHedge, second.usageCounted = false, first.usageCounted
	d.countUsage(now, second)
}

// countUsage counts the work of a request for its workspace, once.
func (d *Dispatcher) countUsage(now time.Time, r *Request) {
	if !r.usageCounted {
		r.usageCounted = true
		d.shares.recordServed(now, r.Workspace, serviceTokens(r))
	}
}

// fairShare updates and returns the fair share of a workspace in shareWindow,
// in service tokens.
func (d *Dispatcher) fairShare(now time.Time) float64 {
	d.measureLoad(now)
	return d.shares.updateFairShare(now)
}

// measureLoad updates the median pressure of the available engines and the mean
// capacity estimate of the other edge hosts. The median ignores single stuck
// engines.
func (d *Dispatcher) measureLoad(now time.Time) {
	if now.Sub(d.shares.updatedAt) < shareInterval {
		return
	}
	d.expireSilentPeers(now)
	d.checkSilence(now)
	d.updateLimitScope(now)
	var pressures []enginePressure
	limits := limitedEngines{}
	for _, s := range d.servers {
		if s.isEngine() && s.info.Ready && s.downSince.IsZero() {
			s.advance(now)
			limited := limits.add(s.limit.rate(now), d.services[s.info.Service].meanCost)
			pressures = append(pressures, enginePressure{max(s.prefillTime(0), s.slotPressure(), d.limitPressure(now, s)), limited})
		}
	}
	d.shares.limits = limits
	d.shares.pressure = medianPressure(pressures, d.shares.statedRate)
	sum, count := 0.0, 0
	for _, p := range d.peers {
		if p.capacity > 0 && now.Sub(p.heardAt) < peerTimeout {
			sum += p.capacity
			count++
		}
	}
	d.shares.peerCapacity = 0
	if count > 0 {
		d.shares.peerCapacity = sum / float64(count)
	}
}

// decide returns Send, Wait, or Refuse if no server is available.
func (d *Dispatcher) decide(now time.Time, r *Request) Decision {
	v := Decision{Action: Wait, QueueLength: len(d.queue), FairShare: d.fairShare(now), ServedTokens: d.shares.usageOf(r.Workspace).served.sum}
	svc := d.services[r.Service]
	if svc == nil || len(svc.servers) == 0 || d.isReleaseGone(r) {
		return d.refuse(now, r, v, ReasonNoServer)
	}
	if !svc.servers[0].isEngine() {
		return d.decidePlain(now, r, svc, v)
	}
	beyondShare := !d.shares.withinShare(now, r.Workspace, serviceTokens(r))
	r.ahead = d.mayGoAhead(now, r, svc)
	r.idleOnly = beyondShare && !r.ahead && r.continues()
	switch {
	case !beyondShare || r.ahead:
	case !r.idleOnly:
		v.Class = OverShare
		return v // until engines are idle or the usage in shareWindow has dropped
	case now.Before(svc.nextIdleOnly):
		v.Class = Late
		return v
	}
	candidates := d.evaluateServers(now, r, svc)
	if candidates.cheapest == nil {
		v.Class = Late
		if d.anyAvailableWithin(now, r, svc.serversLeft(r), d.remainingWait(now, r, Late)) {
			return v
		}
		return d.refuse(now, r, v, ReasonNoServer)
	}
	uncached, fetch := r.planPrefill(candidates.cheapest)
	v.BacklogTime, v.UncachedTokens = candidates.cheapest.prefillTime(0), uncached
	v.PredictedLatency = candidates.cheapest.prefillTime(uncached) + candidates.cheapest.firstEventDelay + fetchTime(candidates.cheapest, fetch)
	v.Class = classifyLatency(now, r, v)
	best := candidates.cheapestOnTime
	switch {
	case r.idleOnly:
		v.Class, best = Late, candidates.cheapestLate
	case v.Class == Late && !d.needsScarceRelease(r) && !r.ahead:
		best = candidates.cheapestLate
	}
	if best == nil {
		return v
	}
	v.BacklogTime = best.prefillTime(0)
	d.countAhead(now, r)
	d.countIdleOnly(now, r, svc)
	return d.assign(now, r, best, v)
}

// hasBacklogRoom reports whether the backlog plus the tokens stays within the
// limit. An engine with at most idleBacklog accepts any number of tokens.
func (s *server) hasBacklogRoom(tokens int, limit time.Duration) bool {
	return s.prefillTime(0) <= idleBacklog || s.prefillTime(tokens) <= limit
}

// classifyLatency returns OnTime if a request within the share of its workspace
// can meet its objective, otherwise Late.
func classifyLatency(now time.Time, r *Request, v Decision) Class {
	ownPrefill := time.Duration(float64(v.UncachedTokens) / defaultPrefillRate * float64(time.Second))
	remaining := max(r.Objective, ownPrefill+ownPrefill/2) - now.Sub(r.Arrived) - r.AgeAtArrival
	if v.PredictedLatency > remaining {
		return Late
	}
	return OnTime
}

// anyAvailableWithin reports whether one of the servers accepts requests within the
// given time. A server whose release is not recorded counts, because that takes less
// time than most requests may wait.
func (d *Dispatcher) anyAvailableWithin(now time.Time, r *Request, servers []*server, wait time.Duration) bool {
	return slices.ContainsFunc(servers, func(s *server) bool {
		return s.info.Ready && s.downSince.IsZero() && !r.lacksReleaseOf(s) && s.backoffUntil.Sub(now) <= wait && d.limitWait(now, s) <= max(wait, 0)
	})
}

// assign assigns the request to the server and charges its workspace.
func (d *Dispatcher) assign(now time.Time, r *Request, s *server, v Decision) Decision {
	r.server, r.sentAt, r.firstEventSeen, r.fetchFrom = s, now, false, ""
	v.RunningRequests, _ = s.load()
	// A retry is sent without another decision, which a failed reservation needs.
	nearlyFull := r.retriedAt.IsZero() && d.needsReservation(now, s)
	v.Overtakes = !nearlyFull && d.overtakes(now, r, s)
	v.ReserveSlot = nearlyFull || v.Overtakes
	if s.running == 0 {
		s.busySince = now
	}
	s.running++
	if s.isEngine() {
		r.slotPending = v.ReserveSlot
		d.load(now, r, s)
	} else {
		r.loadAtSend, _ = s.load()
	}
	if d.isCold(now, s) {
		s.coldSentAt = append(s.coldSentAt, now)
	}
	d.takeTokens(now, r, s)
	d.countUsage(now, r)
	v.Action, v.Reason = Send, ReasonSent
	v.Server, v.StartMS, v.Release = s.info.ID, s.info.StartMS, s.info.Release
	v.Address, v.FetchFrom = s.info.Address, r.fetchFrom
	v.UncachedTokens, v.AnnouncementAge = r.uncachedTokens, now.Sub(s.info.Heard)
	return v
}

// load adds the request to the backlog and the KV cache usage of an engine.
func (d *Dispatcher) load(now time.Time, r *Request, s *server) {
	uncached, fetch := r.planPrefill(s)
	r.uncachedTokens, r.fetchFrom = uncached, fetch.sourceAddress
	r.kvTokens = r.PromptTokens + r.OutputTokens
	s.kvTokens += r.kvTokens
	sentTokens := r.uncachedTokens + requestOverheadTokens
	r.addedTokens = sentTokens
	s.addTokens(now, float64(sentTokens))
	s.sentTokens += int64(sentTokens)
	r.loadAtSend = int(s.backlogTokens)
	r.prefillDoneAt = now.Add(s.prefillTime(0))
	if !r.slotPending {
		d.recordPlacement(now, r, s)
	}
}

// recordPlacement records that the engine caches the parts of the request, and
// schedules the placements for publication.
func (d *Dispatcher) recordPlacement(now time.Time, r *Request, s *server) {
	d.useParts(s, r.Parts, r.prefillDoneAt)
	for _, p := range r.Parts {
		if s.cachedParts.publishDue(now, p.ID) {
			d.publish(placement{server: s.hash, part: p})
		}
	}
}
