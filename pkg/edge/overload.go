package edge

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/shed"
	"jackdawtrack.example/jackdawtrack/pkg/suspension"
)

const (
	// hostCheckInterval is how often the boot clock and the CPU time are read. The
	// host counts as suspended if a tick is later than that by more than
	// suspensionThreshold.
	hostCheckInterval   = shed.TickInterval
	suspensionThreshold = 700 * time.Millisecond
	// A host whose CPU utilisation over the last overloadTicks ticks reaches
	// overloadThreshold reports itself as not ready to the load balancer until the
	// utilisation falls below recoveryThreshold. Above overloadThreshold, requests
	// wait longer for a CPU than for an engine. The gap between the thresholds
	// prevents the host from becoming ready again while its load is unchanged.
	overloadTicks     = 10
	overloadThreshold = 0.85
	recoveryThreshold = 0.5
	// balancerReactionTime is how long the load balancer takes to stop sending
	// connections: it checks readiness once a second and needs two failures.
	balancerReactionTime = 2500 * time.Millisecond
	// schedulerWaitLimit is the wait of goroutines for a CPU that counts as
	// saturation: a fifth of the shortest latency objective, 150 ms. The CPU time of
	// the process is not sufficient, because it leaves out the kernel's work for a
	// flood of connections: a host at 70% utilisation had a delay of 3 s.
	schedulerWaitLimit = 30 * time.Millisecond
	// schedulerWaitQuantile is the quantile of the waits that is compared with
	// schedulerWaitLimit. Below 1, garbage collector pauses alone do not exceed it.
	schedulerWaitQuantile = 0.9
	// maxWaitLoad is the highest load that is derived from a wait.
	maxWaitLoad = 2
	// shedRetryAfter is the Retry-After of a shed request. It is short because the
	// caller should retry at another host, and those have little load.
	shedRetryAfter = 20 * time.Millisecond
)

// cpuMonitor detects from the CPU time of this process and the waits of its
// goroutines whether the CPU of the host is saturated.
type cpuMonitor struct {
	cores      float64                      // CPU cores of the host, 0 if not known
	used, time [overloadTicks]time.Duration // CPU time and duration of the last ticks, a ring buffer
	slowTicks  int                          // consecutive ticks up to now with a wait of at least schedulerWaitLimit
	nextTick   int                          // index of the next tick in used and time
	overloaded bool
	// sheddingTicks is that of the Shedder. A host that keeps its load below the
	// thresholds by refusing requests is overloaded too: the balancer has to send their
	// callers elsewhere, because some come back to the same host with each attempt.
	sheddingTicks int
}

// tick records the CPU time used since the last tick, the elapsed time and the
// scheduler wait. It reports whether the host is overloaded.
func (p *cpuMonitor) tick(used, elapsed, wait time.Duration) bool {
	p.used[p.nextTick], p.time[p.nextTick] = used, elapsed
	p.nextTick = (p.nextTick + 1) % overloadTicks
	p.slowTicks++
	if wait < schedulerWaitLimit {
		p.slowTicks = 0
	}
	switch utilisation := p.utilisation(); {
	case utilisation >= overloadThreshold || p.slowTicks >= overloadTicks/2 || p.sheddingTicks >= overloadTicks/2:
		p.overloaded = true
	case utilisation < recoveryThreshold && p.slowTicks == 0 && p.sheddingTicks == 0:
		p.overloaded = false
	}
	return p.overloaded
}

// load returns the CPU utilisation in the last tick, or wait divided by
// schedulerWaitLimit if that is higher. 1 means saturation.
func (p *cpuMonitor) load(wait time.Duration) float64 {
	last := (p.nextTick + overloadTicks - 1) % overloadTicks
	load := 0.0
	if available := p.cores * p.time[last].Seconds(); available > 0 {
		load = p.used[last].Seconds() / available
	}
	return max(load, min(float64(wait)/float64(schedulerWaitLimit), maxWaitLoad))
}

// utilisation returns the fraction of the CPU that was used in the last
// overloadTicks ticks, 0 if the number of cores is not known or before as many
// ticks were recorded.
func (p *cpuMonitor) utilisation() float64 {
	var used, elapsed time.Duration
	for i := range overloadTicks {
		used += p.used[i]
		elapsed += p.time[i]
	}
	available := p.cores * elapsed.Seconds()
	if available == 0 || p.time[p.nextTick] == 0 { // cores not known, or fewer ticks than overloadTicks
		return 0
	}
	return used.Seconds() / available
}

