package dispatch

import (
	"slices"
	"time"
)

// doubtTime is how long all servers count as cold after this host was
// suspended: long enough for one announcement of each.
const doubtTime = 1300 * time.Millisecond

// Dispatcher holds the decisions of one edge host. It is not safe for
// concurrent use.
type Dispatcher struct {
	self       string // name of this edge host
	hash       uint64 // of its name
	dataCentre string

	servers    map[string]*server
	services   map[string]*service
	shares     shares
	queue      []*Request
	peers      map[string]*peer
	number     uint64 // of the last digest
	byHash     map[uint64]*server
	completeAt time.Time // of the last complete digest
	usesAt     time.Time // of the last digest with uses
	placed     []placement
	relays     relays

	neighbours []string // edge hosts of this data centre, in order
	edges      int      // edge hosts of the fleet
	doubtUntil time.Time
}

// service groups the servers of one service.
type service struct {
	servers []*server
	latency time.Duration // mean answer time of plain servers
}

// New returns a Dispatcher without servers.
func New(self, dataCentre string, now time.Time) *Dispatcher {
	return &Dispatcher{
		self: self, hash: hashOf(self), dataCentre: dataCentre, servers: map[string]*server{}, services: map[string]*service{},
		shares: newShares(now), peers: map[string]*peer{}, neighbours: []string{self}, edges: 1,
	}
}

// SetRate sets the service tokens per second of all engines, 0 if not stated.
func (d *Dispatcher) SetRate(tokensPerSecond float64) {
	if tokensPerSecond != d.shares.rate {
		d.shares.rate, d.shares.capacity = tokensPerSecond, tokensPerSecond
	}
}

// SetEdges sets the edge hosts of this data centre, this one included, and the
// number of those of the fleet. Both count hosts that are out of reach.
func (d *Dispatcher) SetEdges(neighbours []string, all int) {
	slices.Sort(neighbours)
	d.neighbours, d.edges = neighbours, max(all, 1)
}

// Suspended tells that this host did not run for a while: servers may have
// restarted unseen.
func (d *Dispatcher) Suspended(now time.Time) { d.doubtUntil = now.Add(doubtTime) }

// SetServers replaces the announced servers.
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
	d.regroup()
}

func (d *Dispatcher) regroup() {
	d.services = map[string]*service{}
	d.byHash = make(map[uint64]*server, len(d.servers))
	ready, all := 0, 0
	for _, s := range d.servers {
		d.byHash[s.hash] = s
		g := d.services[s.info.Service]
		if g == nil {
			g = &service{latency: firstLatency}
			d.services[s.info.Service] = g
		}
		g.servers = append(g.servers, s)
		if s.model() {
			all++
			if s.info.Ready {
				ready++
			}
		}
	}
	for _, g := range d.services {
		slices.SortFunc(g.servers, func(a, b *server) int {
			if a.info.ID < b.info.ID {
				return -1
			}
			return 1
		})
	}
	if all > 0 {
		d.shares.working = float64(ready) / float64(all)
	}
}

// Offer decides on a request that has arrived, or that got no slot. A request
// that waits gets its verdict from a later Poll.
func (d *Dispatcher) Offer(now time.Time, r *Request) Verdict {
	if !r.asked {
		r.asked = true
		d.shares.ask(now, r.Workspace, cost(r))
	}
	v := d.decide(now, r)
	switch {
	case v.Kind != Wait:
	case len(d.queue) >= maxQueue:
		v = d.refuse(now, r, v, ReasonQueueFull)
	default:
		v = d.enqueue(now, r, v)
	}
	return v
}

// Again decides on a second server for a request whose first one failed. It
// does not wait: the verdict is Send or Refuse.
func (d *Dispatcher) Again(now time.Time, r *Request, failed string) Verdict {
	r.Avoid = append(r.Avoid, failed)
	r.started = false
	g := d.services[r.Service]
	if g != nil {
		if f := d.scan(now, r, g); f.any != nil {
			v := d.send(now, r, f.any, Verdict{Kind: Send, Class: OnTime})
			v.Reserve = false // the answer must not wait for another decision
			d.Reserved(now, r)
			return v
		}
	}
	return d.refuse(now, r, Verdict{}, ReasonNoServer)
}

// level measures and returns the share of a workspace in the window.
func (d *Dispatcher) level(now time.Time) float64 {
	d.measure(now)
	return d.shares.refresh(now)
}

