package measure

import (
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	singleTokenInterval    = 16 * time.Millisecond // with one running request
	kneeTokenInterval      = 30 * time.Millisecond // with engineKnee running requests; below the class target of 32 ms
	engineKnee             = 32                    // running requests beyond which the token rate of an engine falls
	serviceSlots           = 8                     // requests that a plain service runs at full speed
	prefillTokensPerSecond = 8000
	cachedPrefillShare     = 0.2                    // share of the prefill time that remains if the prefix is cached
	prefixCacheSize        = 64                     // prefixes
	initialColdCapacity    = 3                      // running requests that an engine supports right after a cold start
	minColdStepTime        = 800 * time.Millisecond // least time between two increases of the cold capacity
	coldSlowdownFactor     = 1.3                    // factor on the token interval of a cold engine
	loadReportDelay        = 700 * time.Millisecond // least age of the load in an announcement
	cacheEventDelay        = 500 * time.Millisecond
	cacheEventLossRate     = 0.2 // share of the cache event batches that are lost
	serverRestartTime      = 5 * time.Second
)

// backendServer simulates an engine with continuous batching, or a plain
// service.
type backendServer struct {
	f       *fleet
	name    string
	dc      int // index of its data centre
	pool    string
	kind    backend.Kind
	slots   int // advertised; 0 if not known
	bootID  uint64
	up      bool
	leaving bool

	running          map[*request]bool
	completions      completionHeap // of requests whose prefill is done
	tokensPerRequest float64        // virtual clock: tokens generated so far for a request that runs all the time
	advancedAt       time.Time      // time up to which tokensPerRequest is computed
	generation       int            // raised by each start and crash; invalidates events scheduled before
	total            int64          // requests accepted since the start

	coldCapacity    int // running requests that a cold engine supports; 0 if warm
	coldCompletions int // completions since coldStepStart
	coldStepStart   time.Time

	prefixCache []uint64 // least recently used first
	stored      []uint64 // not announced yet
	evicted     []uint64 // not announced yet
	loadReports []loadReport
	slotSeconds float64 // running requests times seconds while measuring
}

// loadReport is a sample of the load that is announced at the earliest after
// loadReportDelay.
type loadReport struct {
	takenAt time.Time
	running int
	total   int64
}

// completion is the point at which a running request has all its tokens.
type completion struct {
	r        *request
	atTokens float64 // value of backendServer.tokensPerRequest
}

// completionHeap is a min-heap by atTokens.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].atTokens < h[j].atTokens }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// tokenInterval returns the time per token with n running requests. It grows
// linearly up to the knee and quadratically beyond it.
func tokenInterval(n int) time.Duration {
	if n <= engineKnee {
		step := float64(kneeTokenInterval-singleTokenInterval) / (engineKnee - 1)
		return singleTokenInterval + time.Duration(step*float64(n-1))
	}
	loadRatio := float64(n) / engineKnee
	return time.Duration(float64(kneeTokenInterval) * loadRatio * loadRatio)
}

// tokenRate returns the tokens per second of an engine with n running requests.
func tokenRate(n int) float64 {
	if n == 0 {
		return 0
	}
	return float64(n) / tokenInterval(n).Seconds()
}

// start begins a new incarnation of the server and its announcements. A plain
// service is never cold.
func (s *backendServer) start(cold bool) {
	s.bootID++
	s.up, s.total, s.generation = true, 0, s.generation+1
	s.running, s.completions, s.prefixCache = map[*request]bool{}, nil, nil
	s.loadReports = nil
	s.coldCapacity = 0
	if cold && s.kind == backend.Engine {
		s.coldCapacity, s.coldCompletions, s.coldStepStart = initialColdCapacity, 0, s.f.now
	}
	bootID := s.bootID
	s.f.every(0, backend.AnnounceInterval, func() bool {
		if s.up && s.bootID == bootID {
			s.announce()
		}
		return s.up && s.bootID == bootID
	})
}

// crash closes all connections and starts the server cold after
// serverRestartTime.
func (s *backendServer) crash() {
	s.up = false
	s.generation++
	for _, r := range s.runningInOrder() {
		r := r
		s.f.after(s.f.networkDelay(s.dc, r.router.dc), func() { r.handleBrokenAnswer(pool.OutcomeBroken) })
	}
	s.running = map[*request]bool{}
	s.f.after(serverRestartTime, func() { s.start(true) })
}

// runningInOrder returns the running requests by request id.
func (s *backendServer) runningInOrder() []*request {
	return sortRequests(slices.Collect(maps.Keys(s.running)))
}

// advanceProgress updates the progress of all running requests to the present
// time.
func (s *backendServer) advanceProgress() {
	n := len(s.running)
	if n > 0 {
		s.tokensPerRequest += s.f.now.Sub(s.advancedAt).Seconds() / s.timePerToken(n).Seconds()
	}
	s.advancedAt = s.f.now
}

// timePerToken returns the time per token with n running requests, or for a
// plain service the time per millisecond of work.
func (s *backendServer) timePerToken(n int) time.Duration {
	if s.kind == backend.Service {
		loadRatio := max(float64(n)/serviceSlots, 1)
		return time.Duration(float64(time.Millisecond) * loadRatio)
	}
	d := tokenInterval(n)
	if s.coldCapacity > 0 {
		d = time.Duration(coldSlowdownFactor * float64(d))
	}
	return d
}

