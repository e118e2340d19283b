package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// workload is the load of one workspace at one edge host.
type workload struct {
	workspace    string
	edgeIndex    int
	perSecond    float64
	promptTokens int
	objective    time.Duration
	from, to     time.Duration
	sessions     int // number of sessions, whose prompts share parts; 0 for no shared parts
}

// workspaceResult is the service that one workspace got.
type workspaceResult struct {
	demand, served int // service tokens
	onTime, late   int // requests
	refused        int
	maxRefusalTime time.Duration // from arrival to the refusal
}

// simulation runs workloads in virtual time against engines that prefill
// prompts one after the other at a fixed rate. Edge hosts exchange digests
// every 40 ms.
type simulation struct {
	t             *testing.T
	fleet         []*Dispatcher
	prefillFreeAt map[string]time.Time // when each engine finishes its backlog
	prefillRate   float64
	random        *rand.Rand
	now           time.Time
	events        eventHeap
	results       map[string]*workspaceResult
	prefilled     int // tokens prefilled by all engines

	slots      int                      // per engine, 0 for no limit
	decodeTime time.Duration            // from the first event to the end of a request
	takenSlots map[string]int           // per engine
	slotQueues map[string][]sentRequest // per engine, requests that wait for a slot
	used       map[string]float64       // per engine, in slot seconds
	onStep     func(elapsed time.Duration)
	onOffer    func(*Request)           // a request of a workload, nil for none
	onDecision func(*Request, Decision) // nil for none
}

// sentRequest is a request that was sent to an engine.
type sentRequest struct {
	edge    int
	request *Request
	server  string
}

const simulationSeed = 20261204

func newSimulation(t *testing.T, edges, engines int, prefillRate float64) *simulation {
	t.Logf("seed %d", simulationSeed)
	return &simulation{
		t: t, fleet: newFleet(edges, engines), prefillFreeAt: map[string]time.Time{}, prefillRate: prefillRate,
		random: rand.New(rand.NewPCG(simulationSeed, 1)), now: start, results: map[string]*workspaceResult{},
		decodeTime: 300 * time.Millisecond, takenSlots: map[string]int{}, slotQueues: map[string][]sentRequest{}, used: map[string]float64{},
	}
}

type engineEvent struct {
	// engineEvent is the first event or the end of a request at an engine.
	at         time.Time
	edge       int
	request    *Request
	server     string
	firstEvent bool
}

type eventHeap []engineEvent

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(engineEvent)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (sim *simulation) resultOf(workspace string) *workspaceResult {
	if sim.results[workspace] == nil {
		sim.results[workspace] = &workspaceResult{}
	}
	return sim.results[workspace]
}

func (sim *simulation) runFor(workloads []workload, span time.Duration) {
	const step = time.Millisecond
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		sim.now = start.Add(elapsed)
		sim.processEvents()
		if sim.onStep != nil {
			sim.onStep(elapsed)
		}
		for _, l := range workloads {
			if elapsed >= l.from && elapsed < l.to && sim.random.Float64() < l.perSecond*step.Seconds() {
				sim.offerRequest(l)
			}
		}
		if elapsed%(5*step) == 0 {
			for i, d := range sim.fleet {
				for _, decided := range d.Poll(sim.now) {
					sim.decided(i, decided.Request, decided.Decision)
				}
			}
		}
		if elapsed%(40*step) == 0 {
			sim.exchangeDigests()
		}
	}
}

func (sim *simulation) offerRequest(l workload) {
	r := newRequest(sim.now, l.workspace, l.promptTokens, l.objective)
	if l.sessions > 0 {
		r.Parts = []Part{{ID: uint64(l.promptTokens), Tokens: l.promptTokens / 12}, {ID: uint64(l.promptTokens)<<20 + uint64(sim.random.IntN(l.sessions)), Tokens: l.promptTokens * 2 / 3}}
	}
	sim.resultOf(l.workspace).demand += int(serviceTokens(r))
	if sim.onOffer != nil {
		sim.onOffer(r)
	}
	sim.decided(l.edgeIndex, r, sim.fleet[l.edgeIndex].Admit(sim.now, r))
}

func (sim *simulation) decided(edge int, r *Request, v Decision) {
	result := sim.resultOf(r.Workspace)
	if sim.onDecision != nil {
		sim.onDecision(r, v)
	}
	switch v.Action {
	case Refuse:
		result.refused++
		result.maxRefusalTime = max(result.maxRefusalTime, sim.now.Sub(r.Arrived))
	case Send:
		sim.send(sentRequest{edge, r, v.Server}, v.ReserveSlot)
	}
}

