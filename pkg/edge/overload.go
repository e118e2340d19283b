package edge

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"jackdawtrack.example/jackdawtrack/pkg/shed"
)

const (
	// watchInterval is how often the clocks and the processor time are looked
	// at, and suspendedFor the difference of the clocks that counts as a
	// suspension of the host.
	watchInterval = shed.Interval
	suspendedFor  = 700 * time.Millisecond
	// A host that used overloadedShare of its processor in the last
	// overloadTicks ticks asks the balancer for no more connections until it
	// used less than relievedShare. Above that share, requests wait for the
	// processor longer than for an engine; the gap keeps the host from coming
	// back with the load that it has.
	overloadTicks   = 10
	overloadedShare = 0.85
	relievedShare   = 0.5
	// noticedAfter is when the balancer has noticed: it asks once a second and
	// needs two refusals.
	noticedAfter = 2500 * time.Millisecond
	// waitLimit is the wait of goroutines for a processor that counts as a used
	// up host: a fifth of the shortest objective of 150 ms. The processor time of
	// the process alone does not tell: the kernel works for a flood of
	// connections as well, and a host that saw 70% used was 3 s behind.
	waitLimit = 30 * time.Millisecond
	// waitQuantile is the part of all waits that are below the one that counts,
	// so that pauses of the collector alone do not.
	waitQuantile = 0.9
	// mostLoad bounds the load that a wait counts as.
	mostLoad = 2
	// shedRetry is when a caller that was turned away may try another host: at
	// once, the others are hardly used.
	shedRetry = 20 * time.Millisecond
)

// processorWatch tells from the processor time of this process whether it uses
// up what the host has.
type processorWatch struct {
	cores      float64 // of the host
	used, time [overloadTicks]time.Duration
	waits      int // of the last ticks in a row, that were above waitLimit
	next       int
	overloaded bool
}

// tick takes what was used since the last tick and how long that was.
func (p *processorWatch) tick(used, elapsed, wait time.Duration) bool {
	p.used[p.next], p.time[p.next] = used, elapsed
	p.next = (p.next + 1) % overloadTicks
	p.waits++
	if wait < waitLimit {
		p.waits = 0
	}
	switch share := p.share(); {
	case share >= overloadedShare || p.waits >= overloadTicks/2:
		p.overloaded = true
	case share < relievedShare && p.waits == 0:
		p.overloaded = false
	}
	return p.overloaded
}

// load returns the part of the processor that was used in the last tick, more
// if goroutines waited for it. 1 is a host without reserves.
func (p *processorWatch) load(wait time.Duration) float64 {
	last := (p.next + overloadTicks - 1) % overloadTicks
	load := 0.0
	if available := p.cores * p.time[last].Seconds(); available > 0 {
		load = p.used[last].Seconds() / available
	}
	return max(load, min(float64(wait)/float64(waitLimit), mostLoad))
}

// share returns the part of the processor that was used in the last ticks.
func (p *processorWatch) share() float64 {
	var used, elapsed time.Duration
	for i := range overloadTicks {
		used += p.used[i]
		elapsed += p.time[i]
	}
	available := p.cores * elapsed.Seconds()
	if available == 0 || p.time[p.next] == 0 { // not known, or not all ticks yet
		return 0
	}
	return used.Seconds() / available
}

// overload is since when the host is overloaded.
type overload struct {
	mu    sync.Mutex
	since time.Time // zero if it is not
}

// set reports whether the state changed.
func (o *overload) set(overloaded bool) bool {
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

func (o *overload) now() bool { return o.lasts(0) }

// lasts reports whether the host is overloaded for that long.
func (o *overload) lasts(least time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.since.IsZero() && time.Since(o.since) >= least
}

// shedder guards a Shedder for many requests.
type shedder struct {
	mu sync.Mutex
	*shed.Shedder
}

func (s *shedder) tick(load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Tick(load)
}

func (s *shedder) refuses(workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Refuses(time.Now(), workspace)
}

// limit returns the requests a second that are taken, 0 if there is no bound.
func (s *shedder) limit() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if math.IsInf(s.Rate(), 1) {
		return 0
	}
	return int64(s.Rate())
}

// watchHost notices that the host was suspended, and that its processor is
// used up. The steady clock stands still during a suspension, boot time does
// not.
func (s *Server) watchHost() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last, used := bootTime(), processorTime()
	watch, waits := processorWatch{cores: s.config.Cores}, schedulerWaits{}
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		now, usedNow := bootTime(), processorTime()
		if gap := now - last; gap > suspendedFor+watchInterval {
			s.suspended(gap)
		}
		wait := time.Duration(0)
		if watch.cores > 0 { // else the host shares its processor, and waits say nothing
			wait = waits.read()
		}
		overloaded := watch.tick(usedNow-used, now-last, wait)
		s.shedder.tick(watch.load(wait))
		if s.overload.set(overloaded) {
			s.log.WithFields(logrus.Fields{"overloaded": overloaded, "share": watch.share(), "cores": watch.cores, "wait_ms": wait.Milliseconds()}).Warn("the processor of this host is used up or is no more")
		}
		last, used = now, usedNow
	}
}

func (s *Server) suspended(gap time.Duration) {
	s.log.WithField("gap_ms", gap.Milliseconds()).Warn("this host did not run for a while")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Suspended(time.Now())
}

// bootTime returns the time since the start of the host, suspensions included.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // Linux has this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
