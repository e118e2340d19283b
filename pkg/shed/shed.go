// Package shed decides which requests an edge host turns away at once because
// its own processor is used up. It answers the load of one caller address that
// sends many times what a host can pass on: the balancer keeps such a caller at
// one host, and only a refusal brings its next attempt to another one, which is
// nearly idle. Without it every request of that host came late or was lost.
//
// It is pure: the time and the load are arguments.
package shed

import (
	"math"
	"time"
)

const (
	// Interval is the time between calls of Tick: a flood is answered within
	// some of them, before requests have waited for an objective of 150 ms.
	Interval = 100 * time.Millisecond
	// used is the load from which the rate does not grow: the rest of the
	// processor is for streams that go on.
	used = 0.9
	// cut is what a load of 1 leaves of the rate, a higher load less, and settle
	// the ticks until the next cut: what was taken before goes on costing for
	// about that long.
	cut    = 0.9
	settle = 3
	// recent is the weight of the newest tick in what is taken a tick. A host
	// that stands still for a tick takes nothing in it.
	recent = 0.3
	// growth is how fast the rate grows a tick while requests are turned away,
	// for each part of the processor that is free below used: slowly near the
	// bound, and back from the lowest rate in some seconds.
	growth = 0.15
	// least is the lowest rate, in requests a tick: a host that takes less would
	// not learn that its load is over.
	least = 5
	// burst is the part of the requests of a tick that may come at once.
	burst = 0.5
	// decay is what a tick leaves of the counts of requests, which makes them
	// counts of about half a second.
	decay = 0.8
	// forgotten is the count below which a workspace no longer counts as active.
	forgotten = 0.05
)

// Shedder decides for one host. It is not safe for concurrent use.
type Shedder struct {
	rate    float64 // requests that are taken a tick, infinite before the first overload
	room    float64 // requests that may come now
	at      time.Time
	inTick  float64 // requests that were taken in this tick
	taken   float64 // the same a tick, smoothed
	refused bool    // in this tick
	pause   int     // ticks until the next cut

	counts map[string]float64 // recent requests by workspace
	total  float64
}

// New returns a Shedder of a host that was never overloaded.
func New() *Shedder { return &Shedder{rate: math.Inf(1), counts: map[string]float64{}} }

// Tick takes the load of the processor in the last Interval: 1 is a host on
// which work waits for it.
func (s *Shedder) Tick(load float64) {
	s.pause = max(s.pause-1, 0)
	s.taken += recent * (s.inTick - s.taken)
	switch {
	case load >= 1 && s.pause == 0:
		s.rate = max(cut/load*min(s.rate, s.taken), least)
		s.pause = settle
	case load < used && s.refused:
		s.rate *= 1 + growth*(used-load)
	}
	s.inTick, s.refused = 0, false
	s.age()
}

// age lets the counts of workspaces fade.
func (s *Shedder) age() {
	s.total = 0
	for workspace, n := range s.counts {
		if n *= decay; n < forgotten {
			delete(s.counts, workspace)
			continue
		}
		s.counts[workspace] = n
		s.total += n
	}
}

// Refuses counts a request and reports whether it is turned away. Only
// workspaces that ask this host for at least an even share are, so the flood of
// one does not shed the requests of others.
func (s *Shedder) Refuses(now time.Time, workspace string) bool {
	s.counts[workspace]++
	s.total++
	s.refill(now)
	above := s.counts[workspace]*float64(len(s.counts)) >= s.total
	if above && s.room < 1 {
		s.refused = true
		return true
	}
	s.room = max(s.room-1, 0)
	s.inTick++
	return false
}

func (s *Shedder) refill(now time.Time) {
	ticks := now.Sub(s.at).Seconds() / Interval.Seconds()
	s.at = now
	s.room = min(s.room+ticks*s.rate, max(burst*s.rate, 1))
	if math.IsInf(s.rate, 1) {
		s.room = s.rate
	}
}

// Rate returns the requests a second that are taken at most, infinite if the
// host was never overloaded.
func (s *Shedder) Rate() float64 { return s.rate / Interval.Seconds() }