// send delivers a request to an engine. If the engine has no free slot, the
// request is returned to its edge host if it has to reserve one, and waits at
// the engine otherwise.
func (sim *simulation) send(s sentRequest, reserve bool) {
	d := sim.fleet[s.edge]
	switch {
	case sim.slots == 0 || sim.takenSlots[s.server] < sim.slots:
		if reserve {
			d.ConfirmReservation(sim.now, s.request)
		}
		sim.begin(s)
	case reserve:
		d.RecordOutcome(sim.now, s.request, NoSlot)
		sim.decided(s.edge, s.request, d.Admit(sim.now, s.request))
	default:
		sim.slotQueues[s.server] = append(sim.slotQueues[s.server], s)
	}
}

func (sim *simulation) begin(s sentRequest) {
	sim.takenSlots[s.server]++
	begin := sim.now
	if f := sim.prefillFreeAt[s.server]; f.After(begin) {
		begin = f
	}
	prefilled := begin.Add(time.Duration(float64(s.request.uncachedTokens) / sim.prefillRate * float64(time.Second)))
	sim.prefillFreeAt[s.server] = prefilled
	sim.prefilled += s.request.uncachedTokens
	end := prefilled.Add(defaultFirstEventDelay + sim.decodeTime)
	sim.used[s.server] += end.Sub(sim.now).Seconds()
	heap.Push(&sim.events, engineEvent{prefilled.Add(defaultFirstEventDelay), s.edge, s.request, s.server, true})
	heap.Push(&sim.events, engineEvent{end, s.edge, s.request, s.server, false})
}

// freeSlot frees a slot and gives it to the next request that waits at the
// engine.
func (sim *simulation) freeSlot(server string) {
	sim.takenSlots[server]--
	if waiting := sim.slotQueues[server]; len(waiting) > 0 {
		sim.slotQueues[server] = waiting[1:]
		sim.begin(waiting[0])
	}
}

func (sim *simulation) processEvents() {
	for len(sim.events) > 0 && !sim.events[0].at.After(sim.now) {
		e := heap.Pop(&sim.events).(engineEvent)
		if !e.firstEvent {
			sim.freeSlot(e.server)
			sim.fleet[e.edge].RecordOutcome(e.at, e.request, Completed)
			continue
		}
		sim.fleet[e.edge].RecordEvent(e.at, e.request)
		result := sim.resultOf(e.request.Workspace)
		result.served += int(serviceTokens(e.request))
		if e.at.Sub(e.request.Arrived) <= e.request.Objective {
			result.onTime++
		} else {
			result.late++
		}
	}
}

// exchangeDigests exchanges digests, and lets the engines announce themselves.
func (sim *simulation) exchangeDigests() {
	for i, from := range sim.fleet {
		for _, s := range from.servers {
			s.info.Heard = sim.now
		}
		m := nextDigest(from, sim.now)
		for j, to := range sim.fleet {
			if i != j {
				to.MergeDigest(sim.now, m)
			}
		}
	}
}

const (
	shortObjective  = 300 * time.Millisecond
	mediumObjective = 400 * time.Millisecond
	longObjective   = 800 * time.Millisecond
)

// baseWorkloads returns a normal load of ten workspaces over four edge hosts.
func baseWorkloads(span time.Duration) []workload {
	var out []workload
	for i := range 10 {
		name := string(rune('a' + i))
		out = append(out,
			workload{name, i % 4, 4, 700, shortObjective, 0, span, 0},
			workload{name, (i + 1) % 4, 1, 6000, longObjective, 0, span, 0})
	}
	return out
}

// Checks an overload by one workspace that sends nine times its usual load at
// one edge host: at least 90% of the requests of each other workspace are on
// time, and the overloading workspace gets the remaining capacity.
func TestOverloadByOneWorkspaceSparesOthers(t *testing.T) {
	const span = 20 * time.Second
	sim := newSimulation(t, 4, 6, 50_000)
	overload := workload{"flood", 0, 120, 6000, longObjective, 5 * time.Second, span, 0}
	sim.runFor(append(baseWorkloads(span), overload), span)
	for name, result := range sim.results {
		if name == "flood" {
			continue
		}
		all := result.onTime + result.late + result.refused
		assert.Assert(t, float64(result.onTime) >= 0.9*float64(all), "workspace %s: %+v", name, *result)
	}
	// The engines prefill 300,000 tokens per second; the others need 88,000.
	got := float64(sim.results["flood"].served) / 15
	assert.Assert(t, got > 100_000, "the overloading workspace got %v tokens per second", got)
}

// Checks two overloading workspaces, one at a single edge host and one at all
// four: they get equal shares of the remaining capacity.
func TestTwoOverloadingWorkspacesShareEvenly(t *testing.T) {
	const span = 20 * time.Second
	sim := newSimulation(t, 4, 6, 50_000)
	workloads := append(baseWorkloads(span), workload{"one", 3, 80, 6000, longObjective, 2 * time.Second, span, 0})
	for i := range 4 {
		workloads = append(workloads, workload{"spread", i, 40, 6000, longObjective, 2 * time.Second, span, 0})
	}
	sim.runFor(workloads, span)
	one, spread := float64(sim.results["one"].served), float64(sim.results["spread"].served)
	// User requirement: no limited workspace gets less than half of what another
	// limited one gets.
	assert.Assert(t, one > spread/2 && spread > one/2, "workspaces got %v and %v tokens", one, spread)
}

