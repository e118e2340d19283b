package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// load is what one workspace asks for at one edge host.
type load struct {
	workspace string
	edge      int
	perSecond float64
	prompt    int
	objective time.Duration
	from, to  time.Duration
	sessions  int // that prompts share parts with
}

// tally is what one workspace got.
type tally struct {
	asked, served int // service tokens
	onTime, late  int // requests
	refused       int
	worstRefusal  time.Duration // from arrival to the refusal
}

// replay plays loads against engines that read prompts one after the other at
// a fixed rate, with the exchange of digests each 40 ms, in virtual time.
type replay struct {
	t      *testing.T
	fleet  []*Dispatcher
	free   map[string]time.Time // when an engine has read what it has
	rate   float64
	random *rand.Rand
	now    time.Time
	ends   events
	totals map[string]*tally
	read   int // tokens

	slots int                // of an engine, 0 if they do not bind
	runs  time.Duration      // from the first event to the end
	taken map[string]int     // slots
	lined map[string][]sent  // requests that wait at an engine for a slot
	used  map[string]float64 // slot seconds
}

// sent is a request on its way to an engine.
type sent struct {
	edge    int
	request *Request
	server  string
}

const replaySeed = 20261204

func newReplay(t *testing.T, edges, engines int, rate float64) *replay {
	t.Logf("seed %d", replaySeed)
	return &replay{
		t: t, fleet: newFleet(edges, engines), free: map[string]time.Time{}, rate: rate,
		random: rand.New(rand.NewPCG(replaySeed, 1)), now: start, totals: map[string]*tally{},
		runs: 300 * time.Millisecond, taken: map[string]int{}, lined: map[string][]sent{}, used: map[string]float64{},
	}
}

type event struct {
	at      time.Time
	edge    int
	request *Request
	server  string
	first   bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *replay) of(workspace string) *tally {
	if p.totals[workspace] == nil {
		p.totals[workspace] = &tally{}
	}
	return p.totals[workspace]
}

func (p *replay) run(loads []load, span time.Duration) {
	const step = time.Millisecond
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		p.now = start.Add(elapsed)
		p.finish()
		for _, l := range loads {
			if elapsed >= l.from && elapsed < l.to && p.random.Float64() < l.perSecond*step.Seconds() {
				p.arrive(l)
			}
		}
		if elapsed%(5*step) == 0 {
			for i, d := range p.fleet {
				for _, decided := range d.Poll(p.now) {
					p.decided(i, decided.Request, decided.Verdict)
				}
			}
		}
		if elapsed%(40*step) == 0 {
			p.exchange()
		}
	}
}

func (p *replay) arrive(l load) {
	r := request(p.now, l.workspace, l.prompt, l.objective)
	if l.sessions > 0 {
		r.Parts = []Part{{ID: uint64(l.prompt), Tokens: l.prompt / 12}, {ID: uint64(l.prompt)<<20 + uint64(p.random.IntN(l.sessions)), Tokens: l.prompt * 2 / 3}}
	}
	p.of(l.workspace).asked += int(cost(r))
	p.decided(l.edge, r, p.fleet[l.edge].Offer(p.now, r))
}

func (p *replay) decided(edge int, r *Request, v Verdict) {
	total := p.of(r.Workspace)
	switch v.Kind {
	case Refuse:
		total.refused++
		total.worstRefusal = max(total.worstRefusal, p.now.Sub(r.Arrived))
	case Send:
		p.send(sent{edge, r, v.Server}, v.Reserve)
	}
}

// send brings a request to an engine. Without a slot it waits there, unless a
// slot has to be reserved.
func (p *replay) send(s sent, reserve bool) {
	d := p.fleet[s.edge]
	switch {
	case p.slots == 0 || p.taken[s.server] < p.slots:
		if reserve {
			d.Reserved(p.now, s.request)
		}
		p.begin(s)
	case reserve:
		d.Ended(p.now, s.request, NoSlot)
		p.decided(s.edge, s.request, d.Offer(p.now, s.request))
	default:
		p.lined[s.server] = append(p.lined[s.server], s)
	}
}