// accept starts a request. A cold engine crashes if it has more running
// requests than it supports.
func (s *backendServer) accept(r *request) {
	s.f.updateUtilisation()
	s.advanceProgress()
	s.running[r] = true
	s.total++
	if s.coldCapacity > 0 && len(s.running) > s.coldCapacity {
		s.f.metrics.coldOverloads++
		s.f.metrics.cutAnswers += len(s.running) // the fleet overloaded the engine, so these answers count as cut
		s.crash()
		return
	}
	prefill := time.Duration(0)
	if s.kind == backend.Engine {
		prefill = time.Duration(float64(r.prompt) / prefillTokensPerSecond * float64(time.Second))
		if s.lookupPrefix(r.prefix) {
			s.f.metrics.prefixHits++
			prefill = time.Duration(cachedPrefillShare * float64(prefill))
		}
		s.f.metrics.prefixLookups++
	}
	generation := s.generation
	s.f.after(prefill, func() {
		if s.generation != generation {
			return
		}
		s.advanceProgress()
		r.startTokens = s.tokensPerRequest
		heap.Push(&s.completions, completion{r, s.tokensPerRequest + float64(r.tokens)})
		s.f.after(s.timePerToken(len(s.running))+s.f.networkDelay(s.dc, r.router.dc), func() { r.handleFirstToken() })
		s.scheduleCompletion()
	})
}

// scheduleCompletion schedules the event for the next completion.
func (s *backendServer) scheduleCompletion() {
	if len(s.completions) == 0 || len(s.running) == 0 {
		return
	}
	head := s.completions[0]
	remaining := (head.atTokens - s.tokensPerRequest) * s.timePerToken(len(s.running)).Seconds()
	generation := s.generation
	s.f.after(time.Duration(math.Max(remaining, 0)*float64(time.Second))+time.Microsecond, func() {
		if s.generation != generation || len(s.completions) == 0 || s.completions[0].r != head.r {
			return
		}
		s.advanceProgress()
		if s.tokensPerRequest < head.atTokens {
			s.scheduleCompletion()
			return
		}
		s.complete(head.r)
	})
}

func (s *backendServer) complete(r *request) {
	s.f.updateUtilisation()
	heap.Pop(&s.completions)
	delete(s.running, r)
	s.f.after(s.f.networkDelay(s.dc, r.router.dc), func() { r.handleCompletion() })
	s.raiseColdCapacity()
	s.scheduleCompletion()
}

// raiseColdCapacity doubles the capacity of a cold engine after minColdStepTime
// and as many completions as its capacity. The engine is warm when its capacity
// exceeds engineKnee.
func (s *backendServer) raiseColdCapacity() {
	if s.coldCapacity == 0 {
		return
	}
	s.coldCompletions++
	if s.coldCompletions < s.coldCapacity || s.f.now.Sub(s.coldStepStart) < minColdStepTime {
		return
	}
	s.coldCapacity, s.coldCompletions, s.coldStepStart = 2*s.coldCapacity, 0, s.f.now
	if s.coldCapacity > engineKnee {
		s.coldCapacity = 0
	}
}

// lookupPrefix reports whether a prefix is cached, and caches it if not. The
// least recently used prefix is evicted from a full cache.
func (s *backendServer) lookupPrefix(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	for i, p := range s.prefixCache {
		if p == prefix {
			s.prefixCache = append(append(s.prefixCache[:i:i], s.prefixCache[i+1:]...), prefix)
			return true
		}
	}
	s.prefixCache = append(s.prefixCache, prefix)
	s.stored = append(s.stored, prefix)
	if len(s.prefixCache) > prefixCacheSize {
		s.evicted = append(s.evicted, s.prefixCache[0])
		s.prefixCache = s.prefixCache[1:]
	}
	return false
}

// announce sends an announcement with a delayed load sample, and the cache
// events since the last one. Some batches of cache events are lost.
func (s *backendServer) announce() {
	now := s.f.now
	s.loadReports = append(s.loadReports, loadReport{now, len(s.running), s.total})
	reported := s.loadReports[0]
	for _, r := range s.loadReports {
		if now.Sub(r.takenAt) >= loadReportDelay {
			reported = r
		}
	}
	if len(s.loadReports) > 4 {
		s.loadReports = s.loadReports[1:]
	}
	a := backend.Announcement{
		Name: s.name, DataCentre: dataCentreName(s.dc), Address: "127.0.0.1:1", Pool: s.pool, Kind: s.kind,
		BootID: s.bootID, Slots: s.slots, State: backend.Ready,
		Load: backend.Load{Running: reported.running, AgeMS: now.Sub(reported.takenAt).Milliseconds(), TotalRequests: reported.total, CachedPrefixes: len(s.prefixCache)},
	}
	if s.leaving {
		a.State = backend.Leaving
	}
	s.f.forwardAnnouncement(s, a)
	stored, evicted := s.stored, s.evicted
	s.stored, s.evicted = nil, nil
	if len(stored)+len(evicted) > 0 && s.f.rnd.Float64() > cacheEventLossRate {
		s.f.after(cacheEventDelay, func() { s.f.forwardCacheEvents(s, stored, evicted) })
	}
}

// crashKeepingBootID crashes the server. It returns cold, with the same boot id
// and without a prior announcement.
func (s *backendServer) crashKeepingBootID() {
	s.bootID-- // start increments it
	s.crash()
}

// makeCold makes a running engine cold, as after a stop that saves power.
func (s *backendServer) makeCold() {
	if s.kind == "engine" {
		s.coldCapacity, s.coldCompletions, s.coldStepStart = initialColdCapacity, 0, s.f.now
		s.prefixCache = nil
	}
}