// overloadState records since when the host is overloaded. It is safe for concurrent
// use.
type overloadState struct {
	mu    sync.Mutex
	since time.Time // zero if the host is not overloaded
}

// setOverloaded sets the state and reports whether it changed.
func (o *overloadState) setOverloaded(overloaded bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if overloaded != o.since.IsZero() {
		return false
	}
	o.since = time.Time{}
	if overloaded {
		o.since = time.Now()
	}
	return true
}

func (o *overloadState) isOverloaded() bool { return o.overloadedFor(0) }

// overloadedFor reports whether the host has been overloaded for at least
// minDuration.
func (o *overloadState) overloadedFor(minDuration time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.since.IsZero() && time.Since(o.since) >= minDuration
}

// loadShedder makes a shed.Shedder safe for concurrent use.
type loadShedder struct {
	mu sync.Mutex
	*shed.Shedder
	log sheddingLog
}

// shedAttempt is what the load shedder knows about an attempt of a caller.
type shedAttempt struct {
	workspace    string
	promptTokens int
	retry        bool
	delayLimit   time.Duration // longest delay after which it is still worth to serve it
}

// tick records the load and the CPU time of the last hostCheckInterval. It returns
// SheddingTicks, and the fields of a log line if one is due.
func (s *loadShedder) tick(load float64, used time.Duration) (sheddingTicks int, line logrus.Fields) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Tick(load)
	return s.SheddingTicks(), s.log.tick(used)
}

// admit counts an attempt and reports whether to accept it, and after which delay it may
// begin. Retries are shed like first attempts: those that come back to the same host are
// known only if the caller's timeout is short, and without a limit such requests would leave
// no processor time to others.
func (s *loadShedder) admit(a *shedAttempt) (delay time.Duration, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay, accepted = s.Admit(time.Now(), a.workspace, a.delayLimit)
	s.log.add(a, !accepted)
	return delay, accepted
}

// requestsPerSecond returns the rate limit on accepted requests, 0 if there is none.
func (s *loadShedder) requestsPerSecond() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if math.IsInf(s.AdmissionRate(), 1) {
		return 0
	}
	return int64(s.AdmissionRate())
}

// monitorHost detects suspensions of the host and the saturation of its CPU. It
// reads the boot clock because the monotonic clock does not advance during a
// suspension.
func (s *Server) monitorHost() {
	ticker := time.NewTicker(hostCheckInterval)
	defer ticker.Stop()
	last, used := suspension.BootTime(), processCPUTime()
	monitor, latency := cpuMonitor{cores: s.config.Cores}, schedulerLatency{}
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		now, usedNow := suspension.BootTime(), processCPUTime()
		s.checkedAt.Store(int64(now))
		if gap := now - last; gap > suspensionThreshold+hostCheckInterval {
			s.handleSuspension(gap)
		}
		wait := time.Duration(0)
		if monitor.cores > 0 { // otherwise the host shares its CPU, and the waits are no sign of its load
			wait = latency.readQuantile()
		}
		overloaded := monitor.tick(usedNow-used, now-last, wait)
		var shedding logrus.Fields
		if monitor.sheddingTicks, shedding = s.loadShedder.tick(monitor.load(wait), usedNow-used); shedding != nil {
			s.log.WithFields(shedding).WithField("limit", s.loadShedder.requestsPerSecond()).Info("requests shed")
		}
		if s.overloadState.setOverloaded(overloaded) {
			s.log.WithFields(logrus.Fields{"overloaded": overloaded, "share": monitor.utilisation(), "cores": monitor.cores, "wait_ms": wait.Milliseconds()}).Warn("CPU overload state of this host changed")
		}
		last, used = now, usedNow
	}
}

// handleSuspension notifies the dispatcher that this host was suspended.
func (s *Server) handleSuspension(gap time.Duration) {
	s.log.WithField("gap_ms", gap.Milliseconds()).Warn("this host was suspended")
	s.streamRecords.RequireAnswer()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dispatcher.MarkSuspended(now)
	s.quarantine.MarkSuspended(now)
}

// noticeSuspension does for the records of streams what handleSuspension does: a take-up
// can come before monitorHost has noticed that this host was suspended.
func (s *Server) noticeSuspension() {
	last := time.Duration(s.checkedAt.Load())
	if last != 0 && suspension.BootTime()-last > suspensionThreshold+hostCheckInterval {
		s.streamRecords.RequireAnswer()
	}
}