// Checks a load within the capacity of the engines: no request is refused.
func TestNothingIsRefusedWhileEnginesAreFree(t *testing.T) {
	const span = 10 * time.Second
	sim := newSimulation(t, 4, 6, 50_000)
	sim.runFor(baseWorkloads(span), span)
	for name, result := range sim.results {
		assert.Equal(t, result.refused, 0, "workspace %s", name)
	}
}

// Checks a sustained overload: refused requests are refused within the maximum
// wait of their class, not at their deadline.
func TestRefusalsDoNotWaitForDeadline(t *testing.T) {
	const span = 10 * time.Second
	sim := newSimulation(t, 4, 2, 50_000)
	var workloads []workload
	for i := range 8 {
		workloads = append(workloads, workload{string(rune('a' + i)), i % 4, 30, 4000, longObjective, 0, span, 0})
	}
	sim.runFor(workloads, span)
	for name, result := range sim.results {
		assert.Assert(t, result.refused > 0)
		assert.Assert(t, result.maxRefusalTime <= longObjective+maxLateWait, "workspace %s: %v", name, result.maxRefusalTime)
	}
}

// Checks an overload at 32 edge hosts. Each host learns about the requests of
// the others 40 ms late, and all of them could choose the engine that appears
// idle. The design target is that 95% of the served requests are on time.
func TestManyEdgeHostsSpreadOverEngines(t *testing.T) {
	const (
		span   = 6 * time.Second
		edges  = 32
		target = 0.95
		rate   = 61_000 // prefill rate of an engine in tokens per second
	)
	sim := newSimulation(t, edges, 90, rate)
	for _, d := range sim.fleet {
		d.SetServiceRate(4_500_000)
	}
	var workloads []workload
	for i := range edges {
		w := string(rune('A' + i))
		workloads = append(workloads,
			workload{w, i, 32, 700, shortObjective, 0, span, 1400},
			workload{w, i, 40, 1800, mediumObjective, 0, span, 760},
			workload{w, i, 16, 6600, longObjective, 0, span, 528},
			workload{w, i, 3.6, 20000, longObjective, 0, span, 528})
	}
	sim.runFor(workloads, span)
	onTime, late := 0, 0
	for _, result := range sim.results {
		onTime += result.onTime
		late += result.late
	}
	assert.Assert(t, float64(onTime) >= target*float64(onTime+late), "%d on time, %d late", onTime, late)
}

// Checks an overload of engines with few slots. 20 edge hosts learn 40 ms late
// about slots taken by others, and a request that finds no slot waits at the
// engine until it is late. 95% of the served requests must be on time, no
// workspace may get less than half of what another one gets, and the slots must
// stay in use.
func TestFewSlotsAreNotOversubscribed(t *testing.T) {
	const (
		span        = 8 * time.Second
		edges       = 20
		engines     = 18
		target      = 0.95
		utilisation = 0.9
	)
	sim := newSimulation(t, edges, engines, 50_000)
	sim.slots, sim.decodeTime = 12, 1500*time.Millisecond
	var infos []ServerInfo
	for i := range engines {
		info := engineInfo(i, "a")
		info.Slots, info.SupportsReservation = sim.slots, true
		infos = append(infos, info)
	}
	for _, d := range sim.fleet {
		d.SetServiceRate(600_000)
		d.SetServers(start, infos)
	}
	var workloads []workload
	for i := range edges {
		w := string(rune('a' + i%4))
		perSecond := 4 + float64(8*(i%4))
		workloads = append(workloads, workload{w, i, perSecond / 2, 700, mediumObjective, 0, span, 0}, workload{w, i, perSecond / 2, 3000, longObjective, 0, span, 0})
	}
	sim.runFor(workloads, span)
	onTime, late, least, most := 0, 0, math.MaxInt, 0
	for _, result := range sim.results {
		onTime += result.onTime
		late += result.late
		least, most = min(least, result.served), max(most, result.served)
	}
	used := 0.0
	for _, seconds := range sim.used {
		used += seconds
	}
	used /= float64(engines*sim.slots) * span.Seconds()
	t.Logf("%d on time, %d late, slots used %.3f, tokens %d to %d", onTime, late, used, least, most)
	assert.Assert(t, float64(onTime) >= target*float64(onTime+late))
	assert.Assert(t, used >= utilisation)
	demand := sim.results["a"].demand // the workspace with the lowest demand
	assert.Assert(t, least >= min(most, demand)/2)
}