func (p *replay) begin(s sent) {
	p.taken[s.server]++
	begin := p.now
	if f := p.free[s.server]; f.After(begin) {
		begin = f
	}
	read := begin.Add(time.Duration(float64(s.request.uncached) / p.rate * float64(time.Second)))
	p.free[s.server] = read
	p.read += s.request.uncached
	end := read.Add(firstDelay + p.runs)
	p.used[s.server] += end.Sub(p.now).Seconds()
	heap.Push(&p.ends, event{read.Add(firstDelay), s.edge, s.request, s.server, true})
	heap.Push(&p.ends, event{end, s.edge, s.request, s.server, false})
}

// leave frees a slot for the next request that waits at the engine.
func (p *replay) leave(server string) {
	p.taken[server]--
	if line := p.lined[server]; len(line) > 0 {
		p.lined[server] = line[1:]
		p.begin(line[0])
	}
}

func (p *replay) finish() {
	for len(p.ends) > 0 && !p.ends[0].at.After(p.now) {
		e := heap.Pop(&p.ends).(event)
		if !e.first {
			p.leave(e.server)
			p.fleet[e.edge].Ended(e.at, e.request, Whole)
			continue
		}
		p.fleet[e.edge].Started(e.at, e.request)
		total := p.of(e.request.Workspace)
		total.served += int(cost(e.request))
		if e.at.Sub(e.request.Arrived) <= e.request.Objective {
			total.onTime++
		} else {
			total.late++
		}
	}
}

func (p *replay) exchange() {
	for i, from := range p.fleet {
		m := digest(from, p.now)
		for j, to := range p.fleet {
			if i != j {
				to.Take(p.now, m)
			}
		}
	}
}

const (
	shortObjective  = 300 * time.Millisecond
	mediumObjective = 400 * time.Millisecond
	longObjective   = 800 * time.Millisecond
)

// small is the ordinary load of ten workspaces over four edge hosts.
func small(span time.Duration) []load {
	var out []load
	for i := range 10 {
		name := string(rune('a' + i))
		out = append(out,
			load{name, i % 4, 4, 700, shortObjective, 0, span, 0},
			load{name, (i + 1) % 4, 1, 6000, longObjective, 0, span, 0})
	}
	return out
}

// Answers the load of a workspace that sends nine times its usual at one edge
// host: the others stay on time, nobody of them is refused, and the flood gets
// what they leave.
func TestFloodOfOneWorkspaceCostsOthersNothing(t *testing.T) {
	const span = 20 * time.Second
	p := newReplay(t, 4, 6, 50_000)
	flood := load{"flood", 0, 120, 6000, longObjective, 5 * time.Second, span, 0}
	p.run(append(small(span), flood), span)
	for name, total := range p.totals {
		if name == "flood" {
			continue
		}
		all := total.onTime + total.late + total.refused
		assert.Assert(t, float64(total.onTime) >= 0.9*float64(all), "workspace %s: %+v", name, *total)
	}
	// The engines read 300,000 tokens a second; the others ask for 88,000.
	got := float64(p.totals["flood"].served) / 15
	assert.Assert(t, got > 100_000, "the flood got %v tokens a second", got)
}

// Answers two floods at once, one at a single edge host and one at all four:
// what is left is shared evenly between them, wherever they arrive.
func TestTwoFloodsShareEvenly(t *testing.T) {
	const span = 20 * time.Second
	p := newReplay(t, 4, 6, 50_000)
	loads := append(small(span), load{"one", 3, 80, 6000, longObjective, 2 * time.Second, span, 0})
	for i := range 4 {
		loads = append(loads, load{"spread", i, 40, 6000, longObjective, 2 * time.Second, span, 0})
	}
	p.run(loads, span)
	one, spread := float64(p.totals["one"].served), float64(p.totals["spread"].served)
	// The users' rule: less than half of what another limited one got.
	assert.Assert(t, one > spread/2 && spread > one/2, "%v and %v tokens", one, spread)
}