// measure takes the median backlog of the engines that may get work, and the
// mean capacity of the other edge hosts. The median leaves out single engines
// that are stuck.
func (d *Dispatcher) measure(now time.Time) {
	if now.Sub(d.shares.levelAt) < levelInterval {
		return
	}
	d.dropSilentPeers(now)
	var backlogs []time.Duration
	for _, s := range d.servers {
		if s.model() && s.info.Ready && s.downSince.IsZero() {
			s.advance(now)
			backlogs = append(backlogs, max(s.wait(0), s.slotPressure()))
		}
	}
	d.shares.pressure = 0
	if n := len(backlogs); n > 0 {
		slices.Sort(backlogs)
		d.shares.pressure = backlogs[n/2]
	}
	sum, count := 0.0, 0
	for _, p := range d.peers {
		if p.capacity > 0 && now.Sub(p.at) < peerSilence {
			sum += p.capacity
			count++
		}
	}
	d.shares.others = 0
	if count > 0 {
		d.shares.others = sum / float64(count)
	}
}

// decide returns Send, Wait, or Refuse for a request that no server may take.
func (d *Dispatcher) decide(now time.Time, r *Request) Verdict {
	v := Verdict{Kind: Wait, Queue: len(d.queue), Level: d.level(now), Served: d.shares.of(r.Workspace).served.sum}
	g := d.services[r.Service]
	if g == nil || len(g.servers) == 0 {
		return d.refuse(now, r, v, ReasonNoServer)
	}
	if !g.servers[0].model() {
		return d.decidePlain(now, r, g, v)
	}
	if !d.shares.within(now, r.Workspace, cost(r)) {
		v.Class = Over
		return v // until the engines have little to do, or the window has room
	}
	found := d.scan(now, r, g)
	if found.any == nil {
		v.Class = Late
		if anyWithin(now, g, d.hold(now, r, Late)) {
			return v
		}
		return d.refuse(now, r, v, ReasonNoServer)
	}
	uncached, fetch := r.toRead(found.any)
	v.Backlog, v.Uncached = found.any.wait(0), uncached
	v.Predicted = found.any.wait(uncached) + found.any.delay + fetchTime(found.any, fetch)
	v.Class = classify(now, r, v)
	best := found.onTime
	if v.Class == Late {
		best = found.late
	}
	if best == nil {
		return v
	}
	v.Backlog = best.wait(0)
	return d.send(now, r, best, v)
}

// hasRoom reports whether the backlog with the tokens stays within the limit.
// An engine that is almost free takes prompts of any size.
func (s *server) hasRoom(tokens int, limit time.Duration) bool {
	return s.wait(0) <= freeBacklog || s.wait(tokens) <= limit
}

// classify tells whether a request within the share of its workspace can meet
// its objective.
func classify(now time.Time, r *Request, v Verdict) Class {
	own := time.Duration(float64(v.Uncached) / firstRate * float64(time.Second))
	due := max(r.Objective, own+own/2) - now.Sub(r.Arrived) - r.Age
	if v.Predicted > due {
		return Late
	}
	return OnTime
}

// anyWithin reports whether a server of the service may take work within the
// time.
func anyWithin(now time.Time, g *service, wait time.Duration) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool {
		return s.info.Ready && s.downSince.IsZero() && s.pausedUntil.Sub(now) <= wait
	})
}

// send charges the request to the server and its workspace.
func (d *Dispatcher) send(now time.Time, r *Request, s *server, v Verdict) Verdict {
	r.server, r.sent, r.started, r.fetchFrom = s, now, false, ""
	v.Running, _ = s.load()
	v.Reserve = d.isNearlyFull(now, s)
	s.running++
	if s.model() {
		r.reserving = v.Reserve
		d.load(now, r, s)
	} else {
		r.ahead, _ = s.load()
	}
	if d.isCold(now, s) {
		s.coldSent = append(s.coldSent, now)
	}
	if !r.charged {
		r.charged = true
		d.shares.serve(now, r.Workspace, cost(r))
	}
	v.Kind, v.Reason = Send, ReasonSent
	v.Server, v.BornMS, v.Address, v.FetchFrom = s.info.ID, s.info.BornMS, s.info.Address, r.fetchFrom
	v.Uncached, v.InfoAge = r.uncached, now.Sub(s.info.Heard)
	return v
}

// load adds the prompt of the request to an engine.
func (d *Dispatcher) load(now time.Time, r *Request, s *server) {
	left, fetch := r.toRead(s)
	r.uncached, r.fetchFrom = left, fetch.from
	r.kv = r.PromptTokens + r.OutputTokens
	s.kv += r.kv
	tokens := r.uncached + requestTokens
	r.loaded = tokens
	s.add(now, float64(tokens))
	s.tokens += int64(tokens)
	r.ahead = int(s.backlog)
	r.read = now.Add(s.wait(0))
	if !r.reserving {
		d.place(now, r, s)
	}
}

// place notes what the engine keeps of the prompt from now on.
func (d *Dispatcher) place(now time.Time, r *Request, s *server) {
	s.kept.use(r.Parts, r.read, s.keptCapacity())
	for _, p := range r.Parts {
		if s.kept.tell(now, p.ID) {
			d.placed = append(d.placed, placement{server: s.hash, part: p})
			d.relay(placement{server: s.hash, part: p})
		}
	}
}
