package dispatch

import (
	"cmp"
	"math"
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
	dataCentre string

	servers  map[string]*server
	services map[string]*service
	shares   shares
	queue    []*Request
	peers    map[string]*peer
	number   uint64 // of the last digest
	fullAt   time.Time
	placed   []placement

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
		self: self, dataCentre: dataCentre, servers: map[string]*server{}, services: map[string]*service{},
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
	ready, all := 0, 0
	for _, s := range d.servers {
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

// Offer decides on a request that has arrived. A request that waits gets its
// verdict from a later Poll.
func (d *Dispatcher) Offer(now time.Time, r *Request) Verdict {
	d.shares.ask(now, r.Workspace, cost(r))
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

// enqueue lets the request wait unless it is known that it would be refused
// later.
func (d *Dispatcher) enqueue(now time.Time, r *Request, v Verdict) Verdict {
	if d.waitOf(r, v) > d.hold(now, r, v.Class) {
		return d.refuse(now, r, v, reasonOf(v.Class))
	}
	r.waiting, r.verdict = true, v
	d.queue = append(d.queue, r)
	return v
}

// waitOf predicts how long the request waits here: the work of those ahead,
// done by all engines of the service.
func (d *Dispatcher) waitOf(r *Request, v Verdict) time.Duration {
	g := d.services[r.Service]
	if g == nil || len(g.servers) == 0 || !g.servers[0].model() {
		return 0
	}
	tokens, rate := 0.0, 0.0
	for _, w := range d.queue {
		if w.Service == r.Service && w.verdict.Class <= v.Class {
			tokens += float64(w.PromptTokens)
		}
	}
	for _, s := range g.servers {
		if s.info.Ready && s.downSince.IsZero() {
			rate += s.rate
		}
	}
	if rate == 0 {
		return 0
	}
	// The other edge hosts hold as much work and get as large a part.
	return time.Duration(tokens * float64(d.edges) / rate * float64(time.Second))
}

// hold returns how long a request of the class may still wait.
func (d *Dispatcher) hold(now time.Time, r *Request, c Class) time.Duration {
	left := r.Deadline.Sub(now)
	waited := now.Sub(r.Arrived)
	switch c {
	case OnTime:
		return min(r.Objective-waited, left)
	case Late:
		return min(lateHold-waited, time.Duration(lateHoldShare*float64(left)))
	default:
		return min(time.Duration(overHoldShare*float64(r.Objective))-waited, left)
	}
}

func reasonOf(c Class) Reason {
	if c == Over {
		return ReasonShare
	}
	return ReasonLate
}

// refuse makes the final verdict on a request that has not been sent.
func (d *Dispatcher) refuse(now time.Time, r *Request, v Verdict, reason Reason) Verdict {
	v.Kind, v.Reason = Refuse, reason
	v.RetryAfter = d.returnTime(now, r, v)
	r.waiting = false
	return v
}

// returnTime predicts when there is room for the request, and spreads the
// callers of one workspace over the time after that.
func (d *Dispatcher) returnTime(now time.Time, r *Request, v Verdict) time.Duration {
	u := d.shares.of(r.Workspace)
	if now.Sub(u.turnsAt) > window/4 {
		u.turns, u.turnsAt = 0, now
	}
	u.turns++
	base := minRetryAfter + v.Backlog
	if v.Level > 0 && v.Served > v.Level {
		// The window frees what it holds evenly.
		base += time.Duration((v.Served - v.Level) / v.Served * float64(window))
	}
	turn := time.Duration(float64(window) * cost(r) / max(v.Level, cost(r)))
	spread := time.Duration(u.turns%16) * min(turn, window/8)
	return min(max(base+spread, minRetryAfter), maxRetryAfter)
}

// Cancel withdraws a request that waits.
func (d *Dispatcher) Cancel(r *Request) {
	if !r.waiting {
		return
	}
	r.waiting = false
	d.queue = slices.DeleteFunc(d.queue, func(w *Request) bool { return w == r })
}

// Waiting returns the number of requests that wait.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// Decided is a verdict on a request that waited.
type Decided struct {
	Request *Request
	Verdict Verdict
}

// Poll decides on the requests that wait, most urgent first.
func (d *Dispatcher) Poll(now time.Time) []Decided {
	if len(d.queue) == 0 {
		return nil
	}
	order := d.ordered(now)
	most := max(pollPrices/max(len(d.servers), 1), leastScan)
	var out []Decided
	for i, r := range order {
		v := r.verdict
		if i < most || v.Class == Over {
			v = d.decide(now, r)
		}
		if v.Kind == Wait && d.hold(now, r, v.Class) <= 0 {
			v = d.refuse(now, r, v, reasonOf(v.Class))
		}
		r.verdict = v
		if v.Kind != Wait {
			r.waiting = false
			out = append(out, Decided{r, v})
		}
	}
	if len(out) > 0 {
		d.queue = slices.DeleteFunc(d.queue, func(r *Request) bool { return !r.waiting })
	}
	return out
}

// ordered returns the queue by class and time left, those of workspaces that
// got less of their share first.
func (d *Dispatcher) ordered(now time.Time) []*Request {
	level := d.shares.refresh(now)
	for _, r := range d.queue {
		left := r.Arrived.Add(r.Objective).Sub(now).Seconds()
		if level > 0 {
			left += r.Objective.Seconds() / 2 * d.shares.of(r.Workspace).served.sum / level
		}
		r.order = float64(r.verdict.Class)*classStep + left
	}
	order := slices.Clone(d.queue)
	slices.SortStableFunc(order, func(a, b *Request) int { return cmp.Compare(a.order, b.order) })
	return order
}

// classStep keeps the classes apart in the order of the queue, in seconds.
const classStep = 1e6

// Again decides on a second server for a request whose first one failed. It
// does not wait: the verdict is Send or Refuse.
func (d *Dispatcher) Again(now time.Time, r *Request, failed string) Verdict {
	r.Avoid = append(r.Avoid, failed)
	r.started = false
	g := d.services[r.Service]
	if g != nil {
		if f := d.scan(now, r, g); f.any != nil {
			return d.send(now, r, f.any, Verdict{Kind: Send, Class: OnTime})
		}
	}
	return d.refuse(now, r, Verdict{}, ReasonNoServer)
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
			backlogs = append(backlogs, s.wait(0))
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
	d.measure(now)
	v := Verdict{Kind: Wait, Queue: len(d.queue), Level: d.shares.refresh(now), Served: d.shares.of(r.Workspace).served.sum}
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
		if anyLater(g) {
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
	due := max(r.Objective, own+own/2) - now.Sub(r.Arrived)
	if v.Predicted > due {
		return Late
	}
	return OnTime
}

// anyLater reports whether a server of the service may take work soon.
func anyLater(g *service) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return s.info.Ready && s.downSince.IsZero() })
}

// found holds the cheapest engines for a request: of all, and of those with
// room for work that is on time or late.
type found struct {
	any, onTime, late                *server
	anyPrice, onTimePrice, latePrice float64
}

// scan prices the request at every engine that may take it, once.
func (d *Dispatcher) scan(now time.Time, r *Request, g *service) found {
	f := found{anyPrice: math.Inf(1), onTimePrice: math.Inf(1), latePrice: math.Inf(1)}
	d.findHolders(r, g)
	for _, s := range g.servers {
		if !d.mayTake(now, r, s) {
			continue
		}
		s.advance(now)
		left, fetch := r.toRead(s)
		price := d.price(now, r, s, left, fetch)
		if price < f.anyPrice {
			f.any, f.anyPrice = s, price
		}
		if price < f.onTimePrice && s.hasRoom(left, onTimeBacklog) {
			f.onTime, f.onTimePrice = s, price
		}
		if price < f.latePrice && s.hasRoom(left, lateBacklog) {
			f.late, f.latePrice = s, price
		}
	}
	return f
}

// price is the predicted time to the first event in seconds, with what the
// request costs others.
func (d *Dispatcher) price(now time.Time, r *Request, s *server, left int, fetch fetch) float64 {
	if !s.model() {
		return d.plainPrice(now, s)
	}
	uncached := float64(left)
	t := s.wait(0).Seconds() + (1+externality)*uncached/s.rate + s.delay.Seconds()
	if fetch.tokens > 0 {
		t += fetchWeight * fetchTime(s, fetch).Seconds()
	}
	t += s.penalty(now).Seconds()
	if s.info.DataCentre != d.dataCentre {
		t += remote.Seconds()
	}
	running, _ := s.load()
	t += 0.02 * float64(running) / float64(max(s.info.Slots, 1))
	// Equal servers are told apart by the part that is shared last, so that
	// all edge hosts choose the same one for it.
	if n := len(r.Parts); n > 0 {
		t += tieBreak * float64(mix(r.Parts[n-1].ID, s.hash)%1024) / 1024
	}
	return t
}

// tieBreak is the largest difference in seconds that the hash of a part makes.
const tieBreak = 0.015

func mix(a, b uint64) uint64 {
	x := a ^ b*0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}

// mayTake reports whether the server may get the request at all.
func (d *Dispatcher) mayTake(now time.Time, r *Request, s *server) bool {
	switch {
	case !s.info.Ready || s.wrong || slices.Contains(r.Avoid, s.info.ID):
		return false
	case !s.downSince.IsZero() || now.Before(s.fullUntil):
		return false
	}
	if !d.coldAllows(now, s) {
		return false
	}
	if !s.model() {
		return true
	}
	running, kv := s.load()
	need := r.PromptTokens + r.OutputTokens
	return running < s.info.Slots && (kv == 0 || float64(kv+need) <= kvUse*float64(s.info.KVTokens))
}

// coldAllows bounds what all edge hosts together send to a cold server: only
// those of its data centre send, each the same part. The bound holds without
// any exchange, so a host that is cut off keeps it as well.
func (d *Dispatcher) coldAllows(now time.Time, s *server) bool {
	if s.info.ColdRate <= 0 || !d.isCold(now, s) {
		return true
	}
	if s.info.DataCentre != d.dataCentre {
		return false
	}
	hosts := len(d.neighbours)
	quota := int(s.info.ColdRate) / hosts
	if quota == 0 {
		// More hosts than requests: those with the lowest names send one each.
		if slices.Index(d.neighbours, d.self) < int(s.info.ColdRate) {
			quota = 1
		}
	}
	return s.coldRoom(now, quota)
}

func (d *Dispatcher) isCold(now time.Time, s *server) bool {
	return now.Before(s.info.ColdUntil) || now.Before(d.doubtUntil) && s.info.Heard.Before(d.doubtUntil.Add(-doubtTime))
}

// send charges the request to the server and its workspace.
func (d *Dispatcher) send(now time.Time, r *Request, s *server, v Verdict) Verdict {
	r.server, r.sent, r.started, r.fetchFrom = s, now, false, ""
	s.running++
	if s.model() {
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
	v.Server, v.Address, v.FetchFrom = s.info.ID, s.info.Address, r.fetchFrom
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
	s.add(now, float64(tokens))
	s.tokens += int64(tokens)
	r.ahead = int(s.backlog)
	r.read = now.Add(s.wait(0))
	s.kept.use(r.Parts, s.keptCapacity())
	for _, p := range r.Parts {
		d.place(s, p)
	}
}

// Started tells that the first event of a request has come.
func (d *Dispatcher) Started(now time.Time, r *Request) {
	if r.started || r.server == nil {
		return
	}
	r.started = true
	if r.server.model() {
		r.server.first(now, r)
	}
}

// Ended tells how a request that was sent has ended. Each Send has one.
func (d *Dispatcher) Ended(now time.Time, r *Request, o Outcome) {
	s := r.server
	if s == nil {
		return
	}
	r.server = nil
	s.running--
	if s.model() {
		s.kv -= r.kv
		if !r.started && o != Whole {
			d.unload(now, r, s)
		}
	}
	if o == NotExecuted || o == ConnectFailed || o == ConnectTimeout || o == Misdirected {
		d.shares.serve(now, r.Workspace, -cost(r))
		r.charged = false
	}
	d.learn(now, r, s, o)
}

// unload takes the tokens back that a request without a first event leaves.
func (d *Dispatcher) unload(now time.Time, r *Request, s *server) {
	left := r.read.Sub(now).Seconds() * s.rate
	left = min(max(left, 0), float64(r.uncached))
	s.add(now, -left)
	s.tokens -= int64(left)
}

func (d *Dispatcher) learn(now time.Time, r *Request, s *server, o Outcome) {
	switch o {
	case Whole:
		s.success(now)
		if !s.model() {
			s.answered(now, now.Sub(r.sent), r.ahead)
			d.learnService(s)
		}
	case ServerError:
		s.failure(now, 1)
	case NotExecuted:
		s.failure(now, 0.5)
		s.fullUntil = now.Add(fullPause)
	case Broken, Silent, Garbled:
		s.failure(now, 1)
	case ConnectFailed:
		s.failure(now, 0.5)
		s.down(now)
	case ConnectTimeout:
		// One lost packet looks the same; two in a row do not.
		s.failure(now, 0.5)
		if s.timeouts++; s.timeouts > 1 {
			s.down(now)
		}
	case Misdirected:
		s.down(now)
		s.wrong = true
	}
}

func (d *Dispatcher) learnService(s *server) {
	g := d.services[s.info.Service]
	if g == nil {
		return
	}
	sum := time.Duration(0)
	for _, o := range g.servers {
		sum += o.latency
	}
	g.latency = sum / time.Duration(len(g.servers))
}

// decidePlain chooses among plain servers.
func (d *Dispatcher) decidePlain(now time.Time, r *Request, g *service, v Verdict) Verdict {
	var best *server
	bestCost := math.Inf(1)
	for _, s := range g.servers {
		if !d.mayTake(now, r, s) {
			continue
		}
		running, _ := s.load()
		if float64(running) >= plainQueue*float64(max(s.info.Slots, 1)) {
			continue
		}
		if c := d.plainPrice(now, s); c < bestCost {
			best, bestCost = s, c
		}
	}
	if best == nil {
		v.Class = Late
		if !anyLater(g) {
			return d.refuse(now, r, v, ReasonNoServer)
		}
		if now.Sub(r.Arrived) > time.Duration(plainHoldShare*float64(r.Objective)) {
			return d.refuse(now, r, v, ReasonLate)
		}
		return v
	}
	v.Predicted = time.Duration(bestCost * float64(time.Second))
	return d.send(now, r, best, v)
}

// plainPrice is the predicted answer time in seconds.
func (d *Dispatcher) plainPrice(now time.Time, s *server) float64 {
	mean := firstLatency
	if g := d.services[s.info.Service]; g != nil {
		mean = g.latency
	}
	running, _ := s.load()
	slots := max(s.info.Slots, 1)
	t := s.expected(now, mean).Seconds()
	t *= 1 + 0.3*float64(running)/float64(slots) + float64(max(running+1-slots, 0))/float64(slots)
	t += s.penalty(now).Seconds()
	if s.info.DataCentre != d.dataCentre {
		t += remote.Seconds()
	}
	return t
}