// Answers a load that the engines bear: nothing is refused and nothing waits.
func TestNothingIsRefusedWhileEnginesAreFree(t *testing.T) {
	const span = 10 * time.Second
	p := newReplay(t, 4, 6, 50_000)
	p.run(small(span), span)
	for name, total := range p.totals {
		assert.Equal(t, total.refused, 0, "workspace %s", name)
	}
}

// Answers an overload that lasts: what is refused is refused within the hold
// of its class, not at its deadline.
func TestRefusalsComeSoon(t *testing.T) {
	const span = 10 * time.Second
	p := newReplay(t, 4, 2, 50_000)
	var loads []load
	for i := range 8 {
		loads = append(loads, load{string(rune('a' + i)), i % 4, 30, 4000, longObjective, 0, span, 0})
	}
	p.run(loads, span)
	for name, total := range p.totals {
		assert.Assert(t, total.refused > 0)
		assert.Assert(t, total.worstRefusal <= longObjective+lateHold, "workspace %s: %v", name, total.worstRefusal)
	}
}

// Answers more work than the engines bear, at 32 edge hosts at once: each knows
// the others' work 40 ms late, and all would take the engine that seems to be
// free. Of what is served, 95 in 100 are on time, as the design asks.
func TestManyEdgeHostsDoNotTakeOneEngine(t *testing.T) {
	const (
		span   = 6 * time.Second
		edges  = 32
		target = 0.95
		rate   = 61_000 // reading rate of an engine in tokens per second
	)
	p := newReplay(t, edges, 90, rate)
	for _, d := range p.fleet {
		d.SetRate(4_500_000)
	}
	var loads []load
	for i := range edges {
		w := string(rune('A' + i))
		loads = append(loads,
			load{w, i, 32, 700, shortObjective, 0, span, 1400},
			load{w, i, 40, 1800, mediumObjective, 0, span, 760},
			load{w, i, 16, 6600, longObjective, 0, span, 528},
			load{w, i, 3.6, 20000, longObjective, 0, span, 528})
	}
	p.run(loads, span)
	onTime, late := 0, 0
	for _, total := range p.totals {
		onTime += total.onTime
		late += total.late
	}
	assert.Assert(t, float64(onTime) >= target*float64(onTime+late), "%d on time, %d late", onTime, late)
}

// Answers a flood at engines with few slots: 20 edge hosts know of slots that
// others take 40 ms late, and what finds none waits at the engine until it is
// late. Of what is served, 95 in 100 are on time, no workspace gets less than
// half of what another one gets, and the slots stay in use.
func TestFewSlotsAreNotOvershot(t *testing.T) {
	const (
		span        = 8 * time.Second
		edges       = 20
		engines     = 18
		target      = 0.95
		utilisation = 0.9
	)
	p := newReplay(t, edges, engines, 50_000)
	p.slots, p.runs = 12, 1500*time.Millisecond
	var infos []ServerInfo
	for i := range engines {
		info := engineInfo(i, "a")
		info.Slots, info.Reserves = p.slots, true
		infos = append(infos, info)
	}
	for _, d := range p.fleet {
		d.SetRate(600_000)
		d.SetServers(start, infos)
	}
	var loads []load
	for i := range edges {
		w := string(rune('a' + i%4))
		perSecond := 4 + float64(8*(i%4))
		loads = append(loads, load{w, i, perSecond / 2, 700, mediumObjective, 0, span, 0}, load{w, i, perSecond / 2, 3000, longObjective, 0, span, 0})
	}
	p.run(loads, span)
	onTime, late, least, most := 0, 0, math.MaxInt, 0
	for _, total := range p.totals {
		onTime += total.onTime
		late += total.late
		least, most = min(least, total.served), max(most, total.served)
	}
	used := 0.0
	for _, seconds := range p.used {
		used += seconds
	}
	used /= float64(engines*p.slots) * span.Seconds()
	t.Logf("%d on time, %d late, slots used %.3f, tokens %d to %d", onTime, late, used, least, most)
	assert.Assert(t, float64(onTime) >= target*float64(onTime+late))
	assert.Assert(t, used >= utilisation)
	asked := p.totals["a"].asked // the workspace that asks for least
	assert.Assert(t, least >= min(most, asked)/2)
}
